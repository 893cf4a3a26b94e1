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

// PeerForm is how the routers of a deployment write RPCs.
type PeerForm struct {
	PassesDeadline bool // RPCs say how long their caller waits
	HangupSeen     bool // interrupts are sent
	MarksRetry     bool // further tries are marked
	Tenants        int  // RPCs name one of so many
	Pieces         int  // bytes written at a time; 0 for whole messages
}

// Peer is a router of one app server, as the protocol has them: up to 32 RPCs open on a connection, new connections as it
// needs them, and a connection that is asked to drain gets no new RPC. It can do what a bad router does. Behind a Net the
// checker sees what it says and hears. It is safe for use by many goroutines.
type Peer struct {
	address string
	source  int
	form    PeerForm
	catalog *Catalog

	mu     sync.Mutex
	chance *rand.Rand
	conns  []*peerConn
	deaf   chan struct{} // closed when answers are read again; nil while they are
	group  sync.WaitGroup
	closed bool
}

// PeerTry is one try of an RPC.
type PeerTry struct {
	RPC         string // the same for all tries
	Method      string
	Token       string
	Body        []byte
	Recv        time.Time     // when it came to the machine
	Waits       time.Duration // from Recv on; the field ttl
	Criticality float64
	Again       bool
	Work        float64 // seconds on a core
	Result      []byte  // of a run; nil for Answer(RPC)
	Fails       bool    // a run ends with a fault
}

// PeerOutcome is how a try ended: with a result, or with ErrPushedBack, ErrAborted, ErrLost.
type PeerOutcome struct {
	Result  []byte
	Err     error
	Last    bool          // pushed back, and no other app server is to be tried
	After   time.Duration // pushed back, and not before
	Crossed bool          // the connection ended just when it was written
}

// PeerCall is a try that has been written.
type PeerCall struct {
	Done <-chan PeerOutcome
	conn *peerConn
	seq  int32
}

// peerConn is one connection of a peer.
type peerConn struct {
	*Peer
	net.Conn
	write sync.Mutex
	seq   int32

	mu     sync.Mutex
	open   map[int32]*peerOpen
	booked int
	drains bool
	ended  bool
	ours   bool // it was ended from this side
}

// peerOpen is a try without an outcome.
type peerOpen struct {
	at   time.Time
	done chan PeerOutcome
}

// ErrNotConnected is a try that was not written: no connection could be had.
var ErrNotConnected = errors.New("no connection")

// peerConnects bounds the wait for a connection, and peerWrites that for an app server that does not read.
const (
	peerConnects = 2 * time.Second
	peerWrites   = 5 * time.Second
)

// NewPeer makes one; it connects when it has something to send.
func NewPeer(address string, source int, form PeerForm, catalog *Catalog, seed uint64) *Peer {
	return &Peer{address: address, source: source, form: form, catalog: catalog, chance: rand.New(rand.NewPCG(seed, uint64(source)))}
}

// Send writes one try.
func (p *Peer) Send(t PeerTry) (*PeerCall, error) {
	c, err := p.connection()
	if err != nil {
		return nil, fmt.Errorf("%w: %w", ErrNotConnected, err)
	}
	done := make(chan PeerOutcome, 1)
	c.write.Lock()
	defer c.write.Unlock()
	c.seq++
	fields, call := p.fields(t)
	if !c.book(c.seq, &peerOpen{time.Now(), done}) {
		return nil, ErrNotConnected
	}
	c.catalog.Add(call, CatalogEntry{RPC: t.RPC, Work: t.Work, Result: t.Result, Fails: t.Fails})
	c.put(ExecuteFrame(c.seq, fields, t.Body))
	return &PeerCall{Done: done, conn: c, seq: c.seq}, nil
}

// fields are those of the protocol, in any order, with a new call id.
func (p *Peer) fields(t PeerTry) (fields []Pair, call string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	call = fmt.Sprintf("%016x", p.chance.Uint64())
	fields = []Pair{{"op", t.Method}, {"call", call}, {"recv", strconv.FormatInt(t.Recv.UnixMilli(), 10)}, {"src", strconv.Itoa(p.source)},
		{"heap", fmt.Sprintf("%.1f", 0.5+20*p.chance.Float64())}, {"crit", fmt.Sprintf("%.4f", min(t.Criticality, 0.9999))}}
	if p.form.PassesDeadline {
		fields = append(fields, Pair{"ttl", strconv.FormatInt(t.Waits.Milliseconds(), 10)})
	}
	if t.Token != "" {
		fields = append(fields, Pair{"dedupe", t.Token})
	} else if p.chance.IntN(2) == 0 {
		fields = append(fields, Pair{"row", fmt.Sprintf("%016x", p.chance.IntN(8))})
	}
	if p.form.Tenants > 0 {
		fields = append(fields, Pair{"org", strconv.Itoa(p.chance.IntN(p.form.Tenants))})
	}
	if t.Again && p.form.MarksRetry {
		fields = append(fields, Pair{"rep", "1"})
	}
	p.chance.Shuffle(len(fields), func(a, b int) { fields[a], fields[b] = fields[b], fields[a] })
	return fields, call
}

// GiveUp says that nobody waits for a try any more, where app servers are told of it.
func (k *PeerCall) GiveUp() {
	c := k.conn
	if !c.form.HangupSeen {
		return
	}
	c.write.Lock()
	defer c.write.Unlock()
	c.seq++
	c.put(InterruptFrame(c.seq, k.seq))
}

