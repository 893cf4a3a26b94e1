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

// FaultProxy is a TCP proxy in front of one app server; callers connect to its address. It injects network faults, forwards bytes
// unchanged and reports each message to the checker before it forwards the last byte of the message.
type FaultProxy struct {
	serverName   string // of the app server, for the checker
	target       string // address of the app server
	checker      *Checker
	listener     net.Listener
	onConnection func(time.Time) // called with the time of each forwarded connection, if set
	arrivals     *Arrivals       // counts each forwarded RPC, if set

	mu          sync.Mutex
	connections map[*proxiedConnection]struct{}
	refusing    bool // the listener is closed, which refuses connections; one accepted before that is reset
	blackholed  bool // connections are accepted, and what callers send is discarded
	group       sync.WaitGroup

	trickleBytes atomic.Int64  // bytes of a reply that are written per trickleInterval; 0 for no limit
	delay        atomic.Int64  // of each direction, in nanoseconds
	fragmentSeed atomic.Uint64 // seed of the fragment lengths of both directions; 0 for no fragmentation
}

// NewFaultProxy listens on a free loopback port for callers of the app server at target, which the checker knows as server.
// The caller closes the proxy.
func NewFaultProxy(server, target string, checker *Checker) (*FaultProxy, error) {
	p := &FaultProxy{serverName: server, target: target, checker: checker, connections: map[*proxiedConnection]struct{}{}}
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
func (p *FaultProxy) OnConnection(callback func(time.Time)) { p.onConnection = callback }

// CountArrivals sets the counter of forwarded RPCs. It must be called before the first connection.
func (p *FaultProxy) CountArrivals(arrivals *Arrivals) { p.arrivals = arrivals }

// SetDown resets all connections and refuses new ones or, if refusing is false, accepts connections again at the same address.
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
			p.checker.RigFailed("the proxy cannot listen again: %v", err)
			return
		}
		p.listener = listener
		p.group.Go(p.accept)
	}
}

// SetBlackhole resets all connections. New ones are accepted and what they send is discarded or, if blackholed is false, they
// are forwarded again.
func (p *FaultProxy) SetBlackhole(blackholed bool) {
	p.mu.Lock()
	p.blackholed = blackholed
	p.mu.Unlock()
	p.ResetConnections()
}

// TrickleReplies writes replies the given number of bytes at a time, one write per trickleInterval; 0 removes the limit.
func (p *FaultProxy) TrickleReplies(bytes int) { p.trickleBytes.Store(int64(bytes)) }

// FragmentWrites splits the writes of both directions into fragments, whose lengths are drawn from the seed; 0 ends this.
func (p *FaultProxy) FragmentWrites(seed uint64) { p.fragmentSeed.Store(seed) }

// SetDelay delays each chunk of bytes that is read, in each direction.
func (p *FaultProxy) SetDelay(delay time.Duration) { p.delay.Store(int64(delay)) }

// ResetConnections resets all connections.
func (p *FaultProxy) ResetConnections() {
	p.mu.Lock()
	connections := make([]*proxiedConnection, 0, len(p.connections))
	for conn := range p.connections {
		connections = append(connections, conn)
	}
	p.mu.Unlock()
	for _, conn := range connections {
		conn.reset()
	}
}

// Close stops listening, resets all connections and waits for all goroutines of the proxy.
func (p *FaultProxy) Close() {
	p.listener.Close()
	p.ResetConnections()
	p.group.Wait()
}

// reset closes both sides of the connection, the side of the caller with a TCP reset.
func (conn *proxiedConnection) reset() {
	conn.endedLocally.Store(true)
	if tcp, ok := conn.caller.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	conn.caller.Close()
	conn.mu.Lock()
	defer conn.mu.Unlock()
	if conn.server != nil {
		conn.server.Close()
	}
}

