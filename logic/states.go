package logic

import "slices"

// The states of an RPC, and what is kept of it, of callers and of methods.

// state is where an RPC stands; only move changes it.
type state uint8

const (
	absent    state = iota // not in hand
	queued                 // read, not started
	following              // waits for the outcome of the RPC that it repeats
	running                // started, an answer is owed
	paused                 // started, off the cores until it may place its call
	calling                // started, off the cores until its call ends
	orphaned               // no answer is owed any more, its work is still on the cores
	closing                // no answer is owed any more, its call is being wound up
	states
)

func (s state) owed() bool { return s >= queued && s <= calling }

// work is one RPC in hand.
type work struct {
	state                 state
	method, caller, tries int // tries of the call in need
	tenant                int
	short                 int     // the limit common to the fleet that it waits for, 0 for none
	arrival, asked        float64 // here, and its first try, as far as can be told
	due, kb               float64
	began, dialed         float64 // when it was started, and its call placed
	extra, told           bool    // its call is past the whole part of the share; its caller told its due
	reads                 bool    // others may share its answer
	leads                 int     // RPCs that came to share it
	wanted                float64 // until when the last of them wants it
	key                   float64 // until when its token is remembered, 0 if it is not
}

// caller is when one caller last sent something and last had all its answers, and its unanswered RPCs here.
type caller struct {
	heard, idle float64
	out         int
}

// record is what has been seen of a method of late: run times, arrivals, ok in time, and the age at which its
// RPCs have been given up on, how many times running.
type record struct {
	late      hist
	asked, ok float64
	patience  float64
	givenUp   int
}

// move makes every change of state and keeps the counts and lists that hang on it.
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

// weight is how many times its queued size an RPC takes.
func (m *Module) weight(s state) float64 {
	started := m.Machine.RunFactor
	return [states]float64{queued: 1, following: 1, running: started, paused: started, calling: started,
		orphaned: started, closing: started}[s]
}
