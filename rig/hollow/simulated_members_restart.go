package hollow

import (
	"time"

	"valveglade/logic/view"
)

// Restart simulates the restart of member k: the messages that the program sends, and those that its new process retransmits
// about the members that it has learned of. Each target receives as many of the latter as copies of any other message.
func (sim *SimulatedMembers) Restart(k int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now, copies := time.Now(), retransmitCount(sim.size)
	m := &sim.members[k]
	if m.down {
		return
	}
	m.incarnation++
	m.entry.State = view.Leaving
	sim.scheduleGossip(now, sim.aliveMessageOf(k), copies)
	oldNode := nodeName(m.entry)
	sim.scheduleGossip(now.Add(seconds(leaveAfterSeconds)), encodeMessage(msgDead,
		claimMessage{m.incarnation, oldNode, oldNode}), copies)
	sim.startNewIncarnation(k)
	m.entry.State = view.Cold
	sim.scheduleGossip(now.Add(seconds(returnAfterSeconds)), sim.aliveMessageOf(k), copies)
	m.incarnation, m.entry.State = 2, view.Serving
	sim.scheduleGossip(now.Add(seconds(servingAfterSeconds)), sim.aliveMessageOf(k), copies)
	for range copies {
		sim.scheduleGossip(now.Add(time.Duration(sim.random.Float64()*float64(spreadDuration))),
			sim.aliveMessageOf(sim.random.IntN(len(sim.members))), 1)
	}
}

// startNewIncarnation gives simulated member k a new incarnation, which is up. The caller must hold mu.
func (sim *SimulatedMembers) startNewIncarnation(k int) {
	m := &sim.members[k]
	m.entry.Incarnation.Number++
	m.entry.Incarnation.Nonce += 1 << 16
	m.incarnation, m.down = 1, false
	sim.indexByNode[nodeName(m.entry)] = k
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Fail makes count members, from number first on, fail at the same time: they stop answering, two other members suspect each of
// them, and it is declared dead after the suspicion timeout.
func (sim *SimulatedMembers) Fail(first, count int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	now, copies := time.Now(), retransmitCount(sim.size)
	for k := first; k < first+count; k++ {
		m := &sim.members[k]
		m.down = true
		node := nodeName(m.entry)
		detectedAt := now.Add(probeInterval/2 + time.Duration(sim.random.Float64()*2*float64(probeInterval)))
		for accuser := range 2 {
			from := nodeName(sim.members[(first+count+k+accuser)%len(sim.members)].entry)
			sim.scheduleGossip(detectedAt, encodeMessage(msgSuspect, claimMessage{m.incarnation, node, from}), copies)
		}
		from := nodeName(sim.members[(first+count+k)%len(sim.members)].entry)
		sim.scheduleGossip(detectedAt.Add(suspicionTimeout(sim.size)),
			encodeMessage(msgDead, claimMessage{m.incarnation, node, from}), copies)
	}
}

// Recover brings count failed members, from number first on, back as new processes that serve at once.
func (sim *SimulatedMembers) Recover(first, count int) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for k := first; k < first+count; k++ {
		sim.startNewIncarnation(k)
		sim.scheduleGossip(time.Now().Add(time.Duration(sim.random.Float64()*float64(time.Second))), sim.aliveMessageOf(k),
			retransmitCount(sim.size))
	}
}
