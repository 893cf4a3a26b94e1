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
	block int // the third of a loopback network that this one has for itself
	lock  net.PacketConn

	mu    sync.Mutex
	ends  map[int]*pathEnd
	paths map[[2]int]*Path
	rand  *rand.Rand
	group sync.WaitGroup
	over  chan struct{}
}

// pathEnd is one process's end.
type pathEnd struct {
	slot    int
	own     netip.AddrPort // where the process listens
	via     netip.AddrPort // what it tells others
	packets *net.UDPConn
	streams *net.TCPListener
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
	free        time.Time     // when the line is free again, under Rate
}

const fleetPort = 7946

// mostSlots is how many processes one such network has addresses for.
const mostSlots = 250

// NewFaultyNetwork takes a part of the loopback network that no other has.
func NewFaultyNetwork(seed uint64) (*FaultyNetwork, error) {
	first := os.Getpid()
	for k := range 200 {
		block := 16 + (first+k)%200
		lock, err := net.ListenPacket("udp", fmt.Sprintf("127.%d.3.1:%d", block, fleetPort))
		if err == nil {
			return &FaultyNetwork{block: block, lock: lock, ends: map[int]*pathEnd{}, paths: map[[2]int]*Path{},
				rand: rand.New(rand.NewPCG(seed, 7)), over: make(chan struct{})}, nil
		}
	}
	return nil, errors.New("no part of the loopback network is free")
}

func (p *FaultyNetwork) at(part, slot int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(p.block), byte(part), byte(slot)}), fleetPort)
}

// ListenAddress is where the process of a slot, from 1, listens; Via is what it tells others.
func (p *FaultyNetwork) ListenAddress(slot int) netip.AddrPort { return p.at(1, slot) }

// AdvertisedAddress is the address that others are told.
func (p *FaultyNetwork) AdvertisedAddress(slot int) netip.AddrPort { return p.at(2, slot) }

// Subnet is where all of them are.
func (p *FaultyNetwork) Subnet() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(p.block), 0, 0}), 16)
}

// Add opens the paths to one more address.
func (p *FaultyNetwork) Add(slot int) error {
	if slot < 1 || slot > mostSlots {
		return fmt.Errorf("slot %d", slot)
	}
	p.mu.Lock()
	there := p.ends[slot] != nil
	p.mu.Unlock()
	if there {
		return nil // a new process takes over the address of one that has ended
	}
	e := &pathEnd{slot: slot, own: p.ListenAddress(slot), via: p.AdvertisedAddress(slot)}
	var err error
	if e.packets, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(e.via)); err != nil {
		return err
	}
	if e.streams, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(e.via)); err != nil {
		e.packets.Close()
		return err
	}
	p.mu.Lock()
	p.ends[slot] = e
	p.mu.Unlock()
	p.group.Go(func() { p.carryPackets(e) })
	p.group.Go(func() { p.carryStreams(e) })
	return nil
}

// Close ends it and waits until nothing of it is left.
func (p *FaultyNetwork) Close() {
	close(p.over)
	p.mu.Lock()
	for _, e := range p.ends {
		e.packets.Close()
		e.streams.Close()
	}
	p.mu.Unlock()
	p.lock.Close()
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

// slot is whose address that is, 0 for nobody's. Processes speak from their own address; what the rig itself sends on
// comes from those that are told.
func (p *FaultyNetwork) slot(at netip.Addr) int {
	b := at.Unmap().As4()
	if int(b[1]) != p.block || b[2] != 1 {
		return 0
	}
	return int(b[3])
}

// later is how much later something of that size arrives, under the lock.
func (p *FaultyNetwork) later(l *Path, size int) time.Duration {
	d := l.Delay
	if l.Jitter > 0 {
		d += time.Duration((2*p.rand.Float64() - 1) * float64(l.Jitter))
	}
	if l.Rate > 0 {
		now := time.Now()
		if l.free.Before(now) {
			l.free = now
		}
		l.free = l.free.Add(time.Duration(float64(size) / l.Rate * float64(time.Second)))
		d += l.free.Sub(now)
	}
	return max(d, 0)
}

// mostWaits is how long a line of limited rate is at the most: what is later is lost, as in a queue that is full.
const mostWaits = 2 * time.Second

// carryPackets passes on what comes for one process.
func (p *FaultyNetwork) carryPackets(to *pathEnd) {
	b := make([]byte, 64<<10)
	for {
		n, src, err := to.packets.ReadFromUDPAddrPort(b)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		p.mu.Lock()
		from := p.ends[p.slot(src.Addr())]
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
			waits[k] = p.later(l, n) + l.PacketDelay
		}
		p.mu.Unlock()
		for _, d := range waits[:copies] {
			switch {
			case d == 0:
				from.packets.WriteToUDPAddrPort(b[:n], to.own)
			case d <= mostWaits || l.PacketDelay > 0:
				packet := append([]byte(nil), b[:n]...)
				time.AfterFunc(d, func() { from.packets.WriteToUDPAddrPort(packet, to.own) })
			}
		}
	}
}

// carryStreams takes connections to one process, and passes them on from the address that their other end tells others.
func (p *FaultyNetwork) carryStreams(to *pathEnd) {
	for {
		nc, err := to.streams.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		src, _ := netip.ParseAddrPort(nc.RemoteAddr().String())
		p.mu.Lock()
		from := p.ends[p.slot(src.Addr())]
		p.mu.Unlock()
		if from == nil {
			nc.Close()
			continue
		}
		p.group.Go(func() { p.carryStream(nc, from, to) })
	}
}

// patience is how long a connection waits behind a cut before the system of a real host would give it up.
const patience = 20 * time.Second

// open waits until the path lets through; it gives how long what is sent now takes, and false if that never comes.
func (p *FaultyNetwork) open(from, to *pathEnd, size int) (time.Duration, bool) {
	for end := time.Now().Add(patience); time.Now().Before(end); {
		p.mu.Lock()
		l := p.path(from.slot, to.slot)
		cut := l.Cut
		d := p.later(l, size)
		if l.Loss > 0 && p.rand.Float64() < l.Loss {
			d += 200 * time.Millisecond // the least that TCP waits before it sends again
		}
		p.mu.Unlock()
		if !cut {
			return d, true
		}
		select {
		case <-p.over:
			return 0, false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return 0, false
}

func (p *FaultyNetwork) carryStream(nc net.Conn, from, to *pathEnd) {
	defer nc.Close()
	stop := make(chan struct{})
	defer close(stop)
	p.group.Go(func() {
		select {
		case <-p.over:
			nc.Close()
		case <-stop:
		}
	})
	// A connection is there once a packet has come through each way.
	for _, way := range [][2]*pathEnd{{from, to}, {to, from}} {
		d, ok := p.open(way[0], way[1], 60)
		if !ok {
			return
		}
		time.Sleep(d)
	}
	dial := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: from.via.Addr().AsSlice()}}
	server, err := dial.Dial("tcp", to.own.String())
	if err != nil {
		if tcp, ok := nc.(*net.TCPConn); ok {
			tcp.SetLinger(0) // refused
		}
		return
	}
	defer server.Close()
	var both sync.WaitGroup
	both.Go(func() { p.copy(nc, server, from, to) })
	both.Go(func() { p.copy(server, nc, to, from) })
	both.Wait()
}

// copy carries one direction of a connection until it ends.
func (p *FaultyNetwork) copy(in, out net.Conn, from, to *pathEnd) {
	defer out.Close()
	b := make([]byte, 16<<10)
	for {
		n, err := in.Read(b)
		if n > 0 {
			d, ok := p.open(from, to, n)
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
