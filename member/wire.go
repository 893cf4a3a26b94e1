package member

import (
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"go.uber.org/zap"

	"valveglade/logic/view"
)

// wire is the sockets of one member: packets and streams at one address. It outlives the gossip above it, which may be
// begun anew; whatever comes from where nobody is allowed to be, or is not ours, ends here.
type wire struct {
	listen    netip.AddrPort
	allow     []netip.Prefix
	udp       *net.UDPConn
	tcp       *net.TCPListener
	log       *zap.Logger
	onEvent   func(view.Event) // of what is ours and not gossip's
	onMessage func(from, to string, message []byte)
	onProbe   func(name string) (view.Entry, bool) // to a probe

	transport atomic.Pointer[transport] // the one in force
	lastBeat  atomic.Int64              // when the member's loop last came round, nanoseconds since epoch
	accuses   atomic.Bool
	lag, wake time.Duration

	counts  [causes]atomic.Int64
	sent    traffic
	got     traffic
	streams chan struct{} // places for connections that are being read
	frames  *streams      // of other concerns, see stream.go

	mu   sync.Mutex
	told map[cause]time.Time
}

// traffic counts packets and bytes of their payload, streams' bytes among them.
type traffic struct{ packets, bytes atomic.Int64 }

// cause is why something that came was dropped.
type cause uint8

const (
	notAllowed cause = iota // from an address that is not allowed
	foreign                 // of another protocol
	corrupt                 // cut short or spoilt
	invalid                 // says what cannot be true
	overloaded              // more at one time than is read
	causes
)

var causeNames = [causes]string{"not allowed", "foreign", "corrupt", "invalid", "overloaded"}

// maxStreams is how many connections are read at one time: an exchange may take a megabyte.
const maxStreams = 16

// Descriptors is how many a member holds at the most: its sockets, the streams that come, those that it opens (three to meet
// others, some probes of both kinds), and the local socket with one who asks there.
const Descriptors = 2 + maxStreams + 12 + 2

// DescriptorsWithStreams is how many a member holds that serves up to limit streams, and may open OutgoingStreams itself.
func DescriptorsWithStreams(limit int) int { return Descriptors + limit + OutgoingStreams }

// epoch makes times of the monotonic clock small numbers.
var epoch = time.Now()

func openWire(listen netip.AddrPort, allow []netip.Prefix, streamLimit int, log *zap.Logger) (*wire, error) {
	var udp *net.UDPConn
	var tcp *net.TCPListener
	var at netip.AddrPort
	for tries := 0; ; tries++ {
		var err error
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
			return nil, fmt.Errorf("fleet packets: %w", err)
		}
		at = udp.LocalAddr().(*net.UDPAddr).AddrPort() // with the port, where none was set
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		if tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at)); err == nil {
			break
		}
		udp.Close()
		if listen.Port() != 0 || tries == 20 { // a port that is free for packets need not be so for streams
			return nil, fmt.Errorf("fleet streams: %w", err)
		}
	}
	w := &wire{listen: at, allow: allow, udp: udp, tcp: tcp, log: log, told: map[cause]time.Time{},
		streams: make(chan struct{}, maxStreams), frames: newStreams(streamLimit), onEvent: func(view.Event) {},
		onMessage: func(string, string, []byte) {}}
	w.beat()
	return w, nil
}

// beat takes note that the member's loop has come round.
func (w *wire) beat() { w.lastBeat.Store(int64(time.Since(epoch))) }

// late is how long ago that was.
func (w *wire) late() time.Duration { return time.Since(epoch) - time.Duration(w.lastBeat.Load()) }

