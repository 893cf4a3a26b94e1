// Package kernel implements the link to the kernel, the process that owns the cores and does the work. The link
// survives reconnects: no notice is missed or handled twice, and no command is lost, except that of a run that
// must not run twice when a broken connection leaves open whether the kernel has read it.
package kernel

import (
	"fmt"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"
)

// Progress is how far a run had got when it ended without a result.
type Progress uint8

const (
	NeverRan Progress = iota // certainly not started
	Sent                     // the command was written; whether the run started is not known
	Started                  // the run was started
)

// RunError is the error of a run that has no result.
type RunError struct {
	Progress Progress
	Stopped  bool // taken off the cores by our PREEMPT, or because its RPC had been answered
	Unknown  bool // the kernel knows no such RPC
	Reason   string
}

func (e *RunError) Error() string {
	return fmt.Sprintf("run %s (%s)", e.Reason, [...]string{"never started", "sent", "started"}[e.Progress])
}

// Owner receives the events of the runs that it requested. K is the owner's handle of a run.
type Owner[K any] interface {
	// Booted is called for the first BOOTED notice on each connection, with the seconds since the kernel started and
	// whether it started cold.
	Booted(uptime float64, cold bool)
	// Ended is called once for each run, with its run time in seconds.
	Ended(run K, took float64, result []byte, err error)
}

// Link keeps a connection to the kernel. It is safe for concurrent use.
type Link[K any] struct {
	owner          Owner[K]
	log            *zap.Logger
	addressChanged chan struct{} // capacity 1, signaled when address has changed

	unconfirmedTimeout time.Duration // longest wait for the end of a run whose end notice may have been lost
	syncTimeout        time.Duration // wait for the reply to the first query on a connection
	lossWindow         time.Duration // what the kernel read within this time before a connection ended may be lost with it
	handoverTimeout    time.Duration // wait for the reply to the last query on a connection that is being replaced

	mu                sync.Mutex // guards the fields below
	address           netip.AddrPort
	runs              map[string]*task[K] // by uid
	commands          commands[K]
	unconfirmed       []*task[K] // runs left unconfirmed by the previous connection, until the next one is synced
	synced            bool       // all earlier notices have been read, commands may be written
	connectionNumber  int        // changes with each connection, and at its end
	writing           bool       // the writer is in a write
	handover          handover
	gauges            []float64     // from the last reply
	gaugesAt          time.Time     // when these were received, zero before
	longestRun        time.Duration // decaying maximum of the recent run times
	lastPos           int           // sequence position of the last notice read
	commandReady      chan struct{} // capacity 1, signaled when commands may be ready to be written
	gaugesReady       chan struct{} // capacity 1, signaled when a reply to a query has been handled
	flushAcknowledged chan struct{} // capacity 1, signaled when the kernel has read all that was written
}

// handover is the stage of replacing a connection by one to another address.
type handover uint8

const (
	noHandover handover = iota
	flushing            // commands are written up to the last query
	flushed             // the last query has been written, nothing more is
)

const (
	// Gauges are queried many times a second, so a connection without data for this long is dead.
	ioTimeout = 5 * time.Second
	// A run that takes longer may be taken for ended without harm.
	maxRunTime = 20 * time.Second
	// The longest run time that is assumed before any run has ended.
	initialRunTime = 500 * time.Millisecond
	// Lower bound of the wait for unconfirmed runs. It applies when all runs take less than half of it.
	minUnconfirmedTimeout = 100 * time.Millisecond
	// A query without a reply for this long may have been lost.
	queryTimeout = time.Second
	// The reply to a query is no longer expected after this time.
	queryExpiry = 8 * time.Second
	// The kernel may lose commands of the last 50 ms before a disconnect; the rest is margin for clock error.
	defaultLossWindow = 100 * time.Millisecond
)

