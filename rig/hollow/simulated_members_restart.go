package hollow

import (
	"time"

	"valveglade/logic/view"
)

// Restart simulates the restart of one member: the messages that the program sends, and those that its new process passes on about
// the members it has learnt of, as many of them to each target as of any message.
func (c *SimulatedMembers) Restart(k int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, times := time.Now(), retransmits(c.size)
	m := &c.members[k]
	if m.down {
		return
	}
	m.incarnation++
	m.entry.State = view.Leaving
	c.spread(now, c.aliveMessageOf(k), times)
	old := nodeName(m.entry)
	c.spread(now.Add(seconds(goneAfter)), encodeMessage(msgDead, claimMessage{m.incarnation, old, old}), times)
	c.newIncarnation(k)
	m.entry.State = view.Cold
	c.spread(now.Add(seconds(backAfter)), c.aliveMessageOf(k), times)
	m.incarnation, m.entry.State = 2, view.Serving
	c.spread(now.Add(seconds(servingAfter)), c.aliveMessageOf(k), times)
	for range times {
		c.spread(now.Add(time.Duration(c.random.Float64()*float64(spreadOver))), c.aliveMessageOf(c.random.IntN(len(c.members))), 1)
	}
}

// newIncarnation gives a member another incarnation. The lock is held.
func (c *SimulatedMembers) newIncarnation(k int) {
	m := &c.members[k]
	m.entry.Incarnation.Number++
	m.entry.Incarnation.Nonce += 1 << 16
	m.incarnation, m.down = 1, false
	c.byNode[nodeName(m.entry)] = k
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Fail has some members die at one time: they answer no more, two others suspect each, and it is declared dead after the timeout.
func (c *SimulatedMembers) Fail(first, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, times := time.Now(), retransmits(c.size)
	for k := first; k < first+count; k++ {
		m := &c.members[k]
		m.down = true
		node := nodeName(m.entry)
		found := now.Add(probeEvery/2 + time.Duration(c.random.Float64()*2*float64(probeEvery)))
		for accuser := range 2 {
			from := nodeName(c.members[(first+count+k+accuser)%len(c.members)].entry)
			c.spread(found, encodeMessage(msgSuspect, claimMessage{m.incarnation, node, from}), times)
		}
		from := nodeName(c.members[(first+count+k)%len(c.members)].entry)
		c.spread(found.Add(suspicionTimeout(c.size)), encodeMessage(msgDead, claimMessage{m.incarnation, node, from}), times)
	}
}

// Recover has lost members come back with new processes that serve at once.
func (c *SimulatedMembers) Recover(first, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := first; k < first+count; k++ {
		c.newIncarnation(k)
		c.spread(time.Now().Add(time.Duration(c.random.Float64()*float64(time.Second))), c.aliveMessageOf(k), retransmits(c.size))
	}
}
