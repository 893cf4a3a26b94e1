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

// Net is a faulty network in front of one app server: callers connect to its address. It passes all bytes on as they are and
// tells the checker of each message before its last byte.
type Net struct {
	server   string
	target   string
	check    *Checker
	listener net.Listener
	accepted func(time.Time) // told of each connection, if set
	arrivals *Arrivals       // told of each RPC, if set

	mu    sync.Mutex
	flows map[*flow]struct{}
	down  bool // nothing is accepted
	deaf  bool // connections are taken, and nothing passes
	group sync.WaitGroup

	trickle atomic.Int64  // bytes that answers come in at a time, every 10 ms; 0 for as they are
	delay   atomic.Int64  // of each direction, in nanoseconds
	pieces  atomic.Uint64 // seed by which both directions come in pieces; 0 for as they are
}

// NewNet listens on a free port for callers of the app server at target.
func NewNet(server, target string, check *Checker) (*Net, error) {
	n := &Net{server: server, target: target, check: check, flows: map[*flow]struct{}{}}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	n.listener = listener
	n.group.Go(n.accept)
	return n, nil
}

// Address is where callers connect.
func (n *Net) Address() string { return n.listener.Addr().String() }

// Watch has f told of each connection that is taken and passed on; set before there are any.
func (n *Net) Watch(f func(time.Time)) { n.accepted = f }

// Count has each RPC that is passed on counted; set before there are any.
func (n *Net) Count(a *Arrivals) { n.arrivals = a }

// Down ends all connections and refuses new ones, or takes them again.
func (n *Net) Down(down bool) {
	n.mu.Lock()
	was := n.down
	n.down = down
	n.mu.Unlock()
	switch {
	case down && !was:
		n.listener.Close()
		n.Reset()
	case !down && was:
		listener, err := net.Listen("tcp", n.listener.Addr().String())
		if err != nil {
			n.check.RigFailed("the network cannot take connections again: %v", err)
			return
		}
		n.listener = listener
		n.group.Go(n.accept)
	}
}

// Deaf has connections taken, and passes nothing on, or does again on new ones.
func (n *Net) Deaf(deaf bool) {
	n.mu.Lock()
	n.deaf = deaf
	n.mu.Unlock()
	n.Reset()
}

// Trickle has answers come a few bytes at a time; 0 ends it.
func (n *Net) Trickle(bytes int) { n.trickle.Store(int64(bytes)) }

// Pieces has both directions come in pieces of any length, drawn from the seed; 0 ends it.
func (n *Net) Pieces(seed uint64) { n.pieces.Store(seed) }

// Delay holds what passes back, in each direction.
func (n *Net) Delay(d time.Duration) { n.delay.Store(int64(d)) }

// Reset ends all connections.
func (n *Net) Reset() {
	n.mu.Lock()
	flows := make([]*flow, 0, len(n.flows))
	for f := range n.flows {
		flows = append(flows, f)
	}
	n.mu.Unlock()
	for _, f := range flows {
		f.reset()
	}
}

