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

// FaultyNetwork forwards UDP packets and TCP streams between processes and injects faults on the way, with separate settings
// for each ordered pair of processes. Each process listens on and sends from a loopback address of its own and advertises
// another one, on which FaultyNetwork listens: the two addresses identify sender and receiver.
type FaultyNetwork struct {
	subnetOctet int            // second octet of the loopback addresses, reserved for this network
	reservation net.PacketConn // socket that reserves the octet

	mu        sync.Mutex
	endpoints map[int]*endpoint // by slot
	paths     map[[2]int]*Path  // by the slots of sender and receiver
	rng       *rand.Rand
	group     sync.WaitGroup
	closed    chan struct{}
}

// endpoint holds the addresses of one process and the sockets on which the network listens for it.
type endpoint struct {
	slot              int
	listenAddress     netip.AddrPort // where the process listens and from where it sends
	advertisedAddress netip.AddrPort // what the process advertises to others
	packetConn        *net.UDPConn
	streamListener    *net.TCPListener
}

// Path holds the faults of one direction between two processes. Its zero value is a path without faults.
type Path struct {
	Cut         bool
	Loss        float64       // share of packets lost; the bytes of a stream are delayed by 200 ms instead
	Duplication float64       // share of packets sent twice
	Delay       time.Duration // the mean, one way
	Jitter      time.Duration // the largest deviation of a delay from the mean, which may reorder packets
	Rate        float64       // bytes per second; 0 for unlimited
	PacketDelay time.Duration // further delay of packets alone: delays gossip but no RPCs
	freeAt      time.Time     // under Rate, when the path will have sent all bytes so far
}

// fleetPort is the port of all addresses of a network.
const fleetPort = 7946

// maxSlots is the number of processes that one network has addresses for.
const maxSlots = 250

// NewFaultyNetwork reserves a part of the loopback network that no other process uses. The seed determines which packets are
// lost or duplicated and how delays vary. The caller closes the network.
func NewFaultyNetwork(seed uint64) (*FaultyNetwork, error) {
	start := os.Getpid()
	for k := range 200 {
		octet := 16 + (start+k)%200
		reservation, err := net.ListenPacket("udp", fmt.Sprintf("127.%d.3.1:%d", octet, fleetPort))
		if err == nil {
			return &FaultyNetwork{subnetOctet: octet, reservation: reservation, endpoints: map[int]*endpoint{}, paths: map[[2]int]*Path{},
				rng: rand.New(rand.NewPCG(seed, 7)), closed: make(chan struct{})}, nil
		}
	}
	return nil, errors.New("no part of the loopback network is free")
}

// addressOf returns an address of a slot. part, the third octet, is 1 for the listen address and 2 for the advertised one.
func (f *FaultyNetwork) addressOf(part, slot int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, byte(f.subnetOctet), byte(part), byte(slot)}), fleetPort)
}

// ListenAddress returns the address where the process of a slot, from 1, listens.
func (f *FaultyNetwork) ListenAddress(slot int) netip.AddrPort {
	return f.addressOf(1, slot)
}

// AdvertisedAddress returns the address that the process of a slot advertises to others.
func (f *FaultyNetwork) AdvertisedAddress(slot int) netip.AddrPort {
	return f.addressOf(2, slot)
}

// Subnet returns the loopback subnet of all addresses of this network.
func (f *FaultyNetwork) Subnet() netip.Prefix {
	return netip.PrefixFrom(netip.AddrFrom4([4]byte{127, byte(f.subnetOctet), 0, 0}), 16)
}

