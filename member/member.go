// Package member keeps a view of the fleet for one app server: it finds the others, gossips with them over
// hashicorp/memberlist, comes together again with those it had taken for dead, and hands what it hears to logic/view, which
// decides. The server starts it where the operators have set fleet.listen; whoever needs to know the fleet reads View and
// waits on Changes. It never decides about RPCs, and nothing in it delays one.
package member

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"io"
	"log"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"valveglade/logic/view"
)

// Config is what a member is started with.
type Config struct {
	Name      string
	Zone      string
	Listen    netip.AddrPort // packets and streams of the fleet
	Advertise netip.AddrPort // where others reach that, if it is another address
	Join      []netip.AddrPort
	Allow     []netip.Prefix
	Probe     time.Duration // between two probes of others
	Socket    string        // a local socket that tells the view, empty for none
	Streams   int           // how many incoming streams of HandleStreams are served at a time
	Terms     view.Terms
	Now       func() time.Time // the wall clock, for births; time.Now if nil
}

// Member is one app server's part in the fleet.
type Member struct {
	config  Config
	log     *zap.Logger
	wire    *wire
	machine *view.Machine // only the loop has it
	events  chan view.Event
	view    atomic.Pointer[view.View]
	entry   atomic.Pointer[view.Entry] // our own, as others hear it
	saying  chan struct{}              // holds one when others are to hear it
	gossip  atomic.Pointer[gossip]
	group   *errgroup.Group
	dropped context.Context // ends with Drop
	drop    context.CancelFunc

	roles   atomic.Pointer[func() any] // told with the view
	receive atomic.Pointer[func(from string, message []byte)]
	notes   struct { // where members were last known to be, also of those that have been lost since
		sync.Mutex
		at map[string]netip.AddrPort
	}

	mu   sync.Mutex
	subs map[chan struct{}]struct{}
	self view.Event // what was last said of ourselves
}

// gossip is one life of the library, until it is begun anew.
type gossip struct {
	*memberlist.Memberlist
	m         *Member
	transport *transport
	says      atomic.Pointer[string] // what the library says of ourselves
}

// word is what the library says of ourselves.
func (g *gossip) word() string {
	if says := g.says.Load(); says != nil {
		return *says
	}
	return ""
}

// New opens the sockets of a member; nothing is sent before Run.
func New(p Config, log *zap.Logger) (*Member, error) {
	if p.Now == nil {
		p.Now = time.Now
	}
	w, err := openWire(p.Listen, p.Allow, p.Streams, log)
	if err != nil {
		return nil, err
	}
	if !p.Advertise.IsValid() {
		p.Advertise = w.listen
	}
	m := &Member{config: p, log: log, wire: w, events: make(chan view.Event, mostEvents), saying: make(chan struct{}, 1),
		subs: map[chan struct{}]struct{}{}}
	m.dropped, m.drop = context.WithCancel(context.Background())
	w.lag, w.wake = seconds(p.Terms.Lag), seconds(p.Terms.Wake)
	w.heard, w.answer, w.noted = m.tell, m.present, m.noted
	var seeds []string
	for _, a := range p.Join {
		seeds = append(seeds, a.String())
	}
	self := view.Entry{Name: p.Name, Zone: p.Zone, Address: p.Advertise.String(), State: view.Cold, Proto: protoSpoken,
		Life: view.Life{Birth: uint64(max(p.Now().UnixMilli(), 1)), Nonce: rand.Uint32()}}
	m.self = view.Event{Kind: view.Self, Entry: self}
	m.machine = view.New(self, seeds, m.now(), rand.Uint64(), p.Terms)
	m.publish()
	return m, nil
}

// mostEvents is how many events may wait: all members of a large fleet several times over. Past it the oldest of what
// gossip says is asked for anew.
const mostEvents = 4096

func seconds(s float64) time.Duration {
	if s >= math.MaxInt64/1e9 {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

// now is the monotonic clock: what the wall clock does changes nothing here.
func (m *Member) now() float64 { return time.Since(epoch).Seconds() }

// Address is where its packets and streams come in.
func (m *Member) Address() netip.AddrPort { return m.wire.listen }

// View is the view in force. It is not to be changed; reading it never waits.
func (m *Member) View() *view.View { return m.view.Load() }

// Changes gives a channel that holds one whenever there is a view that has not been looked at since, until stop is
// called.
func (m *Member) Changes() (changes <-chan struct{}, stop func()) {
	c := make(chan struct{}, 1)
	c <- struct{}{}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subs[c] = struct{}{}
	return c, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subs, c)
	}
}

