package rig

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// PeerOptions describes how the routers of a deployment write RPCs.
type PeerOptions struct {
	PassesDeadline bool // RPCs carry the remaining time of their caller
	HangupSeen     bool // interrupts are sent
	MarksRetry     bool // retries are marked
	Tenants        int  // number of tenants named in RPCs; 0 for none
	WriteSize      int  // bytes per write; 0 for whole messages
}

// Peer simulates a router of one app server that follows the protocol: up to 32 pending RPCs on a connection, new connections
// on demand, no new RPC on a connection that is draining. A test can have it stop reading, or reset or close its connections. If
// it connects through a FaultProxy, the checker observes its messages and the replies. It is safe for concurrent use.
type Peer struct {
	address string
	source  int
	options PeerOptions
	catalog *Catalog

	mu          sync.Mutex
	rng         *rand.Rand
	connections []*peerConn
	readPaused  chan struct{} // closed when reading resumes; nil while replies are read
	group       sync.WaitGroup
	closed      bool
}

// PeerTry is one try of an RPC.
type PeerTry struct {
	RPC         string // id of the RPC, the same for all tries
	Method      string
	Token       string
	Body        []byte
	ReceivedAt  time.Time     // when the RPC arrived at the machine
	Timeout     time.Duration // counted from ReceivedAt; the field ttl
	Criticality float64
	IsRetry     bool
	Work        float64 // seconds on a core
	Result      []byte  // result of a run; nil for RunResult(RPC)
	Fails       bool    // a run ends with an error
}

// PeerOutcome is the outcome of a try: a result, or ErrPushedBack, ErrAborted or ErrLost.
type PeerOutcome struct {
	Result         []byte
	Err            error
	NoRetry        bool          // pushed back, and no other app server may be tried
	RetryAfter     time.Duration // pushed back, minimum delay until the next try
	ClosedInFlight bool          // the app server closed the connection just when the try was written
}

// PeerCall is a try that has been sent. Done delivers its outcome once.
type PeerCall struct {
	Done <-chan PeerOutcome
	conn *peerConn
	seq  int32
}

// peerConn is one connection of a peer.
type peerConn struct {
	*Peer
	net.Conn
	writeMu sync.Mutex
	seq     int32

	mu            sync.Mutex
	pending       map[int32]*pendingTry
	reserved      int // places reserved for tries that are not written yet
	draining      bool
	ended         bool
	closedLocally bool // closed by the peer itself
}

// pendingTry is a try without an outcome.
type pendingTry struct {
	sentAt time.Time
	done   chan PeerOutcome
}

// ErrNotConnected is returned if a try was not sent, as there was no connection.
var ErrNotConnected = errors.New("no connection")

// Timeouts for opening a connection and for one write, which blocks while the app server does not read.
const (
	peerConnectTimeout = 2 * time.Second
	peerWriteTimeout   = 5 * time.Second
)

// NewPeer returns a peer that connects on demand; source is its id in RPCs. The caller must Close it.
func NewPeer(address string, source int, options PeerOptions, catalog *Catalog, seed uint64) *Peer {
	return &Peer{address: address, source: source, options: options, catalog: catalog,
		rng: rand.New(rand.NewPCG(seed, uint64(source)))}
}

// Send sends one try. It returns ErrNotConnected if there is no connection for it.
func (p *Peer) Send(try PeerTry) (*PeerCall, error) {
	c, err := p.reserveConnection()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	done := make(chan PeerOutcome, 1)
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.seq++
	fields, call := p.fields(try)
	if !c.addPending(c.seq, &pendingTry{time.Now(), done}) {
		return nil, ErrNotConnected
	}
	c.catalog.Add(call, CatalogEntry{RPC: try.RPC, Work: try.Work, Result: try.Result, Fails: try.Fails})
	c.writeFrame(ExecuteFrame(c.seq, fields, try.Body))
	return &PeerCall{Done: done, conn: c, seq: c.seq}, nil
}

// fields returns the fields of a try in random order, with a new call id.
func (p *Peer) fields(try PeerTry) (fields []Field, call string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call = fmt.Sprintf("%016x", p.rng.Uint64())
	fields = []Field{{"op", try.Method}, {"call", call}, {"recv", strconv.FormatInt(try.ReceivedAt.UnixMilli(), 10)},
		{"src", strconv.Itoa(p.source)}, {"heap", fmt.Sprintf("%.1f", 0.5+20*p.rng.Float64())},
		{"crit", fmt.Sprintf("%.4f", min(try.Criticality, 0.9999))}}
	if p.options.PassesDeadline {
		fields = append(fields, Field{"ttl", strconv.FormatInt(try.Timeout.Milliseconds(), 10)})
	}
	if try.Token != "" {
		fields = append(fields, Field{"dedupe", try.Token})
	} else if p.rng.IntN(2) == 0 {
		fields = append(fields, Field{"row", fmt.Sprintf("%016x", p.rng.IntN(8))})
	}
	if p.options.Tenants > 0 {
		fields = append(fields, Field{"org", strconv.Itoa(p.rng.IntN(p.options.Tenants))})
	}
	if try.IsRetry && p.options.MarksRetry {
		fields = append(fields, Field{"rep", "1"})
	}
	p.rng.Shuffle(len(fields), func(a, b int) { fields[a], fields[b] = fields[b], fields[a] })
	return fields, call
}

// Cancel sends an interrupt for the try, if the deployment sends interrupts.
func (call *PeerCall) Cancel() {
	c := call.conn
	if !c.options.HangupSeen {
		return
	}
	c.writeMu.Lock()
	defer c.writeMu.Unlock()
	c.seq++
	c.writeFrame(InterruptFrame(c.seq, call.seq))
}

