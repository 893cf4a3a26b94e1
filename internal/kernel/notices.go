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

	garbled bool // its content cannot be read
}

// decode reads a line. A field of another kind than it should be is as one left out: it may be of no use here.
func (n *notice) decode(line []byte) error {
	err := json.Unmarshal(line, n)
	if kind := (*json.UnmarshalTypeError)(nil); errors.As(err, &kind) {
		n.garbled = kind.Field == "content"
		return nil
	}
	if corrupt := base64.CorruptInputError(0); errors.As(err, &corrupt) {
		n.garbled = true
		return nil
	}
	return err
}

// reader is what is known of one connection's notices.
type reader[K any] struct {
	*Link[K]
	booted        bool
	answers       bool // the kernel has answered a question, so that its silence tells something
	first         bool // no notice has come yet
	blind         bool // a line was not understood and may have been a notice: the next one's number tells nothing
	refusalLogged bool // the site has no gauges, which has been said
	unknownLogged bool // an end of a run not in hand has been logged
	skipping      bool // the line that comes is too long, and passed over
	late          bool // nothing has come for as long as a silent kernel is borne
}

// read takes notices until the connection ends.
func (l *Link[K]) read(conn net.Conn, up func()) error {
	in := readbuffer.New(maxLine)
	r := reader[K]{Link: l, first: true}
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
		if r.late = false; r.answers {
			conn.SetReadDeadline(time.Now().Add(silence))
		}
		if r.skipping {
			r.skipping = false
			r.passOver("kernel line passed over", zap.String("why", "too long"))
			continue
		}
		if err := r.take(line, up); err != nil {
			return err
		}
	}
}

// fill reads on. A line that is longer than any that means something is thrown away as it comes; and what came while this
// process itself stood still is looked for before the kernel is taken for silent.
func (r *reader[K]) fill(in *readbuffer.Buffer, conn net.Conn) error {
	err := in.Fill(conn)
	switch {
	case errors.Is(err, readbuffer.ErrFull):
		in.Discard(len(in.Bytes()))
		r.skipping = true
		return nil
	case errors.Is(err, os.ErrDeadlineExceeded) && !r.late:
		r.late = true
		conn.SetReadDeadline(time.Now().Add(askAgain))
		return nil
	}
	return err
}

// passOver logs the first line that is not understood.
func (r *reader[K]) passOver(what string, why zap.Field) {
	if !r.blind {
		r.log.Warn(what, why)
	}
	r.blind = true
}

// take acts on one line.
func (r *reader[K]) take(line []byte, up func()) error {
	var n notice
	if err := n.decode(line); err != nil {
		r.passOver("kernel line passed over", zap.Error(err))
		return nil
	}
	if n.Pos >= 1 {
		fresh, whole := r.follow(int(n.Pos), r.first || r.blind)
		if !whole {
			return errors.New("a notice is missing")
		}
		r.first, r.blind = false, false
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
		r.answers = r.inform(n.Echo, n.Meters) || r.answers
	case "REAP":
		r.reap(&n)
	case "EINVAL":
		r.refused(&n)
	case "DMESG":
	default:
		r.passOver("kernel word not known", zap.String("action", n.Action))
	}
	return nil
}

// reap takes note of the end of a run.
func (r *reader[K]) reap(n *notice) {
	var end error
	switch {
	case n.Code == "fine" && n.garbled:
		end = &RunError{Progress: Ran, Why: "unreadable result"}
	case n.Code == "fine":
	case n.Code == "late":
		end = &RunError{Progress: NeverRan, Why: n.Code}
	case n.Code == "broken_off":
		end = &RunError{Progress: Ran, Stopped: true, Why: n.Code}
	default:
		end = &RunError{Progress: Ran, Why: n.Code}
	}
	if end != nil {
		n.Content = nil // a run that failed has no result
	}
	took := max(n.Took, 0) / 1000
	r.took(took)
	if !r.ended(n.UID, took, n.Content, end) && !r.unknownLogged {
		r.unknownLogged = true
		r.log.Warn("end of a run not in hand", zap.String("run", n.UID))
	}
}

