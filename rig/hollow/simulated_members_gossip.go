package hollow

import (
	"net/netip"
	"slices"
	"strings"
	"time"
)

// readPackets answers what arrives on one socket until the crowd is closed.
func (c *SimulatedMembers) readPackets(s *crowdSocket) {
	b := make([]byte, 64<<10)
	for {
		n, from, err := s.packets.ReadFromUDPAddrPort(b)
		if err != nil {
			select {
			case <-c.closed:
				return
			default:
				continue
			}
		}
		payload, err := openGossip(b[:n])
		if err != nil {
			continue
		}
		for _, m := range messages(payload) {
			c.handleMessage(s, m, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// handleMessage handles one message of a real member.
func (c *SimulatedMembers) handleMessage(s *crowdSocket, m []byte, size int, from netip.AddrPort) {
	if len(m) == 0 {
		return
	}
	switch m[0] {
	case msgPing:
		var ping pingMessage
		if decodeMessage(m[1:], &ping) == nil && c.isUp(ping.Node) {
			c.acknowledge(s, ping.SeqNo, ping.Node, from)
		}
	case msgIndirectPing:
		var ping indirectPingMessage
		if decodeMessage(m[1:], &ping) == nil && c.isUp(ping.Node) {
			c.acknowledge(s, ping.SeqNo, ping.Node, from)
		}
	case msgAck:
		c.mu.Lock()
		c.acks++
		c.ackSize += size
		c.mu.Unlock()
	case msgAlive:
		var alive aliveMessage
		if decodeMessage(m[1:], &alive) == nil {
			c.learn(alive)
		}
	case msgSuspect, msgDead:
		var claim claimMessage
		if decodeMessage(m[1:], &claim) == nil {
			c.refute(claim)
		}
	}
}

func (c *SimulatedMembers) isUp(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, known := c.byNode[node]
	return known && !c.members[k].down
}

func (c *SimulatedMembers) acknowledge(s *crowdSocket, number uint32, node string, to netip.AddrPort) {
	c.mu.Lock()
	payload := c.viewPayload(c.byNode[node])
	c.mu.Unlock()
	s.packets.WriteToUDPAddrPort(sealGossip(encodeMessage(msgAck, ackMessage{number, payload})), to)
}

// learn passes on the alive message of a real member, if it is newer than the last.
func (c *SimulatedMembers) learn(alive aliveMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ours := c.byNode[alive.Node]; ours {
		return
	}
	if known, there := c.others[alive.Node]; there && known.Incarnation >= alive.Incarnation {
		return
	}
	if !slices.ContainsFunc(c.targets, func(t *Target) bool { return strings.HasPrefix(alive.Node, t.Name+"~") }) {
		return // a former incarnation of a target
	}
	c.others[alive.Node] = alive
	c.spread(time.Now(), encodeMessage(msgAlive, alive), retransmits(c.size))
}

// viewPayload returns the view that a member of the crowd reports: that of one of the targets. The lock is held.
func (c *SimulatedMembers) viewPayload(k int) []byte {
	for offset := range c.targets {
		if t := c.targets[(k+offset)%len(c.targets)]; t.version > 0 {
			return echoPayload(t.version, t.digest)
		}
	}
	return nil
}

// refute has a member of the crowd refute a suspicion.
func (c *SimulatedMembers) refute(claim claimMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, known := c.byNode[claim.Node]
	if !known || c.members[k].down || c.members[k].incarnation > claim.Incarnation {
		return
	}
	c.members[k].incarnation = claim.Incarnation + 1
	c.spread(time.Now(), c.aliveMessageOf(k), retransmits(c.size))
}

// aliveMessageOf returns the alive message of a member. The lock is held.
func (c *SimulatedMembers) aliveMessageOf(k int) []byte {
	m := &c.members[k]
	at := c.sockets[m.socket].address
	return encodeMessage(msgAlive, aliveMessage{m.incarnation, nodeName(m.entry), at.Addr().AsSlice(), at.Port(), meta(m.entry), protocolVersions})
}

// spreadOver is the time over which members pass a message on after it arrived.
const spreadOver = time.Second

// spread schedules a message to reach each target a number of times, at random times of its own. The lock is held.
func (c *SimulatedMembers) spread(from time.Time, message []byte, times int) {
	first := from.Add(200 * time.Millisecond)
	for _, t := range c.targets {
		for range times {
			t.due = append(t.due, timedMessage{first.Add(time.Duration(c.random.Float64() * float64(spreadOver))), message})
		}
	}
}

// gossip sends what is due, in rounds.
func (c *SimulatedMembers) gossip() {
	tick := time.NewTicker(gossipEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.closed:
			return
		case now := <-tick.C:
			c.mu.Lock()
			targets := slices.Clone(c.targets)
			c.mu.Unlock()
			for _, t := range targets {
				c.sendDue(t, now)
			}
		}
	}
}

// sendDue sends one target the messages that are due, in as many packets as gossipNodes members would send.
func (c *SimulatedMembers) sendDue(t *Target, now time.Time) {
	c.mu.Lock()
	var ready [][]byte
	t.due = slices.DeleteFunc(t.due, func(m timedMessage) bool {
		if m.at.After(now) {
			return false
		}
		ready = append(ready, m.message)
		return true
	})
	c.mu.Unlock()
	part := max((len(ready)+gossipNodes-1)/gossipNodes, 1)
	for len(ready) > 0 {
		packet, rest := compound(ready[:min(part, len(ready))])
		ready = append(rest, ready[min(part, len(ready)):]...)
		c.sockets[c.randomIndex(len(c.sockets))].packets.WriteToUDPAddrPort(sealGossip(packet), t.Address)
	}
}

func (c *SimulatedMembers) randomIndex(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}
