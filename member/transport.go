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

// transport is what the gossip library sends and receives through, until it is begun anew.
type transport struct {
	*wire
	advertise netip.AddrPort
	packets   chan *memberlist.Packet
	streams   chan net.Conn
	done      chan struct{}
	once      sync.Once
}

func (w *wire) newTransport(advertise netip.AddrPort) *transport {
	return &transport{wire: w, advertise: advertise, packets: make(chan *memberlist.Packet, 512), streams: make(chan net.Conn),
		done: make(chan struct{})}
}

// FinalAdvertiseAddr gives the address that others are told.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	return t.advertise.Addr().AsSlice(), int(t.advertise.Port()), nil
}

// over tells whether this transport is to be silent: another is in force, or the process has only just woken.
func (t *transport) over() bool { return t.wire.transport.Load() != t || t.late() > t.wake }

// WriteTo sends a packet, without its accusations while this process is late itself.
func (t *transport) WriteTo(b []byte, address string) (time.Time, error) {
	now := time.Now()
	if t.over() {
		return now, nil
	}
	if !t.accuses.Load() || t.late() > t.lag {
		if b = outgoing(b); b == nil {
			return now, nil
		}
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return now, err
	}
	return now, t.send(kindGossip, b, to)
}

// PacketCh is where packets come in.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

var errOver = errors.New("gossip has been begun anew")

// DialTimeout opens a stream.
func (t *transport) DialTimeout(address string, within time.Duration) (net.Conn, error) {
	if t.over() {
		return nil, errOver
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

// StreamCh is where streams come in.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown ends it; the sockets stay.
func (t *transport) Shutdown() error {
	t.once.Do(func() { close(t.done) })
	return nil
}
