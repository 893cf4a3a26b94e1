package rig

import (
	"net"
	"slices"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// Heard is one RPC as a Stub reads it.
type Heard struct {
	Seq                  int32
	Method, Token, ID    string
	Call                 string
	Body                 []byte
	Recv, TTL            float64
	Again                bool
	Conn                 int // number of the connection, from 1
	Interrupt, CheckOnly bool
}

// Stub stands in for an app server where a real one would behave too well. What it does with each message that
// comes is given to it; nil serves everything.
type Stub struct {
	raw      func(nc net.Conn) // takes over a whole connection, if set
	listener net.Listener

	mu     sync.Mutex
	behave func(h Heard, out []byte) []byte
	heard  []Heard
	conns  map[net.Conn]struct{}
	count  int
	group  sync.WaitGroup
}

// NewStub listens on a free port.
func NewStub(behave func(h Heard, out []byte) []byte) (*Stub, error) {
	s, err := newStub(behave)
	if err == nil {
		s.group.Go(s.accept)
	}
	return s, err
}

// NewRawStub hands each connection to raw.
func NewRawStub(raw func(nc net.Conn)) (*Stub, error) {
	s, err := newStub(nil)
	if err == nil {
		s.raw = raw
		s.group.Go(s.accept)
	}
	return s, err
}

func newStub(behave func(h Heard, out []byte) []byte) (*Stub, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Stub{behave: behave, listener: listener, conns: map[net.Conn]struct{}{}}, nil
}

// Address is where callers connect.
func (s *Stub) Address() string { return s.listener.Addr().String() }

// Behave changes what is written for each message that comes.
func (s *Stub) Behave(behave func(h Heard, out []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.behave = behave
}

// Heard is all that has come, health checks aside.
func (s *Stub) Heard() []Heard {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Heard(nil), s.heard...)
}

// Conns is how many connections there are.
func (s *Stub) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Cut ends all connections.
func (s *Stub) Cut() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for nc := range s.conns {
		nc.Close()
	}
}

// Close ends it.
func (s *Stub) Close() {
	s.listener.Close()
	s.Cut()
	s.group.Wait()
}

func (s *Stub) accept() {
	for {
		nc, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[nc] = struct{}{}
		s.count++
		number := s.count
		s.mu.Unlock()
		s.group.Go(func() {
			defer func() {
				nc.Close()
				s.mu.Lock()
				delete(s.conns, nc)
				s.mu.Unlock()
			}()
			if s.raw != nil {
				s.raw(nc)
				return
			}
			s.serve(nc, number)
		})
	}
}

func (s *Stub) serve(nc net.Conn, number int) {
	in := readbuffer.New(thrift.MaxFrame + 4)
	in2 := &stubConn{Stub: s, nc: nc, number: number}
	for {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return
		}
		if size == 0 {
			if len(in2.out) > 0 {
				nc.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if _, err := nc.Write(in2.out); err != nil {
					return
				}
				in2.out = in2.out[:0]
			}
			if in.Fill(nc) != nil {
				return
			}
			continue
		}
		if thrift.Decode(frame, in2) != nil {
			return
		}
		in.Discard(size)
	}
}

// stubConn hears one connection.
type stubConn struct {
	*Stub
	nc     net.Conn
	number int
	out    []byte
}

func (c *stubConn) hear(h Heard) {
	h.Conn = c.number
	c.mu.Lock()
	behave := c.behave
	if !h.CheckOnly && len(c.Stub.heard) < 1<<16 {
		c.Stub.heard = append(c.Stub.heard, h)
	}
	c.mu.Unlock()
	switch {
	case behave != nil:
		c.out = behave(h, c.out)
	case h.CheckOnly:
		c.out = thrift.Checked(c.out, h.Seq, true, 100)
	case !h.Interrupt:
		c.out = thrift.Served(c.out, h.Seq, RunResult(h.ID), 100)
	}
}

func (c *stubConn) Execute(seq int32, op, call []byte, _ int, recv, ttl, _ float64, again bool, token, body []byte) {
	id, _, _ := DecodeBody(body)
	c.hear(Heard{Seq: seq, Method: string(op), Token: string(token), ID: id, Call: string(call), Body: slices.Clone(body),
		Recv: recv, TTL: ttl, Again: again})
}
func (c *stubConn) Unreadable(int32, string) {}
func (c *stubConn) Interrupt(target int32)   { c.hear(Heard{Seq: target, Interrupt: true}) }
func (c *stubConn) Check(seq int32)          { c.hear(Heard{Seq: seq, CheckOnly: true}) }
func (c *stubConn) Unknown(int32, string)    {}
