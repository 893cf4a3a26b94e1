package server

import (
	"context"
	"errors"
	"net"
	"os"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/gate"
	"valveglade/internal/inlet"
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

// reply writes one message behind others, with the credit of that moment.
type reply func(out []byte, load float64) []byte

// conn is one connection of a router.
type conn struct {
	*Server
	net.Conn

	mu       sync.Mutex
	open     map[int32]*call // read, no answer written
	replies  []reply
	spare    []reply
	reading  bool      // a frame is being taken in
	writing  bool      // an answer is on its way out
	owing    int64     // bytes of results that wait to be written, or are being written
	ended    bool      // nobody is there any more
	mute     bool      // the writer has ended
	phase    phase     // changed by move alone
	partial  bool      // the router is in the middle of a message
	due      time.Time // when what has come of a message must be whole, zero for never
	stirred  bool      // the read deadline is not due, but wakes the reader
	evicted  bool      // its descriptor is wanted
	known    bool      // a whole message has come
	used     time.Time // last frame either way
	askedAt  time.Time // when the router was asked to leave, zero before
	lastAt   time.Time // when it began to close
	wake     chan struct{}
	taken    chan struct{} // holds one when the writer has taken up what waited, or nothing more is taken in
	gone     chan struct{} // closed once the descriptor has been given back
	last     int32         // number of the last RPC; the reader's own
	keyError error         // what ends the connection; the reader's own
	odd      atomic.Int32  // RPCs that could not be run
}

const (
	mostOpen  = 64                      // RPCs open or with an unwritten answer: 32, and what crosses interrupts
	mostOdd   = 8                       // RPCs that cannot be run, before whoever sends them has to connect again
	early     = time.Millisecond        // a timer may be early by, as clocks are read one after another
	stuck     = 10 * time.Second        // a router that does not read for so long has lost its answers
	whole     = 1500 * time.Millisecond // for a message to come whole: half of what a client has to be told within
	writeSize = 16 << 10                // answers gathered for one write
	callSize  = 1 << 10                 // what an RPC takes beside its body, about
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
		if err := c.stopPanic(c.read); err != nil {
			c.fail(err)
		}
		c.readOn()
		return nil
	})
}

// quiet is what there is to know of a connection on which nothing is going on.
type quiet struct {
	*conn
	since time.Time
	part  bool // of a message has come
	known bool // a whole message ever came
	shut  bool // it has been ended, and is read on
	going bool // its descriptor is to come back already
	asked time.Duration
}

// rested tells what there is to know of the connection, if it is idle.
func (c *conn) rested() (q quiet, idle bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q = quiet{conn: c, since: c.used, part: c.partial, known: c.known, shut: c.phase == shut, going: c.evicted}
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

// over tells the gate that nobody waits for what the connection carried.
func (c *conn) over() {
	c.mu.Lock()
	open := c.open
	c.open, c.ended = nil, true
	c.press.owed.Add(-c.owing)
	c.mu.Unlock()
	c.giveUp(open)
	discard(c.Conn)
	c.Close() // before its place is free
	c.Server.mu.Lock()
	delete(c.conns, c)
	c.Server.mu.Unlock()
	close(c.gone)
	signal(c.left)
}

// read takes frames until the connection ends; the end of the connection is no error.
func (c *conn) read() error {
	in := inlet.New(thrift.MaxFrame + 4)
	c.readBy(whole) // silence from the start is half a message too
	turn := 0       // RPCs since others last had theirs
	late := false   // what has come of a message was not whole in time
	for timed := true; ; {
		frame, size, err := thrift.Frame(in.Bytes())
		if err != nil {
			return err
		}
		if size == 0 {
			turn = 0
			if done, err := c.passOver(in); err != nil {
				return err
			} else if done {
				timed = false
				c.readBy(0)
				continue
			}
			if !timed && len(in.Bytes()) > 0 {
				timed = true
				c.readBy(whole)
			}
			c.inPart(len(in.Bytes()) > 0)
			switch err := c.fill(in); {
			case err == nil:
			case errors.Is(err, inlet.ErrFull):
				return err
			case errors.Is(err, errShut) && late:
				return errHalf
			case !errors.Is(err, os.ErrDeadlineExceeded) || c.ends():
				return nil
			default:
				late = c.overdue()
			}
			continue
		}
		if timed {
			timed = false
			c.readBy(0)
		}
		late = false
		ends, full := c.takeIn()
		if ends {
			return nil
		}
		if c.odd.Load() >= mostOdd {
			return errors.New("too many RPCs that cannot be run")
		}
		if full {
			return errors.New("more open RPCs than a connection may carry")
		}
		if err := errors.Join(thrift.Decode(frame, c), c.keyError); err != nil {
			return err
		}
		in.Take(size)
		c.mu.Lock()
		c.reading = false
		c.mu.Unlock()
		if turn++; turn >= c.press.effects.Load().Turn && turn > 1 {
			turn = 0
			runtime.Gosched()
		}
	}
}

var errHalf = errors.New("half a message, or none")

// readBy bounds how long the next bytes may take, 0 for as long as it likes. Once nothing more is taken in, move has set
// the bound, and the reader's own come too late.
func (c *conn) readBy(within time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.due = time.Time{}
	if within > 0 {
		c.due = time.Now().Add(within)
	}
	if c.phase < ending {
		c.stirred = false
		c.SetReadDeadline(c.due)
	}
}

// overdue tells whether a message should have been whole by now. Then the connection closes; what has been read is answered
// first.
func (c *conn) overdue() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.due.IsZero() || time.Until(c.due) > early {
		return false // only woken
	}
	if c.rests() {
		c.move(closing)
	} else {
		c.due = time.Now().Add(whole / 10)
		c.stirred = true
	}
	return true
}