// writeFrame writes a frame, whole or in parts of WriteSize bytes. c.writeMu must be held.
func (c *peerConn) writeFrame(frame []byte) {
	c.SetWriteDeadline(time.Now().Add(peerWriteTimeout))
	step := len(frame)
	if c.options.WriteSize > 0 {
		step = c.options.WriteSize
	}
	for len(frame) > 0 {
		n := min(step, len(frame))
		if _, err := c.Write(frame[:n]); err != nil {
			c.retire() // replies already received are still read; the reader detects the end
			return
		}
		if frame = frame[n:]; len(frame) > 0 && c.options.WriteSize < 8 {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// addPending registers a try in its reserved place; false if the connection has ended meanwhile.
func (c *peerConn) addPending(seq int32, try *pendingTry) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved--
	if c.ended {
		return false
	}
	c.pending[seq] = try
	return true
}

// retire stops new RPCs on the connection, and closes it if nothing is pending on it.
func (c *peerConn) retire() {
	c.mu.Lock()
	c.draining = true
	idle := len(c.pending)+c.reserved == 0
	c.mu.Unlock()
	if idle {
		c.closeLocally()
	}
}

// closeLocally closes the connection and marks it as closed by the peer.
func (c *peerConn) closeLocally() {
	c.mu.Lock()
	c.closedLocally = true
	c.mu.Unlock()
	c.Conn.Close()
}

// reserveConnection reserves a place for one RPC on an existing or a new connection.
func (p *Peer) reserveConnection() (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	for k := 0; k < len(p.connections); k++ {
		c := p.connections[k]
		c.mu.Lock()
		unusable, hasRoom := c.ended || c.draining, len(c.pending)+c.reserved < maxPendingPerConnection
		if !unusable && hasRoom {
			c.reserved++
		}
		c.mu.Unlock()
		switch {
		case unusable:
			p.connections = append(p.connections[:k], p.connections[k+1:]...)
			k--
		case hasRoom:
			return c, nil
		}
	}
	netConn, err := net.DialTimeout("tcp", p.address, peerConnectTimeout)
	if err != nil {
		return nil, err
	}
	c := &peerConn{Peer: p, Conn: netConn, pending: map[int32]*pendingTry{}, reserved: 1}
	p.connections = append(p.connections, c)
	p.group.Go(c.read)
	return c, nil
}

// read delivers the replies until the connection ends.
func (c *peerConn) read() {
	defer c.failPending()
	input := readbuffer.New(thrift.MaxFrame + 4)
	for {
		c.waitUntilReading()
		frame, size, err := thrift.Frame(input.Bytes())
		switch {
		case err == nil && size == 0:
			err = input.Fill(c)
		case err == nil:
			err = thrift.DecodeAnswer(frame, c)
			input.Discard(size)
		}
		if err != nil { // an unreadable reply is reported by the checker
			return
		}
	}
}

// waitUntilReading blocks while reading is paused.
func (p *Peer) waitUntilReading() {
	p.mu.Lock()
	resumed := p.readPaused
	p.mu.Unlock()
	if resumed != nil {
		<-resumed
	}
}

// failPending closes the connection and ends all pending tries with ErrLost.
func (c *peerConn) failPending() {
	c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for seq, try := range c.pending {
		try.done <- PeerOutcome{Err: ErrLost, ClosedInFlight: !c.closedLocally && time.Since(try.sentAt) <= maxResendWindow}
		delete(c.pending, seq)
	}
}

// finish delivers the outcome of a try, and closes a draining connection once nothing is pending on it.
func (c *peerConn) finish(seq int32, outcome PeerOutcome) {
	c.mu.Lock()
	try := c.pending[seq]
	delete(c.pending, seq)
	drained := c.draining && len(c.pending)+c.reserved == 0
	c.mu.Unlock()
	if try != nil {
		try.done <- outcome
	}
	if drained {
		c.closeLocally()
	}
}

// Served and the four methods that follow implement thrift.ReplyHandler.
func (c *peerConn) Served(seq int32, result []byte, _ float64) {
	c.finish(seq, PeerOutcome{Result: append([]byte{}, result...)})
}
func (c *peerConn) PushedBack(seq int32, noRetry bool, retryAfterSeconds, _ float64) {
	wait := time.Duration(retryAfterSeconds * float64(time.Second))
	c.finish(seq, PeerOutcome{Err: ErrPushedBack, NoRetry: noRetry, RetryAfter: wait})
}
func (c *peerConn) Aborted(seq int32, _ string, _ float64) {
	c.finish(seq, PeerOutcome{Err: ErrAborted})
}
func (c *peerConn) Checked(int32, bool, float64) {}
func (c *peerConn) Draining()                    { c.retire() }

// SetReadPaused pauses or resumes the reading of replies.
func (p *Peer) SetReadPaused(paused bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case paused && p.readPaused == nil:
		p.readPaused = make(chan struct{})
	case !paused && p.readPaused != nil:
		close(p.readPaused)
		p.readPaused = nil
	}
}

// ResetConnections resets all connections; the tries pending on them are lost.
func (p *Peer) ResetConnections() { p.closeAll(true) }

// CloseConnections closes all connections; the tries pending on them are lost.
func (p *Peer) CloseConnections() { p.closeAll(false) }

// closeAll closes all connections, with a TCP reset if reset is set.
func (p *Peer) closeAll(reset bool) {
	p.mu.Lock()
	conns := p.connections
	p.connections = nil
	p.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
			tcp.SetLinger(0)
		}
		c.closeLocally()
	}
}

// Close closes all connections and waits for the goroutines of the peer.
func (p *Peer) Close() {
	p.SetReadPaused(false)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.closeAll(false)
	p.group.Wait()
}
