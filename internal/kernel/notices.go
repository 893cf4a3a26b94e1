package kernel

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"errors"
	"net"
	"os"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/readbuffer"
)

// maxLine holds a result of 4 KiB in base64 many times over.
const maxLine = 64 << 10

// notice is a line of the kernel's, of any kind. Numbers may come in any form that JSON has.
type notice struct {
	Action  string    `json:"action"`
	Pos     float64   `json:"pos"`
	UID     string    `json:"uid"`
	Code    string    `json:"code"`
	Took    float64   `json:"wall_ms"`
	Content []byte    `json:"content"`
	Echo    string    `json:"echo"`
	Meters  []float64 `json:"meters"`

	contentInvalid bool // its content cannot be read
}

// decode reads a line. A field of another kind than it should be is as one left out: it may be of no use here.
func (n *notice) decode(line []byte) error {
	err := json.Unmarshal(line, n)
	if kind := (*json.UnmarshalTypeError)(nil); errors.As(err, &kind) {
		n.contentInvalid = kind.Field == "content"
		return nil
	}
	if corrupt := base64.CorruptInputError(0); errors.As(err, &corrupt) {
		n.contentInvalid = true
		return nil
	}
	return err
}

// noticeReader is what is known of one connection's notices.
type noticeReader[K any] struct {
	*Link[K]
	booted           bool
	answersQueries   bool // the kernel has answered a question, so that its silence tells something
	awaitingFirst    bool // no notice has come yet
	positionUnknown  bool // a line was not understood and may have been a notice: the next one's number tells nothing
	refusalLogged    bool // the site has no gauges, which has been said
	unknownRunLogged bool // an end of a run not in hand has been logged
	skippingLine     bool // the line that comes is too long, and passed over
	timedOut         bool // nothing has come for as long as a silent kernel is borne
}

// read takes notices until the connection ends.
func (l *Link[K]) read(conn net.Conn, up func()) error {
	in := readbuffer.New(maxLine)
	r := noticeReader[K]{Link: l, awaitingFirst: true}
	for {
		b := in.Bytes()
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if err := r.fill(in, conn); err != nil {
				return err
			}
			continue
		}
		line := b[:end]
		in.Discard(end + 1)
		if r.timedOut = false; r.answersQueries {
			conn.SetReadDeadline(time.Now().Add(ioTimeout))
		}
		if r.skippingLine {
			r.skippingLine = false
			r.logUnreadable("kernel line passed over", zap.String("why", "too long"))
			continue
		}
		if err := r.handle(line, up); err != nil {
			return err
		}
	}
}

// fill reads on. A line that is longer than any that means something is thrown away as it comes; and what came while this
// process itself stood still is looked for before the kernel is taken for silent.
func (r *noticeReader[K]) fill(in *readbuffer.Buffer, conn net.Conn) error {
	err := in.Fill(conn)
	switch {
	case errors.Is(err, readbuffer.ErrFull):
		in.Discard(len(in.Bytes()))
		r.skippingLine = true
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !r.timedOut:
		r.timedOut = true
		conn.SetReadDeadline(time.Now().Add(queryTimeout))
		return nil
	}
	return err
}

// logUnreadable logs the first line that is not understood.
func (r *noticeReader[K]) logUnreadable(what string, why zap.Field) {
	if !r.positionUnknown {
		r.log.Warn(what, why)
	}
	r.positionUnknown = true
}

// handle acts on one line.
func (r *noticeReader[K]) handle(line []byte, up func()) error {
	var n notice
	if err := n.decode(line); err != nil {
		r.logUnreadable("kernel line passed over", zap.Error(err))
		return nil
	}
	if n.Pos >= 1 {
		fresh, whole := r.trackPosition(int(n.Pos), r.awaitingFirst || r.positionUnknown)
		if !whole {
			return errors.New("a notice is missing")
		}
		r.awaitingFirst, r.positionUnknown = false, false
		if !fresh {
			return nil
		}
	}
	switch n.Action {
	case "BOOTED":
		if !r.booted {
			r.booted = true
			r.owner.Booted(max(n.Took, 0)/1000, n.Code == "starting")
			r.sync()
			up()
		}
	case "INFO":
		r.answersQueries = r.handleInfo(n.Echo, n.Meters) || r.answersQueries
	case "REAP":
		r.handleReap(&n)
	case "EINVAL":
		r.handleRejection(&n)
	case "DMESG":
	default:
		r.logUnreadable("kernel word not known", zap.String("action", n.Action))
	}
	return nil
}

// handleReap takes note of the end of a run.
func (r *noticeReader[K]) handleReap(n *notice) {
	var end error
	switch {
	case n.Code == "fine" && n.contentInvalid:
		end = &RunError{Progress: Started, Reason: "unreadable result"}
	case n.Code == "fine":
	case n.Code == "late":
		end = &RunError{Progress: NeverRan, Reason: n.Code}
	case n.Code == "broken_off":
		end = &RunError{Progress: Started, Stopped: true, Reason: n.Code}
	default:
		end = &RunError{Progress: Started, Reason: n.Code}
	}
	if end != nil {
		n.Content = nil // a run that failed has no result
	}
	took := max(n.Took, 0) / 1000
	r.recordRunTime(took)
	if !r.finishRun(n.UID, took, n.Content, end) && !r.unknownRunLogged {
		r.unknownRunLogged = true
		r.log.Warn("end of a run not in hand", zap.String("run", n.UID))
	}
}

