// Package kernel is the link to the process that owns the cores and does the work. The link outlives its
// connection: no notice is missed or taken twice, no command is lost, none starts anything a second time.
package kernel

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
)

// Reach is how far a run had come when it ended without a result.
type Reach uint8

const (
	NeverRan Reach = iota // it is sure that nothing was started
	Sent                  // the command went out, and nothing tells what came of it
	Ran                   // it was started
)

// Attempt is the error of a run that has no result.
type Attempt struct {
	Reach   Reach
	Stopped bool // off the cores by our command, or because its answer had been given
	Unknown bool // the kernel knows no such RPC
	Why     string
}

func (a *Attempt) Error() string {
	return fmt.Sprintf("run %s (%s)", a.Why, [...]string{"never started", "sent", "started"}[a.Reach])
}

// Owner is told what the kernel says about the runs that it asked for; K is its name for them.
type Owner[K any] interface {
	// Booted comes with the first word on each connection: how long ago the kernel started, and whether cold.
	Booted(ago float64, cold bool)
	Ended(run K, took float64, result []byte, err error)
}

// command is one line that the kernel may not have read yet.
type command struct {
	at   time.Time // when it was decided
	uid  string    // of the run, empty for SYSINFO
	echo string    // of SYSINFO
	line []byte
}

// Link is safe for use by many goroutines.
type Link[K any] struct {
	owner Owner[K]
	log   *zap.Logger
	moved chan struct{} // holds one after a change of at

	doubtFor time.Duration // given to runs whose end may have been lost
	syncFor  time.Duration // given to the answer to the first question on a connection

	mu       sync.Mutex
	at       netip.AddrPort
	runs     map[string]K
	unread   []command // in the order decided; SYSINFO answered means that all before it has been read
	unsent   int       // how many of them, from the end, have not been written on this connection
	up       bool      // notices up to now are known, commands may go out
	writing  bool      // commands are being written
	asked    string    // the echo of the SYSINFO on its way, empty if there is none
	echo     int
	meters   []float64
	measured time.Time
	pos      int // of the last notice read
	work     chan struct{}
	informed chan struct{}
}

func New[K any](at netip.AddrPort, owner Owner[K], log *zap.Logger) *Link[K] {
	return &Link[K]{at: at, owner: owner, log: log, doubtFor: longRun, moved: make(chan struct{}, 1), runs: map[string]K{},
		work: make(chan struct{}, 1), informed: make(chan struct{}, 1)}
}

