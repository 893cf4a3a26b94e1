package hollow

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// readPackets reads and handles the packets of one socket until Close.
func (sim *SimulatedMembers) readPackets(s *memberSocket) {
	buffer := make([]byte, 64<<10)
	for {
		n, from, err := s.packets.ReadFromUDPAddrPort(buffer)
		if err != nil {
			select {
			case <-sim.closed:
				return
			default:
				continue
			}
		}
		payload, err := decodeGossipPacket(buffer[:n])
		if err != nil {
			continue
		}
		for _, m := range splitMessages(payload) {
			sim.handleMessage(s, m, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// handleMessage handles one message of a real member. The size is that of the packet in bytes.
func (sim *SimulatedMembers) handleMessage(s *memberSocket, m []byte, size int, from netip.AddrPort) {
	if len(m) == 0 {
		return
	}
	switch m[0] {
	case msgPing:
		var ping pingMessage
		if decodeMessage(m[1:], &ping) == nil && sim.isUp(ping.Node) {
			sim.acknowledge(s, ping.SeqNo, ping.Node, from)
		}
	case msgIndirectPing:
		var ping indirectPingMessage
		if decodeMessage(m[1:], &ping) == nil && sim.isUp(ping.Node) {
			sim.acknowledge(s, ping.SeqNo, ping.Node, from)
		}
	case msgAck:
		sim.mu.Lock()
		sim.acks++
		sim.ackBytes += size
		sim.mu.Unlock()
	case msgAlive:
		var alive aliveMessage
		if decodeMessage(m[1:], &alive) == nil {
			sim.relayAlive(alive)
		}
	case msgSuspect, msgDead:
		var claim claimMessage
		if decodeMessage(m[1:], &claim) == nil {
			sim.refuteClaim(claim)
		}
	}
}

// isUp reports whether the node is a simulated member that has not failed.
func (sim *SimulatedMembers) isUp(node string) bool {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	k, known := sim.indexByNode[node]
	return known && !sim.members[k].down
}

// acknowledge answers a probe on behalf of the simulated member that it is addressed to.
func (sim *SimulatedMembers) acknowledge(s *memberSocket, sequenceNumber uint32, node string, to netip.AddrPort) {
	sim.mu.Lock()
	payload := sim.viewPayload(sim.indexByNode[node])
	sim.mu.Unlock()
	s.packets.WriteToUDPAddrPort(encodeGossipPacket(encodeMessage(msgAck, ackMessage{sequenceNumber, payload})), to)
}

// relayAlive schedules an alive message of a real member for all targets if it is newer than the last one.
func (sim *SimulatedMembers) relayAlive(alive aliveMessage) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	if _, simulated := sim.indexByNode[alive.Node]; simulated {
		return
	}
	if known, found := sim.realMembers[alive.Node]; found && known.Incarnation >= alive.Incarnation {
		return
	}
	if !slices.ContainsFunc(sim.targets, func(t *Target) bool { return strings.HasPrefix(alive.Node, t.Name+"~") }) {
		return // an earlier incarnation of a target
	}
	sim.realMembers[alive.Node] = alive
	sim.scheduleGossip(time.Now(), encodeMessage(msgAlive, alive), retransmitCount(sim.size))
}

// viewPayload returns the encoded view that simulated member k reports: that of one of the targets, nil if none is known. The
// caller must hold mu.
func (sim *SimulatedMembers) viewPayload(k int) []byte {
	for offset := range sim.targets {
		if t := sim.targets[(k+offset)%len(sim.targets)]; t.viewVersion > 0 {
			return encodeViewPayload(t.viewVersion, t.viewDigest)
		}
	}
	return nil
}

// refuteClaim makes a simulated member that is up refute a suspicion or a death by an alive message of a higher incarnation.
func (sim *SimulatedMembers) refuteClaim(claim claimMessage) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	k, known := sim.indexByNode[claim.Node]
	if !known || sim.members[k].down || sim.members[k].incarnation > claim.Incarnation {
		return
	}
	sim.members[k].incarnation = claim.Incarnation + 1
	sim.scheduleGossip(time.Now(), sim.aliveMessageOf(k), retransmitCount(sim.size))
}

// aliveMessageOf returns the encoded alive message of simulated member k. The caller must hold mu.
func (sim *SimulatedMembers) aliveMessageOf(k int) []byte {
	m := &sim.members[k]
	address := sim.sockets[m.socket].address
	return encodeMessage(msgAlive, aliveMessage{m.incarnation, nodeName(m.entry), address.Addr().AsSlice(), address.Port(),
		encodeMeta(m.entry), protocolVersions})
}

// spreadDuration is the time over which members retransmit a message that they have received.
const spreadDuration = time.Second

// scheduleGossip schedules the given number of copies of a message for each target, each at a random time after earliest. The
// caller must hold mu.
func (sim *SimulatedMembers) scheduleGossip(earliest time.Time, message []byte, copies int) {
	first := earliest.Add(200 * time.Millisecond)
	for _, t := range sim.targets {
		for range copies {
			t.pending = append(t.pending, timedMessage{first.Add(time.Duration(sim.random.Float64() * float64(spreadDuration))), message})
		}
	}
}

// runGossip sends the messages that are due in each gossip interval until Close.
func (sim *SimulatedMembers) runGossip() {
	tick := time.NewTicker(gossipInterval)
	defer tick.Stop()
	for {
		select {
		case <-sim.closed:
			return
		case now := <-tick.C:
			sim.mu.Lock()
			targets := slices.Clone(sim.targets)
			sim.mu.Unlock()
			for _, t := range targets {
				sim.sendPending(t, now)
			}
		}
	}
}

// sendPending sends a target the messages that are due, in as many packets as gossipFanout members would send.
func (sim *SimulatedMembers) sendPending(t *Target, now time.Time) {
	sim.mu.Lock()
	var ready [][]byte
	t.pending = slices.DeleteFunc(t.pending, func(m timedMessage) bool {
		if m.sendAt.After(now) {
			return false
		}
		ready = append(ready, m.message)
		return true
	})
	sim.mu.Unlock()
	perPacket := max((len(ready)+gossipFanout-1)/gossipFanout, 1)
	for len(ready) > 0 {
		packet, rest := packMessages(ready[:min(perPacket, len(ready))])
		ready = append(rest, ready[min(perPacket, len(ready)):]...)
		sim.sockets[sim.randomIndex(len(sim.sockets))].packets.WriteToUDPAddrPort(encodeGossipPacket(packet), t.Address)
	}
}

func (sim *SimulatedMembers) randomIndex(n int) int {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return sim.random.IntN(n)
}
