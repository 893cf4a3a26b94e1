package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"
)

// FaultyNetwork is a faulty network among processes: one path between each ordered pair, for packets and streams alike. Each
// process has a loopback address of its own, from which it speaks, and one that it tells others, behind which the paths to
// it begin: so a path knows who speaks to whom.
type FaultyNetwork struct {
	subnetOctet int // the third of a loopback network that this one has for itself
	reservation  net.PacketConn

	mu    sync.Mutex
	endpoints  map[int]*endpoint
	paths map[[2]int]*Path
	rand  *rand.Rand
	group sync.WaitGroup
	closed  chan struct{}
}

// endpoint is one process's end.
type endpoint struct {
	slot    int
	listenAddress     netip.AddrPort // where the process listens
	advertisedAddress     netip.AddrPort // what it tells others
	packetConn *net.UDPConn
	streamListener *net.TCPListener
}

// Path is what is wrong between one process and another, one way.
type Path struct {
	Cut         bool
	Loss        float64       // of packets; a stream waits a fifth of a second for what is lost
	Duplication float64       // of packets
	Delay       time.Duration // the mean
	Jitter      time.Duration // the most by which a delay differs from the mean: packets overtake each other
	Rate        float64       // bytes a second, 0 for any number
	PacketDelay time.Duration // packets alone are so much later: gossip is late, and work is not
	freeAt        time.Time     // when the line is free again, under Rate
}

const fleetPort = 7946

// maxSlots is how many processes one such network has addresses for.
const maxSlots = 250

// NewFaultyNetwork takes a part of the loopback network that no other has.
func NewFaultyNetwork(seed uint64) (*FaultyNetwork, error) {
	first := os.Getpid()
	for k := range 200 {
		block := 16 + (first+k)%200
		lock, err := net.ListenPacket("udp", fmt.Sprintf("127.%d.3.1:%d", block, fleetPort))
		if err == nil {
			return &FaultyNetwork{subnetOctet: block, reservation: lock, endpoints: map[int]*endpoint{}, paths: map[[2]int]*Path{},
				rand: rand.New(rand.NewPCG(seed, 7)), closed: make(chan struct{})}, nil
		}
	}
	return nil, errors.New("no part of the loopback network is free")
}

func (p *FaultyNetwork) addressOf(part, slot int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(p.subnetOctet), byte(part), byte(slot)}), fleetPort)
}

// ListenAddress is where the process of a slot, from 1, listens; Via is what it tells others.
func (p *FaultyNetwork) ListenAddress(slot int) netip.AddrPort { return p.addressOf(1, slot) }

// AdvertisedAddress is the address that others are told.
func (p *FaultyNetwork) AdvertisedAddress(slot int) netip.AddrPort { return p.addressOf(2, slot) }

// Subnet is where all of them are.
func (p *FaultyNetwork) Subnet() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(p.subnetOctet), 0, 0}), 16)
}

// Add opens the paths to one more address.
func (p *FaultyNetwork) Add(slot int) error {
	if slot < 1 || slot > maxSlots {
		return fmt.Errorf("slot %d", slot)
	}
	p.mu.Lock()
	there := p.endpoints[slot] != nil
	p.mu.Unlock()
	if there {
		return nil // a new process takes over the address of one that has ended
	}
	e := &endpoint{slot: slot, listenAddress: p.ListenAddress(slot), advertisedAddress: p.AdvertisedAddress(slot)}
	var err error
	if e.packetConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.advertisedAddress)); err != nil {
		return err
	}
	if e.streamListener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(e.advertisedAddress)); err != nil {
		e.packetConn.Close()
		return err
	}
	p.mu.Lock()
	p.endpoints[slot] = e
	p.mu.Unlock()
	p.group.Go(func() { p.forwardPackets(e) })
	p.group.Go(func() { p.acceptStreams(e) })
	return nil
}

// Close ends it and waits until nothing of it is left.
func (p *FaultyNetwork) Close() {
	close(p.closed)
	p.mu.Lock()
	for _, e := range p.endpoints {
		e.packetConn.Close()
		e.streamListener.Close()
	}
	p.mu.Unlock()
	p.reservation.Close()
	p.group.Wait()
}

// Change has f change what is wrong on the path from one slot to another.
func (p *FaultyNetwork) Change(from, to int, f func(*Path)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	f(p.path(from, to))
}

// Heal makes all paths good.
func (p *FaultyNetwork) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.paths)
}

// path is called under the lock.
func (p *FaultyNetwork) path(from, to int) *Path {
	k := [2]int{from, to}
	if p.paths[k] == nil {
		p.paths[k] = &Path{}
	}
	return p.paths[k]
}

// slotOf is whose address that is, 0 for nobody's. Processes speak from their own address; what the rig itself sends on
// comes from those that are told.
func (p *FaultyNetwork) slotOf(at netip.Addr) int {
	b := at.Unmap().As4()
	if int(b[1]) != p.subnetOctet || b[2] != 1 {
		return 0
	}
	return int(b[3])
}

