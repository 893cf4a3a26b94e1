package client

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/attempt"
)

// item is one message that waits to be written.
type item struct {
	check    bool
	target   int32 // of an interrupt, 0 if it is none
	id       attempt.ID
	try      int
	call     *call
	deadline float64
	again    bool
	at       int // where its frame ends in what is written
	seq      int32
}

// sent is a try whose answer is owed.
type sent struct {
	seq int32
	id  attempt.ID
	try int
}

// link is one connection. All but the writer's buffer is guarded by the client's lock.
type link struct {
	*Client
	at       int // the desk's index
	server   string
	nc       net.Conn
	over     bool // the desk knows that it has ended, or has ended it
	queue    []item
	spare    []item
	open     []sent  // at most 32
	let      []int32 // interrupted; an answer to one of these may still come
	checking int32   // number of the health check that is out, 0 if none is
	last     int32
	wake     chan struct{}
}

const (
	mostLet   = 256                     // interrupted RPCs whose answers may still come; who owes more answers nothing
	stuck     = time.Second             // for one write of at most writeSize: an app server that reads takes microseconds
	writeSize = 16 << 10                // gathered for one write
	halfFrame = 1500 * time.Millisecond // for a frame to come whole once it has begun: trickles end with it
)

func newLink(c *Client, at int, server string) *link {
	return &link{Client: c, at: at, server: server, wake: make(chan struct{}, 1)}
}

// connect is the link's life, in a goroutine of its own.
func (l *link) connect() {
	ctx, stop := context.WithTimeout(l.ctx, l.Client.connect)
	nc, err := l.dial(ctx, l.server)
	stop()
	l.mu.Lock()
	if l.closed || err != nil {
		if !l.over {
			l.over = true
			l.desk.NotConnected(l.clock(), l.at)
			l.run()
		}
		l.mu.Unlock()
		if nc != nil {
			nc.Close()
		}
		return
	}
	l.nc = nc
	l.desk.Connected(l.clock(), l.at)
	l.run()
	l.mu.Unlock()
	live, end := context.WithCancel(l.ctx)
	undo := context.AfterFunc(live, func() { nc.Close() })
	l.group.Go(func() {
		defer end()
		l.contain(func() error { return l.write(live) })
	})
	l.contain(l.read)
	end()
	undo()
	nc.Close()
}

// contain runs one side of the connection; its end or a panic ends the connection, and nothing else.
func (l *link) contain(side func() error) {
	err := func() (err error) {
		defer func() {
			if p := recover(); p != nil {
				err = fmt.Errorf("panic: %v", p)
				l.log.Error("panic", zap.Any("panic", p), zap.Stack("stack"))
			}
		}()
		return side()
	}()
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.over {
		l.ended(err)
	}
}

// ended tells the desk that the connection is no more; what was not written has not been sent.
func (l *link) ended(err error) {
	l.over = true
	var peer *PeerError
	faulty := errors.As(err, &peer)
	if faulty {
		l.log.Warn("connection closed", zap.String("server", l.server), zap.Error(err))
	}
	l.nc.Close()
	now := l.clock()
	queue := l.queue
	l.queue = nil
	for _, m := range queue {
		if m.call != nil {
			l.desk.Unsent(now, m.id, m.try)
		}
	}
	l.desk.Dropped(now, l.at, faulty)
	l.run()
}

// hang closes the connection at the desk's word.
func (l *link) hang() {
	l.over = true
	if l.nc != nil {
		l.nc.Close()
	}
}

func (l *link) send(m item) {
	l.queue = append(l.queue, m)
	l.stir()
}

func (l *link) stir() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// interrupt takes a try back. What has not been written yet never is.
func (l *link) interrupt(id attempt.ID, try int) {
	if k := slices.IndexFunc(l.queue, func(m item) bool { return m.call != nil && m.id == id && m.try == try }); k >= 0 {
		l.queue = slices.Delete(l.queue, k, k+1)
		return
	}
	k := slices.IndexFunc(l.open, func(s sent) bool { return s.id == id && s.try == try })
	if k < 0 || l.over {
		return
	}
	seq := l.open[k].seq
	l.open = slices.Delete(l.open, k, k+1)
	if l.let = append(l.let, seq); len(l.let) > mostLet {
		l.let = slices.Delete(l.let, 0, 1)
	}
	l.send(item{target: seq})
}