// put writes a frame, whole or in pieces. Called under the lock of writing.
func (c *peerConn) put(frame []byte) {
	c.SetWriteDeadline(time.Now().Add(peerWrites))
	step := len(frame)
	if c.form.Pieces > 0 {
		step = c.form.Pieces
	}
	for len(frame) > 0 {
		n := min(step, len(frame))
		if _, err := c.Write(frame[:n]); err != nil {
			c.retire() // answers that have come are still read; the reader finds the end
			return
		}
		if frame = frame[n:]; len(frame) > 0 && c.form.Pieces < 8 {
			time.Sleep(100 * time.Microsecond)
		}
	}
}

// book enters a try; false if the connection has ended meanwhile.
func (c *peerConn) book(seq int32, o *peerOpen) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.booked--
	if c.ended {
		return false
	}
	c.open[seq] = o
	return true
}

// retire has no new RPC sent on the connection.
func (c *peerConn) retire() {
	c.mu.Lock()
	c.drains = true
	idle := len(c.open)+c.booked == 0
	c.mu.Unlock()
	if idle {
		c.leave()
	}
}

// leave ends the connection from this side.
func (c *peerConn) leave() {
	c.mu.Lock()
	c.ours = true
	c.mu.Unlock()
	c.Conn.Close()
}

// connection books a place on one.
func (p *Peer) connection() (*peerConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, net.ErrClosed
	}
	for k := 0; k < len(p.conns); k++ {
		c := p.conns[k]
		c.mu.Lock()
		gone, room := c.ended || c.drains, len(c.open)+c.booked < routerOpen
		if !gone && room {
			c.booked++
		}
		c.mu.Unlock()
		switch {
		case gone:
			p.conns = append(p.conns[:k], p.conns[k+1:]...)
			k--
		case room:
			return c, nil
		}
	}
	nc, err := net.DialTimeout("tcp", p.address, peerConnects)
	if err != nil {
		return nil, err
	}
	c := &peerConn{Peer: p, Conn: nc, open: map[int32]*peerOpen{}, booked: 1}
	p.conns = append(p.conns, c)
	p.group.Go(c.read)
	return c, nil
}

func (c *peerConn) read() {
	defer c.over()
	in := readbuffer.New(thrift.MaxFrame + 4)
	for {
		c.awaitHearing()
		frame, size, err := thrift.Frame(in.Bytes())
		switch {
		case err == nil && size == 0:
			err = in.Fill(c)
		case err == nil:
			err = thrift.DecodeAnswer(frame, c)
			in.Discard(size)
		}
		if err != nil { // what cannot be read is the checker's to tell
			return
		}
	}
}

// awaitHearing waits while the peer does not read.
func (p *Peer) awaitHearing() {
	p.mu.Lock()
	deaf := p.deaf
	p.mu.Unlock()
	if deaf != nil {
		<-deaf
	}
}

// over gives what is open its outcome.
func (c *peerConn) over() {
	c.Conn.Close()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for seq, o := range c.open {
		o.done <- PeerOutcome{Err: ErrLost, Crossed: !c.ours && time.Since(o.at) <= maxResendWindow}
		delete(c.open, seq)
	}
}

// end gives a try its outcome, and leaves a connection that is to have no more.
func (c *peerConn) end(seq int32, o PeerOutcome) {
	c.mu.Lock()
	open := c.open[seq]
	delete(c.open, seq)
	leave := c.drains && len(c.open)+c.booked == 0
	c.mu.Unlock()
	if open != nil {
		open.done <- o
	}
	if leave {
		c.leave()
	}
}

// Served, PushedBack, Aborted and the rest are what the app server says.
func (c *peerConn) Served(seq int32, result []byte, _ float64) {
	c.end(seq, PeerOutcome{Result: append([]byte{}, result...)})
}
func (c *peerConn) PushedBack(seq int32, last bool, after, _ float64) {
	wait := time.Duration(after * float64(time.Second))
	c.end(seq, PeerOutcome{Err: ErrPushedBack, Last: last, After: wait})
}
func (c *peerConn) Aborted(seq int32, _ string, _ float64) {
	c.end(seq, PeerOutcome{Err: ErrAborted})
}
func (c *peerConn) Checked(int32, bool, float64) {}
func (c *peerConn) Draining()                    { c.retire() }

// Deaf stops the reading of answers, or lets it go on.
func (p *Peer) Deaf(deaf bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case deaf && p.deaf == nil:
		p.deaf = make(chan struct{})
	case !deaf && p.deaf != nil:
		close(p.deaf)
		p.deaf = nil
	}
}

// Reset resets all connections, Leave closes them; the tries open on them have no caller any more.
func (p *Peer) Reset() { p.endAll(true) }

// Leave closes all connections.
func (p *Peer) Leave() { p.endAll(false) }

func (p *Peer) endAll(reset bool) {
	p.mu.Lock()
	conns := p.conns
	p.conns = nil
	p.mu.Unlock()
	for _, c := range conns {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && reset {
			tcp.SetLinger(0)
		}
		c.leave()
	}
}

// Close ends it and waits until nothing of it is left.
func (p *Peer) Close() {
	p.Deaf(false)
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.endAll(false)
	p.group.Wait()
}
