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

// wire holds the datagram and stream sockets of one member, at one address. It outlives runs of gossip, and drops what
// comes from addresses that are not allowed or belongs to another protocol.
type wire struct {
	listen    netip.AddrPort
	allow     []netip.Prefix
	udp       *net.UDPConn
	tcp       *net.TCPListener
	log       *zap.Logger
	onEvent   func(view.Event) // called for events that arrive outside of gossip
	onMessage func(from, to string, message []byte)
	onProbe   func(name string) (view.Entry, bool) // returns our entry, and whether name is ours

	transport     atomic.Pointer[transport] // the current run's, nil for none
	lastHeartbeat atomic.Int64              // time of the last pass of the member's loop, in nanoseconds since epoch
	maySuspect    atomic.Bool               // result of view.Machine.MaySuspect at that time
	lagThreshold  time.Duration             // lateness from which suspicions are not sent
	// rebuildThreshold is the lateness from which gossip is neither sent nor accepted, nor messages sent.
	rebuildThreshold time.Duration

	dropCounts      [causeCount]atomic.Int64
	sent            traffic
	received        traffic
	connectionSlots chan struct{} // one element for each connection that is being read
	frameStreams    *streams      // served by a StreamHandler, see stream.go

	mu         sync.Mutex
	lastLogged map[cause]time.Time // when countDropped last logged each cause
}

// traffic counts datagrams and the bytes of their payload.
type traffic struct{ packets, bytes atomic.Int64 }

// cause is why an incoming packet or stream was dropped.
type cause uint8

const (
	causeNotAllowed cause = iota // the source address is not allowed
	causeForeign                 // it belongs to another protocol
	causeCorrupt                 // it is truncated, or its checksum is wrong
	causeInvalid                 // its content is invalid
	causeOverloaded              // a queue or limit was full
	causeCount
)

var causeNames = [causeCount]string{"not allowed", "foreign", "corrupt", "invalid", "overloaded"}

// maxStreams bounds the connections that are read concurrently: an exchange may take a megabyte.
const maxStreams = 16

// Descriptors bounds the descriptors of a member: its sockets, the incoming streams, the outgoing ones (three contacts,
// some probes of both kinds), and the local socket with one connection.
const Descriptors = 2 + maxStreams + 12 + 2

// DescriptorsWithStreams bounds the descriptors of a member that serves up to limit streams and opens up to
// OutgoingStreams.
func DescriptorsWithStreams(limit int) int { return Descriptors + limit + OutgoingStreams }

// epoch is the origin of monotonic times.
var epoch = time.Now()

func openWire(listen netip.AddrPort, allow []netip.Prefix, streamLimit int, log *zap.Logger) (*wire, error) {
	var udp *net.UDPConn
	var tcp *net.TCPListener
	var at netip.AddrPort
	for tries := 0; ; tries++ {
		var err error
		if udp, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(listen)); err != nil {
			return nil, fmt.Errorf("listen for fleet packets: %w", err)
		}
		at = udp.LocalAddr().(*net.UDPAddr).AddrPort() // with the assigned port if none was set
		at = netip.AddrPortFrom(at.Addr().Unmap(), at.Port())
		if tcp, err = net.ListenTCP("tcp", net.TCPAddrFromAddrPort(at)); err == nil {
			break
		}
		udp.Close()
		if listen.Port() != 0 || tries == 20 { // a port that is free for datagrams may be in use for streams
			return nil, fmt.Errorf("listen for fleet streams: %w", err)
		}
	}
	w := &wire{listen: at, allow: allow, udp: udp, tcp: tcp, log: log, lastLogged: map[cause]time.Time{},
		connectionSlots: make(chan struct{}, maxStreams), frameStreams: newStreams(streamLimit), onEvent: func(view.Event) {},
		onMessage: func(string, string, []byte) {}}
	w.heartbeat()
	return w, nil
}

// heartbeat records that the member's loop has made a pass.
func (w *wire) heartbeat() { w.lastHeartbeat.Store(int64(time.Since(epoch))) }

// lateness returns the time since the last heartbeat.
func (w *wire) lateness() time.Duration {
	return time.Since(epoch) - time.Duration(w.lastHeartbeat.Load())
}

func (w *wire) allowed(ip netip.Addr) bool {
	for _, p := range w.allow {
		if p.Contains(ip) {
			return true
		}
	}
	return false
}

