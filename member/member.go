// Package member maintains a view of the fleet for one app server: it discovers other members, gossips over
// hashicorp/memberlist, contacts members declared dead, and passes all reports to logic/view, which decides. The server
// starts it if fleet.listen is set; users read View and wait on Changes. It takes no part in decisions about RPCs, and
// delays none.
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

// Config holds the parameters of a member.
type Config struct {
	Name               string
	Zone               string
	Listen             netip.AddrPort   // local address for datagrams and streams
	Advertise          netip.AddrPort   // address that other members use, if it differs from Listen
	Join               []netip.AddrPort // seed addresses
	Allow              []netip.Prefix   // networks whose datagrams and streams are accepted
	ProbeInterval      time.Duration    // time between two probes of other members
	Socket             string           // path of the local status socket, empty for none
	MaxIncomingStreams int              // bound on concurrent incoming streams of HandleStreams
	View               view.Config
	Now                func() time.Time // wall clock for incarnation numbers; time.Now if nil
}

// Member is this app server's part in the fleet.
type Member struct {
	config      Config
	log         *zap.Logger
	wire        *wire
	machine     *view.Machine // used by the loop only
	events      chan view.Event
	view        atomic.Pointer[view.View]
	entry       atomic.Pointer[view.Entry] // our own entry as announced
	announceDue chan struct{}              // holds a value when our entry is to be announced
	gossip      atomic.Pointer[gossip]
	group       *errgroup.Group
	killed      context.Context // canceled by Kill
	kill        context.CancelFunc

	roles     atomic.Pointer[func() any] // returns Status.Roles
	receive   atomic.Pointer[func(from string, message []byte)]
	addresses struct { // last known addresses of members, including those lost since
		sync.Mutex
		byName map[string]netip.AddrPort
	}

	mu           sync.Mutex
	subscribers  map[chan struct{}]struct{}
	reportedSelf view.Event // our own state as last reported to the machine
}

// New opens the sockets of a member. It sends nothing before Run.
func New(config Config, log *zap.Logger) (*Member, error) {
	if config.Now == nil {
		config.Now = time.Now
	}
	w, err := openWire(config.Listen, config.Allow, config.MaxIncomingStreams, log)
	if err != nil {
		return nil, err
	}
	if !config.Advertise.IsValid() {
		config.Advertise = w.listen
	}
	m := &Member{config: config, log: log, wire: w, events: make(chan view.Event, maxEvents),
		announceDue: make(chan struct{}, 1),
		subscribers: map[chan struct{}]struct{}{}}
	m.killed, m.kill = context.WithCancel(context.Background())
	w.lagThreshold, w.rebuildThreshold = seconds(config.View.LagThreshold), seconds(config.View.RebuildThreshold)
	w.onEvent, w.onProbe, w.onMessage = m.enqueue, m.answerProbe, m.handleMessage
	var seeds []string
	for _, a := range config.Join {
		seeds = append(seeds, a.String())
	}
	self := view.Entry{Name: config.Name, Zone: config.Zone, Address: config.Advertise.String(), State: view.Cold,
		Proto:       protoSpoken,
		Incarnation: view.Incarnation{Number: uint64(max(config.Now().UnixMilli(), 1)), Nonce: rand.Uint32()}}
	m.reportedSelf = view.Event{Kind: view.Self, Entry: self}
	m.machine = view.New(self, seeds, m.now(), rand.Uint64(), config.View)
	m.publish()
	return m, nil
}

// maxEvents bounds the event queue: several events for each member of a large fleet. Further events are dropped and
// counted; gossip reports the state again in the next exchange.
const maxEvents = 4096

func seconds(s float64) time.Duration {
	if s >= math.MaxInt64/1e9 {
		return math.MaxInt64
	}
	return time.Duration(s * float64(time.Second))
}

// now returns monotonic seconds, so that changes of the wall clock have no effect.
func (m *Member) now() float64 { return time.Since(epoch).Seconds() }

// Address returns the local address of the fleet sockets.
func (m *Member) Address() netip.AddrPort { return m.wire.listen }

// View returns the current view, which must not be modified. It never blocks.
func (m *Member) View() *view.View { return m.view.Load() }

// Changes returns a channel that holds a value whenever there is a view that has not been read since, until stop is
// called.
func (m *Member) Changes() (changes <-chan struct{}, stop func()) {
	c := make(chan struct{}, 1)
	c <- struct{}{}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.subscribers[c] = struct{}{}
	return c, func() {
		m.mu.Lock()
		defer m.mu.Unlock()
		delete(m.subscribers, c)
	}
}

// UpdateState sets what is announced of this app server: its state, whether its work is stuck, and its load.
func (m *Member) UpdateState(state view.State, unhealthy bool, load view.Load) {
	e := view.Event{Kind: view.Self, Entry: view.Entry{State: state, Unhealthy: unhealthy, Load: load}}
	m.mu.Lock()
	same := e == m.reportedSelf
	m.reportedSelf = e
	m.mu.Unlock()
	if !same {
		m.enqueue(e)
	}
}

// ReportReachability reports whether a member answered over the data path.
func (m *Member) ReportReachability(name string, ok bool) {
	m.enqueue(view.Event{Kind: view.Reachability, Name: name, OK: ok})
}

// enqueue passes an event to the loop. It never blocks: a dropped event is made up for by the next exchange.
func (m *Member) enqueue(e view.Event) {
	select {
	case m.events <- e:
	default:
		m.wire.countDropped(causeOverloaded, "events", nil)
	}
}

// SetRoles sets the function whose result the local socket shows as Roles.
func (m *Member) SetRoles(f func() any) { m.roles.Store(&f) }

// answerProbe returns our entry, and whether the probe for name is to be answered.
func (m *Member) answerProbe(name string) (view.Entry, bool) {
	e := m.entry.Load()
	return *e, e.Name == name && m.View().Certainty != view.Superseded
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func roundMillis(x float64) float64 { return math.Round(x*1e3) / 1e3 }
