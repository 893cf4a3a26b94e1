package rig

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// Worker simulates an outside system that executes the orders of a role owner. It rejects orders of stale terms, if it is
// configured to, and records the owner, time and term of each executed order. It is safe for concurrent use.
type Worker struct {
	listener          net.Listener
	rejectsStaleTerms bool
	history           *History

	mu             sync.Mutex
	orders         []Order
	highestTerm    uint64
	rejectedOrders int
	conns          map[net.Conn]struct{}
}

// Order is an order that was executed.
type Order struct {
	At    time.Time
	Owner string
	Term  uint64
}

// NewWorker returns a worker that listens on a free port. The caller must Close it.
func NewWorker(rejectsStaleTerms bool, history *History) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{listener: listener, rejectsStaleTerms: rejectsStaleTerms, history: history, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[conn] = struct{}{}
			w.mu.Unlock()
			go w.serve(conn)
		}
	}()
	return w, nil
}

// Address returns the address for orders.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close stops listening and closes all connections.
func (w *Worker) Close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.Close()
	}
}

// serve executes the orders of one connection and answers each with ok, or with late and the highest term.
func (w *Worker) serve(conn net.Conn) {
	defer conn.Close()
	scanner := bufio.NewScanner(conn)
	for scanner.Scan() {
		var role, owner string
		var term uint64
		var number int
		if _, err := fmt.Sscanf(scanner.Text(), "ORDER %s %d %d %s", &role, &term, &number, &owner); err != nil {
			return
		}
		if highestTerm, ok := w.accept(owner, term); !ok {
			w.history.AddEvent(owner, "late", fmt.Sprintf("order rejected: stale term %d, term %d is known", term, highestTerm))
			fmt.Fprintf(conn, "late %d\n", highestTerm)
			continue
		}
		fmt.Fprintln(conn, "ok")
	}
}

// accept executes an order, unless its term is stale and the worker rejects such orders.
func (w *Worker) accept(owner string, term uint64) (highestTerm uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.highestTerm && w.rejectsStaleTerms {
		w.rejectedOrders++
		return w.highestTerm, false
	}
	w.highestTerm = max(w.highestTerm, term)
	w.orders = append(w.orders, Order{time.Now(), owner, term})
	return w.highestTerm, true
}

// RejectedOrders returns the number of orders rejected for a stale term.
func (w *Worker) RejectedOrders() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.rejectedOrders
}

// Orders returns the orders executed at or after a time.
func (w *Worker) Orders(since time.Time) []Order {
	w.mu.Lock()
	defer w.mu.Unlock()
	var orders []Order
	for _, order := range w.orders {
		if !order.At.Before(since) {
			orders = append(orders, order)
		}
	}
	return orders
}

// minConsecutiveOrders is the number of consecutive orders that identify the owner: a single one may have been in flight when
// the owner changed.
const minConsecutiveOrders = 4

// Owner returns the owner of the last minConsecutiveOrders orders if they all came from it within the given duration, and ""
// otherwise.
func (w *Worker) Owner(within time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	count := len(w.orders)
	if count < minConsecutiveOrders {
		return ""
	}
	for _, order := range w.orders[count-minConsecutiveOrders:] {
		if time.Since(order.At) > within || order.Owner != w.orders[count-1].Owner {
			return ""
		}
	}
	return w.orders[count-1].Owner
}