// countDropped counts a dropped packet or stream, and logs at most once a second for each cause.
func (w *wire) countDropped(c cause, from string, err error) {
	w.dropCounts[c].Add(1)
	now := time.Now()
	w.mu.Lock()
	suppressed := now.Sub(w.lastLogged[c]) < time.Second
	if !suppressed {
		w.lastLogged[c] = now
	}
	w.mu.Unlock()
	if !suppressed {
		w.log.Warn("fleet packet dropped", zap.String("cause", causeNames[c]), zap.String("from", from), zap.Error(err),
			zap.Int64("so_far", w.dropCounts[c].Load()))
	}
}

// readPackets handles datagrams until the socket is closed.
func (w *wire) readPackets() error {
	b := make([]byte, 64<<10)
	for {
		n, from, err := w.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			continue // an ICMP error for an earlier datagram; the socket still works
		}
		w.received.packets.Add(1)
		w.received.bytes.Add(int64(n))
		w.recoverPanic("packet", func() error { w.handlePacket(b[:n], from); return nil })
	}
}

// recoverPanic runs f, and logs a panic in it instead of passing it on.
func (w *wire) recoverPanic(what string, f func() error) (err error) {
	defer func() {
		if p := recover(); p != nil {
			w.log.Error("panic", zap.String("fleet", what), zap.Any("panic", p), zap.Stack("stack"))
		}
	}()
	return f()
}

// handlePacket checks a datagram and dispatches on its kind.
func (w *wire) handlePacket(b []byte, from netip.AddrPort) {
	from = netip.AddrPortFrom(from.Addr().Unmap(), from.Port())
	if !w.allowed(from.Addr()) {
		w.countDropped(causeNotAllowed, from.String(), nil)
		return
	}
	kind, payload, err := openPacket(b)
	switch {
	case err == errProtocol:
		w.countDropped(causeForeign, from.String(), err)
	case err != nil:
		w.countDropped(causeCorrupt, from.String(), err)
	case kind == kindNewerIncarnation:
		if e, ok := readNewerIncarnation(payload); ok {
			w.onEvent(view.Event{Kind: view.NewerIncarnation, Entry: e})
		} else {
			w.countDropped(causeCorrupt, from.String(), errTruncated)
		}
	case kind == kindGossip:
		w.handleGossip(payload, from)
	case kind == kindMessage:
		if sender, to, message, ok := readMessage(payload); ok {
			w.onMessage(sender, to, message)
		} else {
			w.countDropped(causeCorrupt, from.String(), errTruncated)
		}
	default:
		w.countDropped(causeForeign, from.String(), fmt.Errorf("unknown packet kind %q", kind))
	}
}

// handleGossip checks a gossip packet and passes it to the library.
func (w *wire) handleGossip(payload []byte, from netip.AddrPort) {
	kept, err := w.dropInvalid(payload)
	switch {
	case errors.Is(err, errTruncated), errors.Is(err, errChecksum), errors.Is(err, errProtocol):
		w.countDropped(causeCorrupt, from.String(), err)
	case err != nil:
		w.countDropped(causeInvalid, from.String(), err)
	}
	t := w.transport.Load()
	if kept == nil || t == nil || w.lateness() > w.rebuildThreshold { // packets from a long pause are outdated
		return
	}
	select {
	case t.packets <- &memberlist.Packet{Buf: append([]byte(nil), kept...), From: net.UDPAddrFromAddrPort(from),
		Timestamp: time.Now()}:
	default:
		w.countDropped(causeOverloaded, from.String(), nil)
	}
}

// send sends one datagram.
func (w *wire) send(kind byte, payload []byte, to netip.AddrPort) error {
	b := sealPacket(make([]byte, 0, packetHeaderSize+len(payload)), kind, payload)
	w.sent.packets.Add(1)
	w.sent.bytes.Add(int64(len(b)))
	_, err := w.udp.WriteToUDPAddrPort(b, to)
	return err
}

// maxEntrySize bounds the size of an announced entry in bytes, with capacity for fields of later versions.
const maxEntrySize = 512

// acceptStreams accepts connections until the listener is closed.
func (w *wire) acceptStreams() error {
	for {
		nc, err := w.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			time.Sleep(20 * time.Millisecond) // usually out of descriptors
			continue
		}
		from, _ := netip.ParseAddrPort(nc.RemoteAddr().String())
		if !w.allowed(from.Addr().Unmap()) {
			w.countDropped(causeNotAllowed, from.String(), nil)
			nc.Close()
			continue
		}
		select {
		case w.connectionSlots <- struct{}{}:
			go w.recoverPanic("stream", func() error { w.handleStream(nc); return nil })
		default:
			w.countDropped(causeOverloaded, from.String(), nil)
			nc.Close()
		}
	}
}

func (w *wire) close() {
	w.udp.Close()
	w.tcp.Close()
	w.frameStreams.close()
}