// Say takes what is to be said of this app server: its state, whether its work hangs, its load.
func (m *Member) Say(state view.State, ill bool, load view.Load) {
	e := view.Event{Kind: view.Self, Entry: view.Entry{State: state, Ill: ill, Load: load}}
	m.mu.Lock()
	same := e == m.self
	m.self = e
	m.mu.Unlock()
	if !same {
		m.tell(e)
	}
}

// Word takes what the data path has seen of a member: that it answered, or failed to.
func (m *Member) Word(name string, ok bool) {
	m.tell(view.Event{Kind: view.Word, Name: name, OK: ok})
}

// tell passes an event on to the loop. It never waits: what does not fit is heard again in the next exchange.
func (m *Member) tell(e view.Event) {
	select {
	case m.events <- e:
	default:
		m.wire.tell(crowded, "events", nil)
	}
}

// SetRoles has the local socket tell what f gives, beside the view.
func (m *Member) SetRoles(f func() any) { m.roles.Store(&f) }

// Receive has f told of messages from other members, and from this one to itself. It must not wait.
func (m *Member) Receive(f func(from string, message []byte)) { m.receive.Store(&f) }

// Send puts a message of some hundred bytes on its way to a member, by its name; it votes nothing. Members that the view
// has lost are sent to where they last were: whether they are there is not the view's to decide for whoever asks.
func (m *Member) Send(to string, message []byte) {
	if len(message) > mostNote || m.View().Sure == view.Withdrawn {
		return
	}
	if to == m.config.Name {
		m.noted(to, to, message)
		return
	}
	m.notes.Lock()
	at, known := m.notes.at[to]
	m.notes.Unlock()
	if known && m.wire.late() < m.wire.wake {
		m.wire.send(kindNote, appendNote(nil, m.config.Name, to, message), at)
	}
}

// noted passes a message on to whoever receives them here.
func (m *Member) noted(from, to string, message []byte) {
	if f := m.receive.Load(); f != nil && to == m.config.Name && m.View().Sure != view.Withdrawn {
		(*f)(from, append([]byte(nil), message...))
	}
}

// mostPlaces bounds how many members' places are remembered: twice as many as a view holds.
const mostPlaces = 2048

// places remembers where the members of a view are.
func (m *Member) places(v *view.View) {
	m.notes.Lock()
	defer m.notes.Unlock()
	if m.notes.at == nil || len(m.notes.at) > mostPlaces {
		m.notes.at = map[string]netip.AddrPort{}
	}
	for _, e := range v.Members {
		if at, err := netip.ParseAddrPort(e.Address); err == nil {
			m.notes.at[e.Name] = at
		}
	}
}

// present answers a knock.
func (m *Member) present(name string) (view.Entry, bool) {
	e := m.entry.Load()
	return *e, e.Name == name && m.View().Sure != view.Withdrawn
}

// beatEvery is how often the loop comes round at the least: a third of the lateness that matters.
const beatEvery = 100 * time.Millisecond

// Run takes part in the fleet until ctx ends, then says good-bye.
func (m *Member) Run(ctx context.Context) error {
	live, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var all context.Context
	m.group, all = errgroup.WithContext(live)
	if err := m.begin(); err != nil {
		m.wire.close()
		return err
	}
	m.group.Go(m.wire.packets)
	m.group.Go(m.wire.accept)
	m.group.Go(func() error { return m.announce(all) })
	if m.config.Socket != "" {
		m.group.Go(func() error { return m.show(all) })
	}
	m.group.Go(func() error {
		defer m.wire.close()
		defer m.end()
		defer end()
		// The app server does without a fleet rather than end with it.
		return m.wire.guard("loop", func() error { return m.loop(ctx, all) })
	})
	return m.group.Wait()
}

// loop brings the machine events and time, and has its orders carried out.
func (m *Member) loop(ctx, all context.Context) error {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	last := time.Now()
	for {
		var e view.Event
		some := false
		select {
		case <-ctx.Done():
			m.bid()
			return nil
		case <-all.Done():
			return nil
		case <-m.dropped.Done():
			m.end()
			return nil
		case <-beat.C:
		case e = <-m.events:
			some = true
		}
		// Whatever it was that woke us: if we slept, that comes first.
		if gap := time.Since(last) - beatEvery; gap > m.wire.lag {
			m.machine.Step(view.Event{Kind: view.Late, Span: gap.Seconds()}, m.now())
			m.wire.accuses.Store(m.machine.Accuses(m.now()))
			if gap > m.wire.wake {
				m.log.Warn("fleet: this process slept and begins gossip anew", zap.Float64("slept_s", round(gap.Seconds())))
			}
			m.carry(all)
		}
		last = time.Now()
		if some {
			m.machine.Step(e, m.now())
			for n := len(m.events); n > 0; n-- { // what came with it
				m.machine.Step(<-m.events, m.now())
			}
		} else {
			m.machine.Tick(m.now())
		}
		m.wire.accuses.Store(m.machine.Accuses(m.now()))
		m.carry(all)
		m.wire.beat()
	}
}

