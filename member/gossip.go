package member

import (
	"context"
	"fmt"
	"io"
	"log"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"

	"valveglade/logic/view"
)

// gossip is one run of the memberlist library, until it is restarted.
type gossip struct {
	*memberlist.Memberlist
	m         *Member
	transport *transport
	announced atomic.Pointer[string] // what the library announces of ourselves
}

// announcedState returns what the library announces of this process, empty before the first announcement.
func (g *gossip) announcedState() string {
	if meta := g.announced.Load(); meta != nil {
		return *meta
	}
	return ""
}

// Parameters of the library that differ from its defaults for a local network. Ratios are relative to the probe
// interval.
const (
	probeTimeoutRatio       = 0.5  // then other members are asked to probe indirectly
	suspicionMult           = 3    // times log10 of the fleet's size: the time in which a suspicion can be refuted
	suspicionMaxTimeoutMult = 3    // times that, while no other member confirms the suspicion
	gossipIntervalRatio     = 0.35 // between two gossip rounds: a suspicion reaches all members before a second probe
	exchangeInterval        = 12 * time.Second
	streamTimeout           = time.Second // for connects and exchanges: bounds attempts at unreachable addresses
	gossipToTheDeadTime     = 20 * time.Second
)

// startGossip starts the library without any known member.
func (m *Member) startGossip() error {
	g := &gossip{m: m, transport: m.wire.newTransport(m.config.Advertise)}
	c := memberlist.DefaultLANConfig()
	e := m.machine.Entry()
	c.Name = nodeName(e.Name, e.Incarnation.Nonce)
	c.Transport = g.transport
	c.ProbeInterval = m.config.ProbeInterval
	c.ProbeTimeout = time.Duration(float64(m.config.ProbeInterval) * probeTimeoutRatio)
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicionMult, suspicionMaxTimeoutMult
	c.GossipInterval = time.Duration(float64(m.config.ProbeInterval) * gossipIntervalRatio)
	c.GossipToTheDeadTime = gossipToTheDeadTime
	c.PushPullInterval = exchangeInterval
	c.TCPTimeout = streamTimeout
	// The library probes more slowly the more of its probes fail. On the smaller side of a partition most fail, and
	// dead members would be detected too late; a process that is late itself suspects nobody here anyway.
	c.AwarenessMaxMultiplier = 2
	c.EnableCompression = false // incoming messages are checked, see inspect.go
	c.UDPBufferSize = maxPacket - packetHeaderSize
	c.Delegate, c.Events, c.Ping, c.Alive = g, g, g, g
	c.Logger = log.New(io.Discard, "", 0) // operators need only what package member logs itself
	m.wire.transport.Store(g.transport)
	list, err := memberlist.Create(c)
	if err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	g.Memberlist = list
	m.gossip.Store(g)
	return nil
}

// stopGossip stops the library without sending a leave message.
func (m *Member) stopGossip() {
	m.wire.transport.Store(nil)
	if g := m.gossip.Swap(nil); g != nil {
		g.Shutdown()
	}
}

// leaveTimeout bounds the time until a leave message has reached one member, from which it spreads to others.
const leaveTimeout = 300 * time.Millisecond

// leave announces to the others that this member leaves, and stops gossip.
func (m *Member) leave() {
	if g := m.gossip.Load(); g != nil {
		m.wire.heartbeat()
		g.Leave(leaveTimeout)
		m.wire.heartbeat()
		time.Sleep(2 * time.Duration(float64(m.config.ProbeInterval)*gossipIntervalRatio))
	}
	m.stopGossip()
}

// announceInterval is the minimum time between two announcements of our own entry: each costs a message to every
// member.
const announceInterval = 300 * time.Millisecond