// Close ends it and waits until nothing of it is left.
func (n *Net) Close() {
	n.listener.Close()
	n.Reset()
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

func (n *Net) accept() {
	for listener := n.listener; ; {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		n.mu.Lock()
		down, deaf := n.down, n.deaf
		f := &flow{Net: n, caller: nc}
		n.flows[f] = struct{}{}
		n.mu.Unlock()
		switch {
		case down:
			f.reset()
			f.done()
		case deaf:
			n.group.Go(f.swallow)
		default:
			if n.accepted != nil {
				n.accepted(time.Now())
			}
			n.group.Go(f.pass)
		}
	}
}

func (f *flow) done() {
	f.mu.Lock()
	delete(f.flows, f)
	f.mu.Unlock()
	f.check.ConnectionEnded(f, f.ours.Load())
}

// swallow reads and says nothing.
func (f *flow) swallow() {
	defer f.done()
	defer f.caller.Close()
	b := make([]byte, 4096)
	for {
		if _, err := f.caller.Read(b); err != nil {
			return
		}
	}
}

// pass carries both directions until one ends.
func (f *flow) pass() {
	defer f.done()
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
	f.check.connectionOpened(f)
	var both sync.WaitGroup
	both.Go(func() { f.passRequests(server) })
	both.Go(func() { f.passReplies(server) })
	both.Wait()
	f.caller.Close()
}

// passRequests carries what the caller says.
func (f *flow) passRequests(server net.Conn) {
	var owed []int32 // of the bytes that are being written
	look := func(frame []byte) {
		if seq, isOwed := f.watchRequest(frame); isOwed {
			owed = append(owed, seq)
		}
	}
	err := f.carry(f.caller, lookout{message: look}, func(b []byte) error {
		err := f.writePieces(server, b)
		for _, seq := range owed {
			if err != nil {
				f.check.TryNotWritten(f, seq)
			}
		}
		owed = owed[:0]
		return err
	})
	if err == errWrite { // the app server has ended the connection; what it said before is still passed on
		f.discard()
		return
	}
	f.ours.Store(true) // the caller's side ended first, or the app server's had and says so itself
	server.Close()
	f.discard()
}

// passReplies carries what the app server says. It is read as it comes, so that nobody takes the network for a late app
// server, and written behind that.
func (f *flow) passReplies(server net.Conn) {
	look := lookout{
		message: f.watchReply,
		garbage: func(err error) {
			f.check.reportViolation(1, "%s says what no router can read: %v", f.Net.server, err)
		},
	}
	queue := make(chan []byte, mostQueued)
	var writer sync.WaitGroup
	writer.Go(func() { f.writeReplies(queue, server) })
	f.carry(server, look, func(b []byte) error {
		queue <- bytes.Clone(b)
		return nil
	})
	f.ended.Store(true)
	f.check.ConnectionEnded(f, f.ours.Load())
	close(queue)
	writer.Wait()
	if half, ok := f.caller.(*net.TCPConn); ok {
		half.CloseWrite()
	}
	f.caller.SetReadDeadline(time.Now().Add(discardTime))
	server.Close()
}

// mostQueued bounds what is read of an app server and not written yet, in chunks: an app server is to feel a caller that does
// not read.
const mostQueued = 16

// writeReplies writes what comes in the queue until it is closed. Once the caller is gone, the connection is ended.
func (f *flow) writeReplies(queue <-chan []byte, server net.Conn) {
	gone := false
	for b := range queue {
		if !gone && f.writeTrickle(b) != nil {
			gone = true
			f.ours.Store(true)
			server.Close()
		}
	}
}

// discardTime is how long a caller is read on after its app server has ended the connection.
const discardTime = 200 * time.Millisecond

// discard reads what the caller still sends and throws it away: a close over it would reset the connection, and answers that
// the caller has not read yet would go with it.
func (f *flow) discard() {
	f.caller.SetReadDeadline(time.Now().Add(discardTime))
	io.Copy(io.Discard, f.caller)
}

// lookout is told of what passes in one direction.
type lookout struct {
	message func(frame []byte)
	garbage func(err error) // once, of what is no frame; nil for nobody
}

// errWrite and errRead are why carry ended: by whose side.
var (
	errWrite = errors.New("the receiver has ended the connection")
	errRead  = errors.New("the sender has ended the connection")
)

// carry moves bytes as they come until one side ends, and tells of each message before its last byte goes on.
func (f *flow) carry(from net.Conn, look lookout, write func([]byte) error) error {
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
				if seen, err = lookThrough(append(seen, chunk[:n]...), look); err != nil {
					garbled, seen = true, nil
				}
			}
			if write(chunk[:n]) != nil {
				return errWrite
			}
			continue
		}
		if err != nil {
			return errRead
		}
	}
}

// lookThrough tells of all whole messages and returns what is left.
func lookThrough(seen []byte, look lookout) (rest []byte, err error) {
	for {
		frame, size, err := thrift.Frame(seen)
		if err != nil {
			if look.garbage != nil {
				look.garbage(err)
			}
			return nil, err
		}
		if size == 0 {
			return seen, nil
		}
		look.message(frame)
		seen = seen[size:]
	}
}

// trickleGap lies between two pieces under Trickle.
const trickleGap = 10 * time.Millisecond

// writeTrickle writes to the caller, a few bytes at a time if Trickle says so.
func (f *flow) writeTrickle(b []byte) error {
	step := int(f.trickle.Load())
	if step <= 0 {
		return f.writePieces(f.caller, b)
	}
	for len(b) > 0 {
		n := min(step, len(b))
		if err := f.write(f.caller, b[:n]); err != nil {
			return err
		}
		if b = b[n:]; len(b) > 0 {
			time.Sleep(trickleGap)
		}
	}
	return nil
}

// mostPieces bounds into how many pieces one chunk is split, so that the gaps do not add up.
const mostPieces = 8

// writePieces writes to one side, in pieces if Pieces says so.
func (f *flow) writePieces(to net.Conn, b []byte) error {
	seed := f.pieces.Load()
	if seed == 0 {
		return f.write(to, b)
	}
	chance := rand.New(rand.NewPCG(seed, f.wrote.Add(1)))
	for left := mostPieces; len(b) > 0; left-- {
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
