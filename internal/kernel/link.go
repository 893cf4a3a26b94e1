// Package kernel is the link to the process that owns the cores and does the work. The link outlives its
// connection: no notice is missed or taken twice, and no command is lost but one for a run that must not run twice, and of
// which a broken connection leaves open whether the kernel has read of it.
package kernel

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Progress is how far a run had come when it ended without a result.
type Progress uint8

const (
	NeverRan Progress = iota // it is sure that nothing was started
	Sent                     // the command went out, and nothing tells what came of it
	Started                  // it was started
)

// RunError is the error of a run that has no result.
type RunError struct {
	Progress Progress
	Stopped  bool // off the cores by our command, or because its answer had been given
	Unknown  bool // the kernel knows no such RPC
	Reason   string
}

func (a *RunError) Error() string {
	return fmt.Sprintf("run %s (%s)", a.Reason, [...]string{"never started", "sent", "started"}[a.Progress])
}

// Owner is told what the kernel says about the runs that it asked for; K is its name for them.
type Owner[K any] interface {
	// Booted comes with the first word on each connection: how long ago the kernel started, and whether cold.
	Booted(ago float64, cold bool)
	Ended(run K, took float64, result []byte, err error)
}

// Link is safe for use by many goroutines.
type Link[K any] struct {
	owner          Owner[K]
	log            *zap.Logger
	addressChanged chan struct{} // holds one after a change of at

	unconfirmedTimeout time.Duration // given at most to runs whose end may have been lost
	syncTimeout        time.Duration // given to the answer to the first question on a connection
	lossWindow         time.Duration // what was read so long before a connection's end may be lost with it
	handoverTimeout    time.Duration // given to a connection's last question on a move

	mu                sync.Mutex
	address           netip.AddrPort
	runs              map[string]*task[K]
	commands          commands[K]
	unconfirmed       []*task[K] // that the last connection's end left in doubt, until the next one is up
	synced            bool       // notices up to now are known, commands may go out
	connectionNumber  int        // counts connections
	writing           bool       // commands are being written
	handover          handover
	gauges            []float64
	gaugesAt          time.Time
	longestRun        time.Duration // that runs have taken of late
	lastPos           int           // of the last notice read
	commandReady      chan struct{}
	gaugesReady       chan struct{}
	flushAcknowledged chan struct{} // holds one when all that was written has been read
}

// handover is how far a connection has come on its way to be replaced by one to another address.
type handover uint8

const (
	noHandover handover = iota
	flushing            // commands go out up to the last question
	flushed             // that has been written, and no more is
)

const (
	ioTimeout             = 5 * time.Second        // gauges are asked for many times a second: the link is dead
	maxRunTime            = 20 * time.Second       // a run that takes longer does no harm if it is taken for ended
	initialRunTime        = 500 * time.Millisecond // is what runs are believed to take before any has ended
	minUnconfirmedTimeout = 100 * time.Millisecond // given to runs in doubt where all take less than half of it
	queryTimeout          = time.Second            // a question without an answer for so long may have been lost
	queryExpiry           = 8 * time.Second        // and after so long its answer is not expected any more
	defaultLossWindow     = 100 * time.Millisecond // commands of the last 50 ms before a break may be lost, and clocks have their limits
)

// New makes a link to the kernel at an address; nothing is opened before Serve.
func New[K any](at netip.AddrPort, owner Owner[K], log *zap.Logger) *Link[K] {
	return &Link[K]{address: at, owner: owner, log: log, unconfirmedTimeout: maxRunTime, longestRun: initialRunTime, syncTimeout: queryTimeout, lossWindow: defaultLossWindow, handoverTimeout: defaultHandoverTimeout, addressChanged: make(chan struct{}, 1),
		runs: map[string]*task[K]{}, commandReady: make(chan struct{}, 1), gaugesReady: make(chan struct{}, 1), flushAcknowledged: make(chan struct{}, 1)}
}

// Run asks for a run; its end comes to the owner. A name that runs already is not taken again. repeatable tells whether it
// may run a second time: what may not is asked for once, and if the connection ends before it is sure that the kernel has it,
// either its end comes all the same, or it ends as Sent.
func (l *Link[K]) Run(run K, uid, lane string, body []byte, repeatable bool) error {
	if body == nil {
		body = []byte{} // an empty body is "", not null
	}
	line, err := encode(sched{"SCHED", uid, lane, body})
	if err != nil {
		return &RunError{Reason: err.Error()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[uid] != nil {
		return &RunError{Reason: "its name is taken by another run"}
	}
	t := &task[K]{run: run, uid: uid, repeatable: repeatable}
	l.runs[uid] = t
	l.push(command[K]{task: t, isSched: true, line: line})
	return nil
}

// Preempt stops a run, in the way of the site. What has not been asked for yet never is.
func (l *Link[K]) Preempt(uid string) {
	line, _ := encode(preempt{"PREEMPT", uid})
	l.mu.Lock()
	t := l.runs[uid]
	begun := t != nil && t.sent
	switch {
	case begun:
		l.push(command[K]{task: t, line: line})
	case t != nil:
		l.forgetRun(t)
	}
	l.mu.Unlock()
	if t != nil && !begun {
		l.owner.Ended(t.run, 0, nil, &RunError{Progress: NeverRan, Reason: "given up"})
	}
}

// Gauges asks for the machine's gauges and waits a little for them, nil if they do not come. Only one
// question is on its way at a time, unless it seems lost.
func (l *Link[K]) Gauges(wait time.Duration) []float64 {
	l.mu.Lock()
	if q := l.commands.pendingQuery(); l.synced && l.handover == noHandover && (q == nil || time.Since(q.queuedAt) > queryTimeout) {
		l.commands.removeIf(func(c *command[K]) bool { return c.echo != "" && time.Since(c.queuedAt) > queryExpiry })
		l.push(l.commands.newQuery())
	}
	select {
	case <-l.gaugesReady: // an answer that came too late for the last look
	default:
	}
	asked := l.commands.pendingQuery() != nil
	l.mu.Unlock()
	if asked {
		late := time.NewTimer(wait)
		defer late.Stop()
		select {
		case <-l.gaugesReady:
		case <-late.C:
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.gaugesAt) > 3*wait {
		return nil
	}
	return l.gauges
}

// QueueDelay is how long the oldest command has waited to be taken up by the link's writer. It is not known while the link is
// down or being moved, or while the writer waits for the kernel to read: that is not this process's own doing.
func (l *Link[K]) QueueDelay() (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := l.commands.next()
	switch {
	case !l.synced || l.writing || l.handover != noHandover:
		return 0, false
	case next == nil:
		return 0, true
	}
	return time.Since(next.queuedAt), true
}

// Move takes the link to another address. The connection that there is goes on until one to the new address
// stands; runs and what the kernel may not have read go over to it.
func (l *Link[K]) Move(at netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != at {
		l.address = at
		signal(l.addressChanged)
	}
}

// push is called under the lock.
func (l *Link[K]) push(c command[K]) {
	l.commands.push(c)
	signal(l.commandReady)
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