// refused takes note of a command that was not carried out.
func (r *reader[K]) refused(n *notice) {
	if n.Code != "SYSINFO" || !r.refusalLogged {
		r.log.Warn("kernel did not carry out", zap.String("command", n.Code), zap.String("run", n.UID))
	}
	switch n.Code {
	case "SCHED":
		// It knows no RPC of this id, lane and body: a repeat may be a genuine one. What may not run twice is asked for once
		// only, so that this is no second copy of what has run.
		r.ended(n.UID, 0, nil, &RunError{Progress: NeverRan, Unknown: true, Why: "not carried out"})
	case "SYSINFO": // a site without gauges: it marks the order of commands all the same
		r.refusalLogged = true
		r.answers = r.inform("", nil) || r.answers
	}
}

// follow counts a notice: fresh if it has not been read before, not whole if one before it has not come. What
// is missing is asked for once, on a new connection; after that, or behind an unreadable line, it is lost.
func (l *Link[K]) follow(pos int, lost bool) (fresh, whole bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case pos <= l.pos:
		return false, true
	case pos > l.pos+1 && !lost:
		return false, false
	case pos > l.pos+1:
		l.log.Warn("notices lost", zap.Int("from", l.pos+1), zap.Int("to", pos-1))
		l.doubt()
	}
	l.pos = pos
	return true, true
}

// doubt is for the runs in hand when notices are lost: among these there may have been their ends. What waits to be asked for
// again on this connection is not in doubt. Called under the lock.
func (l *Link[K]) doubt() {
	waits := map[*task[K]]bool{}
	for _, c := range l.commands.list {
		if c.start && c.wrote.IsZero() {
			waits[c.task] = true
		}
	}
	var inDoubt []*task[K]
	for _, t := range l.runs {
		if !waits[t] {
			inDoubt = append(inDoubt, t)
		}
	}
	l.endInDoubt(inDoubt)
}

// took takes note of how long a run took.
func (l *Link[K]) took(span float64) {
	const kept = 0.98 // of what the longest took, with each that is shorter
	l.mu.Lock()
	defer l.mu.Unlock()
	l.longest = max(time.Duration(min(span, longRun.Seconds())*float64(time.Second)), time.Duration(kept*float64(l.longest)))
}

// endInDoubt ends runs after a while, unless their end comes after all: without one a run would count for ever. The while is twice
// what the longest run of late took. Called under the lock.
func (l *Link[K]) endInDoubt(inDoubt []*task[K]) {
	if len(inDoubt) == 0 {
		return
	}
	time.AfterFunc(min(l.doubtFor, max(2*l.longest, minDoubt)), func() {
		for _, t := range inDoubt {
			l.mu.Lock()
			known := l.runs[t.uid] == t
			if known {
				l.drop(t)
			}
			l.mu.Unlock()
			if known {
				l.owner.Ended(t.run, 0, nil, &RunError{Progress: Sent, Why: "end lost"})
			}
		}
	})
}

// ended tells the owner of a run's end. The end of what has not been asked for is that of another run, whose name it has now.
func (l *Link[K]) ended(uid string, took float64, result []byte, err error) (known bool) {
	l.mu.Lock()
	t := l.runs[uid]
	if known = t != nil && t.asked; known {
		l.drop(t)
	}
	l.mu.Unlock()
	if known {
		l.owner.Ended(t.run, took, result, err)
	}
	return known
}

// drop forgets a run and all commands for it. Called under the lock.
func (l *Link[K]) drop(t *task[K]) {
	delete(l.runs, t.uid)
	l.commands.remove(func(c *command[K]) bool { return c.task == t })
}

// sync puts a question before all commands that may have been lost: its answer comes after the notices up to
// now, and what has ended by them is not sent again. A kernel that does not answer is not waited for without end.
func (l *Link[K]) sync() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.commands.first(l.commands.question())
	session := l.session
	time.AfterFunc(l.syncFor, func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.session == session && !l.up {
			l.log.Warn("kernel answers no question")
			l.markUp()
		}
	})
	signal(l.work)
}

// markUp lets commands go out. Called under the lock.
func (l *Link[K]) markUp() {
	l.up = true
	l.endInDoubt(l.inDoubt)
	l.inDoubt = nil
	signal(l.work)
}

// inform takes the answer to a question, and tells whether it is one.
func (l *Link[K]) inform(echo string, meters []float64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.commands.answered(echo, l.lossSpan) {
		return false
	}
	l.meters, l.measured = meters, time.Now()
	if l.handover == handedOver && l.commands.asked() == nil {
		l.commands.readAll()
		signal(l.handoverReady)
	}
	if !l.up {
		l.markUp()
	}
	signal(l.informed)
	return true
}
