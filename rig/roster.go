package rig

import (
	"net"
	"strings"
	"sync"
	"time"
)

// Roster stands in for the list from which routers learn of app servers: it hears their reports over UDP. It is safe for
// use by many goroutines.
type Roster struct {
	address string

	mu    sync.Mutex
	conn  net.PacketConn // nil while the roster is down
	heard map[string]time.Time
	group sync.WaitGroup
}

// NewRoster listens on a free port.
func NewRoster() (*Roster, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Roster{address: conn.LocalAddr().String(), heard: map[string]time.Time{}}
	r.listen(conn)
	return r, nil
}

// Address is where app servers report to; it stays the same over an outage.
func (r *Roster) Address() string { return r.address }

// Down closes the socket, so that reports are lost and what was heard is forgotten.
func (r *Roster) Down() {
	r.mu.Lock()
	conn := r.conn
	r.conn = nil
	clear(r.heard)
	r.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	r.group.Wait()
}

// Return opens the socket again at the same address.
func (r *Roster) Return() error {
	conn, err := net.ListenPacket("udp", r.address)
	if err != nil {
		return err
	}
	r.listen(conn)
	return nil
}

// Close ends it.
func (r *Roster) Close() { r.Down() }

// FirstHeard returns when the app server of that name first reported itself as on since the roster came up; ok is false
// if it has not.
func (r *Roster) FirstHeard(name string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok = r.heard[name]
	return at, ok
}

// Forget drops what was heard from one app server, as when its process is killed.
func (r *Roster) Forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.heard, name)
}

func (r *Roster) listen(conn net.PacketConn) {
	r.mu.Lock()
	r.conn = conn
	r.mu.Unlock()
	r.group.Go(func() {
		buffer := make([]byte, 256)
		for {
			n, _, err := conn.ReadFrom(buffer)
			if err != nil {
				return
			}
			r.hear(string(buffer[:n]))
		}
	})
}

// hear records one report, "HERE name on" or "HERE name off".
func (r *Roster) hear(report string) {
	words := strings.Fields(report)
	if len(words) != 3 || words[0] != "HERE" {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.heard[words[1]]; !known && words[2] == "on" {
		r.heard[words[1]] = time.Now()
	}
}
