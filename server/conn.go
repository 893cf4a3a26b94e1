package server

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/gate"
	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// call is one RPC as it came.
type call struct {
	conn   *conn
	seq    int32
	id     gate.ID // known to the connection's reader alone
	method int
	uid    string
	body   []byte
}

func (k *call) size() int64 { return int64(callSize + len(k.body)) }

// answer takes the RPC's answer, with a result of so many bytes, to its connection, unless nobody there waits for it any
// more.
func (k *call) answer(bytes int, r reply) {
	c := k.conn
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.open[k.seq] == k {
		delete(c.open, k.seq)
		c.held.Add(-k.size())
		c.owing += int64(bytes)
		c.press.owed.Add(int64(bytes))
		c.queue(r)
	}
}

// conn is one connection of a router.
type conn struct {
	*Server
	net.Conn

	mu            sync.Mutex
	open          map[int32]*call // read, no answer written
	replies       []reply
	spare         []reply
	reading       bool      // a frame is being taken in
	writing       bool      // an answer is on its way out
	owing         int64     // bytes of results that wait to be written, or are being written
	ended         bool      // nobody is there any more
	writerEnded   bool      // the writer has ended
	phase         phase     // changed by move alone
	partial       bool      // the router is in the middle of a message
	due           time.Time // when what has come of a message must be whole, zero for never
	woken         bool      // the read deadline is not due, but wakes the reader
	evicted       bool      // its descriptor is wanted
	known         bool      // a whole message has come
	used          time.Time // last frame either way
	askedAt       time.Time // when the router was asked to leave, zero before
	lastAt        time.Time // when it began to close
	endedAt       time.Time // when nothing more was taken in
	looked        bool      // the reader has had its last look, see lastLook
	closeOnce     sync.Once // see Close
	wake          chan struct{}
	taken         chan struct{} // holds one when the writer has taken up what waited, or nothing more is taken in
	shutDown      chan struct{} // closed once our side is shut
	gone          chan struct{} // closed once the descriptor has been given back
	numbers                     // of its RPCs; the reader's own
	protocolError error         // what ends the connection; the reader's own
	odd           atomic.Int32  // RPCs of no usual router since the kernel last knew one, see judge
}

const (
	mostOpen       = 64                      // RPCs open or with an unwritten answer: 32, and what crosses interrupts
	mostOdd        = 8                       // RPCs of no usual router running, before whoever sends them has to connect again
	timerSlack     = time.Millisecond        // a timer may be early by, as clocks are read one after another
	writeTimeout   = 10 * time.Second        // a router that does not read for so long has lost its answers
	messageTimeout = 1500 * time.Millisecond // for a message to come whole: half of what a client has to be told within
	writeSize      = 16 << 10                // answers gathered for one write
	callSize       = 1 << 10                 // what an RPC takes beside its body, about
)

// serve reads and writes until the connection ends.
func (c *conn) serve(ctx context.Context) {
	live, end := context.WithCancel(ctx)
	context.AfterFunc(live, func() { c.Close() })
	c.group.Go(func() error {
		if err := c.stopPanic(func() error { return c.write(live) }); err != nil {
			c.limited.Warn("connection cut off", zap.Stringer("router", c.RemoteAddr()), zap.Error(err))
			end()
		}
		return nil
	})
	c.group.Go(func() error {
		defer c.over()
		defer end()
		in := readbuffer.New(thrift.MaxFrame + 4)
		err := c.stopPanic(func() error { return c.read(in) })
		if err != nil && c.stopPanic(func() error {
			c.fail(err)
			return nil
		}) != nil {
			end()
		}
		c.stopPanic(func() error {
			c.lastLook(in, err == nil || isRefusable(err))
			return nil
		})
		c.readOn()
		return nil
	})
}

// quiet is what there is to know of a connection on which nothing is going on.
type quiet struct {
	*conn
	since time.Time // of its last frame, or of the message that it is in the middle of
	part  bool      // of a message has come
	known bool      // a whole message ever came
	shut  bool      // it has been ended, and is read on
	going bool      // its descriptor is to come back already
	asked time.Duration
}

// rested tells what there is to know of the connection, if it is idle.
func (c *conn) rested() (q quiet, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q = quiet{conn: c, since: c.used, part: c.partial, known: c.known, shut: c.phase == shut, going: c.evicted}
	if c.partial && !c.due.IsZero() {
		q.since = c.due.Add(-messageTimeout)
	}
	if !c.askedAt.IsZero() {
		q.asked = time.Since(c.askedAt)
	}
	return q, c.rests()
}

// rests is called under the lock.
func (c *conn) rests() bool {
	return len(c.open) == 0 && len(c.replies) == 0 && !c.reading && !c.writing
}

// drain asks the router to send nothing more here and to close. An RPC that crosses this is answered as any
// other.
func (c *conn) drain() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == serving {
		c.move(draining)
		c.askedAt = time.Now()
		c.queue(func(out []byte, _ float64) []byte { return thrift.Draining(out) })
	}
}

// Close gives the descriptor back. Also when another goroutine has begun to close it returns only then: the connection's own
// Close would return at once, and its place would be free before its descriptor is.
func (c *conn) Close() error {
	c.closeOnce.Do(func() { c.Conn.Close() })
	return nil
}

// over tells the gate that nobody waits for what the connection carried.
func (c *conn) over() {
	c.mu.Lock()
	open := c.open
	c.open, c.ended = nil, true
	c.press.owed.Add(-c.owing)
	c.mu.Unlock()
	c.stopPanic(func() error {
		c.giveUp(open)
		return nil
	})
	c.Close() // before its place is free; over what was never read it is a reset
	c.Server.mu.Lock()
	delete(c.conns, c)
	c.Server.mu.Unlock()
	close(c.gone)
	signal(c.left)
}
