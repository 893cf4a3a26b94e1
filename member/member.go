// Package member keeps a view of the fleet for one app server: it finds the others, gossips with them over
// hashicorp/memberlist, comes together again with those it had taken for dead, and hands what it hears to logic/view, which
// decides. The server starts it where the operators have set fleet.listen; whoever needs to know the fleet reads View and
// waits on Changes. It never decides about RPCs, and nothing in it delays one.
package member

import (
	"context"
	"math"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"valveglade/logic/view"
)

// Config is what a member is started with.
type Config struct {
	Name               string
	Zone               string
	Listen             netip.AddrPort // packets and streams of the fleet
	Advertise          netip.AddrPort // where others reach that, if it is another address
	Join               []netip.AddrPort
	Allow              []netip.Prefix
	ProbeInterval      time.Duration // between two probes of others
	Socket             string        // a local socket that tells the view, empty for none
	MaxIncomingStreams int           // how many incoming streams of HandleStreams are served at a time
	View               view.Config
	Now                func() time.Time // the wall clock, for incarnation numbers; time.Now if nil
}

// Member is one app server's part in the fleet.
type Member struct {
	config      Config
	log         *zap.Logger
	wire        *wire
	machine     *view.Machine // only the loop has it
	events      chan view.Event
	view        atomic.Pointer[view.View]
	entry       atomic.Pointer[view.Entry] // our own, as others hear it
	announceDue chan struct{}              // holds one when our entry is to be announced
	gossip      atomic.Pointer[gossip]
	group       *errgroup.Group
	killed      context.Context // ends with Kill
	kill        context.CancelFunc

	roles   atomic.Pointer[func() any] // told with the view
	receive atomic.Pointer[func(from string, message []byte)]
	notes   struct { // where members were last known to be, also of those that have been lost since
		sync.Mutex
		at map[string]netip.AddrPort
	}

	mu   sync.Mutex
	subs map[chan struct{}]struct{}
	self view.Event // what we last reported of ourselves
}

// New opens the sockets of a member; nothing is sent before Run.
func New(p Config, log *zap.Logger) (*Member, error) {
	if p.Now == nil {
		p.Now = time.Now
	}
	w, err := openWire(p.Listen, p.Allow, p.MaxIncomingStreams, log)
	if err != nil {
		return nil, err
	}
	if !p.Advertise.IsValid() {
		p.Advertise = w.listen
	}
	m := &Member{config: p, log: log, wire: w, events: make(chan view.Event, maxEvents), announceDue: make(chan struct{}, 1),
		subs: map[chan struct{}]struct{}{}}
	m.killed, m.kill = context.WithCancel(context.Background())
	w.lag, w.wake = seconds(p.View.LagThreshold), seconds(p.View.RebuildThreshold)
	w.onEvent, w.onProbe, w.onMessage = m.enqueue, m.answerProbe, m.handleMessage
	var seeds []string
	for _, a := range p.Join {
		seeds = append(seeds, a.String())
	}
	self := view.Entry{Name: p.Name, Zone: p.Zone, Address: p.Advertise.String(), State: view.Cold, Proto: protoSpoken,
		Incarnation: view.Incarnation{Number: uint64(max(p.Now().UnixMilli(), 1)), Nonce: rand.Uint32()}}
	m.self = view.Event{Kind: view.Self, Entry: self}
	m.machine = view.New(self, seeds, m.now(), rand.Uint64(), p.View)
	m.publish()
	return m, nil
}

// maxEvents is how many events may wait: all members of a large fleet several times over. Past it the oldest of what
// gossip says is asked for anew.
const maxEvents = 4096

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

// UpdateState takes what is to be announced of this app server: its state, whether its work is stuck, its load.
func (m *Member) UpdateState(state view.State, unhealthy bool, load view.Load) {
	e := view.Event{Kind: view.Self, Entry: view.Entry{State: state, Unhealthy: unhealthy, Load: load}}
	m.mu.Lock()
	same := e == m.self
	m.self = e
	m.mu.Unlock()
	if !same {
		m.enqueue(e)
	}
}

// ReportReachability takes what the data path has seen of a member: that it answered, or failed to.
func (m *Member) ReportReachability(name string, ok bool) {
	m.enqueue(view.Event{Kind: view.Reachability, Name: name, OK: ok})
}

// enqueue passes an event on to the loop. It never waits: what does not fit is heard again in the next exchange.
func (m *Member) enqueue(e view.Event) {
	select {
	case m.events <- e:
	default:
		m.wire.countDropped(overloaded, "events", nil)
	}
}

// SetRoles has the local socket tell what f gives, beside the view.
func (m *Member) SetRoles(f func() any) { m.roles.Store(&f) }

// answerProbe answers a probe.
func (m *Member) answerProbe(name string) (view.Entry, bool) {
	e := m.entry.Load()
	return *e, e.Name == name && m.View().Certainty != view.Superseded
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func round(x float64) float64 { return math.Round(x*1e3) / 1e3 }