// Add listens on the advertised address of a slot and forwards what arrives there. A slot that was added before is kept.
func (f *FaultyNetwork) Add(slot int) error {
	if slot < 1 || slot > maxSlots {
		return fmt.Errorf("slot %d is out of range", slot)
	}
	f.mu.Lock()
	exists := f.endpoints[slot] != nil
	f.mu.Unlock()
	if exists {
		return nil // a new process takes over the address of one that has exited
	}
	added := &endpoint{slot: slot, listenAddress: f.ListenAddress(slot), advertisedAddress: f.AdvertisedAddress(slot)}
	var err error
	if added.packetConn, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(added.advertisedAddress)); err != nil {
		return err
	}
	if added.streamListener, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(added.advertisedAddress)); err != nil {
		added.packetConn.Close()
		return err
	}
	f.mu.Lock()
	f.endpoints[slot] = added
	f.mu.Unlock()
	f.group.Go(func() { f.forwardPackets(added) })
	f.group.Go(func() { f.acceptStreams(added) })
	return nil
}

// Close closes all sockets and waits for all goroutines of the network.
func (f *FaultyNetwork) Close() {
	close(f.closed)
	f.mu.Lock()
	for _, e := range f.endpoints {
		e.packetConn.Close()
		e.streamListener.Close()
	}
	f.mu.Unlock()
	f.reservation.Close()
	f.group.Wait()
}

// Change calls change, under the lock, with the faults of the path from one slot to another.
func (f *FaultyNetwork) Change(from, to int, change func(*Path)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f.path(from, to))
}

// Heal ends the faults of all paths.
func (f *FaultyNetwork) Heal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	clear(f.paths)
}

// path returns the path from one slot to another. The caller holds the lock.
func (f *FaultyNetwork) path(from, to int) *Path {
	key := [2]int{from, to}
	if f.paths[key] == nil {
		f.paths[key] = &Path{}
	}
	return f.paths[key]
}

// slotOf returns the slot of a listen address, or 0 for any other address. Processes send from their listen addresses, whereas
// the network forwards from advertised ones.
func (f *FaultyNetwork) slotOf(address netip.Addr) int {
	octets := address.Unmap().As4()
	if int(octets[1]) != f.subnetOctet || octets[2] != 1 {
		return 0
	}
	return int(octets[3])
}

// transitDelay returns the delay of size bytes that are sent on a path now. The caller holds the lock.
func (f *FaultyNetwork) transitDelay(path *Path, size int) time.Duration {
	delay := path.Delay
	if path.Jitter > 0 {
		delay += time.Duration((2*f.rng.Float64() - 1) * float64(path.Jitter))
	}
	if path.Rate > 0 {
		now := time.Now()
		if path.freeAt.Before(now) {
			path.freeAt = now
		}
		path.freeAt = path.freeAt.Add(time.Duration(float64(size) / path.Rate * float64(time.Second)))
		delay += path.freeAt.Sub(now)
	}
	return max(delay, 0)
}

// maxPacketDelay bounds the queue of a path of limited rate: packets delayed longer are lost, as in a full queue.
const maxPacketDelay = 2 * time.Second

// forwardPackets forwards packets to one process until the socket of its advertised address is closed.
func (f *FaultyNetwork) forwardPackets(to *endpoint) {
	buffer := make([]byte, 64<<10)
	for {
		n, src, err := to.packetConn.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		f.mu.Lock()
		from := f.endpoints[f.slotOf(src.Addr())]
		if from == nil {
			f.mu.Unlock()
			continue
		}
		path := f.path(from.slot, to.slot)
		copies := 1
		if path.Duplication > 0 && f.rng.Float64() < path.Duplication {
			copies = 2
		}
		if path.Cut || path.Loss > 0 && f.rng.Float64() < path.Loss {
			copies = 0
		}
		var delays [2]time.Duration
		for k := range copies {
			delays[k] = f.transitDelay(path, n) + path.PacketDelay
		}
		f.mu.Unlock()
		for _, delay := range delays[:copies] {
			switch {
			case delay == 0:
				from.packetConn.WriteToUDPAddrPort(buffer[:n], to.listenAddress)
			case delay <= maxPacketDelay || path.PacketDelay > 0:
				packet := append([]byte(nil), buffer[:n]...)
				time.AfterFunc(delay, func() { from.packetConn.WriteToUDPAddrPort(packet, to.listenAddress) })
			}
		}
	}
}

