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

	mu           sync.Mutex
	conn         net.PacketConn // nil while the roster is down
	firstReports map[string]time.Time
	check        *Checker        // nil unless Judge
	names        map[string]bool // that processes have
	group        sync.WaitGroup
}

// NewRoster listens on a free port.
func NewRoster() (*Roster, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Roster{address: conn.LocalAddr().String(), firstReports: map[string]time.Time{}}
	r.listen(conn)
	return r, nil
}

// Address is where app servers report to; it stays the same over an outage.
func (r *Roster) Address() string { return r.address }

// Stop closes the socket, so that reports are lost and what was heard is forgotten.
func (r *Roster) Stop() {
	r.mu.Lock()
	conn := r.conn
	r.conn = nil
	clear(r.firstReports)
	r.mu.Unlock()
	if conn != nil {
		conn.Close()
	}
	r.group.Wait()
}

// Restart opens the socket again at the same address.
func (r *Roster) Restart() error {
	conn, err := net.ListenPacket("udp", r.address)
	if err != nil {
		return err
	}
	r.listen(conn)
	return nil
}

// Close ends it.
func (r *Roster) Close() { r.Stop() }

// FirstReported returns when the app server of that name first reported itself as on since the roster came up; ok is false
// if it has not.
func (r *Roster) FirstReported(name string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok = r.firstReports[name]
	return at, ok
}

// CheckReports has each report checked: its form, and that it comes from a process of one of these names that lives. A process has
// the name under which the checker is told of it.
func (r *Roster) CheckReports(check *Checker, names ...string) {
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
	delete(r.firstReports, name)
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
			r.record(string(buffer[:n]))
		}
	})
}

// record records one report, "HERE name on" or "HERE name off".
func (r *Roster) record(report string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, on, err := parseReport(report)
	if r.check != nil {
		r.checkReport(report, name, err)
	}
	if err != nil {
		return
	}
	if _, known := r.firstReports[name]; !known && on {
		r.firstReports[name] = time.Now()
	}
}

// errMalformedReport is wrapped by the errors of datagrams that are no report.
var errMalformedReport = errors.New("no report")

// parseReport reads the three words of a report.
func parseReport(report string) (name string, on bool, err error) {
	words := strings.Split(report, " ")
	switch {
	case len(words) != 3:
		return "", false, fmt.Errorf("%w: %d words", errMalformedReport, len(words))
	case words[0] != "HERE":
		return "", false, fmt.Errorf("%w: it begins with %q", errMalformedReport, words[0])
	case words[2] != "on" && words[2] != "off":
		return "", false, fmt.Errorf("%w: it ends with %q", errMalformedReport, words[2])
	}
	return words[1], words[2] == "on", nil
}

// checkReport is called under the lock.
func (r *Roster) checkReport(report, name string, err error) {
	switch {
	case err != nil:
		r.check.report(1, "a datagram to the roster %.80q: %v", report, err)
	case !r.names[name]:
		r.check.report(1, "a report to the roster in the name of %q, which nobody has", name)
	case !r.check.lives(name):
		r.check.report(1, "a report to the roster from %s, which has ended", name)
	}
}