// accept accepts connections until Accept fails, normally because the listener was closed, and registers each in connections. If
// refusing is set, it resets the connection; if blackholed is set, what the caller sends is discarded; else it calls
// onConnection, if set, and the connection is forwarded to the app server. The listener is read only once, since SetDown
// replaces p.listener.
func (p *FaultProxy) accept() {
	for listener := p.listener; ; {
		caller, err := listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		refusing, blackholed := p.refusing, p.blackholed
		conn := &proxiedConnection{FaultProxy: p, caller: caller}
		p.connections[conn] = struct{}{}
		p.mu.Unlock()
		switch {
		case refusing:
			conn.reset()
			conn.finish()
		case blackholed:
			p.group.Go(conn.discardAll)
		default:
			if p.onConnection != nil {
				p.onConnection(time.Now())
			}
			p.group.Go(conn.forward)
		}
	}
}

// finish removes the connection from the proxy and reports its end to the checker.
func (conn *proxiedConnection) finish() {
	conn.mu.Lock()
	delete(conn.connections, conn)
	conn.mu.Unlock()
	conn.checker.ConnectionEnded(conn, conn.endedLocally.Load())
}

// discardAll reads what the caller sends until it closes the connection, and never replies.
func (conn *proxiedConnection) discardAll() {
	defer conn.finish()
	defer conn.caller.Close()
	buffer := make([]byte, 4096)
	for {
		if _, err := conn.caller.Read(buffer); err != nil {
			return
		}
	}
}

// forward connects to the app server and forwards both directions until they end.
func (conn *proxiedConnection) forward() {
	defer conn.finish()
	server, err := net.DialTimeout("tcp", conn.target, time.Second)
	if err != nil {
		conn.reset()
		return
	}
	conn.mu.Lock()
	conn.server = server
	conn.mu.Unlock()
	if conn.endedLocally.Load() { // reset while connecting
		server.Close()
	}
	conn.checker.connectionOpened(conn)
	var directions sync.WaitGroup
	directions.Go(func() { conn.forwardRequests(server) })
	directions.Go(func() { conn.forwardReplies(server) })
	directions.Wait()
	conn.caller.Close()
}

// forwardRequests forwards the caller's requests to the app server.
func (conn *proxiedConnection) forwardRequests(server net.Conn) {
	var pendingSeqs []int32 // sequence numbers of the requests that end in the chunk being written and need a reply
	onFrame := func(frame []byte) {
		if seq, replyDue := conn.watchRequest(frame); replyDue {
			pendingSeqs = append(pendingSeqs, seq)
		}
	}
	err := conn.transfer(conn.caller, frameObserver{onFrame: onFrame}, func(chunk []byte) error {
		err := conn.writeFragments(server, chunk)
		for _, seq := range pendingSeqs {
			if err != nil {
				conn.checker.TryNotWritten(conn, seq)
			}
		}
		pendingSeqs = pendingSeqs[:0]
		return err
	})
	if err == errReceiverClosed { // the app server closed the connection; what it sent before is still forwarded
		conn.drainCaller()
		return
	}
	conn.endedLocally.Store(true) // the caller closed first, or the app server did, which forwardReplies reports
	server.Close()
	conn.drainCaller()
}

// forwardReplies forwards the app server's replies to the caller. Replies are read as they arrive and written by a goroutine of
// their own, so that a slow caller does not make the app server's replies look late.
func (conn *proxiedConnection) forwardReplies(server net.Conn) {
	observer := frameObserver{
		onFrame: conn.watchReply,
		onInvalid: func(err error) {
			conn.checker.reportViolation(1, "%s sent bytes that no router can read: %v", conn.FaultProxy.serverName, err)
		},
	}
	queue := make(chan []byte, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { conn.writeReplies(queue, server) })
	conn.transfer(server, observer, func(chunk []byte) error {
		queue <- bytes.Clone(chunk)
		return nil
	})
	conn.endedByServer.Store(true)
	conn.checker.ConnectionEnded(conn, conn.endedLocally.Load())
	close(queue)
	writer.Wait()
	if tcp, ok := conn.caller.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	conn.caller.SetReadDeadline(time.Now().Add(callerDrainTime))
	server.Close()
}