// transitDelay is how much transitDelay something of that size arrives, under the lock.
func (p *FaultyNetwork) transitDelay(l *Path, size int) time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration((2*p.rand.Float64() - 1) * float64(l.Jitter))
	}
	if l.Rate > 0 {
		now := time.Now()
		if l.freeAt.Before(now) {
			l.freeAt = now
		}
		l.freeAt = l.freeAt.Add(time.Duration(float64(size) / l.Rate * float64(time.Second)))
		d += l.freeAt.Sub(now)
	}
	return max(d, 0)
}

// maxPacketDelay is how long a line of limited rate is at the most: what is later is lost, as in a queue that is full.
const maxPacketDelay = 2 * time.Second

// forwardPackets passes on what comes for one process.
func (p *FaultyNetwork) forwardPackets(to *endpoint) {
	b := make([]byte, 64<<10)
	for {
		n, src, err := to.packetConn.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.mu.Lock()
		from := p.endpoints[p.slotOf(src.Addr())]
		if from == nil {
			p.mu.Unlock()
			continue
		}
		l := p.path(from.slot, to.slot)
		copies := 1
		if l.Duplication > 0 && p.rand.Float64() < l.Duplication {
			copies = 2
		}
		if l.Cut || l.Loss > 0 && p.rand.Float64() < l.Loss {
			copies = 0
		}
		var waits [2]time.Duration
		for k := range copies {
			waits[k] = p.transitDelay(l, n) + l.PacketDelay
		}
		p.mu.Unlock()
		for _, d := range waits[:copies] {
			switch {
			case d == 0:
				from.packetConn.WriteToUDPAddrPort(b[:n], to.listenAddress)
			case d <= maxPacketDelay || l.PacketDelay > 0:
				packet := append([]byte(nil), b[:n]...)
				time.AfterFunc(d, func() { from.packetConn.WriteToUDPAddrPort(packet, to.listenAddress) })
			}
		}
	}
}

// acceptStreams takes connections to one process, and passes them on from the address that their other end tells others.
func (p *FaultyNetwork) acceptStreams(to *endpoint) {
	for {
		nc, err := to.streamListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		src, _ := netip.ParseAddrPort(nc.RemoteAddr().String())
		p.mu.Lock()
		from := p.endpoints[p.slotOf(src.Addr())]
		p.mu.Unlock()
		if from == nil {
			nc.Close()
			continue
		}
		p.group.Go(func() { p.forwardStream(nc, from, to) })
	}
}

// streamTimeout is how long a connection waits behind a cut before the system of a real host would give it up.
const streamTimeout = 20 * time.Second

// awaitPath waits until the path lets through; it gives how long what is sent now takes, and false if that never comes.
func (p *FaultyNetwork) awaitPath(from, to *endpoint, size int) (time.Duration, bool) {
	for end := time.Now().Add(streamTimeout); time.Now().Before(end); {
		p.mu.Lock()
		l := p.path(from.slot, to.slot)
		cut := l.Cut
		d := p.transitDelay(l, size)
		if l.Loss > 0 && p.rand.Float64() < l.Loss {
			d += 200 * time.Millisecond // the least that TCP waits before it sends again
		}
		p.mu.Unlock()
		if !cut {
			return d, true
		}
		select {
		case <-p.closed:
			return 0, false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return 0, false
}

func (p *FaultyNetwork) forwardStream(nc net.Conn, from, to *endpoint) {
	defer nc.Close()
	stop := make(chan struct{})
	defer close(stop)
	p.group.Go(func() {
		select {
		case <-p.closed:
			nc.Close()
		case <-stop:
		}
	})
	// A connection is there once a packet has come through each way.
	for _, way := range [][2]*endpoint{{from, to}, {to, from}} {
		d, ok := p.awaitPath(way[0], way[1], 60)
		if !ok {
			return
		}
		time.Sleep(d)
	}
	dial := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: from.advertisedAddress.Addr().AsSlice()}}
	server, err := dial.Dial("tcp", to.listenAddress.String())
	if err != nil {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0) // refused
		}
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { p.copyDirection(nc, server, from, to) })
	both.Go(func() { p.copyDirection(server, nc, to, from) })
	both.Wait()
}

// copyDirection carries one direction of a connection until it ends.
func (p *FaultyNetwork) copyDirection(in, out net.Conn, from, to *endpoint) {
	defer out.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := in.Read(b)
		if n > 0 {
			d, ok := p.awaitPath(from, to, n)
			if !ok {
				return
			}
			if d > 0 {
				time.Sleep(d)
			}
			if _, err := out.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := out.(*net.TCPConn); ok && n == 0 {
				tcp.CloseWrite()
				time.Sleep(time.Millisecond)
			}
			return
		}
	}
}
