package rig

import (
	"net"
	"slices"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// ReceivedRequest is one message as a Stub decoded it.
type ReceivedRequest struct {
	Seq                    int32
	Method, Token, ID      string
	Call                   string
	Body                   []byte
	Recv, TTL              float64 // in seconds; Recv since the Unix epoch
	IsRetry                bool
	Conn                   int // number of the connection, starting at 1
	Interrupt, HealthCheck bool
}

// Stub simulates an app server whose behavior a test controls, such as one that breaks the protocol. Its handler writes the
// replies to each message; without one it serves every RPC.
type Stub struct {
	connectionHandler func(conn net.Conn) // if set, handles whole connections
	listener          net.Listener

	mu            sync.Mutex
	handler       func(request ReceivedRequest, out []byte) []byte
	received      []ReceivedRequest
	conns         map[net.Conn]struct{}
	acceptedCount int
	group         sync.WaitGroup
}

// NewStub returns a stub that listens on a free port. handler appends the replies to a message to out and returns the result;
// nil serves everything. The caller must Close the stub.
func NewStub(handler func(request ReceivedRequest, out []byte) []byte) (*Stub, error) {
	s, err := newStub(handler)
	if err == nil {
		s.group.Go(s.accept)
	}
	return s, err
}

// NewRawStub returns a stub that listens on a free port and passes each connection to a handler. It closes the connection
// when the handler returns. The caller must Close the stub.
func NewRawStub(handler func(conn net.Conn)) (*Stub, error) {
	s, err := newStub(nil)
	if err == nil {
		s.connectionHandler = handler
		s.group.Go(s.accept)
	}
	return s, err
}

// newStub returns a stub that listens and does not accept connections yet.
func newStub(handler func(request ReceivedRequest, out []byte) []byte) (*Stub, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &Stub{handler: handler, listener: listener, conns: map[net.Conn]struct{}{}}, nil
}

// Address returns the address for callers.
func (s *Stub) Address() string { return s.listener.Addr().String() }

// SetHandler replaces the handler of messages; nil serves everything.
func (s *Stub) SetHandler(handler func(request ReceivedRequest, out []byte) []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.handler = handler
}

// Received returns a copy of the messages received so far, without health checks.
func (s *Stub) Received() []ReceivedRequest {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]ReceivedRequest(nil), s.received...)
}

// ConnectionCount returns the number of open connections.
func (s *Stub) ConnectionCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// CloseConnections closes all connections.
func (s *Stub) CloseConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for conn := range s.conns {
		conn.Close()
	}
}

// Close stops listening, closes all connections and waits for their handlers.
func (s *Stub) Close() {
	s.listener.Close()
	s.CloseConnections()
	s.group.Wait()
}

// accept serves each new connection in a goroutine of its own until the listener is closed.
func (s *Stub) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.acceptedCount++
		number := s.acceptedCount
		s.mu.Unlock()
		s.group.Go(func() {
			defer func() {
				conn.Close()
				s.mu.Lock()
				delete(s.conns, conn)
				s.mu.Unlock()
			}()
			if s.connectionHandler != nil {
				s.connectionHandler(conn)
				return
			}
			s.serve(conn, number)
		})
	}
}

// serve handles the messages of one connection. It writes the replies once no complete message is left to handle.
func (s *Stub) serve(conn net.Conn, number int) {
	input := readbuffer.New(thrift.MaxFrame + 4)
	requests := &stubConn{Stub: s, conn: conn, number: number}
	for {
		frame, size, err := thrift.Frame(input.Bytes())
		if err != nil {
			return
		}
		if size == 0 {
			if len(requests.out) > 0 {
				conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
				if _, err := conn.Write(requests.out); err != nil {
					return
				}
				requests.out = requests.out[:0]
			}
			if input.Fill(conn) != nil {
				return
			}
			continue
		}
		if thrift.Decode(frame, requests) != nil {
			return
		}
		input.Discard(size)
	}
}

// stubConn implements thrift.RequestHandler for one connection of a Stub.
type stubConn struct {
	*Stub
	conn   net.Conn
	number int
	out    []byte
}

// handle records a message and appends the replies to it to c.out.
func (c *stubConn) handle(received ReceivedRequest) {
	received.Conn = c.number
	c.mu.Lock()
	handler := c.handler
	if !received.HealthCheck && len(c.Stub.received) < 1<<16 {
		c.Stub.received = append(c.Stub.received, received)
	}
	c.mu.Unlock()
	switch {
	case handler != nil:
		c.out = handler(received, c.out)
	case received.HealthCheck:
		c.out = thrift.Checked(c.out, received.Seq, true, 100)
	case !received.Interrupt:
		c.out = thrift.Served(c.out, received.Seq, RunResult(received.ID), 100)
	}
}

func (c *stubConn) Execute(seq int32, op, call []byte, _ int, recv, ttl, _ float64, isRetry bool, token, body []byte) {
	id, _, _ := DecodeBody(body)
	c.handle(ReceivedRequest{Seq: seq, Method: string(op), Token: string(token), ID: id, Call: string(call),
		Body: slices.Clone(body), Recv: recv, TTL: ttl, IsRetry: isRetry})
}
func (c *stubConn) Unreadable(int32, string) {}
func (c *stubConn) Interrupt(target int32)   { c.handle(ReceivedRequest{Seq: target, Interrupt: true}) }
func (c *stubConn) Check(seq int32)          { c.handle(ReceivedRequest{Seq: seq, HealthCheck: true}) }
func (c *stubConn) Unknown(int32, string)    {}
