package kernel

import (
	"bytes"
	"encoding/json"
	"errors"
	"net"
	"slices"
	"time"

	"go.uber.org/zap"

	"valveglade/internal/readbuffer"
)

// maxLine holds a result of 4 KiB in base64 many times over.
const maxLine = 64 << 10

// read takes notices until the connection ends.
func (l *Link[K]) read(conn net.Conn, up func()) error {
	in := readbuffer.New(maxLine)
	booted, first, blind, gaugeless, strange := false, true, false, false, false
	for {
		b := in.Bytes()
		end := bytes.IndexByte(b, '\n')
		if end < 0 {
			if err := in.Fill(conn); err != nil {
				return err
			}
			continue
		}
		var m struct {
			Action  string    `json:"action"`
			Pos     int       `json:"pos"`
			UID     string    `json:"uid"`
			Code    string    `json:"code"`
			Took    float64   `json:"wall_ms"`
			Content []byte    `json:"content"`
			Echo    string    `json:"echo"`
			Meters  []float64 `json:"meters"`
		}
		err := json.Unmarshal(b[:end], &m)
		in.Take(end + 1)
		if booted {
			conn.SetReadDeadline(time.Now().Add(silence))
		}
		if err != nil {
			if !blind {
				l.log.Warn("kernel line passed over", zap.Error(err))
			}
			blind = true // it may have been a notice: the next one's number tells nothing
			continue
		}
		if m.Pos > 0 {
			fresh, whole := l.follow(m.Pos, first || blind)
			if !whole {
				return errors.New("a notice is missing")
			}
			first, blind = false, false
			if !fresh {
				continue
			}
		}
		switch m.Action {
		case "BOOTED":
			if booted {
				continue
			}
			booted = true
			l.owner.Booted(m.Took/1000, m.Code == "starting")
			l.mu.Lock()
			l.sync()
			l.mu.Unlock()
			up()
		case "INFO":
			l.inform(m.Echo, m.Meters)
		case "REAP":
			var end error
			switch m.Code {
			case "fine":
			case "late":
				end = &Attempt{Reach: NeverRan, Why: m.Code}
			case "broken_off":
				end = &Attempt{Reach: Ran, Stopped: true, Why: m.Code}
			default:
				end = &Attempt{Reach: Ran, Why: m.Code}
			}
			if end != nil {
				m.Content = nil // a run that failed has no result
			}
			if !l.ended(m.UID, m.Took/1000, m.Content, end) && !strange {
				strange = true
				l.log.Warn("end of a run not in hand", zap.String("run", m.UID))
			}
		case "EINVAL":
			if m.Code != "SYSINFO" || !gaugeless {
				l.log.Warn("kernel did not carry out", zap.String("command", m.Code), zap.String("run", m.UID))
			}
			switch m.Code {
			case "SCHED":
				// It knows no RPC of this id, lane and body: a repeat may be a genuine one.
				l.ended(m.UID, 0, nil, &Attempt{Reach: NeverRan, Unknown: true, Why: "not carried out"})
			case "SYSINFO": // a site without gauges: it marks the order of commands all the same
				gaugeless = true
				l.inform("", nil)
			}
		case "DMESG":
		default:
			if !blind {
				l.log.Warn("kernel word not known", zap.String("action", m.Action))
			}
			blind = true
		}
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

// doubt ends the runs in hand, unless their end comes after all: among the lost notices there may have been
// theirs, and without one a run would count for ever. Called under the lock.
func (l *Link[K]) doubt() {
	var doubtful []string
	for uid := range l.runs {
		if !slices.ContainsFunc(l.unread, func(c command) bool { return c.uid == uid }) {
			doubtful = append(doubtful, uid)
		}
	}
	time.AfterFunc(l.doubtFor, func() {
		for _, uid := range doubtful {
			l.ended(uid, 0, nil, &Attempt{Reach: Sent, Why: "end lost"})
		}
	})
}

func (l *Link[K]) ended(uid string, took float64, result []byte, err error) (known bool) {
	l.mu.Lock()
	run, known := l.runs[uid]
	if known {
		delete(l.runs, uid)
		at, sent := 0, len(l.unread)-l.unsent
		l.unread = slices.DeleteFunc(l.unread, func(c command) bool {
			at++
			if c.uid != uid {
				return false
			}
			if at > sent {
				l.unsent--
			}
			return true
		})
	}
	l.mu.Unlock()
	if known {
		l.owner.Ended(run, took, result, err)
	}
	return known
}