// Run asks for a run; its end comes to the owner. A name that runs already is not taken again. repeatable tells whether it
// may run a second time.
func (l *Link[K]) Run(run K, uid, lane string, body []byte, repeatable bool) error {
	if body == nil {
		body = []byte{} // an empty body is "", not null
	}
	line, err := json.Marshal(struct {
		Action  string `json:"action"`
		UID     string `json:"uid"`
		Lane    string `json:"lane"`
		Content []byte `json:"content"`
	}{"SCHED", uid, lane, body})
	if err != nil {
		return &Attempt{Why: err.Error()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, taken := l.runs[uid]; taken {
		return &Attempt{Why: "its name is taken by another run"}
	}
	l.runs[uid] = run
	l.push(command{uid: uid, line: line})
	return nil
}

// Pause stops a run, in the way of the site.
func (l *Link[K]) Pause(uid string) {
	line, _ := json.Marshal(struct {
		Action string `json:"action"`
		UID    string `json:"uid"`
	}{"PREEMPT", uid})
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, runs := l.runs[uid]; runs {
		l.push(command{uid: uid, line: line})
	}
}

// Gauges asks for the machine's gauges and waits a little for them, nil if they do not come. Only one
// question is on its way at a time.
func (l *Link[K]) Gauges(wait time.Duration) []float64 {
	l.mu.Lock()
	if l.up && l.asked == "" {
		l.ask()
	}
	select {
	case <-l.informed: // an answer that came too late for the last look
	default:
	}
	asked := l.asked != ""
	l.mu.Unlock()
	if asked {
		late := time.NewTimer(wait)
		defer late.Stop()
		select {
		case <-l.informed:
		case <-late.C:
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.measured) > 3*wait {
		return nil
	}
	return l.meters
}

func (l *Link[K]) ask() {
	l.echo++
	l.asked = strconv.Itoa(l.echo)
	l.push(command{echo: l.asked, line: []byte(`{"action":"SYSINFO","echo":"` + l.asked + `"}`)})
}

// Waits is how long the oldest command has waited to be taken up by the link's writer. It is not known while the link is
// down, or while the writer waits for the kernel to read: that is not this process's own doing.
func (l *Link[K]) Waits() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.up || l.writing:
		return 0, false
	case l.unsent == 0:
		return 0, true
	}
	return time.Since(l.unread[len(l.unread)-l.unsent].at), true
}

func (l *Link[K]) push(c command) {
	c.at = time.Now()
	c.line = append(c.line, '\n')
	l.unread = append(l.unread, c)
	l.unsent++
	signal(l.work)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

const (
	firstTry = 5 * time.Millisecond
	lastTry  = 250 * time.Millisecond // a connection on one machine costs little
	silence  = 5 * time.Second        // gauges are asked for many times a second: the link is dead
	longRun  = 20 * time.Second       // a run that takes longer does no harm if it is taken for ended
)

// Move takes the link to another address. The connection that there is goes on until one to the new address
// stands; runs and what the kernel may not have read go over to it.
func (l *Link[K]) Move(at netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.at != at {
		l.at = at
		signal(l.moved)
	}
}

// Serve keeps the link up until ctx ends.
func (l *Link[K]) Serve(ctx context.Context) error {
	down := false
	failed := func(err error) {
		if !down && ctx.Err() == nil {
			l.log.Warn("kernel link down", zap.Error(err))
			down = true
		}
	}
	up := func() {
		if down {
			l.log.Info("kernel link up again")
			down = false
		}
	}
	pause := firstTry // against a kernel that takes connections and ends them at once
	for {
		conn, err := l.dial(ctx, failed)
		for err == nil {
			began := time.Now()
			var next net.Conn
			if next, err = l.hold(ctx, conn, up); next != nil {
				l.log.Info("kernel link moved", zap.Stringer("to", next.RemoteAddr()))
				conn, err = next, nil
			}
			if time.Since(began) > lastTry {
				pause = firstTry
			}
		}
		failed(err)
		if !sleep(ctx, pause) {
			return nil
		}
		pause = min(2*pause, lastTry)
	}
}

// dial tries until a connection stands or ctx ends.
func (l *Link[K]) dial(ctx context.Context, failed func(error)) (net.Conn, error) {
	var dialer net.Dialer
	for pause := firstTry; ; pause = min(2*pause, lastTry) {
		l.mu.Lock()
		at := l.at
		select {
		case <-l.moved: // it is this one
		default:
		}
		l.mu.Unlock()
		try, end := context.WithTimeout(ctx, silence)
		conn, err := dialer.DialContext(try, "tcp", at.String())
		end()
		if err == nil {
			return conn, nil
		}
		failed(err)
		if !sleep(ctx, pause) {
			return nil, ctx.Err()
		}
	}
}

func sleep(ctx context.Context, t time.Duration) bool {
	timer := time.NewTimer(t)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// errMoved ends a connection in whose place another stands.
var errMoved = errors.New("kernel link moved")

// hold uses a connection until it ends, or until one to a new address stands: next.
func (l *Link[K]) hold(ctx context.Context, conn net.Conn, up func()) (next net.Conn, err error) {
	l.mu.Lock()
	open := fmt.Sprintf(`{"action":"OPEN","pos":%d}`+"\n", l.pos)
	l.mu.Unlock()
	sides, live := errgroup.WithContext(ctx)
	defer context.AfterFunc(live, func() { conn.Close() })()
	sides.Go(func() error {
		if _, err := conn.Write([]byte(open)); err != nil {
			return err
		}
		return l.write(live, conn)
	})
	sides.Go(func() error { return l.read(conn, up) })
	sides.Go(func() error {
		select {
		case <-live.Done():
			return nil
		case <-l.moved:
		}
		var err error
		if next, err = l.dial(live, func(error) {}); err != nil {
			return nil // the old connection has ended meanwhile; the new address is dialled anyway
		}
		return errMoved
	})
	err = sides.Wait()
	conn.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	// What may not have been read is sent again on the next connection, without the questions.
	l.up, l.asked = false, ""
	l.unread = slices.DeleteFunc(l.unread, func(c command) bool { return c.echo != "" })
	l.unsent = len(l.unread)
	return next, err
}

// write sends what has been decided, several commands at once where they are ready.
func (l *Link[K]) write(ctx context.Context, conn net.Conn) error {
	var out []byte
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-l.work:
		}
		l.mu.Lock()
		out = out[:0]
		for l.unsent > 0 {
			c := l.unread[len(l.unread)-l.unsent]
			if !l.up && c.echo == "" {
				break // until the question before it has been answered
			}
			out = append(out, c.line...)
			l.unsent--
		}
		l.writing = len(out) > 0
		l.mu.Unlock()
		if len(out) == 0 {
			continue
		}
		conn.SetWriteDeadline(time.Now().Add(silence))
		_, err := conn.Write(out)
		l.mu.Lock()
		l.writing = false
		l.mu.Unlock()
		if err != nil {
			return err
		}
	}
}

// sync puts a question before all commands that may have been lost: its answer comes after the notices up to
// now, and what has ended by them is not sent again.
func (l *Link[K]) sync() {
	l.echo++
	l.asked = strconv.Itoa(l.echo)
	line := []byte(`{"action":"SYSINFO","echo":"` + l.asked + `"}` + "\n")
	l.unread = slices.Insert(l.unread, 0, command{at: time.Now(), echo: l.asked, line: line})
	l.unsent = len(l.unread)
	signal(l.work)
}

func (l *Link[K]) inform(echo string, meters []float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.asked == "" || echo != "" && echo != l.asked {
		return
	}
	echo = l.asked // only one is on its way
	l.up, l.asked, l.meters, l.measured = true, "", meters, time.Now()
	k := slices.IndexFunc(l.unread, func(c command) bool { return c.echo == echo })
	l.unread = slices.Delete(l.unread, 0, k+1)
	l.unsent = min(l.unsent, len(l.unread))
	signal(l.informed)
	signal(l.work)
}
