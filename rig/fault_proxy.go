package rig

import (
	"bytes"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/internal/thrift"
)

// FaultProxy is a TCP proxy in front of one app server that injects faults; callers connect to its address. It forwards all
// bytes unchanged and reports each message to the checker before it forwards the message's last byte.
type FaultProxy struct {
	serverName   string
	target       string
	check        *Checker
	listener     net.Listener
	onConnection func(time.Time) // called with the time of each forwarded connection, if set
	arrivals     *Arrivals       // counts each forwarded RPC, if set

	mu          sync.Mutex
	connections map[*proxiedConnection]struct{}
	refusing    bool // connections are refused
	blackholed  bool // connections are accepted and nothing is forwarded
	group       sync.WaitGroup

	trickleBytes atomic.Int64  // bytes of a reply that are written per trickleInterval; 0 for no limit
	delay        atomic.Int64  // of each direction, in nanoseconds
	fragmentSeed atomic.Uint64 // seed of the fragment lengths of both directions; 0 for no fragmentation
}

// NewFaultProxy listens on a free loopback port for callers of the app server at target, which the checker knows as server.
// The caller closes the proxy.
func NewFaultProxy(server, target string, check *Checker) (*FaultProxy, error) {
	p := &FaultProxy{serverName: server, target: target, check: check, connections: map[*proxiedConnection]struct{}{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p.listener = listener
	p.group.Go(p.accept)
	return p, nil
}

// Address returns the address where callers connect.
func (p *FaultProxy) Address() string { return p.listener.Addr().String() }

// OnConnection sets a function that is called with the time of each connection that is accepted and forwarded. It must be
// called before the first connection.
func (p *FaultProxy) OnConnection(f func(time.Time)) { p.onConnection = f }

// CountArrivals sets the counter of forwarded RPCs. It must be called before the first connection.
func (p *FaultProxy) CountArrivals(a *Arrivals) { p.arrivals = a }

// SetDown resets all connections and refuses new ones, or accepts them again.
func (p *FaultProxy) SetDown(refusing bool) {
	p.mu.Lock()
	wasRefusing := p.refusing
	p.refusing = refusing
	p.mu.Unlock()
	switch {
	case refusing && !wasRefusing:
		p.listener.Close()
		p.ResetConnections()
	case !refusing && wasRefusing:
		listener, err := net.Listen("tcp", p.listener.Addr().String())
		if err != nil {
			p.check.RigFailed("the proxy cannot listen again: %v", err)
			return
		}
		p.listener = listener
		p.group.Go(p.accept)
	}
}

// SetBlackhole resets all connections; new ones are accepted and what they send is discarded, or they are forwarded again.
func (p *FaultProxy) SetBlackhole(blackholed bool) {
	p.mu.Lock()
	p.blackholed = blackholed
	p.mu.Unlock()
	p.ResetConnections()
}

// TrickleReplies writes replies the given number of bytes at a time, one write per trickleInterval; 0 removes the limit.
func (p *FaultProxy) TrickleReplies(bytes int) { p.trickleBytes.Store(int64(bytes)) }

// FragmentWrites splits the writes of both directions into fragments of random length drawn from the seed; 0 ends it.
func (p *FaultProxy) FragmentWrites(seed uint64) { p.fragmentSeed.Store(seed) }

// SetDelay delays each chunk of bytes, in each direction.
func (p *FaultProxy) SetDelay(d time.Duration) { p.delay.Store(int64(d)) }

// ResetConnections resets all connections.
func (p *FaultProxy) ResetConnections() {
	p.mu.Lock()
	connections := make([]*proxiedConnection, 0, len(p.connections))
	for f := range p.connections {
		connections = append(connections, f)
	}
	p.mu.Unlock()
	for _, f := range connections {
		f.reset()
	}
}

// Close stops listening, resets all connections and waits for all goroutines of the proxy.
func (p *FaultProxy) Close() {
	p.listener.Close()
	p.ResetConnections()
	p.group.Wait()
}

// reset closes both sides of a connection, the one to the caller with a TCP reset.
func (f *proxiedConnection) reset() {
	f.endedLocally.Store(true)
	if tcp, ok := f.caller.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	f.caller.Close()
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.server != nil {
		f.server.Close()
	}
}

// accept accepts connections until the listener is closed.
func (p *FaultProxy) accept() {
	for listener := p.listener; ; {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refusing, blackholed := p.refusing, p.blackholed
		f := &proxiedConnection{FaultProxy: p, caller: nc}
		p.connections[f] = struct{}{}
		p.mu.Unlock()
		switch {
		case refusing:
			f.reset()
			f.finish()
		case blackholed:
			p.group.Go(f.discardAll)
		default:
			if p.onConnection != nil {
				p.onConnection(time.Now())
			}
			p.group.Go(f.forward)
		}
	}
}

// finish removes a connection from the proxy and reports its end to the checker.
func (f *proxiedConnection) finish() {
	f.mu.Lock()
	delete(f.connections, f)
	f.mu.Unlock()
	f.check.ConnectionEnded(f, f.endedLocally.Load())
}

// discardAll reads what the caller sends until it closes the connection, and never replies.
func (f *proxiedConnection) discardAll() {
	defer f.finish()
	defer f.caller.Close()
	b := make([]byte, 4096)
	for {
		if _, err := f.caller.Read(b); err != nil {
			return
		}
	}
}

// forward connects to the app server and forwards both directions until they end.
func (f *proxiedConnection) forward() {
	defer f.finish()
	server, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		f.reset()
		return
	}
	f.mu.Lock()
	f.server = server
	f.mu.Unlock()
	if f.endedLocally.Load() { // reset while connecting
		server.Close()
	}
	f.check.connectionOpened(f)
	var directions sync.WaitGroup
	directions.Go(func() { f.forwardRequests(server) })
	directions.Go(func() { f.forwardReplies(server) })
	directions.Wait()
	f.caller.Close()
}

// forwardRequests forwards the caller's requests to the app server.
func (f *proxiedConnection) forwardRequests(server net.Conn) {
	var pendingSeqs []int32 // sequence numbers of the requests in the bytes being written whose replies are due
	onFrame := func(frame []byte) {
		if seq, isPending := f.watchRequest(frame); isPending {
			pendingSeqs = append(pendingSeqs, seq)
		}
	}
	err := f.transfer(f.caller, frameObserver{onFrame: onFrame}, func(b []byte) error {
		err := f.writeFragments(server, b)
		for _, seq := range pendingSeqs {
			if err != nil {
				f.check.TryNotWritten(f, seq)
			}
		}
		pendingSeqs = pendingSeqs[:0]
		return err
	})
	if err == errReceiverClosed { // the app server closed the connection; what it sent before is still forwarded
		f.drainCaller()
		return
	}
	f.endedLocally.Store(true) // the caller closed first, or the app server did, which forwardReplies reports
	server.Close()
	f.drainCaller()
}

// forwardReplies forwards the app server's replies to the caller. Replies are read as they arrive and written by a goroutine of
// their own, so that a slow caller does not make the app server's replies look late.
func (f *proxiedConnection) forwardReplies(server net.Conn) {
	observer := frameObserver{
		onFrame: f.watchReply,
		onInvalid: func(err error) {
			f.check.reportViolation(1, "%s says what no router can read: %v", f.FaultProxy.serverName, err)
		},
	}
	queue := make(chan []byte, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { f.writeReplies(queue, server) })
	f.transfer(server, observer, func(b []byte) error {
		queue <- bytes.Clone(b)
		return nil
	})
	f.endedByServer.Store(true)
	f.check.ConnectionEnded(f, f.endedLocally.Load())
	close(queue)
	writer.Wait()
	if tcp, ok := f.caller.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	f.caller.SetReadDeadline(time.Now().Add(callerDrainTime))
	server.Close()
}

// maxQueuedChunks bounds how many chunks read from an app server wait to be written to the caller. The bound lets the app
// server notice a caller that does not read.
const maxQueuedChunks = 16

// writeReplies writes the chunks of the queue to the caller until the queue is closed. If a write fails, it closes the
// connection to the app server and discards the remaining chunks.
func (f *proxiedConnection) writeReplies(queue <-chan []byte, server net.Conn) {
	callerGone := false
	for b := range queue {
		if !callerGone && f.writeReply(b) != nil {
			callerGone = true
			f.endedLocally.Store(true)
			server.Close()
		}
	}
}

// callerDrainTime is how long a caller is still read after its app server closed the connection.
const callerDrainTime = 200 * time.Millisecond

// drainCaller reads and discards what the caller still sends: closing the connection with unread bytes would reset it and
// lose replies that the caller has not read yet.
func (f *proxiedConnection) drainCaller() {
	f.caller.SetReadDeadline(time.Now().Add(callerDrainTime))
	io.Copy(io.Discard, f.caller)
}

// frameObserver holds the callbacks for what is sent in one direction of a connection.
type frameObserver struct {
	onFrame   func(frame []byte)
	onInvalid func(err error) // called once, for bytes that are not a frame; may be nil
}

// The reasons why transfer ended.
var (
	errReceiverClosed = errors.New("the receiver closed the connection")
	errSenderClosed   = errors.New("the sender closed the connection")
)

// transfer reads from one side and passes the bytes to write until one side closes the connection, and reports each frame to
// the observer before its last byte is written. It returns errReceiverClosed or errSenderClosed.
func (f *proxiedConnection) transfer(from net.Conn, observer frameObserver, write func([]byte) error) error {
	chunk := make([]byte, 16<<10)
	var pending []byte // bytes of an incomplete frame
	invalid := false
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			if d := f.delay.Load(); d > 0 {
				time.Sleep(time.Duration(d))
			}
			if !invalid {
				if pending, err = observeFrames(append(pending, chunk[:n]...), observer); err != nil {
					invalid, pending = true, nil
				}
			}
			if write(chunk[:n]) != nil {
				return errReceiverClosed
			}
			continue
		}
		if err != nil {
			return errSenderClosed
		}
	}
}

