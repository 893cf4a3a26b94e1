package hollow

import (
	"slices"
	"time"
)

// drainPings is the number of probes in a millisecond that drain a target's queue: each answer carries some queued messages.
const drainPings = 1

// probe sends each target one probe in every interval, and many while queues are drained.
func (c *SimulatedMembers) probe() {
	next := time.Now()
	for number := uint32(1); ; number++ {
		c.mu.Lock()
		fast := c.fast
		targets := slices.Clone(c.targets)
		c.mu.Unlock()
		select {
		case <-c.closed:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if !fast && time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(probeEvery)
		times := 1
		if fast {
			times = 2 * drainPings
		}
		for _, t := range targets {
			for range times {
				c.ping(t, number)
			}
		}
	}
}

func (c *SimulatedMembers) ping(t *Target, number uint32) {
	c.mu.Lock()
	s, node := c.sockets[c.random.IntN(len(c.sockets))], t.NodeName
	c.mu.Unlock()
	if node == "" {
		return
	}
	message := encodeMessage(msgPing, pingMessage{SeqNo: number, Node: node, SourceAddr: s.address.Addr().AsSlice(),
		SourcePort: s.address.Port(), SourceNode: "crowd"})
	s.packets.WriteToUDPAddrPort(sealGossip(message), t.Address)
}

// drainedAck is the mean size in bytes up to which answers to probes show that members have nothing more to pass on.
const drainedAck = 250

// Drain empties the queues that joining has filled at the targets, through answers to many probes, and reports whether this was
// done in time. It only shortens what the program does by itself at three packets a round.
func (c *SimulatedMembers) Drain(within time.Duration) bool {
	c.mu.Lock()
	c.fast = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.fast = false
		c.mu.Unlock()
	}()
	for until := time.Now().Add(within); time.Now().Before(until); {
		c.mu.Lock()
		c.acks, c.ackSize = 0, 0
		c.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		c.mu.Lock()
		drained := c.acks > 10 && c.ackSize < drainedAck*c.acks
		c.mu.Unlock()
		if drained {
			return true
		}
	}
	return false
}
