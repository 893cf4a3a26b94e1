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

// gossip is one run of the library, until it is started anew.
type gossip struct {
	*memberlist.Memberlist
	m         *Member
	transport *transport
	announced atomic.Pointer[string] // what the library announces of ourselves
}

// word is what the library announces of ourselves.
func (g *gossip) announcedState() string {
	if says := g.announced.Load(); says != nil {
		return *says
	}
	return ""
}

// The library's figures, as far as they are not its own for a local network, relative to the probe interval.
const (
	probeWait     = 0.5  // of the interval: then others are asked to probe
	suspicion     = 3    // times log10 of the fleet's size: the time in which a suspicion can be refuted
	suspicionMost = 3    // times that, while nobody else suspects
	gossipPart    = 0.35 // of the interval between two rounds: a suspicion has reached all before a second probe
	exchangeEvery = 12 * time.Second
	streamWait    = time.Second // connects and exchanges; what lies behind a cut should not take up a try for long
	burialTime    = 20 * time.Second
)

// start starts the library, as one that knows nobody.
func (m *Member) start() error {
	g := &gossip{m: m, transport: m.wire.newTransport(m.config.Advertise)}
	c := memberlist.DefaultLANConfig()
	e := m.machine.Entry()
	c.Name = handle(e.Name, e.Incarnation.Nonce)
	c.Transport = g.transport
	c.ProbeInterval = m.config.ProbeInterval
	c.ProbeTimeout = time.Duration(float64(m.config.ProbeInterval) * probeWait)
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicion, suspicionMost
	c.GossipInterval = time.Duration(float64(m.config.ProbeInterval) * gossipPart)
	c.GossipToTheDeadTime = burialTime
	c.PushPullInterval = exchangeEvery
	c.TCPTimeout = streamWait
	// The library probes more slowly the more of its probes fail. On the small side of a cut most fail, and the dead would
	// be found too late; who is late itself accuses nobody here anyway.
	c.AwarenessMaxMultiplier = 2
	c.EnableCompression = false // what comes in is looked at, see inspect.go
	c.UDPBufferSize = maxPacket - packetHead
	c.Delegate, c.Events, c.Ping, c.Alive = g, g, g, g
	c.Logger = log.New(io.Discard, "", 0) // what operators need to know the wire and the view say
	m.wire.transport.Store(g.transport)
	list, err := memberlist.Create(c)
	if err != nil {
		return fmt.Errorf("gossip: %w", err)
	}
	g.Memberlist = list
	m.gossip.Store(g)
	return nil
}

// stop stops the library without a message.
func (m *Member) stop() {
	m.wire.transport.Store(nil)
	if g := m.gossip.Swap(nil); g != nil {
		g.Shutdown()
	}
}

// leaveTimeout is how long a leave message may take to reach somebody, and then others.
const leaveTimeout = 300 * time.Millisecond

// leave tells the others that this member leaves, and stops.
func (m *Member) leave() {
	if g := m.gossip.Load(); g != nil {
		m.wire.beat()
		g.Leave(leaveTimeout)
		m.wire.beat()
		time.Sleep(2 * time.Duration(float64(m.config.ProbeInterval)*gossipPart))
	}
	m.stop()
}

// announceAgain is the least time between two announcements of ourselves: each costs a message to every member.
const announceAgain = 300 * time.Millisecond

// announce has others hear what has changed of ourselves.
func (m *Member) announce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.announceDue:
		}
		// The library loses an update that crosses its own refutation of what another said of us: then it goes on saying
		// what it said before, and is told again. That it is only slow to send, as in a storm, is no reason to.
		if g := m.gossip.Load(); g != nil && g.announcedState() != string(g.NodeMeta(0)) {
			g.UpdateNode(announceAgain)
			if g.announcedState() != string(g.NodeMeta(0)) {
				signal(m.announceDue)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(announceAgain):
		}
	}
}

// handleNode passes on what the library reports of a node, unless it has been begun anew since.
func (g *gossip) handleNode(kind view.EventKind, n *memberlist.Node) {
	if g.m.wire.transport.Load() != g.transport {
		return
	}
	e, err := readEntry(n.Meta)
	if err != nil {
		return
	}
	if own := g.m.entry.Load(); n.Name == handle(own.Name, own.Incarnation.Nonce) {
		says := string(n.Meta)
		g.announced.Store(&says)
		return
	}
	at, _ := netip.AddrFromSlice(n.Addr)
	e.Address = netip.AddrPortFrom(at.Unmap(), n.Port).String()
	if kind == view.Dead && e.State >= view.Leaving {
		kind = view.Leave
	}
	g.m.enqueue(view.Event{Kind: kind, Entry: e})
}

// NotifyJoin, NotifyUpdate and NotifyLeave are what the library reports of others.
func (g *gossip) NotifyJoin(n *memberlist.Node)   { g.handleNode(view.Alive, n) }
func (g *gossip) NotifyUpdate(n *memberlist.Node) { g.handleNode(view.Alive, n) }
func (g *gossip) NotifyLeave(n *memberlist.Node)  { g.handleNode(view.Dead, n) }

// NotifyAlive looks once more at what the library is about to believe.
func (g *gossip) NotifyAlive(n *memberlist.Node) error {
	return g.m.wire.credible(n.Name, 0, n.Addr, n.Port, n.Meta, []uint8{n.PMin, n.PMax, n.PCur, n.DMin, n.DMax, n.DCur})
}

// AckPayload and NotifyPingComplete carry the views' digests along with probes.
func (g *gossip) AckPayload() []byte { return appendEcho(nil, g.m.View()) }

// NotifyPingComplete has another's digest.
func (g *gossip) NotifyPingComplete(n *memberlist.Node, _ time.Duration, payload []byte) {
	e, err := readEntry(n.Meta)
	version, digest, ok := readEcho(payload)
	if err == nil && ok {
		g.m.enqueue(view.Event{Kind: view.PeerDigest, Name: e.Name, Version: version, Digest: digest})
	}
}

// NodeMeta is what we announce of ourselves.
func (g *gossip) NodeMeta(int) []byte { return appendEntry(nil, *g.m.entry.Load()) }

// NotifyMsg, GetBroadcasts, LocalState and MergeRemoteState are not used.
func (g *gossip) NotifyMsg([]byte)                { /* nothing of ours comes that way */ }
func (g *gossip) GetBroadcasts(int, int) [][]byte { return nil }
func (g *gossip) LocalState(bool) []byte          { return nil }
func (g *gossip) MergeRemoteState([]byte, bool)   { /* nothing of ours comes that way */ }

// Stats is what a member has sent and received, and what it dropped by cause.
type Stats struct {
	SentPackets, SentBytes, GotPackets, GotBytes int64
	Dropped                                      map[string]int64
}

// Stats tells it so far; streams are not counted among the packets.
func (m *Member) Stats() Stats {
	w := m.wire
	c := Stats{w.sent.packets.Load(), w.sent.bytes.Load(), w.got.packets.Load(), w.got.bytes.Load(), map[string]int64{}}
	for k := range causes {
		if n := w.counts[k].Load(); n > 0 {
			c.Dropped[causeNames[k]] = n
		}
	}
	return c
}
