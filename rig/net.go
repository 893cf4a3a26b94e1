package rig

import (
	"io"
	"math"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
	"valveglade/rpc"
)

// Net is a faulty network in front of one app server: callers connect to its address. It tells the checker what
// passes.
type Net struct {
	server   string
	target   string
	check    *Checker
	listener net.Listener
	accepted func(time.Time) // told of each connection, if set

	mu    sync.Mutex
	flows map[*flow]struct{}
	down  bool // nothing is accepted
	deaf  bool // connections are taken, and nothing passes
	group sync.WaitGroup

	trickle atomic.Int64 // bytes that answers come in at a time, every 10 ms; 0 for as they are
	delay   atomic.Int64 // of each direction, in nanoseconds
}

// flow is one connection through the network.
type flow struct {
	*Net
	caller, server net.Conn
	ours           atomic.Bool // ended by the network or by the caller
	spoke          atomic.Bool // the app server has said something
	ended          atomic.Bool // the app server has ended it
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
			n.check.Failed("the network cannot take connections again: %v", err)
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
	f.check.Ended(f, f.ours.Load())
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
	var both sync.WaitGroup
	both.Go(func() {
		f.carry(f.caller, server, func(frame []byte) {
			if !f.ended.Load() { // else it is not passed on
				thrift.Decode(frame, (*asks)(f))
			}
		}, nil)
		f.ours.Store(true) // the caller's side ended first, or the server's had and says so itself
		server.Close()
		f.discard()
	})
	both.Go(func() {
		f.carry(server, f.caller, func(frame []byte) {
			f.spoke.Store(true)
			thrift.DecodeAnswer(frame, (*answers)(f))
		}, &f.trickle)
		f.ended.Store(true)
		f.check.Ended(f, f.ours.Load())
		if half, ok := f.caller.(*net.TCPConn); ok {
			half.CloseWrite()
		}
		f.caller.SetReadDeadline(time.Now().Add(discardTime))
		server.Close()
	})
	both.Wait()
	f.caller.Close()
}

// discardTime is how long a caller is read on after its app server has ended the connection.
const discardTime = 200 * time.Millisecond

// discard reads what the caller still sends and throws it away: a close over it would reset the connection, and answers that
// the caller has not read yet would go with it.
func (f *flow) discard() {
	f.caller.SetReadDeadline(time.Now().Add(discardTime))
	io.Copy(io.Discard, f.caller)
}

// carry moves whole frames as they come, told to look before they go on.
func (f *flow) carry(from, to net.Conn, look func([]byte), trickle *atomic.Int64) {
	in := readbuffer.New(thrift.MaxFrame + 4)
	for {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return
		}
		if size == 0 {
			if err := in.Fill(from); err != nil {
				return
			}
			continue
		}
		if d := f.delay.Load(); d > 0 {
			time.Sleep(time.Duration(d))
		}
		look(frame)
		whole := in.Bytes()[:size]
		step := len(whole)
		if trickle != nil && trickle.Load() > 0 {
			step = int(trickle.Load())
		}
		for len(whole) > 0 {
			n := min(step, len(whole))
			if _, err := to.Write(whole[:n]); err != nil {
				return
			}
			if whole = whole[n:]; len(whole) > 0 {
				time.Sleep(10 * time.Millisecond)
			}
		}
		in.Take(size)
	}
}

// asks tells the checker what callers say.
type asks flow

func (a *asks) Execute(seq int32, _, _ []byte, _ int, recv, ttl, _ float64, again bool, _, body []byte) {
	due := recv + ttl
	whole, part := math.Modf(due)
	if id, _, ok := ReadBody(body); ok {
		a.check.Try(a.Net.server, (*flow)(a), seq, id, time.Unix(int64(whole), int64(part*1e9)), again)
	}
}

func (a *asks) Unreadable(int32, string) {}
func (a *asks) Check(int32)              {}
func (a *asks) Unknown(int32, string)    {}
func (a *asks) Interrupt(target int32)   { a.check.Interrupted((*flow)(a), target) }

// answers tells the checker what the app server says.
type answers flow

func (a *answers) Served(seq int32, _ []byte, _ float64) {
	a.check.Answered((*flow)(a), seq, rpc.OK, false, 0)
}
func (a *answers) PushedBack(seq int32, last bool, after, _ float64) {
	a.check.Answered((*flow)(a), seq, rpc.PushedBack, last, time.Duration(after*float64(time.Second)))
}
func (a *answers) Aborted(seq int32, _ string, _ float64) {
	a.check.Answered((*flow)(a), seq, rpc.Error, false, 0)
}
func (a *answers) Checked(int32, bool, float64) {}
func (a *answers) Draining()                    {}
