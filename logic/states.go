package logic

import "slices"

// The states of an RPC, and the records of RPCs, callers and methods.

// state is the state of an RPC; only move changes it.
type state uint8

const (
	absent    state = iota // the index is free
	queued                 // read, not started
	following              // waits for the outcome of the RPC that it repeats
	running                // started and not answered
	paused                 // started, off the cores until it may make its call
	calling                // started, off the cores until its call ends
	orphaned               // needs no answer any more, its work is still on the cores
	closing                // needs no answer any more, its call is being ended
	stateCount
)

func (s state) pending() bool { return s >= queued && s <= calling }

// request is one open RPC.
type request struct {
	state                     state
	method, caller, callTries int // tries of its call
	tenant                    int
	sharedLimit               int     // the limit common to the fleet that it waits for, 0 for none
	arrival, firstAttempt     float64 // here, and of its first try, as far as is known
	deadline, sizeKB          float64
	runStarted, callStarted   float64 // when it was started, and its call made
	extraCall, deadlineSent   bool    // its call exceeds the whole part of the share; its caller sent its deadline
	shareable                 bool    // others may share its answer
	followers                 int     // RPCs that share its answer
	wantedUntil               float64 // the latest goodUntil among them
	tokenExpiry               float64 // until when its token is remembered, 0 if it is not
}

// callerState records when one callerState last sent something and last had all answers, and its unanswered RPCs.
type callerState struct {
	lastArrival, idleSince float64
	outstanding            int
}

// methodStats is the recent history of a method: run times, arrivals, RPCs ok in time, and the age at which its
// callers gave up, with how many did so in a row.
type methodStats struct {
	runTimes     histogram
	arrivals, ok float64
	giveUpAge    float64
	giveUps      int
}

// move makes every change of state and maintains the counts and lists that depend on it.
func (m *Module) move(i int, to state) {
	w := &m.rpcs[i]
	from := w.state
	m.count[from]--
	m.count[to]++
	m.rpcKB += w.sizeKB * (m.memoryFactor(to) - m.memoryFactor(from))
	if from.pending() && !to.pending() {
		if m.callers[w.caller].outstanding--; m.callers[w.caller].outstanding == 0 {
			m.callers[w.caller].idleSince = m.now
		}
	}
	w.state = to
	switch from {
	case absent:
		m.callers[w.caller].outstanding++
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
		for k > 0 && m.rpcs[m.queue[k-1]].arrival > w.arrival {
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
