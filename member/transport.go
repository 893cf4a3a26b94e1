package member

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
)

// transport implements memberlist.Transport over a wire, for one run of gossip.
type transport struct {
	*wire
	advertise netip.AddrPort
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	done      chan struct{}
	once      sync.Once
}

func (w *wire) newTransport(advertise netip.AddrPort) *transport {
	return &transport{wire: w, advertise: advertise, packets: make(chan *memberlist.Packet, 512),
		streams: make(chan net.Conn), done: make(chan struct{})}
}

// FinalAdvertiseAddr returns the address that other members use.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// silent reports whether this transport must send nothing: gossip has been restarted since, or the process has just
// resumed after a long pause.
func (t *transport) silent() bool {
	return t.wire.transport.Load() != t || t.lateness() > t.rebuildThreshold
}

// WriteTo sends a packet, without its suspicions while this process is late.
func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	now := time.Now()
	if t.silent() {
		return now, nil
	}
	if !t.maySuspect.Load() || t.lateness() > t.lagThreshold {
		if b = dropSuspicions(b); b == nil {
			return now, nil
		}
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return now, err
	}
	return now, t.send(kindGossip, b, to)
}

// PacketCh returns the channel of incoming packets.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

var errGossipRestarted = errors.New("gossip has been restarted")

// DialTimeout opens a gossip stream.
func (t *transport) DialTimeout(address string, within time.Duration) (net.Conn, error) {
	if t.silent() {
		return nil, errGossipRestarted
	}
	ctx, end := context.WithTimeout(context.Background(), within)
	defer end()
	nc, err := t.dial(ctx, address, kindGossip)
	if err != nil {
		return nil, err
	}
	nc.SetDeadline(time.Time{})
	return newStream(nc, t.wire, func() {}), nil
}

// StreamCh returns the channel of incoming streams.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown ends the transport; the sockets stay open.
func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.done) })
	return nil
}