// observeFrames reports all complete frames to the observer and returns the bytes after them.
func observeFrames(pending []byte, observer frameObserver) (rest []byte, err error) {
	for {
		frame, size, err := thrift.Frame(pending)
		if err != nil {
			if observer.onInvalid != nil {
				observer.onInvalid(err)
			}
			return nil, err
		}
		if size == 0 {
			return pending, nil
		}
		observer.onFrame(frame)
		pending = pending[size:]
	}
}

// trickleInterval is the time between two writes under TrickleReplies.
const trickleInterval = 10 * time.Millisecond

// writeReply writes to the caller, in small writes if TrickleReplies is set.
func (f *proxiedConnection) writeReply(b []byte) error {
	size := int(f.trickleBytes.Load())
	if size <= 0 {
		return f.writeFragments(f.caller, b)
	}
	for len(b) > 0 {
		n := min(size, len(b))
		if err := f.write(f.caller, b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(trickleInterval)
		}
	}
	return nil
}

// maxFragments bounds the number of fragments of one chunk, which bounds the sum of the pauses between them.
const maxFragments = 8

// writeFragments writes to one side, in fragments of random length if FragmentWrites is set.
func (f *proxiedConnection) writeFragments(to net.Conn, b []byte) error {
	seed := f.fragmentSeed.Load()
	if seed == 0 {
		return f.write(to, b)
	}
	rng := rand.New(rand.NewPCG(seed, f.chunkCount.Add(1)))
	for remaining := maxFragments; len(b) > 0; remaining-- {
		n := len(b)
		if remaining > 1 {
			n = 1 + rng.IntN(len(b))
		}
		if err := f.write(to, b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(fragmentInterval)
		}
	}
	return nil
}