// acceptStreams accepts connections to one process and forwards each from the advertised address of the process that opened it.
func (f *FaultyNetwork) acceptStreams(to *endpoint) {
	for {
		client, err := to.streamListener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		src, _ := netip.ParseAddrPort(client.RemoteAddr().String())
		f.mu.Lock()
		from := f.endpoints[f.slotOf(src.Addr())]
		f.mu.Unlock()
		if from == nil {
			client.Close()
			continue
		}
		f.group.Go(func() { f.forwardStream(client, from, to) })
	}
}

// streamTimeout is how long a stream waits while its path is cut. After it the stream ends, as on a host that gives up the
// connection.
const streamTimeout = 20 * time.Second

// awaitPath waits until a path is not cut and returns the delay of size bytes that are sent then, which the caller still has to
// wait. It returns false if the path is still cut after streamTimeout, or if the network is closed meanwhile.
func (f *FaultyNetwork) awaitPath(from, to *endpoint, size int) (time.Duration, bool) {
	for end := time.Now().Add(streamTimeout); time.Now().Before(end); {
		f.mu.Lock()
		path := f.path(from.slot, to.slot)
		cut := path.Cut
		delay := f.transitDelay(path, size)
		if path.Loss > 0 && f.rng.Float64() < path.Loss {
			delay += 200 * time.Millisecond // TCP's minimum retransmission timeout
		}
		f.mu.Unlock()
		if !cut {
			return delay, true
		}
		select {
		case <-f.closed:
			return 0, false
		case <-time.After(20 * time.Millisecond):
		}
	}
	return 0, false
}

// forwardStream forwards one connection in both directions until either ends or the network is closed.
func (f *FaultyNetwork) forwardStream(client net.Conn, from, to *endpoint) {
	defer client.Close()
	stop := make(chan struct{})
	defer close(stop)
	f.group.Go(func() {
		select {
		case <-f.closed:
			client.Close()
		case <-stop:
		}
	})
	// A connection is established once a packet has arrived in each direction.
	for _, direction := range [][2]*endpoint{{from, to}, {to, from}} {
		delay, ok := f.awaitPath(direction[0], direction[1], 60)
		if !ok {
			return
		}
		time.Sleep(delay)
	}
	dial := net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: from.advertisedAddress.Addr().AsSlice()}}
	server, err := dial.Dial("tcp", to.listenAddress.String())
	if err != nil {
		if tcp, ok := client.(*net.TCPConn); ok {
			tcp.SetLinger(0) // reset, as a refused connection
		}
		return
	}
	defer server.Close()
	var directions sync.WaitGroup
	directions.Go(func() { f.copyDirection(client, server, from, to) })
	directions.Go(func() { f.copyDirection(server, client, to, from) })
	directions.Wait()
}

// copyDirection copies one direction of a connection, from in to out, from one endpoint to the other:
// it waits for the path and sleeps for its delay after each read. Then it closes out, from which the other direction reads, so
// that this one ends too. It returns when in ends or fails, when a write fails, or when awaitPath returns false: the path stayed
// cut for streamTimeout, or the network was closed.
func (f *FaultyNetwork) copyDirection(in, out net.Conn, from, to *endpoint) {
	defer out.Close()
	buffer := make([]byte, 16<<10)
	for {
		n, err := in.Read(buffer)
		if n > 0 {
			delay, ok := f.awaitPath(from, to, n)
			if !ok {
				return
			}
			if delay > 0 {
				time.Sleep(delay)
			}
			if _, err := out.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if tcp, ok := out.(*net.TCPConn); ok && n == 0 { // in has ended or failed, and no bytes came with that
				tcp.CloseWrite()
				time.Sleep(time.Millisecond) // out stays open for the other direction until the deferred Close
			}
			return
		}
	}
}