// New returns a link to the kernel at an address. It opens no connection before Serve.
func New[K any](address netip.AddrPort, owner Owner[K], log *zap.Logger) *Link[K] {
	return &Link[K]{
		address:            address,
		owner:              owner,
		log:                log,
		unconfirmedTimeout: maxRunTime,
		longestRun:         initialRunTime,
		syncTimeout:        queryTimeout,
		lossWindow:         defaultLossWindow,
		handoverTimeout:    defaultHandoverTimeout,
		addressChanged:     make(chan struct{}, 1),
		runs:               map[string]*task[K]{},
		commandReady:       make(chan struct{}, 1),
		gaugesReady:        make(chan struct{}, 1),
		flushAcknowledged:  make(chan struct{}, 1),
	}
}

// Run requests a run, whose end is reported to the owner. It fails if a run with the same uid is pending.
// repeatable means that the run may be executed a second time. The command of any other run is sent once: if the
// connection ends before the kernel has certainly read it, the run ends by its notice or as Sent.
func (l *Link[K]) Run(run K, uid, lane string, body []byte, repeatable bool) error {
	if body == nil {
		body = []byte{} // encodes as "", not null
	}
	line, err := encode(sched{"SCHED", uid, lane, body})
	if err != nil {
		return &RunError{Reason: err.Error()}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs[uid] != nil {
		return &RunError{Reason: "uid is in use by another run"}
	}
	t := &task[K]{run: run, uid: uid, repeatable: repeatable}
	l.runs[uid] = t
	l.push(command[K]{task: t, isSched: true, line: line})
	return nil
}

// Preempt stops a run with the command PREEMPT. A run whose command has not been written yet is dropped instead
// and reported as NeverRan.
func (l *Link[K]) Preempt(uid string) {
	line, _ := encode(preempt{"PREEMPT", uid})
	l.mu.Lock()
	t := l.runs[uid]
	sent := t != nil && t.sent
	switch {
	case sent:
		l.push(command[K]{task: t, line: line})
	case t != nil:
		l.forgetRun(t)
	}
	l.mu.Unlock()
	if t != nil && !sent {
		l.owner.Ended(t.run, 0, nil, &RunError{Progress: NeverRan, Reason: "preempted before it was sent"})
	}
}

// Gauges queries the machine's gauges and waits briefly for them. It returns nil if there are no recent ones. Only
// one query is in flight at a time, unless it seems lost.
func (l *Link[K]) Gauges(wait time.Duration) []float64 {
	l.mu.Lock()
	if q := l.commands.pendingQuery(); l.synced && l.handover == noHandover &&
		(q == nil || time.Since(q.queuedAt) > queryTimeout) {
		l.commands.removeIf(func(c *command[K]) bool { return c.echo != "" && time.Since(c.queuedAt) > queryExpiry })
		l.push(l.commands.newQuery())
	}
	select {
	case <-l.gaugesReady: // a reply that came after the previous call had timed out
	default:
	}
	waiting := l.commands.pendingQuery() != nil
	l.mu.Unlock()
	if waiting {
		timeout := time.NewTimer(wait)
		defer timeout.Stop()
		select {
		case <-l.gaugesReady:
		case <-timeout.C:
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Since(l.gaugesAt) > 3*wait {
		return nil
	}
	return l.gauges
}

// QueueDelay returns how long the oldest command has been waiting for the link's writer. It is not known while the
// link is down or in a handover, or while the writer is blocked until the kernel reads: these delays are not
// caused by this process.
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

// Move changes the kernel's address. The present connection is used until one to the new address is open; runs and
// commands that the kernel may not have read are carried over.
func (l *Link[K]) Move(address netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.address != address {
		l.address = address
		signal(l.addressChanged)
	}
}

// push queues a command. The caller holds l.mu.
func (l *Link[K]) push(c command[K]) {
	l.commands.push(c)
	signal(l.commandReady)
}

// signal notifies the receiver without blocking; one pending signal is enough.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