// handleRejection takes note of a command that was not carried out.
func (r *noticeReader[K]) handleRejection(n *notice) {
	if n.Code != "SYSINFO" || !r.refusalLogged {
		r.log.Warn("kernel did not carry out", zap.String("command", n.Code), zap.String("run", n.UID))
	}
	switch n.Code {
	case "SCHED":
		// It knows no RPC of this id, lane and body: a repeat may be a genuine one. What may not run twice is asked for once
		// only, so that this is no second copy of what has run.
		r.finishRun(n.UID, 0, nil, &RunError{Progress: NeverRan, Unknown: true, Reason: "not carried out"})
	case "SYSINFO": // a site without gauges: it marks the order of commands all the same
		r.refusalLogged = true
		r.answersQueries = r.handleInfo("", nil) || r.answersQueries
	}
}

// trackPosition counts a notice: fresh if it has not been read before, not whole if one before it has not come. What
// is missing is asked for once, on a new connection; after that, or behind an unreadable line, it is lost.
func (l *Link[K]) trackPosition(pos int, lost bool) (fresh, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case pos <= l.lastPos:
		return false, true
	case pos > l.lastPos+1 && !lost:
		return false, false
	case pos > l.lastPos+1:
		l.log.Warn("notices lost", zap.Int("from", l.lastPos+1), zap.Int("to", pos-1))
		l.markUnconfirmed()
	}
	l.lastPos = pos
	return true, true
}

// markUnconfirmed is for the runs in hand when notices are lost: among these there may have been their ends. What waits to be asked for
// again on this connection is not in markUnconfirmed. Called under the lock.
func (l *Link[K]) markUnconfirmed() {
	waits := map[*task[K]]bool{}
	for _, c := range l.commands.list {
		if c.isSched && c.writtenAt.IsZero() {
			waits[c.task] = true
		}
	}
	var inDoubt []*task[K]
	for _, t := range l.runs {
		if !waits[t] {
			inDoubt = append(inDoubt, t)
		}
	}
	l.expireUnconfirmed(inDoubt)
}

// recordRunTime takes note of how long a run recordRunTime.
func (l *Link[K]) recordRunTime(span float64) {
	const kept = 0.98 // of what the longest took, with each that is shorter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestRun = max(time.Duration(min(span, maxRunTime.Seconds())*float64(time.Second)), time.Duration(kept*float64(l.longestRun)))
}

// expireUnconfirmed ends runs after a while, unless their end comes after all: without one a run would count for ever. The while is twice
// what the longest run of late took. Called under the lock.
func (l *Link[K]) expireUnconfirmed(inDoubt []*task[K]) {
	if len(inDoubt) == 0 {
		return
	}
	time.AfterFunc(min(l.unconfirmedTimeout, max(2*l.longestRun, minUnconfirmedTimeout)), func() {
		for _, t := range inDoubt {
			l.mu.Lock()
			known := l.runs[t.uid] == t
			if known {
				l.forgetRun(t)
			}
			l.mu.Unlock()
			if known {
				l.owner.Ended(t.run, 0, nil, &RunError{Progress: Sent, Reason: "end lost"})
			}
		}
	})
}

// finishRun tells the owner of a run's end. The end of what has not been asked for is that of another run, whose name it has now.
func (l *Link[K]) finishRun(uid string, took float64, result []byte, err error) (known bool) {
	l.mu.Lock()
	t := l.runs[uid]
	if known = t != nil && t.sent; known {
		l.forgetRun(t)
	}
	l.mu.Unlock()
	if known {
		l.owner.Ended(t.run, took, result, err)
	}
	return known
}

// forgetRun forgets a run and all commands for it. Called under the lock.
func (l *Link[K]) forgetRun(t *task[K]) {
	delete(l.runs, t.uid)
	l.commands.removeIf(func(c *command[K]) bool { return c.task == t })
}

// sync puts a question before all commands that may have been lost: its answer comes after the notices up to
// now, and what has ended by them is not sent again. A kernel that does not answer is not waited for without end.
func (l *Link[K]) sync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.pushFront(l.commands.newQuery())
	session := l.connectionNumber
	time.AfterFunc(l.syncTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.connectionNumber == session && !l.synced {
			l.log.Warn("kernel answers no question")
			l.markSynced()
		}
	})
	signal(l.commandReady)
}

// markSynced lets commands go out. Called under the lock.
func (l *Link[K]) markSynced() {
	l.synced = true
	l.expireUnconfirmed(l.unconfirmed)
	l.unconfirmed = nil
	signal(l.commandReady)
}

// handleInfo takes the answer to a question, and tells whether it is one.
func (l *Link[K]) handleInfo(echo string, meters []float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.commands.acknowledge(echo, l.lossWindow) {
		return false
	}
	l.gauges, l.gaugesAt = meters, time.Now()
	if l.handover == flushed && l.commands.pendingQuery() == nil {
		l.commands.removeWritten()
		signal(l.flushAcknowledged)
	}
	if !l.synced {
		l.markSynced()
	}
	signal(l.gaugesReady)
	return true
}
