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

// maxLine is many times the size of a 4 KiB result in base64.
const maxLine = 64 << 10

// notice is a line from the kernel, of any kind. Numbers may have any form that JSON allows.
type notice struct {
	Action  string    `json:"action"`
	Pos     float64   `json:"pos"`
	UID     string    `json:"uid"`
	Code    string    `json:"code"`
	Took    float64   `json:"wall_ms"`
	Content []byte    `json:"content"`
	Echo    string    `json:"echo"`
	Meters  []float64 `json:"meters"`

	contentInvalid bool // the content could not be decoded
}

// decode parses a line. A field of an unexpected type is treated as absent, as it may not be needed here.
func (n *notice) decode(line []byte) error {
	err := json.Unmarshal(line, n)
	if typeErr := (*json.UnmarshalTypeError)(nil); errors.As(err, &typeErr) {
		n.contentInvalid = typeErr.Field == "content"
		return nil
	}
	if corrupt := base64.CorruptInputError(0); errors.As(err, &corrupt) {
		n.contentInvalid = true
		return nil
	}
	return err
}

// noticeReader holds the state of reading one connection's notices.
type noticeReader[K any] struct {
	*Link[K]
	booted           bool
	answersQueries   bool // the kernel has replied to a query, so read timeouts apply from now on
	awaitingFirst    bool // no notice has been read yet
	positionUnknown  bool // an unreadable line may have been a notice, so a gap before the next one is accepted
	refusalLogged    bool // the rejection of SYSINFO by a kernel without gauges has been logged
	unknownRunLogged bool // the end of a run that is not pending has been logged
	skippingLine     bool // the present line is too long and is discarded
	timedOut         bool // the read deadline has passed once without data
}

// read handles notices until the connection ends.
func (l *Link[K]) read(conn net.Conn, onBooted func()) error {
	in := readbuffer.New(maxLine)
	r := noticeReader[K]{Link: l, awaitingFirst: true}
	for {
		buffered := in.Bytes()
		end := bytes.IndexByte(buffered, '\n')
		if end < 0 {
			if err := r.fill(in, conn); err != nil {
				return err
			}
			continue
		}
		line := buffered[:end]
		in.Discard(end + 1)
		if r.timedOut = false; r.answersQueries {
			conn.SetReadDeadline(time.Now().Add(ioTimeout))
		}
		if r.skippingLine {
			r.skippingLine = false
			r.logUnreadable("kernel line passed over", zap.String("why", "too long"))
			continue
		}
		if err := r.handle(line, onBooted); err != nil {
			return err
		}
	}
}

// fill reads more data. It discards a line longer than maxLine as it arrives. After a first read timeout it reads
// again before it takes the kernel for silent, as data may have arrived while this process was paused.
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

// logUnreadable logs the first of a series of lines that are not understood.
func (r *noticeReader[K]) logUnreadable(message string, cause zap.Field) {
	if !r.positionUnknown {
		r.log.Warn(message, cause)
	}
	r.positionUnknown = true
}