// inPart takes note whether a part of a message lies in the buffer.
func (c *conn) inPart(part bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.partial = part
}

// takeIn marks that a frame is being taken in. While too many answers wait to be written it waits for the writer first:
// under overload callers give up and ask anew faster than it comes to its turn, and a connection that is closed for that
// would lose what is open on it.
func (c *conn) takeIn() (ends, full bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.phase < ending && !c.mute && len(c.open) < mostOpen && len(c.open)+len(c.replies) >= mostOpen {
		c.mu.Unlock()
		<-c.taken
		c.mu.Lock()
	}
	if c.phase >= ending {
		return true, false
	}
	c.used, c.reading, c.known = time.Now(), true, true
	return false, len(c.open) >= mostOpen
}

// Execute takes in one RPC.
func (c *conn) Execute(seq int32, op, uid []byte, src int, recv, ttl, heap float64, again bool, dedupe, body []byte) {
	if c.out(seq) {
		return
	}
	now := clock()
	method, known := c.methods[string(op)]
	tokened := known && c.tokened(method)
	switch {
	case !known:
		c.unreadable(seq, "op")
		return
	case tokened && len(dedupe) == 0:
		c.unreadable(seq, "dedupe")
		return
	case recv < now-offClock || recv > now+offClock:
		c.unreadable(seq, "recv")
		return
	case ttl > offClock:
		c.unreadable(seq, "ttl")
		return
	}
	if c.press.on.Load() {
		c.press.came(method, now-recv)
		if c.turnsAway(seq, method, dedupe, recv, len(body)) {
			return
		}
	}
	k := &call{conn: c, seq: seq, method: method, uid: string(uid), body: append([]byte(nil), body...)}
	if c.held.Add(k.size()) > int64(c.config.Load().Memory/heldShare) {
		c.held.Add(-k.size())
		c.unreadable(seq, "no memory for it")
		return
	}
	token := ""
	if tokened {
		token = string(dedupe)
	}
	c.mu.Lock()
	c.open[seq] = k
	c.mu.Unlock()
	var ok bool
	if k.id, ok = c.gate.Arrive(now, method, src, recv, max(min(recv, now)+ttl, 1), heap, again, k.uid, token, body,
		k); !ok {
		c.mu.Lock()
		delete(c.open, seq)
		c.mu.Unlock()
		c.held.Add(-k.size())
		c.unreadable(seq, "call or dedupe of another RPC")
	}
}

// turnsAway refuses an RPC that the process cannot bear now, at once and beside the gate, which never hears of it. What
// has begun is not refused: a repeat of it goes to the gate.
func (c *conn) turnsAway(seq int32, method int, token []byte, recv float64, size int) bool {
	e := c.press.effects.Load()
	if size <= e.Largest && c.press.lets(method) || len(token) > 0 && c.gate.Knows(string(token), recv) {
		return false
	}
	c.press.refused.Add(1)
	c.say(func(out []byte, load float64) []byte { return thrift.PushedBack(out, seq, false, e.After, load) })
	return true
}