// maxQueuedChunks is the maximum number of chunks of an app server that wait to be written to the caller. The limit lets
// the app server notice a caller that does not read.
const maxQueuedChunks = 16

// writeReplies writes the chunks of the queue to the caller until the queue is closed. If a write fails, it closes the
// connection to the app server and discards the remaining chunks.
func (conn *proxiedConnection) writeReplies(queue <-chan []byte, server net.Conn) {
	callerGone := false
	for chunk := range queue {
		if !callerGone && conn.writeReply(chunk) != nil {
			callerGone = true
			conn.endedLocally.Store(true)
			server.Close()
		}
	}
}

// callerDrainTime is how long the proxy still reads from a caller after the connection to the app server has ended.
const callerDrainTime = 200 * time.Millisecond

// drainCaller reads and discards what the caller still sends: closing the connection with unread bytes would reset it and
// lose replies that the caller has not read yet.
func (conn *proxiedConnection) drainCaller() {
	conn.caller.SetReadDeadline(time.Now().Add(callerDrainTime))
	io.Copy(io.Discard, conn.caller)
}

// frameObserver holds the callbacks for what is sent in one direction of a connection.
type frameObserver struct {
	onFrame   func(frame []byte)
	onInvalid func(err error) // called once, for bytes that are not a frame; may be nil
}

// The errors of transfer state which side ended it.
var (
	errReceiverClosed = errors.New("the receiver closed the connection")
	errSenderClosed   = errors.New("the sender closed the connection")
)

// transfer reads from one side and passes the bytes to write until one side closes the connection, and reports each frame to
// the observer before its last byte is written. It returns errReceiverClosed or errSenderClosed.
func (conn *proxiedConnection) transfer(from net.Conn, observer frameObserver, write func([]byte) error) error {
	chunk := make([]byte, 16<<10)
	var pending []byte // bytes of an incomplete frame
	invalid := false
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			if delay := conn.delay.Load(); delay > 0 {
				time.Sleep(time.Duration(delay))
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

// observeFrames reports all complete frames to the observer and returns the bytes after them, or an error for bytes that are not
// a frame.
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

// writeReply writes a chunk to the caller, a few bytes at a time under TrickleReplies.
func (conn *proxiedConnection) writeReply(chunk []byte) error {
	size := int(conn.trickleBytes.Load())
	if size <= 0 {
		return conn.writeFragments(conn.caller, chunk)
	}
	for len(chunk) > 0 {
		n := min(size, len(chunk))
		if err := conn.write(conn.caller, chunk[:n]); err != nil {
			return err
		}
		if chunk = chunk[n:]; len(chunk) > 0 {
			time.Sleep(trickleInterval)
		}
	}
	return nil
}

// maxFragments is the maximum number of fragments of one chunk. It limits the sum of the pauses between them.
const maxFragments = 8

// writeFragments writes a chunk to one side, in fragments of random length under FragmentWrites.
func (conn *proxiedConnection) writeFragments(to net.Conn, chunk []byte) error {
	seed := conn.fragmentSeed.Load()
	if seed == 0 {
		return conn.write(to, chunk)
	}
	rng := rand.New(rand.NewPCG(seed, conn.chunkCount.Add(1)))
	for remaining := maxFragments; len(chunk) > 0; remaining-- {
		n := len(chunk)
		if remaining > 1 {
			n = 1 + rng.IntN(len(chunk))
		}
		if err := conn.write(to, chunk[:n]); err != nil {
			return err
		}
		if chunk = chunk[n:]; len(chunk) > 0 {
			time.Sleep(fragmentInterval)
		}
	}
	return nil
}
