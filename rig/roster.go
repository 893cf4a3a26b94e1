package rig

import (
	"errors"
	"fmt"
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
	check *Checker        // nil unless Judge
	names map[string]bool // that processes have
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

// Judge has each report checked: its form, and that it comes from a process of one of these names that lives. A process has
// the name under which the checker is told of it.
func (r *Roster) Judge(check *Checker, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.check, r.names = check, map[string]bool{}
	for _, name := range names {
		r.names[name] = true
	}
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
		buffer := make([]byte, 64<<10)
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
	r.mu.Lock()
	defer r.mu.Unlock()
	name, on, err := parseReport(report)
	if r.check != nil {
		r.judge(report, name, err)
	}
	if err != nil {
		return
	}
	if _, known := r.heard[name]; !known && on {
		r.heard[name] = time.Now()
	}
}

// errNoReport is wrapped by the errors of datagrams that are no report.
var errNoReport = errors.New("no report")

// parseReport reads the three words of a report.
func parseReport(report string) (name string, on bool, err error) {
	words := strings.Split(report, " ")
	switch {
	case len(words) != 3:
		return "", false, fmt.Errorf("%w: %d words", errNoReport, len(words))
	case words[0] != "HERE":
		return "", false, fmt.Errorf("%w: it begins with %q", errNoReport, words[0])
	case words[2] != "on" && words[2] != "off":
		return "", false, fmt.Errorf("%w: it ends with %q", errNoReport, words[2])
	}
	return words[1], words[2] == "on", nil
}

// judge is called under the lock.
func (r *Roster) judge(report, name string, err error) {
	switch {
	case err != nil:
		r.check.reportViolation(1, "a datagram to the roster %.80q: %v", report, err)
	case !r.names[name]:
		r.check.reportViolation(1, "a report to the roster in the name of %q, which nobody has", name)
	case !r.check.isAlive(name):
		r.check.reportViolation(1, "a report to the roster from %s, which has ended", name)
	}
}