// passOver refuses an RPC that is not all there, if it is larger than what is read now, and throws away what comes of it.
// It tells whether it did. Behind an RPC that did not come whole nothing can be read any more.
func (c *conn) passOver(in *inlet.Buffer) (done bool, err error) {
	size := thrift.Length(in.Bytes())
	if size <= c.press.effects.Load().Largest || size > thrift.MaxFrame {
		return false, nil
	}
	k, there := thrift.Peek(in.Bytes()[4:])
	method, known := c.methods[string(k.Method)]
	if !there || !known || c.tokened(method) && len(k.Token) == 0 || k.Seq <= c.last {
		return false, nil // read it then, and let it end as it would
	}
	c.mu.Lock()
	busy := c.phase >= ending || len(c.open)+len(c.replies) >= mostOpen
	if !busy {
		c.reading, c.used, c.known = true, time.Now(), true
	}
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.reading = false
		c.mu.Unlock()
	}()
	if busy || !c.turnsAway(k.Seq, method, k.Token, k.Recv, size) {
		return false, nil
	}
	c.press.came(method, 0)
	c.last = k.Seq
	c.readBy(whole)
	for rest := size; ; {
		n := min(rest, len(in.Bytes()))
		in.Take(n)
		if rest -= n; rest == 0 {
			return true, nil
		}
		if err := in.Fill(c); err != nil {
			return true, errHalf
		}
	}
}

// offClock: an arrival or a deadline further off than an hour is a mistake, and so is no use to the module.
const offClock = 3600.0

// usedTwice is a number that two RPCs of one connection came under.
type usedTwice struct{ seq int32 }

func (e *usedTwice) Error() string { return "sequence number used before" }

// out ends a connection whose RPCs' numbers do not rise: to answer one of two with the same number would be to
// answer both.
func (c *conn) out(seq int32) bool {
	if seq > c.last {
		c.last = seq
		return false
	}
	c.keyError = &usedTwice{seq}
	return true
}

// Unreadable answers what cannot be run.
func (c *conn) Unreadable(seq int32, why string) {
	if !c.out(seq) {
		c.unreadable(seq, why)
	}
}

func (c *conn) unreadable(seq int32, why string) {
	c.limited.Warn("RPC unreadable", zap.Stringer("router", c.RemoteAddr()), zap.String("field", why))
	c.say(func(out []byte, load float64) []byte { return thrift.Aborted(out, seq, load) })
	c.odd.Add(1)
}

// Interrupt tells that nobody waits for an RPC any more.
func (c *conn) Interrupt(target int32) {
	c.mu.Lock()
	k := c.open[target]
	delete(c.open, target)
	c.settle()
	c.mu.Unlock()
	if k != nil {
		c.giveUp(map[int32]*call{target: k})
	}
}

// Check answers a health check.
func (c *conn) Check(seq int32) {
	c.say(func(out []byte, load float64) []byte { return thrift.Checked(out, seq, c.healthy(), load) })
}

// Unknown answers a call of a method that there is not.
func (c *conn) Unknown(seq int32, method string) {
	c.say(func(out []byte, _ float64) []byte { return thrift.Unknown(out, seq, method) })
}

// say leaves a reply that no RPC waits for to the connection's writer.
func (c *conn) say(r reply) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.queue(r)
}

// queue is called under the lock, so that a connection with an answer to write never looks idle.
func (c *conn) queue(r reply) {
	if c.phase == shut {
		return // nothing can be written any more
	}
	c.replies = append(c.replies, r)
	signal(c.wake)
}

// write sends replies, several at once where they are ready, with the credit of that moment.
func (c *conn) write(ctx context.Context) error {
	defer func() {
		c.mu.Lock()
		c.mute = true
		c.settle()
		c.mu.Unlock()
		signal(c.taken)
	}()
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-c.wake:
		}
		c.mu.Lock()
		replies := c.replies
		c.replies, c.spare = c.spare[:0], nil
		c.writing = true
		owing := c.owing
		c.mu.Unlock()
		signal(c.taken)
		for rest := replies; len(rest) > 0; {
			load := c.credit()
			for out = out[:0]; len(rest) > 0 && len(out) < writeSize; rest = rest[1:] {
				out = rest[0](out, load)
			}
			c.writeBy()
			if _, err := c.Write(out); errors.Is(err, os.ErrDeadlineExceeded) {
				return errors.New("the router does not read its answers")
			} else if err != nil { // it has left
				c.Close()
				return nil
			}
		}
		clear(replies)
		c.mu.Lock()
		c.spare, c.writing, c.used = replies, false, time.Now()
		if !c.ended {
			c.owing -= owing
			c.press.owed.Add(-owing)
		}
		c.settle()
		c.mu.Unlock()
	}
}