// announce broadcasts our own entry when it has changed.
func (m *Member) announce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.announceDue:
		}
		// The library loses an update that coincides with its refutation of a suspicion: it keeps announcing the
		// previous entry, and is updated again. An update that is only sent slowly, as under heavy gossip, is not
		// repeated.
		if g := m.gossip.Load(); g != nil && g.announcedState() != string(g.NodeMeta(0)) {
			g.UpdateNode(announceInterval)
			if g.announcedState() != string(g.NodeMeta(0)) {
				notify(m.announceDue)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(announceInterval):
		}
	}
}

// handleNode forwards what the library reports of a node to the machine, unless gossip has been restarted since.
func (g *gossip) handleNode(kind view.EventKind, n *memberlist.Node) {
	if g.m.wire.transport.Load() != g.transport {
		return
	}
	e, err := readEntry(n.Meta)
	if err != nil {
		return
	}
	if own := g.m.entry.Load(); n.Name == nodeName(own.Name, own.Incarnation.Nonce) {
		meta := string(n.Meta)
		g.announced.Store(&meta)
		return
	}
	at, _ := netip.AddrFromSlice(n.Addr)
	e.Address = netip.AddrPortFrom(at.Unmap(), n.Port).String()
	if kind == view.Dead && e.State >= view.Leaving {
		kind = view.Leave
	}
	g.m.enqueue(view.Event{Kind: kind, Entry: e})
}

// NotifyJoin, NotifyUpdate and NotifyLeave receive the library's reports of other nodes.
func (g *gossip) NotifyJoin(n *memberlist.Node)   { g.handleNode(view.Alive, n) }
func (g *gossip) NotifyUpdate(n *memberlist.Node) { g.handleNode(view.Alive, n) }
func (g *gossip) NotifyLeave(n *memberlist.Node)  { g.handleNode(view.Dead, n) }

// NotifyAlive checks an entry once more before the library accepts it.
func (g *gossip) NotifyAlive(n *memberlist.Node) error {
	return g.m.wire.checkMember(n.Name, 0, n.Addr, n.Port, n.Meta, []uint8{n.PMin, n.PMax, n.PCur, n.DMin, n.DMax, n.DCur})
}

// AckPayload returns the version and digest of our view, which the answer to a probe carries.
func (g *gossip) AckPayload() []byte { return appendViewDigest(nil, g.m.View()) }

// NotifyPingComplete reads the version and digest of a peer's view from its answer to a probe.
func (g *gossip) NotifyPingComplete(n *memberlist.Node, _ time.Duration, payload []byte) {
	e, err := readEntry(n.Meta)
	version, digest, ok := readViewDigest(payload)
	if err == nil && ok {
		g.m.enqueue(view.Event{Kind: view.PeerDigest, Name: e.Name, Version: version, Digest: digest})
	}
}

// NodeMeta returns our own entry as it is announced.
func (g *gossip) NodeMeta(int) []byte { return appendEntry(nil, *g.m.entry.Load()) }

// NotifyMsg, GetBroadcasts, LocalState and MergeRemoteState are not used.
func (g *gossip) NotifyMsg([]byte)                { /* not used */ }
func (g *gossip) GetBroadcasts(int, int) [][]byte { return nil }
func (g *gossip) LocalState(bool) []byte          { return nil }
func (g *gossip) MergeRemoteState([]byte, bool)   { /* not used */ }

// Stats counts datagrams sent and received with their bytes, and what was dropped. Streams are not counted among the
// packets.
type Stats struct {
	SentPackets int64
	SentBytes   int64
	GotPackets  int64
	GotBytes    int64
	Dropped     map[string]int64 // packets and streams by cause, see causeNames
}

// Stats returns the counters since the start of the member.
func (m *Member) Stats() Stats {
	w := m.wire
	c := Stats{w.sent.packets.Load(), w.sent.bytes.Load(), w.received.packets.Load(), w.received.bytes.Load(),
		map[string]int64{}}
	for k := range causeCount {
		if n := w.dropCounts[k].Load(); n > 0 {
			c.Dropped[causeNames[k]] = n
		}
	}
	return c
}