// carry has the machine's orders carried out. Whatever may wait does so in a goroutine of its own, of which the machine
// bounds the number.
func (m *Member) carry(ctx context.Context) {
	for _, o := range m.machine.Out() {
		switch o.Kind {
		case view.Publish:
			m.publish()
		case view.Announce:
			m.publish()
			signal(m.saying)
		case view.Seek:
			go m.meet(o.Address)
		case view.Knock:
			go m.ask(ctx, o.Name, o.Address)
		case view.Teach:
			if to, err := netip.ParseAddrPort(o.Address); err == nil {
				m.wire.send(kindTeach, appendTeach(nil, o.Entry), to)
			}
		case view.Rebuild:
			m.end()
			if err := m.begin(); err != nil {
				m.log.Error("fleet: gossip cannot begin anew", zap.Error(err))
			}
		case view.Withdraw:
			m.log.Error("fleet: another process has this name and was born later; this one takes no further part",
				zap.String("there", o.Entry.Address), zap.Uint64("its_birth", o.Entry.Life.Birth),
				zap.Uint64("our_birth", m.machine.Entry().Life.Birth))
			go m.end()
		}
	}
}

// publish makes the machine's view and entry those in force.
func (m *Member) publish() {
	e := m.machine.Entry()
	m.entry.Store(&e)
	v, was := m.machine.View(), m.view.Load()
	if v == was {
		return
	}
	m.view.Store(v)
	if was == nil || v.Digest != was.Digest {
		m.places(v)
	}
	m.mu.Lock()
	for c := range m.subs {
		signal(c)
	}
	m.mu.Unlock()
	if was == nil || v.Digest != was.Digest || v.Sure != was.Sure {
		m.log.Info("view", zap.Uint64("version", v.Version), zap.String("digest", digestText(v.Digest)),
			zap.Stringer("sure", v.Sure), zap.Int("members", len(v.Members)), zap.Int("healthy", len(v.Healthy)),
			zap.Strings("changes", changeTexts(v.Changes)))
	}
}

func digestText(d uint64) string { return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, d)) }

// mostTexts is how many changes one line tells; a line for each of three hundred would say less.
const mostTexts = 24

