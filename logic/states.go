package logic

import "slices"

// The states of RPCs, and what is recorded of RPCs, callers and methods.

// state is the state of an RPC; only move changes it.
type state uint8

const (
	absent    state = iota // the index is free
	queued                 // read, not started
	following              // waits for the outcome of the RPC that it repeats
	running                // started and not answered
	paused                 // started, off the cores until it may make its call
	calling                // started, off the cores until its call ends
	orphaned               // answered or abandoned, its work is still on the cores
	closing                // answered or abandoned, its call is being ended
	stateCount
)

// pending reports whether the RPC still needs an answer.
func (s state) pending() bool { return s >= queued && s <= calling }

// request is one open RPC. Times are in seconds on the module's clock.
type request struct {
	state        state
	method       int // index in Settings.Methods
	caller       int
	callTries    int // tries of its current call
	tenant       int
	sharedLimit  int     // the limit shared by several app servers that it waits for, 0 for none
	arrival      float64 // when it arrived at the machine
	firstAttempt float64 // when its first attempt arrived at an app server, as far as is known
	deadline     float64 // when it must be answered, less a margin
	sizeKB       float64
	runStarted   float64
	callStarted  float64
	extraCall    bool    // its call exceeds the whole part of the share
	deadlineSent bool    // its caller sent its deadline
	shareable    bool    // other RPCs may share its answer
	followers    int     // RPCs that share its answer
	wantedUntil  float64 // the latest fullValueUntil among its followers
	tokenExpiry  float64 // when its token expires, 0 if the token is not remembered
}

// callerState is what the module knows of one caller.
type callerState struct {
	lastArrival float64
	idleSince   float64 // when it last had all its answers
	outstanding int     // RPCs without an answer
}

// methodStats is the recent history of a method.
type methodStats struct {
	runTimes  histogram
	arrivals  float64
	ok        float64 // RPCs that were ok in time
	giveUpAge float64 // age of an RPC at which its callers give up
	giveUps   int     // how many callers in a row gave up at about that age
}

// move changes the state of an RPC and maintains the counts and lists that depend on it. All changes of
// state go through it.
func (m *Module) move(i int, to state) {
	req := &m.rpcs[i]
	from := req.state
	m.count[from]--
	m.count[to]++
	m.rpcKB += req.sizeKB * (m.memoryFactor(to) - m.memoryFactor(from))
	if from.pending() && !to.pending() {
		if m.callers[req.caller].outstanding--; m.callers[req.caller].outstanding == 0 {
			m.callers[req.caller].idleSince = m.now
		}
	}
	req.state = to
	switch from {
	case absent:
		m.callers[req.caller].outstanding++
	case queued:
		k := slices.Index(m.queue, i)
		m.queue = slices.Delete(m.queue, k, k+1)
	case paused:
		k := slices.Index(m.callQueue, i)
		m.callQueue = slices.Delete(m.callQueue, k, k+1)
	}
	switch to {
	case queued:
		k := len(m.queue)
		for k > 0 && m.rpcs[m.queue[k-1]].arrival > req.arrival {
			k--
		}
		m.queue = slices.Insert(m.queue, k, i)
	case paused:
		m.callQueue = append(m.callQueue, i)
	case absent:
		m.actions.Release(i)
	}
}

// memoryFactor is the memory of an RPC in a state, as a multiple of its size while queued.
func (m *Module) memoryFactor(s state) float64 {
	started := m.Machine.RunFactor
	return [stateCount]float64{queued: 1, following: 1, running: started, paused: started, calling: started,
		orphaned: started, closing: started}[s]
}
