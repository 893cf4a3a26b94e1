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

// Crowd stands in for the rest of a large fleet toward a few real members: it answers their probes in the names of all others,
// and sends them the packets that those would. It keeps one table for all, so a name costs it no memory and no CPU of its own.
// What the real members send and receive is what they would in a fleet of that size.
type Crowd struct {
	size    int // of the whole fleet
	random  *rand.Rand
	sockets []*crowdSocket
	group   sync.WaitGroup
	closed  chan struct{}

	mu      sync.Mutex
	members []crowdMember
	byNode  map[string]int
	others  map[string]aliveMessage // the last words of real members on themselves, by the library's names
	targets []*Target
	fast    bool // the targets' queues are being drained
	acks    int  // since it was last looked at, and their bytes
	ackSize int

	streamBytes atomic.Int64 // sent and received on streams with targets
}

// crowdMember is one that the crowd stands in for.
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

// Target is one real member that a crowd speaks to.
type Target struct {
	Name    string
	Address netip.AddrPort
	Pinged  string // the name that the library knows it by; empty where it is not to be probed
	due     []timedMessage
	version uint64 // of the view that it has, as the crowd tells others
	digest  uint64
}

type timedMessage struct {
	at      time.Time
	message []byte
}

// The library's figures for a probe every 0.3 s, as member sets them.
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

// retransmits is how often a member of a fleet passes each message on; so often each member receives it, on the mean.
func retransmits(size int) int {
	return retransmit * int(math.Ceil(math.Log10(float64(size+1))))
}

// ExchangeSeconds is how often a member of a fleet exchanges all that it knows with another, in seconds.
func ExchangeSeconds(size int) float64 {
	if size <= exchangeScaled {
		return exchangeEvery
	}
	return exchangeEvery * (math.Ceil(math.Log2(float64(size))-math.Log2(exchangeScaled)) + 1)
}

// suspicionTimeout is how long a suspicion stands before it is a death, where others share it.
func suspicionTimeout(size int) time.Duration {
	return time.Duration(suspicionTimes * math.Log10(float64(max(size, 10))) * float64(probeEvery))
}

// NewCrowd stands in for a number of members, from first on by their numbers, in a fleet of a size. Its sockets are at an address.
func NewCrowd(at netip.Addr, first, count, size int, seed uint64) (*Crowd, error) {
	c := &Crowd{size: size, random: rand.New(rand.NewPCG(seed, 3)), closed: make(chan struct{}), byNode: map[string]int{},
		others: map[string]aliveMessage{}}
	for range crowdSockets {
		s, err := openCrowdSocket(at)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.sockets = append(c.sockets, s)
	}
	birth := uint64(time.Now().Add(-time.Hour).UnixMilli())
	for k := range count {
		m := crowdMember{entry: entry(first+k, birth), incarnation: 1, socket: k % crowdSockets}
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

// Close ends it and waits until nothing of it is left.
func (c *Crowd) Close() {
	close(c.closed)
	for _, s := range c.sockets {
		s.packets.Close()
		s.streams.Close()
	}
	c.group.Wait()
}

// Addresses are where real members may join it.
func (c *Crowd) Addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range c.sockets[:3] {
		all = append(all, s.address)
	}
	return all
}

// Add has it speak to a real member too.
func (c *Crowd) Add(t *Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
}

// Sees has members of the crowd tell of the view that a target has.
func (c *Crowd) Sees(t *Target, version, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.version, t.digest = version, digest
}

// StreamBytes is what has passed on streams with targets.
func (c *Crowd) StreamBytes() int64 { return c.streamBytes.Load() }

// Len is how many members it stands in for.
func (c *Crowd) Len() int { return len(c.members) }
