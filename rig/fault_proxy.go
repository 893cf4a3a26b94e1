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

// FaultProxy is a faulty network in front of one app server: callers connect to its address. It passes all bytes on as they are and
// tells the checker of each message before its last byte.
type FaultProxy struct {
	serverName   string
	target   string
	check    *Checker
	listener net.Listener
	onConnection func(time.Time) // told of each connection, if set
	arrivals *Arrivals       // told of each RPC, if set

	mu    sync.Mutex
	connections map[*flow]struct{}
	refusing  bool // nothing is accepted
	blackholed  bool // connections are taken, and nothing passes
	group sync.WaitGroup

	trickleBytes atomic.Int64  // bytes that answers come in at a time, every 10 ms; 0 for as they are
	delay   atomic.Int64  // of each direction, in nanoseconds
	fragmentSeed  atomic.Uint64 // seed by which both directions come in pieces; 0 for as they are
}

// NewFaultProxy listens on a free port for callers of the app server at target.
func NewFaultProxy(server, target string, check *Checker) (*FaultProxy, error) {
	n := &FaultProxy{serverName: server, target: target, check: check, connections: map[*flow]struct{}{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.listener = listener
	n.group.Go(n.accept)
	return n, nil
}

// Address is where callers connect.
func (n *FaultProxy) Address() string { return n.listener.Addr().String() }

// OnConnection has f told of each connection that is taken and passed on; set before there are any.
func (n *FaultProxy) OnConnection(f func(time.Time)) { n.onConnection = f }

// CountArrivals has each RPC that is passed on counted; set before there are any.
func (n *FaultProxy) CountArrivals(a *Arrivals) { n.arrivals = a }

// SetDown ends all connections and refuses new ones, or takes them again.
func (n *FaultProxy) SetDown(down bool) {
	n.mu.Lock()
	was := n.refusing
	n.refusing = down
	n.mu.Unlock()
	switch {
	case down && !was:
		n.listener.Close()
		n.ResetConnections()
	case !down && was:
		listener, err := net.Listen("tcp", n.listener.Addr().String())
		if err != nil {
			n.check.Failed("the network cannot take connections again: %v", err)
			return
		}
		n.listener = listener
		n.group.Go(n.accept)
	}
}

// SetBlackhole has connections taken, and passes nothing on, or does again on new ones.
func (n *FaultProxy) SetBlackhole(deaf bool) {
	n.mu.Lock()
	n.blackholed = deaf
	n.mu.Unlock()
	n.ResetConnections()
}

// TrickleReplies has answers come a few bytes at a time; 0 ends it.
func (n *FaultProxy) TrickleReplies(bytes int) { n.trickleBytes.Store(int64(bytes)) }

// FragmentWrites has both directions come in pieces of any length, drawn from the seed; 0 ends it.
func (n *FaultProxy) FragmentWrites(seed uint64) { n.fragmentSeed.Store(seed) }

// SetDelay holds what passes back, in each direction.
func (n *FaultProxy) SetDelay(d time.Duration) { n.delay.Store(int64(d)) }

// ResetConnections ends all connections.
func (n *FaultProxy) ResetConnections() {
	n.mu.Lock()
	flows := make([]*flow, 0, len(n.connections))
	for f := range n.connections {
		flows = append(flows, f)
	}
	n.mu.Unlock()
	for _, f := range flows {
		f.reset()
	}
}

// Close ends it and waits until nothing of it is left.
func (n *FaultProxy) Close() {
	n.listener.Close()
	n.ResetConnections()
	n.group.Wait()
}

func (f *flow) reset() {
	f.ours.Store(true)
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

func (n *FaultProxy) accept() {
	for listener := n.listener; ; {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		down, deaf := n.refusing, n.blackholed
		f := &flow{FaultProxy: n, caller: nc}
		n.connections[f] = struct{}{}
		n.mu.Unlock()
		switch {
		case down:
			f.reset()
			f.finish()
		case deaf:
			n.group.Go(f.discardAll)
		default:
			if n.onConnection != nil {
				n.onConnection(time.Now())
			}
			n.group.Go(f.forward)
		}
	}
}

func (f *flow) finish() {
	f.mu.Lock()
	delete(f.connections, f)
	f.mu.Unlock()
	f.check.Ended(f, f.ours.Load())
}

// discardAll reads and says nothing.
func (f *flow) discardAll() {
	defer f.finish()
	defer f.caller.Close()
	b := make([]byte, 4096)
	for {
		if _, err := f.caller.Read(b); err != nil {
			return
		}
	}
}

// forward carries both directions until one ends.
func (f *flow) forward() {
	defer f.finish()
	server, err := net.DialTimeout("tcp", f.target, time.Second)
	if err != nil {
		f.reset()
		return
	}
	f.mu.Lock()
	f.server = server
	f.mu.Unlock()
	if f.ours.Load() { // reset meanwhile
		server.Close()
	}
	f.check.connected(f)
	var both sync.WaitGroup
	both.Go(func() { f.forwardRequests(server) })
	both.Go(func() { f.forwardReplies(server) })
	both.Wait()
	f.caller.Close()
}

// forwardRequests carries what the caller says.
func (f *flow) forwardRequests(server net.Conn) {
	var owed []int32 // of the bytes that are being written
	look := func(frame []byte) {
		if seq, isOwed := f.watchRequest(frame); isOwed {
			owed = append(owed, seq)
		}
	}
	err := f.transfer(f.caller, frameObserver{onFrame: look}, func(b []byte) error {
		err := f.writeFragments(server, b)
		for _, seq := range owed {
			if err != nil {
				f.check.Unwritten(f, seq)
			}
		}
		owed = owed[:0]
		return err
	})
	if err == errReceiverClosed { // the app server has ended the connection; what it said before is still passed on
		f.drainCaller()
		return
	}
	f.ours.Store(true) // the caller's side ended first, or the app server's had and says so itself
	server.Close()
	f.drainCaller()
}

// forwardReplies carries what the app server says. It is read as it comes, so that nobody takes the network for a late app
// server, and written behind that.
func (f *flow) forwardReplies(server net.Conn) {
	look := frameObserver{
		onFrame: f.watchReply,
		onInvalid: func(err error) {
			f.check.report(1, "%s says what no router can read: %v", f.FaultProxy.serverName, err)
		},
	}
	queue := make(chan []byte, maxQueuedChunks)
	var writer sync.WaitGroup
	writer.Go(func() { f.writeReplies(queue, server) })
	f.transfer(server, look, func(b []byte) error {
		queue <- bytes.Clone(b)
		return nil
	})
	f.ended.Store(true)
	f.check.Ended(f, f.ours.Load())
	close(queue)
	writer.Wait()
	if half, ok := f.caller.(*net.TCPConn); ok {
		half.CloseWrite()
	}
	f.caller.SetReadDeadline(time.Now().Add(callerDrainTime))
	server.Close()
}

// maxQueuedChunks bounds what is read of an app server and not written yet, in chunks: an app server is to feel a caller that does
// not read.
const maxQueuedChunks = 16

// writeReplies writes what comes in the queue until it is closed. Once the caller is gone, the connection is ended.
func (f *flow) writeReplies(queue <-chan []byte, server net.Conn) {
	gone := false
	for b := range queue {
		if !gone && f.writeReply(b) != nil {
			gone = true
			f.ours.Store(true)
			server.Close()
		}
	}
}

// callerDrainTime is how long a caller is read on after its app server has ended the connection.
const callerDrainTime = 200 * time.Millisecond

// drainCaller reads what the caller still sends and throws it away: a close over it would reset the connection, and answers that
// the caller has not read yet would go with it.
func (f *flow) drainCaller() {
	f.caller.SetReadDeadline(time.Now().Add(callerDrainTime))
	io.Copy(io.Discard, f.caller)
}

// frameObserver is told of what passes in one direction.
type frameObserver struct {
	onFrame func(frame []byte)
	onInvalid func(err error) // once, of what is no frame; nil for nobody
}

// errReceiverClosed and errSenderClosed are why carry ended: by whose side.
var (
	errReceiverClosed = errors.New("the receiver has ended the connection")
	errSenderClosed  = errors.New("the sender has ended the connection")
)

// transfer moves bytes as they come until one side ends, and tells of each message before its last byte goes on.
func (f *flow) transfer(from net.Conn, look frameObserver, write func([]byte) error) error {
	chunk := make([]byte, 16<<10)
	var seen []byte // of a message that is not whole yet
	garbled := false
	for {
		n, err := from.Read(chunk)
		if n > 0 {
			if d := f.delay.Load(); d > 0 {
				time.Sleep(time.Duration(d))
			}
			if !garbled {
				if seen, err = observeFrames(append(seen, chunk[:n]...), look); err != nil {
					garbled, seen = true, nil
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

// observeFrames tells of all whole messages and returns what is left.
func observeFrames(seen []byte, look frameObserver) (rest []byte, err error) {
	for {
		frame, size, err := thrift.Frame(seen)
		if err != nil {
			if look.onInvalid != nil {
				look.onInvalid(err)
			}
			return nil, err
		}
		if size == 0 {
			return seen, nil
		}
		look.onFrame(frame)
		seen = seen[size:]
	}
}

// trickleInterval lies between two pieces under Trickle.
const trickleInterval = 10 * time.Millisecond

// writeReply writes to the caller, a few bytes at a time if Trickle says so.
func (f *flow) writeReply(b []byte) error {
	step := int(f.trickleBytes.Load())
	if step <= 0 {
		return f.writeFragments(f.caller, b)
	}
	for len(b) > 0 {
		n := min(step, len(b))
		if err := f.write(f.caller, b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(trickleInterval)
		}
	}
	return nil
}

// maxFragments bounds into how many pieces one chunk is split, so that the gaps do not add up.
const maxFragments = 8

// writeFragments writes to one side, in pieces if Pieces says so.
func (f *flow) writeFragments(to net.Conn, b []byte) error {
	seed := f.fragmentSeed.Load()
	if seed == 0 {
		return f.write(to, b)
	}
	chance := rand.New(rand.NewPCG(seed, f.wrote.Add(1)))
	for left := maxFragments; len(b) > 0; left-- {
		n := len(b)
		if left > 1 {
			n = 1 + chance.IntN(len(b))
		}
		if err := f.write(to, b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(pieceGap)
		}
	}
	return nil
}
