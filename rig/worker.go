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
	listener net.Listener
	fences   bool
	history  *History

	mu      sync.Mutex
	orders  []Order
	highest uint64
	refused int
	conns   map[net.Conn]struct{}
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
	w := &Worker{listener: listener, fences: fences, history: history, conns: map[net.Conn]struct{}{}}
	go func() {
		for {
			nc, err := listener.Accept()
			if err != nil {
				return
			}
			w.mu.Lock()
			w.conns[nc] = struct{}{}
			w.mu.Unlock()
			go w.serve(nc)
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
	for nc := range w.conns {
		nc.Close()
	}
}

func (w *Worker) serve(nc net.Conn) {
	defer nc.Close()
	lines := bufio.NewScanner(nc)
	for lines.Scan() {
		var role, owner string
		var term uint64
		var n int
		if _, err := fmt.Sscanf(lines.Text(), "ORDER %s %d %d %s", &role, &term, &n, &owner); err != nil {
			return
		}
		if known, ok := w.take(owner, term); !ok {
			w.history.AddEvent(owner, "late", fmt.Sprintf("order under term %d refused, %d is known", term, known))
			fmt.Fprintf(nc, "late %d\n", known)
			continue
		}
		fmt.Fprintln(nc, "ok")
	}
}

func (w *Worker) take(owner string, term uint64) (known uint64, ok bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if term < w.highest && w.fences {
		w.refused++
		return w.highest, false
	}
	w.highest = max(w.highest, term)
	w.orders = append(w.orders, Order{time.Now(), owner, term})
	return w.highest, true
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
	var all []Order
	for _, o := range w.orders {
		if !o.At.Before(since) {
			all = append(all, o)
		}
	}
	return all
}

// steadily is how many orders in a row make an owner: one alone may be what somebody had in its hands.
const steadily = 4

// Owner is whose orders had their effects last, within a span and several in a row; empty if there is none such.
func (w *Worker) Owner(within time.Duration) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := len(w.orders)
	if n < steadily {
		return ""
	}
	for _, o := range w.orders[n-steadily:] {
		if time.Since(o.At) > within || o.Owner != w.orders[n-1].Owner {
			return ""
		}
	}
	return w.orders[n-1].Owner
}
