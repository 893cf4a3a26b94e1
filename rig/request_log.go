package rig

import (
	"bytes"
	"fmt"
	"time"
)

// sentTry is one try of an RPC as a client sent it, with the state of its runs at the app server.
type sentTry struct {
	*tryState
	call      string
	method    string
	token     string
	body      []byte
	arrivedAt time.Time
	heapKB    float64
	entry     CatalogEntry

	lastRunAt time.Time // start of its last run; the zero time if it was never run
	running   bool      // also true while its run is paused
	results   [][]byte  // of its runs
}

// requestLog holds everything that clients have sent to one process since its start. It is guarded by the checker's lock.
type requestLog struct {
	byCall  map[string][]*sentTry
	byToken map[string][]*sentTry
	active  map[*sentTry]struct{} // held or running; settled tries are removed lazily

	connections   int
	recentReplies []recentReply // those of the last second
}

// recentReply is a reply that an app server sent.
type recentReply struct {
	at       time.Time
	duration time.Duration
	served   bool
}

func newRequestLog() *requestLog {
	return &requestLog{byCall: map[string][]*sentTry{}, byToken: map[string][]*sentTry{}, active: map[*sentTry]struct{}{}}
}

// add adds a try that a client has sent.
func (l *requestLog) add(s *sentTry) {
	l.byCall[s.call] = append(l.byCall[s.call], s)
	if s.token != "" {
		l.byToken[s.token] = append(l.byToken[s.token], s)
	}
	l.active[s] = struct{}{}
}

// find returns the try that a command names: the last one with this id, method and body that is not settled, or the last one
// if all are settled; nil if there is none.
func (l *requestLog) find(call, method string, body []byte) (found *sentTry) {
	for _, s := range l.byCall[call] {
		if s.method == method && bytes.Equal(s.body, body) && (found == nil || found.settled() || !s.settled()) {
			found = s
		}
	}
	return found
}

// siblings returns all tries of the same request, s included: those with its token, method and body.
func (l *requestLog) siblings(s *sentTry) []*sentTry {
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

// minHeldTime is how long a request that does not run is held before it counts against the memory.
const minHeldTime = 100 * time.Millisecond

// bookedKB returns the memory that all requests book now, in KB. A running request counts runFactor times its memory.
func (l *requestLog) bookedKB(now time.Time, runFactor float64) float64 {
	sum := 0.0
	for s := range l.active {
		switch {
		case s.running:
			sum += s.heapKB * runFactor
		case s.settled():
			delete(l.active, s)
		case now.Sub(s.sentAt) >= minHeldTime:
			sum += s.heapKB
		}
	}
	return sum
}

// addReply records a reply for the gauges and drops those older than a second.
func (l *requestLog) addReply(now time.Time, duration time.Duration, served bool) {
	l.recentReplies = append(l.recentReplies, recentReply{now, duration, served})
	expired := 0
	for expired < len(l.recentReplies) && now.Sub(l.recentReplies[expired].at) > time.Second {
		expired++
	}
	l.recentReplies = l.recentReplies[expired:]
}

// serverLoad holds the figures that the gauges report besides the use of cores.
type serverLoad struct {
	connections     int
	openRequests    int
	servedPerSecond float64
	failedPerSecond float64
	meanDuration    time.Duration
}

// load returns the load of the process at the given time.
func (l *requestLog) load(now time.Time) serverLoad {
	load := serverLoad{connections: l.connections}
	for s := range l.active {
		if !s.settled() {
			load.openRequests++
		}
	}
	sum := time.Duration(0)
	for _, recent := range l.recentReplies {
		switch {
		case now.Sub(recent.at) > time.Second:
		case recent.served:
			load.servedPerSecond++
			sum += recent.duration
		default:
			load.failedPerSecond++
		}
	}
	if load.servedPerSecond > 0 {
		load.meanDuration = sum / time.Duration(load.servedPerSecond)
	}
	return load
}

// String returns an identification of the try for violations.
func (s *sentTry) String() string { return fmt.Sprintf("%s of %s (%.40q)", s.call, s.id, s.method) }

// describeMismatch describes how a command differs from the try that was sent under its id.
func (l *requestLog) describeMismatch(call, method string, body []byte) string {
	sent := l.byCall[call]
	switch {
	case len(sent) == 0:
		return fmt.Sprintf("%.40q, an unknown id", call)
	case sent[0].method != method:
		return fmt.Sprintf("%s for method %.40q, sent for method %.40q", call, method, sent[0].method)
	}
	return fmt.Sprintf("%s with the body %.80q, sent with %.80q", call, body, sent[0].body)
}
