package hollow

import (
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/logic/view"
)

// SimulatedMembers simulates the rest of a large fleet for a few real members: it answers their probes on behalf of all others, and sends them
// the packets that those would send. One table holds all of them, so that a member needs no goroutine and no socket of its own. The
// real members send and receive what they would in a fleet of that size.
type SimulatedMembers struct {
	size    int // of the whole fleet
	random  *rand.Rand
	sockets []*crowdSocket
	group   sync.WaitGroup
	closed  chan struct{}

	mu      sync.Mutex
	members []crowdMember
	byNode  map[string]int
	others  map[string]aliveMessage // the latest alive messages of real members, by the library's names
	targets []*Target
	fast    bool // the targets' queues are being drained
	acks    int  // since it was last read, and their bytes
	ackSize int

	streamBytes atomic.Int64 // sent and received on streams with targets
}

// crowdMember is one simulated member.
type crowdMember struct {
	entry       view.Entry
	incarnation uint32
	socket      int
	down        bool
}

type crowdSocket struct {
	address netip.AddrPort
	packets *net.UDPConn
	streams *net.TCPListener
}

// Target is one real member that a crowd exchanges messages with.
type Target struct {
	Name     string
	Address  netip.AddrPort
	NodeName string // its name in the library; empty while it is not to be probed
	due      []timedMessage
	version  uint64 // of the view that it has, as the crowd reports it
	digest   uint64
}

type timedMessage struct {
	at      time.Time
	message []byte
}

// The library's settings with a probe every 0.3 s, as package member sets them.
const (
	probeEvery     = 300 * time.Millisecond
	gossipEvery    = 105 * time.Millisecond
	gossipNodes    = 3
	retransmit     = 4 // times the decimal digits of the fleet's size
	suspicionTimes = 3
	exchangeEvery  = 12.0 // seconds, scaled by the fleet's size
	exchangeScaled = 32.0 // members from which it is scaled
	crowdSockets   = 16
)

// retransmits returns how many times a member of a fleet passes each message on, which is how many times each member receives it
// on the mean.
func retransmits(size int) int {
	return retransmit * int(math.Ceil(math.Log10(float64(size+1))))
}

// ExchangeIntervalSeconds returns the interval in seconds at which a member of a fleet exchanges its whole state with another.
func ExchangeIntervalSeconds(size int) float64 {
	if size <= exchangeScaled {
		return exchangeEvery
	}
	return exchangeEvery * (math.Ceil(math.Log2(float64(size))-math.Log2(exchangeScaled)) + 1)
}

// suspicionTimeout returns the time after which a suspicion that others confirm becomes a death.
func suspicionTimeout(size int) time.Duration {
	return time.Duration(suspicionTimes * math.Log10(float64(max(size, 10))) * float64(probeEvery))
}

// NewSimulatedMembers simulates count members, numbered from first on, in a fleet of a size. Its sockets are bound to an address. The caller
// closes it.
func NewSimulatedMembers(at netip.Addr, first, count, size int, seed uint64) (*SimulatedMembers, error) {
	c := &SimulatedMembers{size: size, random: rand.New(rand.NewPCG(seed, 3)), closed: make(chan struct{}), byNode: map[string]int{},
		others: map[string]aliveMessage{}}
	for range crowdSockets {
		s, err := openCrowdSocket(at)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.sockets = append(c.sockets, s)
	}
	number := uint64(time.Now().Add(-time.Hour).UnixMilli())
	for k := range count {
		m := crowdMember{entry: entry(first+k, number), incarnation: 1, socket: k % crowdSockets}
		m.entry.Incarnation.Nonce = uint32(first + k)
		m.entry.Address = c.sockets[m.socket].address.String()
		c.byNode[nodeName(m.entry)] = k
		c.members = append(c.members, m)
	}
	for _, s := range c.sockets {
		c.group.Go(func() { c.readPackets(s) })
		c.group.Go(func() { c.acceptStreams(s) })
	}
	c.group.Go(c.gossip)
	c.group.Go(c.probe)
	return c, nil
}

func openCrowdSocket(at netip.Addr) (*crowdSocket, error) {
	for tries := 0; ; tries++ {
		packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
		if err != nil {
			return nil, err
		}
		packets.SetReadBuffer(4 << 20)
		address := netip.AddrPortFrom(at, packets.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		streams, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			return &crowdSocket{address, packets, streams}, nil
		}
		packets.Close()
		if tries == 20 {
			return nil, err
		}
	}
}

// Close stops the crowd and waits for its goroutines.
func (c *SimulatedMembers) Close() {
	close(c.closed)
	for _, s := range c.sockets {
		s.packets.Close()
		s.streams.Close()
	}
	c.group.Wait()
}

// Addresses returns the addresses at which real members may join it.
func (c *SimulatedMembers) Addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range c.sockets[:3] {
		all = append(all, s.address)
	}
	return all
}

// AddTarget adds a real member to those that the crowd exchanges messages with.
func (c *SimulatedMembers) AddTarget(t *Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
}

// SetView sets the view that members of the crowd report, as a target has it.
func (c *SimulatedMembers) SetView(t *Target, version, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.version, t.digest = version, digest
}

// StreamBytes returns the bytes that have passed on streams with targets.
func (c *SimulatedMembers) StreamBytes() int64 { return c.streamBytes.Load() }

// Len returns the number of simulated members.
func (c *SimulatedMembers) Len() int { return len(c.members) }
