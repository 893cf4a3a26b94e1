package rig

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"time"
)

// Worker stands in for somebody outside who carries out commands of a role. It refuses terms that are over, if it is told to,
// and writes down who ordered what, when and under which term.
type Worker struct {
	listener          net.Listener
	rejectsStaleTerms bool
	history           *History

	mu          sync.Mutex
	orders      []Order
	highestTerm uint64
	refused     int
	conns       map[net.Conn]struct{}
}

// Order is one that had its effect.
type Order struct {
	At    time.Time
	Owner string
	Term  uint64
}

// NewWorker listens on a free port.
func NewWorker(fences bool, history *History) (*Worker, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w := &Worker{listener: listener, rejectsStaleTerms: fences, history: history, conns: map[net.Conn]struct{}{}}
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

// Address is where orders go.
func (w *Worker) Address() string { return w.listener.Addr().String() }

// Close ends it.
func (w *Worker) Close() {
	w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for conn := range w.conns {
		conn.Close()
	}
}

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
			w.history.Add(owner, "late", fmt.Sprintf("order rejected: stale term %d, term %d is known", term, highestTerm))
			fmt.Fprintf(conn, "late %d\n", highestTerm)
			continue
		}
		fmt.Fprintln(conn, "ok")
	}
}

func (w *Worker) accept(owner string, term uint64) (highestTerm uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.highestTerm && w.rejectsStaleTerms {
		w.refused++
		return w.highestTerm, false
	}
	w.highestTerm = max(w.highestTerm, term)
	w.orders = append(w.orders, Order{time.Now(), owner, term})
	return w.highestTerm, true
}

// Refused is how many orders came too late.
func (w *Worker) Refused() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.refused
}

// Orders are those that had their effect since a time.
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

// minConsecutiveOrders is how many orders in a row make an owner: one alone may be what somebody had in its hands.
const minConsecutiveOrders = 4

// Owner is whose orders had their effects last, within a span and several in a row; empty if there is none such.
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