// handle processes one line.
func (r *noticeReader[K]) handle(line []byte, onBooted func()) error {
	var n notice
	if err := n.decode(line); err != nil {
		r.logUnreadable("kernel line passed over", zap.Error(err))
		return nil
	}
	if n.Pos >= 1 {
		isNew, complete := r.trackPosition(int(n.Pos), r.awaitingFirst || r.positionUnknown)
		if !complete {
			return errors.New("a notice is missing")
		}
		r.awaitingFirst, r.positionUnknown = false, false
		if !isNew {
			return nil
		}
	}
	switch n.Action {
	case "BOOTED":
		if !r.booted {
			r.booted = true
			r.owner.Booted(max(n.Took, 0)/1000, n.Code == "starting")
			r.sync()
			onBooted()
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

// handleReap processes the end of a run.
func (r *noticeReader[K]) handleReap(n *notice) {
	var runErr error
	switch {
	case n.Code == "fine" && n.contentInvalid:
		runErr = &RunError{Progress: Started, Reason: "unreadable result"}
	case n.Code == "fine":
	case n.Code == "late":
		runErr = &RunError{Progress: NeverRan, Reason: n.Code}
	case n.Code == "broken_off":
		runErr = &RunError{Progress: Started, Stopped: true, Reason: n.Code}
	default:
		runErr = &RunError{Progress: Started, Reason: n.Code}
	}
	if runErr != nil {
		n.Content = nil // a run that failed has no result
	}
	took := max(n.Took, 0) / 1000
	r.recordRunTime(took)
	if !r.finishRun(n.UID, took, n.Content, runErr) && !r.unknownRunLogged {
		r.unknownRunLogged = true
		r.log.Warn("end of a run not in hand", zap.String("run", n.UID))
	}
}

// handleRejection processes the notice that a command was not carried out.
func (r *noticeReader[K]) handleRejection(n *notice) {
	if n.Code != "SYSINFO" || !r.refusalLogged {
		r.log.Warn("kernel did not carry out", zap.String("command", n.Code), zap.String("run", n.UID))
	}
	switch n.Code {
	case "SCHED":
		// The kernel knows no RPC with this uid, lane and body. A retry by the caller may be a genuine request. The start
		// of a run that must not run twice is sent only once, so the rejected command was not a second copy.
		r.finishRun(n.UID, 0, nil, &RunError{Progress: NeverRan, Unknown: true, Reason: "rejected by the kernel"})
	case "SYSINFO": // a kernel without gauges; its rejection still confirms the commands before it
		r.refusalLogged = true
		r.answersQueries = r.handleInfo("", nil) || r.answersQueries
	}
}

// trackPosition records a notice's sequence position. isNew is false if it was read before; complete is false if
// an earlier one is missing. A missing notice is requested once, by reconnecting; if it is missing again, or an
// unreadable line came before, it is lost.
func (l *Link[K]) trackPosition(pos int, acceptGap bool) (isNew, complete bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case pos <= l.lastPos:
		return false, true
	case pos > l.lastPos+1 && !acceptGap:
		return false, false
	case pos > l.lastPos+1:
		l.log.Warn("notices lost", zap.Int("from", l.lastPos+1), zap.Int("to", pos-1))
		l.markUnconfirmed()
	}
	l.lastPos = pos
	return true, true
}

// markUnconfirmed treats the pending runs as unconfirmed when notices are lost, as their end may be among these.
// Runs whose command is still to be written on this connection are excluded. The caller holds l.mu.
func (l *Link[K]) markUnconfirmed() {
	unwritten := map[*task[K]]bool{}
	for _, c := range l.commands.list {
		if c.isSched && c.writtenAt.IsZero() {
			unwritten[c.task] = true
		}
	}
	var unconfirmed []*task[K]
	for _, t := range l.runs {
		if !unwritten[t] {
			unconfirmed = append(unconfirmed, t)
		}
	}
	l.expireUnconfirmed(unconfirmed)
}

// recordRunTime updates the decaying maximum of the run times.
func (l *Link[K]) recordRunTime(seconds float64) {
	const decay = 0.98 // of the maximum, for each run that is shorter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longestRun = max(time.Duration(min(seconds, maxRunTime.Seconds())*float64(time.Second)),
		time.Duration(decay*float64(l.longestRun)))
}

// expireUnconfirmed ends runs after a timeout, unless their end is reported before: otherwise a lost end would
// leave the run pending forever. The timeout is twice the longest recent run time. The caller holds l.mu.
func (l *Link[K]) expireUnconfirmed(unconfirmed []*task[K]) {
	if len(unconfirmed) == 0 {
		return
	}
	time.AfterFunc(min(l.unconfirmedTimeout, max(2*l.longestRun, minUnconfirmedTimeout)), func() {
		for _, t := range unconfirmed {
			l.mu.Lock()
			pending := l.runs[t.uid] == t
			if pending {
				l.forgetRun(t)
			}
			l.mu.Unlock()
			if pending {
				l.owner.Ended(t.run, 0, nil, &RunError{Progress: Sent, Reason: "end lost"})
			}
		}
	})
}

// finishRun reports a run's end to the owner. A notice for a run whose command has not been written yet belongs to
// an earlier run with the same uid and is ignored.
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

// forgetRun removes a run and all commands for it. The caller holds l.mu.
func (l *Link[K]) forgetRun(t *task[K]) {
	delete(l.runs, t.uid)
	l.commands.removeIf(func(c *command[K]) bool { return c.task == t })
}

// sync puts a query before all commands that may have been lost. Its reply comes after all earlier notices, so
// that runs that have ended are not sent again. After syncTimeout commands are written without a reply.
func (l *Link[K]) sync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.pushFront(l.commands.newQuery())
	number := l.connectionNumber
	time.AfterFunc(l.syncTimeout, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.connectionNumber == number && !l.synced {
			l.log.Warn("kernel answers no question")
			l.markSynced()
		}
	})
	signal(l.commandReady)
}

// markSynced lets commands be written. The caller holds l.mu.
func (l *Link[K]) markSynced() {
	l.synced = true
	l.expireUnconfirmed(l.unconfirmed)
	l.unconfirmed = nil
	signal(l.commandReady)
}

// handleInfo processes the reply to a query. It returns false if no query is pending for it.
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
