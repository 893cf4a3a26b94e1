package hollow

import (
	"slices"
	"time"
)

// drainProbesPerMillisecond is the rate of probes that drain a target's gossip queue: each answer carries some queued messages.
const drainProbesPerMillisecond = 1

// runProbes sends each target one probe per interval, and many while queues are drained, until Close.
func (sim *SimulatedMembers) runProbes() {
	nextProbe := time.Now()
	for sequenceNumber := uint32(1); ; sequenceNumber++ {
		sim.mu.Lock()
		draining := sim.draining
		targets := slices.Clone(sim.targets)
		sim.mu.Unlock()
		select {
		case <-sim.closed:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if !draining && time.Now().Before(nextProbe) {
			continue
		}
		nextProbe = time.Now().Add(probeInterval)
		count := 1
		if draining {
			count = 2 * drainProbesPerMillisecond
		}
		for _, t := range targets {
			for range count {
				sim.sendPing(t, sequenceNumber)
			}
		}
	}
}

// sendPing sends a target a probe from a random socket, unless the target's node name is not known yet.
func (sim *SimulatedMembers) sendPing(t *Target, sequenceNumber uint32) {
	sim.mu.Lock()
	s, node := sim.sockets[sim.random.IntN(len(sim.sockets))], t.NodeName
	sim.mu.Unlock()
	if node == "" {
		return
	}
	message := encodeMessage(msgPing, pingMessage{SeqNo: sequenceNumber, Node: node, SourceAddr: s.address.Addr().AsSlice(),
		SourcePort: s.address.Port(), SourceNode: "crowd"})
	s.packets.WriteToUDPAddrPort(encodeGossipPacket(message), t.Address)
}

// maxDrainedAckBytes is the mean size in bytes of answers to probes up to which the targets have no more queued gossip.
const maxDrainedAckBytes = 250

// Drain empties the gossip queues that joining has filled at the targets, by answers to many probes, and reports whether they
// were empty before the timeout. It only speeds up what the program does by itself at three packets per gossip round.
func (sim *SimulatedMembers) Drain(timeout time.Duration) bool {
	sim.mu.Lock()
	sim.draining = true
	sim.mu.Unlock()
	defer func() {
		sim.mu.Lock()
		sim.draining = false
		sim.mu.Unlock()
	}()
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); {
		sim.mu.Lock()
		sim.acks, sim.ackBytes = 0, 0
		sim.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		sim.mu.Lock()
		drained := sim.acks > 10 && sim.ackBytes < maxDrainedAckBytes*sim.acks
		sim.mu.Unlock()
		if drained {
			return true
		}
	}
	return false
}
