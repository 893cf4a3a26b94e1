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
	states
)

func (s state) owed() bool { return s >= queued && s <= calling }

// work is one open RPC.
type work struct {
	state                 state
	method, caller, tries int // tries of its call
	tenant                int
	short                 int     // the limit common to the fleet that it waits for, 0 for none
	arrival, asked        float64 // here, and of its first try, as far as is known
	due, kb               float64
	began, dialed         float64 // when it was started, and its call made
	extra, told           bool    // its call exceeds the whole part of the share; its caller sent its deadline
	reads                 bool    // others may share its answer
	leads                 int     // RPCs that share its answer
	wanted                float64 // the latest goodUntil among them
	key                   float64 // until when its token is remembered, 0 if it is not
}

// caller records when one caller last sent something and last had all answers, and its unanswered RPCs.
type caller struct {
	heard, idle float64
	out         int
}

// record is the recent history of a method: run times, arrivals, RPCs ok in time, and the age at which its
// callers gave up, with how many did so in a row.
type record struct {
	late      hist
	asked, ok float64
	patience  float64
	givenUp   int
}

// move makes every change of state and maintains the counts and lists that depend on it.
func (m *Module) move(i int, to state) {
	w := &m.rpcs[i]
	from := w.state
	m.count[from]--
	m.count[to]++
	m.kb += w.kb * (m.weight(to) - m.weight(from))
	if from.owed() && !to.owed() {
		if m.callers[w.caller].out--; m.callers[w.caller].out == 0 {
			m.callers[w.caller].idle = m.now
		}
	}
	w.state = to
	switch from {
	case absent:
		m.callers[w.caller].out++
	case queued:
		k := slices.Index(m.queue, i)
		m.queue = slices.Delete(m.queue, k, k+1)
	case paused:
		k := slices.Index(m.waiting, i)
		m.waiting = slices.Delete(m.waiting, k, k+1)
	}
	switch to {
	case queued:
		k := len(m.queue)
		for k > 0 && m.rpcs[m.queue[k-1]].arrival > w.arrival {
			k--
		}
		m.queue = slices.Insert(m.queue, k, i)
	case paused:
		m.waiting = append(m.waiting, i)
	case absent:
		m.do.Release(i)
	}
}

// weight is the memory of an RPC in a state, as a multiple of its size while queued.
func (m *Module) weight(s state) float64 {
	started := m.Machine.RunFactor
	return [states]float64{queued: 1, following: 1, running: started, paused: started, calling: started,
		orphaned: started, closing: started}[s]
}
