package rig

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"valveglade/rpc"
)

// testLink is an app server's end of a kernel link.
type testLink struct {
	t      *testing.T
	conn   net.Conn
	reader *bufio.Reader
}

// testNotice is a line from the kernel, with the fields of all actions.
type testNotice struct {
	Action, UID, Code, Echo string
	Pos                     int
	Content                 []byte
	Meters                  []float64
}

// testTimeout is the maximum duration of each wait of these tests.
const testTimeout = 10 * time.Second

// dialKernel opens a link that has read notices up to pos, and reads BOOTED.
func dialKernel(t *testing.T, k *Kernel, pos int) *testLink {
	t.Helper()
	conn, err := net.Dial("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { conn.Close() })
	l := &testLink{t: t, conn: conn, reader: bufio.NewReader(conn)}
	l.sendLine(`{"action":"OPEN","pos":%d}`, pos)
	if n := l.readNotice(); n.Action != "BOOTED" {
		t.Fatalf("first line of the link: %+v, want BOOTED", n)
	}
	return l
}

// sendLine writes one line to the kernel.
func (l *testLink) sendLine(format string, args ...any) {
	l.t.Helper()
	if _, err := fmt.Fprintf(l.conn, format+"\n", args...); err != nil {
		l.t.Fatal(err)
	}
}

// sendSched sends a SCHED command.
func (l *testLink) sendSched(call, method string, body []byte) {
	l.t.Helper()
	l.sendLine(`{"action":"SCHED","uid":"%s","lane":"%s","content":"%s"}`, call, method, base64.StdEncoding.EncodeToString(body))
}

// readLine reads one line without decoding it.
func (l *testLink) readLine() (string, error) {
	l.conn.SetReadDeadline(time.Now().Add(testTimeout))
	return l.reader.ReadString('\n')
}

// readNotice reads and decodes one line.
func (l *testLink) readNotice() (n testNotice) {
	l.t.Helper()
	line, err := l.readLine()
	if err != nil {
		l.t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(line), &n); err != nil {
		l.t.Fatalf("%q: %v", line, err)
	}
	return n
}

// syncGauges waits until the kernel has read all earlier lines, and returns the gauges.
func (l *testLink) syncGauges(echo string) []float64 {
	l.t.Helper()
	l.sendLine(`{"action":"SYSINFO","echo":"%s"}`, echo)
	for {
		if n := l.readNotice(); n.Action == "INFO" && n.Echo == echo {
			return n.Meters
		}
	}
}

// expectClosed waits until the kernel closes the link.
func (l *testLink) expectClosed() {
	l.t.Helper()
	l.conn.SetReadDeadline(time.Now().Add(testTimeout))
	if _, err := io.Copy(io.Discard, l.reader); errors.Is(err, os.ErrDeadlineExceeded) {
		l.t.Error("the link is not closed")
	}
}

// testSetup holds a checker with the settings of three methods, and a kernel for one app server.
type testSetup struct {
	checker    *Checker
	kernel     *Kernel
	connection *proxiedConnection // a client's connection
	seq        int32
}

func newTestSetup(t *testing.T, config KernelConfig) *testSetup {
	t.Helper()
	checker := NewChecker(50 * time.Millisecond)
	checker.CheckServers(ServerSettings{Methods: map[string]MethodSettings{
		"read":   {Kind: rpc.Idempotent, Deadline: 10 * time.Second},
		"write":  {Kind: rpc.Tokened, Deadline: 10 * time.Second, Window: 20 * time.Second},
		"charge": {Kind: rpc.NonIdempotent, Deadline: 10 * time.Second},
	}})
	checker.ProcessStarted("n1")
	config.Methods = []string{"read", "write", "charge"}
	config.Cores = max(config.Cores, 2)
	k, err := NewConfiguredKernel("n1", config, checker)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return &testSetup{checker: checker, kernel: k, connection: newTestConnection("n1", checker)}
}

// newTestConnection returns a proxied connection without sockets, for reports to the checker.
func newTestConnection(server string, checker *Checker) *proxiedConnection {
	connection := &proxiedConnection{FaultProxy: &FaultProxy{serverName: server, checker: checker}}
	checker.connectionOpened(connection)
	return connection
}

// recordSent records in the request log an RPC as if a client had sent it; nothing is sent.
func (s *testSetup) recordSent(callID, method, token string, body []byte, work float64) {
	s.checker.settings.Catalog.Add(callID, CatalogEntry{RPC: "rpc " + callID, Work: work})
	s.seq++
	s.checker.observeRequest(s.connection, request{header: header{kind: messageCall, name: "execute", seq: s.seq}, body: body,
		fields: map[string]string{"op": method, "call": callID, "dedupe": token, "heap": "10",
			"recv": fmt.Sprint(time.Now().UnixMilli()), "ttl": "10000"}}, nil)
}

// expectViolation checks that there is exactly one violation, of the rule and with the text in its description.
func (s *testSetup) expectViolation(t *testing.T, rule int, text string) {
	t.Helper()
	violations := s.checker.Violations()
	if len(violations) != 1 || violations[0].Rule != rule || !strings.Contains(violations[0].Description, text) {
		t.Errorf("violations: %v, want exactly one of rule %d with %q", violations, rule, text)
	}
}

// expectNoViolations checks that the checker has found no violation.
func (s *testSetup) expectNoViolations(t *testing.T) {
	t.Helper()
	if violations := s.checker.Violations(); len(violations) > 0 {
		t.Errorf("unexpected violations: %v", violations)
	}
}

// waitFor waits until a condition holds.
func waitFor(t *testing.T, what string, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("timed out waiting for %s", what)
		}
	}
}

// tryA and tryB are the call IDs of two tries.
const tryA, tryB = "00000000000000aa", "00000000000000bb"