func (w *wire) allowed(ip netip.Addr) bool {
	for _, p := range w.allow {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}

// countDropped counts what was dropped, and says so once a second for each cause.
func (w *wire) countDropped(c cause, from string, err error) {
	w.counts[c].Add(1)
	now := time.Now()
	w.mu.Lock()
	quiet := now.Sub(w.told[c]) < time.Second
	if !quiet {
		w.told[c] = now
	}
	w.mu.Unlock()
	if !quiet {
		w.log.Warn("fleet packet dropped", zap.String("cause", causeNames[c]), zap.String("from", from), zap.Error(err),
			zap.Int64("so_far", w.counts[c].Load()))
	}
}

// packets reads until the socket is closed.
func (w *wire) packets() error {
	b := make([]byte, 64<<10)
	for {
		n, from, err := w.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue // an earlier packet was refused at its end; that says nothing of the socket
		}
		w.got.packets.Add(1)
		w.got.bytes.Add(int64(n))
		w.guard("packet", func() error { w.packet(b[:n], from); return nil })
	}
}

// guard has a panic end what it came with, and nothing else.
func (w *wire) guard(what string, f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			w.log.Error("panic", zap.String("fleet", what), zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	return f()
}

// packet looks at one, and passes it on to whom it is for.
func (w *wire) packet(b []byte, from netip.AddrPort) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if !w.allowed(from.Addr()) {
		w.countDropped(notAllowed, from.String(), nil)
		return
	}
	kind, payload, err := open(b)
	switch {
	case err == errForeign:
		w.countDropped(foreign, from.String(), err)
	case err != nil:
		w.countDropped(corrupt, from.String(), err)
	case kind == kindNewer:
		if e, ok := readNewer(payload); ok {
			w.onEvent(view.Event{Kind: view.NewerIncarnation, Entry: e})
		} else {
			w.countDropped(corrupt, from.String(), errCut)
		}
	case kind == kindGossip:
		w.gossip(payload, from)
	case kind == kindMessage:
		if who, to, message, ok := readMessage(payload); ok {
			w.onMessage(who, to, message)
		} else {
			w.countDropped(corrupt, from.String(), errCut)
		}
	default:
		w.countDropped(foreign, from.String(), fmt.Errorf("a packet of kind %q", kind))
	}
}

// gossip passes a packet on to the library.
func (w *wire) gossip(payload []byte, from netip.AddrPort) {
	kept, err := w.incoming(payload)
	switch {
	case errors.Is(err, errCut), errors.Is(err, errSpoilt), errors.Is(err, errForeign):
		w.countDropped(corrupt, from.String(), err)
	case err != nil:
		w.countDropped(invalid, from.String(), err)
	}
	t := w.transport.Load()
	if kept == nil || t == nil || w.late() > w.wake { // what came while this process slept is not worth believing
		return
	}
	select {
	case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), kept...), From: net.UDPAddrFromAddrPort(from),
		Timestamp: time.Now()}:
	default:
		w.countDropped(overloaded, from.String(), nil)
	}
}

// send puts one packet out.
func (w *wire) send(kind byte, payload []byte, to netip.AddrPort) error {
	b := seal(make([]byte, 0, packetHead+len(payload)), kind, payload)
	w.sent.packets.Add(1)
	w.sent.bytes.Add(int64(len(b)))
	_, err := w.udp.WriteToUDPAddrPort(b, to)
	return err
}

// maxEntry is the size of an announced entry at the most, and room for what a later version adds.
const maxEntry = 512

// accept takes connections until the listener is closed.
func (w *wire) accept() error {
	for {
		nc, err := w.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(20 * time.Millisecond) // no descriptor, mostly
			continue
		}
		from, _ := netip.ParseAddrPort(nc.RemoteAddr().String())
		if !w.allowed(from.Addr().Unmap()) {
			w.countDropped(notAllowed, from.String(), nil)
			nc.Close()
			continue
		}
		select {
		case w.streams <- struct{}{}:
			go w.guard("stream", func() error { w.handleStream(nc); return nil })
		default:
			w.countDropped(overloaded, from.String(), nil)
			nc.Close()
		}
	}
}

func (w *wire) close() {
	w.udp.Close()
	w.tcp.Close()
	w.frames.close()
}