func changeTexts(changes []view.Change) []string {
	var all []string
	for k, c := range changes {
		if k == mostTexts {
			return append(all, fmt.Sprintf("and %d more", len(changes)-k))
		}
		all = append(all, c.Name+" "+c.What+": "+c.Why)
	}
	return all
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func round(x float64) float64 { return math.Round(x*1e3) / 1e3 }

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

// begin has the library start, as one that knows nobody.
func (m *Member) begin() error {
	g := &gossip{m: m, transport: m.wire.newTransport(m.config.Advertise)}
	c := memberlist.DefaultLANConfig()
	e := m.machine.Entry()
	c.Name = handle(e.Name, e.Life.Nonce)
	c.Transport = g.transport
	c.ProbeInterval = m.config.Probe
	c.ProbeTimeout = time.Duration(float64(m.config.Probe) * probeWait)
	c.SuspicionMult, c.SuspicionMaxTimeoutMult = suspicion, suspicionMost
	c.GossipInterval = time.Duration(float64(m.config.Probe) * gossipPart)
	c.GossipToTheDeadTime = burialTime
	c.PushPullInterval = exchangeEvery
	c.TCPTimeout = streamWait
	// The library probes more slowly the more of its probes fail. On the small side of a cut most fail, and the dead would
	// be found too late; who is late itself accuses nobody here anyway.
	c.AwarenessMaxMultiplier = 2
	c.EnableCompression = false // what comes in is looked at, see inspect.go
	c.UDPBufferSize = mostPacket - packetHead
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

// end has the library stop without a word.
func (m *Member) end() {
	m.wire.transport.Store(nil)
	if g := m.gossip.Swap(nil); g != nil {
		g.Shutdown()
	}
}

// lastWord is how long a good-bye may take to reach somebody, and then others.
const lastWord = 300 * time.Millisecond

// bid says good-bye.
func (m *Member) bid() {
	if g := m.gossip.Load(); g != nil {
		m.wire.beat()
		g.Leave(lastWord)
		m.wire.beat()
		time.Sleep(2 * time.Duration(float64(m.config.Probe)*gossipPart))
	}
	m.end()
}

// Drop ends this member's part at once and without a word, as the end of its process would; Run returns. It is for those
// who play failures with many members in one process.
func (m *Member) Drop() {
	m.wire.transport.Store(nil)
	m.wire.close()
	m.drop()
}

// meet exchanges all that is known with whoever is at an address.
func (m *Member) meet(address string) {
	ok := false
	if g := m.gossip.Load(); g != nil {
		n, err := g.Join([]string{address})
		ok = err == nil && n > 0
	}
	m.tell(view.Event{Kind: view.Sought, Address: address, OK: ok})
}

// ask knocks at a member's address.
func (m *Member) ask(ctx context.Context, name, address string) {
	ctx, end := context.WithTimeout(ctx, time.Duration(float64(m.config.Probe)*(1+probeWait)))
	defer end()
	_, err := m.wire.knock(ctx, address, name)
	m.Word(name, err == nil)
}

// sayAgain is the least time between two words on ourselves: each costs a message to every member.
const sayAgain = 300 * time.Millisecond

// announce has others hear what has changed of ourselves.
func (m *Member) announce(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-m.saying:
		}
		// The library loses an update that crosses its own refutation of what another said of us: then it goes on saying
		// what it said before, and is told again. That it is only slow to send, as in a storm, is no reason to.
		if g := m.gossip.Load(); g != nil && g.word() != string(g.NodeMeta(0)) {
			g.UpdateNode(sayAgain)
			if g.word() != string(g.NodeMeta(0)) {
				signal(m.saying)
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(sayAgain):
		}
	}
}

// heard passes on what the library says of a node, unless it has been begun anew since.
func (g *gossip) heard(kind view.Kind, n *memberlist.Node) {
	if g.m.wire.transport.Load() != g.transport {
		return
	}
	e, err := readEntry(n.Meta)
	if err != nil {
		return
	}
	if own := g.m.entry.Load(); n.Name == handle(own.Name, own.Life.Nonce) {
		says := string(n.Meta)
		g.says.Store(&says)
		return
	}
	at, _ := netip.AddrFromSlice(n.Addr)
	e.Address = netip.AddrPortFrom(at.Unmap(), n.Port).String()
	if kind == view.Lost && e.State >= view.Leaving {
		kind = view.Bye
	}
	g.m.tell(view.Event{Kind: kind, Entry: e})
}

// NotifyJoin, NotifyUpdate and NotifyLeave are the library's word on others.
func (g *gossip) NotifyJoin(n *memberlist.Node)   { g.heard(view.Heard, n) }
func (g *gossip) NotifyUpdate(n *memberlist.Node) { g.heard(view.Heard, n) }
func (g *gossip) NotifyLeave(n *memberlist.Node)  { g.heard(view.Lost, n) }

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
		g.m.tell(view.Event{Kind: view.Echo, Name: e.Name, Version: version, Digest: digest})
	}
}

// NodeMeta is our word on ourselves.
func (g *gossip) NodeMeta(int) []byte { return appendEntry(nil, *g.m.entry.Load()) }

// NotifyMsg, GetBroadcasts, LocalState and MergeRemoteState are not used.
func (g *gossip) NotifyMsg([]byte)                { /* nothing of ours comes that way */ }
func (g *gossip) GetBroadcasts(int, int) [][]byte { return nil }
func (g *gossip) LocalState(bool) []byte          { return nil }
func (g *gossip) MergeRemoteState([]byte, bool)   { /* nothing of ours comes that way */ }

// Cost is what a member has sent and received, and what it dropped by cause.
type Cost struct {
	SentPackets, SentBytes, GotPackets, GotBytes int64
	Dropped                                      map[string]int64
}

// Cost tells it so far; streams are not counted among the packets.
func (m *Member) Cost() Cost {
	w := m.wire
	c := Cost{w.sent.packets.Load(), w.sent.bytes.Load(), w.got.packets.Load(), w.got.bytes.Load(), map[string]int64{}}
	for k := range causes {
		if n := w.counts[k].Load(); n > 0 {
			c.Dropped[causeNames[k]] = n
		}
	}
	return c
}
