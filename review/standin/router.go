package standin

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"sync"
	"time"

	"valveglade/rig"
)

// Request is one try that a router sends.
type Request struct {
	Method, UID, Token string
	Body               []byte
	HeapKB             float64
	TTL                time.Duration // 0 for none
}

// Answer is what became of a try.
type Answer struct {
	Kind   string // served, refused, failed, lost
	Result []byte
	At     time.Time
	Stop   bool
	After  time.Duration
}

// Conn is one connection of a router.
type Conn struct {
	net.Conn
	mu       sync.Mutex
	seq      int32
	waiting  map[int32]chan Answer
	draining bool
	ended    bool
	source   int
}

// NewUID returns the id of a new try.
func NewUID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// Dial opens a connection of the router with this number.
func Dial(address string, source int) (*Conn, error) {
	nc, err := net.DialTimeout("tcp", address, 2*time.Second)
	if err != nil {
		return nil, err
	}
	c := &Conn{Conn: nc, waiting: map[int32]chan Answer{}, source: source}
	go func() {
		rig.ReadReplies(nc, c)
		c.mu.Lock()
		defer c.mu.Unlock()
		c.ended = true
		for seq, done := range c.waiting {
			done <- Answer{Kind: "lost", At: time.Now()}
			delete(c.waiting, seq)
		}
		nc.Close()
	}()
	return c, nil
}

// Usable reports whether the connection takes a further request.
func (c *Conn) Usable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.ended && !c.draining && len(c.waiting) < 32
}

// Frame returns the bytes of a try.
func Frame(seq int32, source int, r Request, recv time.Time) []byte {
	fields := []rig.Field{{Key: "op", Value: r.Method}, {Key: "call", Value: r.UID},
		{Key: "recv", Value: strconv.FormatInt(recv.UnixMilli(), 10)}, {Key: "src", Value: strconv.Itoa(source)},
		{Key: "heap", Value: fmt.Sprintf("%.1f", max(r.HeapKB, 0.1))}, {Key: "crit", Value: "0.5000"}}
	if r.TTL > 0 {
		fields = append(fields, rig.Field{Key: "ttl", Value: strconv.FormatInt(r.TTL.Milliseconds(), 10)})
	}
	if r.Token != "" {
		fields = append(fields, rig.Field{Key: "dedupe", Value: r.Token})
	}
	return rig.ExecuteFrame(seq, fields, r.Body)
}

// Send sends a try and returns its number and where its answer comes.
func (c *Conn) Send(r Request) (int32, <-chan Answer) {
	done := make(chan Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	if c.ended {
		done <- Answer{Kind: "lost", At: time.Now()}
		return c.seq, done
	}
	c.waiting[c.seq] = done
	c.Conn.SetWriteDeadline(time.Now().Add(5 * time.Second))
	c.Conn.Write(Frame(c.seq, c.source, r, time.Now()))
	return c.seq, done
}

func (c *Conn) finish(seq int32, a Answer) {
	c.mu.Lock()
	done := c.waiting[seq]
	delete(c.waiting, seq)
	closes := c.draining && len(c.waiting) == 0
	c.mu.Unlock()
	if done != nil {
		a.At = time.Now()
		done <- a
	}
	if closes {
		c.Conn.Close()
	}
}

// Served and the methods below implement thrift.ReplyHandler.
func (c *Conn) Served(seq int32, result []byte, _ float64) {
	c.finish(seq, Answer{Kind: "served", Result: bytes.Clone(result)})
}

// PushedBack takes a refusal.
func (c *Conn) PushedBack(seq int32, noRetry bool, after, _ float64) {
	c.finish(seq, Answer{Kind: "refused", Stop: noRetry, After: time.Duration(after * float64(time.Second))})
}

// Aborted takes a failure.
func (c *Conn) Aborted(seq int32, _ string, _ float64) { c.finish(seq, Answer{Kind: "failed"}) }

// Checked takes the answer to a health check.
func (c *Conn) Checked(seq int32, healthy bool, _ float64) {
	kind := "bad"
	if healthy {
		kind = "good"
	}
	c.finish(seq, Answer{Kind: kind})
}

// Draining takes the wish for no new requests.
func (c *Conn) Draining() {
	c.mu.Lock()
	c.draining = true
	idle := len(c.waiting) == 0
	c.mu.Unlock()
	if idle {
		c.Conn.Close()
	}
}

// Check sends a health check.
func (c *Conn) Check() <-chan Answer {
	done := make(chan Answer, 1)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seq++
	c.waiting[c.seq] = done
	c.Conn.Write(rig.CheckFrame(c.seq))
	return done
}

// Router keeps connections to one app server and opens more as it needs them.
type Router struct {
	Address string
	Source  int
	mu      sync.Mutex
	conns   []*Conn
}

// Send sends a try on a connection with room.
func (r *Router) Send(q Request) (<-chan Answer, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	kept := r.conns[:0]
	var use *Conn
	for _, c := range r.conns {
		c.mu.Lock()
		gone := c.ended || c.draining
		c.mu.Unlock()
		if gone {
			continue
		}
		kept = append(kept, c)
		if use == nil && c.Usable() {
			use = c
		}
	}
	r.conns = kept
	if use == nil {
		c, err := Dial(r.Address, r.Source)
		if err != nil {
			return nil, err
		}
		r.conns = append(r.conns, c)
		use = c
	}
	_, done := use.Send(q)
	return done, nil
}
