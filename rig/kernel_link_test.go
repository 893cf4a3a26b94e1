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
	t  *testing.T
	nc net.Conn
	in *bufio.Reader
}

// testNotice is one line of the kernel.
type testNotice struct {
	Action, UID, Code, Echo string
	Pos                     int
	Content                 []byte
	Meters                  []float64
}

// patienceOfTests bounds each wait of these tests.
const patienceOfTests = 10 * time.Second

// dialKernel connects and reads BOOTED.
func dialKernel(t *testing.T, k *Kernel, pos int) *testLink {
	t.Helper()
	nc, err := net.Dial("tcp", k.Address())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	l := &testLink{t: t, nc: nc, in: bufio.NewReader(nc)}
	l.say(`{"action":"OPEN","pos":%d}`, pos)
	if n := l.hear(); n.Action != "BOOTED" {
		t.Fatalf("%+v in place of BOOTED", n)
	}
	return l
}

func (l *testLink) say(format string, args ...any) {
	l.t.Helper()
	if _, err := fmt.Fprintf(l.nc, format+"\n", args...); err != nil {
		l.t.Fatal(err)
	}
}

func (l *testLink) sched(call, method string, body []byte) {
	l.t.Helper()
	l.say(`{"action":"SCHED","uid":"%s","lane":"%s","content":"%s"}`, call, method, base64.StdEncoding.EncodeToString(body))
}

// line reads one line as it is.
func (l *testLink) line() (string, error) {
	l.nc.SetReadDeadline(time.Now().Add(patienceOfTests))
	return l.in.ReadString('\n')
}

func (l *testLink) hear() (n testNotice) {
	l.t.Helper()
	line, err := l.line()
	if err != nil {
		l.t.Fatal(err)
	}
	if err := json.Unmarshal([]byte(line), &n); err != nil {
		l.t.Fatalf("%q: %v", line, err)
	}
	return n
}

// sync waits until all that was said before has been read, and returns the gauges.
func (l *testLink) sync(echo string) []float64 {
	l.t.Helper()
	l.say(`{"action":"SYSINFO","echo":"%s"}`, echo)
	for {
		if n := l.hear(); n.Action == "INFO" && n.Echo == echo {
			return n.Meters
		}
	}
}

// closed waits for the end of the link.
func (l *testLink) closed() {
	l.t.Helper()
	l.nc.SetReadDeadline(time.Now().Add(patienceOfTests))
	if _, err := io.Copy(io.Discard, l.in); errors.Is(err, os.ErrDeadlineExceeded) {
		l.t.Error("the link goes on")
	}
}

// testTrial is a checker that judges, and a kernel for one app server.
type testTrial struct {
	check  *Checker
	kernel *Kernel
	flow   *flow // of a client
	seq    int32
}

func newTestTrial(t *testing.T, config KernelConfig) *testTrial {
	t.Helper()
	c := NewChecker(50 * time.Millisecond)
	c.CheckServers(ServerSettings{Methods: map[string]MethodSettings{
		"read":   {Kind: rpc.Idempotent, Deadline: 10 * time.Second},
		"write":  {Kind: rpc.Tokened, Deadline: 10 * time.Second, Window: 20 * time.Second},
		"charge": {Kind: rpc.NonIdempotent, Deadline: 10 * time.Second},
	}})
	c.ProcessStarted("n1")
	config.Methods = []string{"read", "write", "charge"}
	config.Cores = max(config.Cores, 2)
	k, err := NewConfiguredKernel("n1", config, c)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(k.Close)
	return &testTrial{check: c, kernel: k, flow: newFlow("n1", c)}
}

// newFlow is a connection with no network.
func newFlow(server string, check *Checker) *flow {
	f := &flow{Net: &Net{server: server, check: check}}
	check.connectionOpened(f)
	return f
}

// sent has a client send an RPC, in the ledger only.
func (s *testTrial) sent(call, method, token string, body []byte, work float64) {
	s.check.settings.Catalog.Add(call, CatalogEntry{RPC: "rpc " + call, Work: work})
	s.seq++
	s.check.observeRequest(s.flow, request{header: header{kind: messageCall, name: "execute", seq: s.seq}, body: body,
		fields: map[string]string{"op": method, "call": call, "dedupe": token, "heap": "10",
			"recv": fmt.Sprint(time.Now().UnixMilli()), "ttl": "10000"}}, nil)
}

// one is the only violation so far, which has to say something.
func (s *testTrial) one(t *testing.T, rule int, what string) {
	t.Helper()
	all := s.check.Violations()
	if len(all) != 1 || all[0].Rule != rule || !strings.Contains(all[0].Description, what) {
		t.Errorf("%v, and not one violation of rule %d with %q", all, rule, what)
	}
}

func (s *testTrial) none(t *testing.T) {
	t.Helper()
	if all := s.check.Violations(); len(all) > 0 {
		t.Errorf("%v", all)
	}
}

// waitFor waits until something holds.
func waitFor(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(patienceOfTests); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("waited in vain for %s", what)
		}
	}
}

const tryA, tryB = "00000000000000aa", "00000000000000bb"
