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

// SimulatedMembers simulates the other members of a large fleet for a few real members, the targets. It answers their probes on
// behalf of the simulated members and sends them the packets that those would send. All simulated members share one table and a
// few sockets, so that none of them needs a goroutine or a socket of its own. The real members send and receive what they would
// in a fleet of that size.
type SimulatedMembers struct {
	size       int // of the whole fleet, real members included
	random     *rand.Rand
	sockets    []*memberSocket
	goroutines sync.WaitGroup
	closed     chan struct{}

	mu          sync.Mutex
	members     []simulatedMember
	indexByNode map[string]int
	realMembers map[string]aliveMessage // the latest alive message of each real member, by node name
	targets     []*Target
	draining    bool // the targets' gossip queues are being drained
	acks        int  // received since the last reset, as are ackBytes
	ackBytes    int

	streamBytes atomic.Int64 // sent and received on streams with targets
}

// simulatedMember is the state of one simulated member.
type simulatedMember struct {
	entry       view.Entry
	incarnation uint32
	socket      int // index in SimulatedMembers.sockets
	down        bool
}

// memberSocket is a UDP socket and a TCP listener on the same port, which several simulated members share.
type memberSocket struct {
	address netip.AddrPort
	packets *net.UDPConn
	streams *net.TCPListener
}

// Target is a real member that simulated members exchange messages with.
type Target struct {
	Name        string
	Address     netip.AddrPort
	NodeName    string // in the gossip library; empty while the target must not be probed
	pending     []timedMessage
	viewVersion uint64 // of the target's view, which simulated members report as their own
	viewDigest  uint64
}

// timedMessage is a message to be sent at the given time.
type timedMessage struct {
	sendAt  time.Time
	message []byte
}

// Settings of the gossip library with a probe every 0.3 s, as package member sets them.
const (
	probeInterval          = 300 * time.Millisecond
	gossipInterval         = 105 * time.Millisecond
	gossipFanout           = 3
	retransmitFactor       = 4 // multiplied by the number of decimal digits of the fleet's size
	suspicionFactor        = 3
	baseExchangeSeconds    = 12.0 // multiplied by a factor that grows with the fleet's size
	exchangeScalingMembers = 32.0 // members above which the exchange interval grows
	socketCount            = 16
)

// retransmitCount returns how many times a member of a fleet of the given size retransmits each message, which is also the mean
// number of times that each member receives it.
func retransmitCount(size int) int {
	return retransmitFactor * int(math.Ceil(math.Log10(float64(size+1))))
}

// ExchangeIntervalSeconds returns the interval in seconds at which a member of a fleet of the given size exchanges its whole
// state with another member.
func ExchangeIntervalSeconds(size int) float64 {
	if size <= exchangeScalingMembers {
		return baseExchangeSeconds
	}
	return baseExchangeSeconds * (math.Ceil(math.Log2(float64(size))-math.Log2(exchangeScalingMembers)) + 1)
}

// suspicionTimeout returns the time after which a suspected member is declared dead if other members confirm the suspicion.
func suspicionTimeout(size int) time.Duration {
	return time.Duration(suspicionFactor * math.Log10(float64(max(size, 10))) * float64(probeInterval))
}

// NewSimulatedMembers starts the simulation of count members, numbered from first, in a fleet of the given size, with sockets
// bound to ip. The caller must call Close.
func NewSimulatedMembers(ip netip.Addr, first, count, size int, seed uint64) (*SimulatedMembers, error) {
	sim := &SimulatedMembers{size: size, random: rand.New(rand.NewPCG(seed, 3)), closed: make(chan struct{}),
		indexByNode: map[string]int{},
		realMembers: map[string]aliveMessage{}}
	for range socketCount {
		s, err := openMemberSocket(ip)
		if err != nil {
			sim.Close()
			return nil, err
		}
		sim.sockets = append(sim.sockets, s)
	}
	incarnationNumber := uint64(time.Now().Add(-time.Hour).UnixMilli())
	for k := range count {
		m := simulatedMember{entry: newEntry(first+k, incarnationNumber), incarnation: 1, socket: k % socketCount}
		m.entry.Incarnation.Nonce = uint32(first + k)
		m.entry.Address = sim.sockets[m.socket].address.String()
		sim.indexByNode[nodeName(m.entry)] = k
		sim.members = append(sim.members, m)
	}
	for _, s := range sim.sockets {
		sim.goroutines.Go(func() { sim.readPackets(s) })
		sim.goroutines.Go(func() { sim.acceptStreams(s) })
	}
	sim.goroutines.Go(sim.runGossip)
	sim.goroutines.Go(sim.runProbes)
	return sim, nil
}

// openMemberSocket opens a UDP socket and a TCP listener on the same port. It retries with another port up to 20 times while the
// TCP port is taken.
func openMemberSocket(ip netip.Addr) (*memberSocket, error) {
	for failures := 0; ; failures++ {
		packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(ip, 0)))
		if err != nil {
			return nil, err
		}
		packets.SetReadBuffer(4 << 20)
		address := netip.AddrPortFrom(ip, packets.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		streams, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			return &memberSocket{address, packets, streams}, nil
		}
		packets.Close()
		if failures == 20 {
			return nil, err
		}
	}
}

// Close stops the simulation and waits for its goroutines.
func (sim *SimulatedMembers) Close() {
	close(sim.closed)
	for _, s := range sim.sockets {
		s.packets.Close()
		s.streams.Close()
	}
	sim.goroutines.Wait()
}

// Addresses returns addresses at which real members may join.
func (sim *SimulatedMembers) Addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range sim.sockets[:3] {
		all = append(all, s.address)
	}
	return all
}

// AddTarget adds a real member to the targets.
func (sim *SimulatedMembers) AddTarget(t *Target) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.targets = append(sim.targets, t)
}

// SetView sets the version and digest of the target's view, which simulated members then report as their own.
func (sim *SimulatedMembers) SetView(t *Target, version, digest uint64) {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	t.viewVersion, t.viewDigest = version, digest
}

// StreamBytes returns the number of bytes sent and received on streams with targets.
func (sim *SimulatedMembers) StreamBytes() int64 { return sim.streamBytes.Load() }

// Len returns the number of simulated members.
func (sim *SimulatedMembers) Len() int { return len(sim.members) }
