package rig

import (
	"bytes"
	"fmt"
	"time"
)

// sentTry is one RPC as a client sent it, and what has become of it at the app server.
type sentTry struct {
	*tryState
	call   string
	method string
	token  string
	body   []byte
	recv   time.Time
	heapKB float64
	entry  CatalogEntry

	ran     time.Time // when its last run began, the zero time for never
	running bool      // paused counts too
	results [][]byte  // that runs of it have made
}

// ledger is all that clients have sent to one process since its start. It is guarded by the checker's lock.
type ledger struct {
	byCall  map[string][]*sentTry
	byToken map[string][]*sentTry
	live    map[*sentTry]struct{} // held or running, perhaps some more

	connections int
	answers     []ledgerAnswer // of the last second
}

// ledgerAnswer is one that an app server gave.
type ledgerAnswer struct {
	at   time.Time
	took time.Duration
	good bool
}

func newLedger() *ledger {
	return &ledger{byCall: map[string][]*sentTry{}, byToken: map[string][]*sentTry{}, live: map[*sentTry]struct{}{}}
}

func (l *ledger) add(s *sentTry) {
	l.byCall[s.call] = append(l.byCall[s.call], s)
	if s.token != "" {
		l.byToken[s.token] = append(l.byToken[s.token], s)
	}
	l.live[s] = struct{}{}
}

// find is the try that a command names: of those under its id with its method and body the last that is not over.
func (l *ledger) find(call, method string, body []byte) (found *sentTry) {
	for _, s := range l.byCall[call] {
		if s.method == method && bytes.Equal(s.body, body) && (found == nil || found.settled() || !s.settled()) {
			found = s
		}
	}
	return found
}

// siblings are all tries of one request, itself among them: those with its token, method and body.
func (l *ledger) siblings(s *sentTry) []*sentTry {
	if s.token == "" {
		return []*sentTry{s}
	}
	var all []*sentTry
	for _, other := range l.byToken[s.token] {
		if other.method == s.method && bytes.Equal(other.body, s.body) {
			all = append(all, other)
		}
	}
	return all
}

// heldAfter is when a request that does not run counts against the memory.
const heldAfter = 100 * time.Millisecond

// bookedKB is the memory that all requests book now.
func (l *ledger) bookedKB(now time.Time, runFactor float64) float64 {
	sum := 0.0
	for s := range l.live {
		switch {
		case s.running:
			sum += s.heapKB * runFactor
		case s.settled():
			delete(l.live, s)
		case now.Sub(s.sentAt) >= heldAfter:
			sum += s.heapKB
		}
	}
	return sum
}

// answered takes note of an answer, for the gauges.
func (l *ledger) answered(now time.Time, took time.Duration, good bool) {
	l.answers = append(l.answers, ledgerAnswer{now, took, good})
	old := 0
	for old < len(l.answers) && now.Sub(l.answers[old].at) > time.Second {
		old++
	}
	l.answers = l.answers[old:]
}

// serverLoad is what the gauges tell beside the cores.
type serverLoad struct {
	connections     int
	open            int
	servedPerSecond float64
	failedPerSecond float64
	recent          time.Duration
}

func (l *ledger) load(now time.Time) serverLoad {
	load := serverLoad{connections: l.connections}
	for s := range l.live {
		if !s.settled() {
			load.open++
		}
	}
	sum := time.Duration(0)
	for _, a := range l.answers {
		switch {
		case now.Sub(a.at) > time.Second:
		case a.good:
			load.servedPerSecond++
			sum += a.took
		default:
			load.failedPerSecond++
		}
	}
	if load.servedPerSecond > 0 {
		load.recent = sum / time.Duration(load.servedPerSecond)
	}
	return load
}

// String names a try in a violation.
func (s *sentTry) String() string { return fmt.Sprintf("%s of %s (%.40q)", s.call, s.id, s.method) }

// altered says how a command differs from what was sent under its id.
func (l *ledger) altered(call, method string, body []byte) string {
	sent := l.byCall[call]
	switch {
	case len(sent) == 0:
		return fmt.Sprintf("%.40q, an id that none has", call)
	case sent[0].method != method:
		return fmt.Sprintf("%s in class %.40q, sent in %.40q", call, method, sent[0].method)
	}
	return fmt.Sprintf("%s with the body %.80q, sent with %.80q", call, body, sent[0].body)
}
