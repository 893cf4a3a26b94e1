package rig

import (
	"errors"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

// Roster simulates the registry from which routers learn of app servers: it receives their reports over UDP. It is safe for
// concurrent use.
type Roster struct {
	address string

	mu           sync.Mutex
	conn         net.PacketConn // nil while the roster is stopped
	firstReports map[string]time.Time
	checker      *Checker        // nil unless CheckReports was called
	names        map[string]bool // names of the known processes
	group        sync.WaitGroup
}

// NewRoster returns a roster that listens on a free port. The caller must Close it.
func NewRoster() (*Roster, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &Roster{address: conn.LocalAddr().String(), firstReports: map[string]time.Time{}}
	r.listen(conn)
	return r, nil
}

// Address returns the address for reports; it stays the same across Stop and Restart.
func (r *Roster) Address() string { return r.address }

// Stop closes the socket, so that reports are lost, and discards the reports received so far.
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

// Restart opens the socket again at the same address after Stop.
func (r *Roster) Restart() error {
	conn, err := net.ListenPacket("udp", r.address)
	if err != nil {
		return err
	}
	r.listen(conn)
	return nil
}

// Close closes the socket and waits for its reader.
func (r *Roster) Close() { r.Stop() }

// FirstReported returns when the app server of that name first reported itself as on since the roster was started or
// restarted, or since Forget; ok is false if it has not.
func (r *Roster) FirstReported(name string) (at time.Time, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	at, ok = r.firstReports[name]
	return at, ok
}

// CheckReports has the checker verify each report from now on: its format, that its name is one of the given names, and that
// the process of that name is alive. Names are those under which the checker knows the processes.
func (r *Roster) CheckReports(checker *Checker, names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.checker, r.names = checker, map[string]bool{}
	for _, name := range names {
		r.names[name] = true
	}
}

// Forget discards the reports of one app server, for use when its process is killed.
func (r *Roster) Forget(name string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.firstReports, name)
}

// listen records the reports received on conn until it is closed.
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

// record processes one report, "HERE name on" or "HERE name off".
func (r *Roster) record(report string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name, on, err := parseReport(report)
	if r.checker != nil {
		r.checkReport(report, name, err)
	}
	if err != nil {
		return
	}
	if _, known := r.firstReports[name]; !known && on {
		r.firstReports[name] = time.Now()
	}
}

// errMalformedReport is wrapped by the errors about datagrams that are not valid reports.
var errMalformedReport = errors.New("malformed report")

// parseReport parses the three words of a report.
func parseReport(report string) (name string, on bool, err error) {
	words := strings.Split(report, " ")
	switch {
	case len(words) != 3:
		return "", false, fmt.Errorf("%w: %d words, want 3", errMalformedReport, len(words))
	case words[0] != "HERE":
		return "", false, fmt.Errorf("%w: begins with %q, want HERE", errMalformedReport, words[0])
	case words[2] != "on" && words[2] != "off":
		return "", false, fmt.Errorf("%w: ends with %q, want on or off", errMalformedReport, words[2])
	}
	return words[1], words[2] == "on", nil
}

// checkReport reports a violation for an invalid report. The lock must be held.
func (r *Roster) checkReport(report, name string, err error) {
	switch {
	case err != nil:
		r.checker.reportViolation(1, "invalid datagram to the roster, %.80q: %v", report, err)
	case !r.names[name]:
		r.checker.reportViolation(1, "a report to the roster names %q, which is no known process", name)
	case !r.checker.isAlive(name):
		r.checker.reportViolation(1, "a report to the roster from %s, which has ended", name)
	}
}
