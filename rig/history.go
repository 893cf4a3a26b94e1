package rig

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"
)

// History is all that was said and done in a run, in the order in which it came: the lines of every process, and the
// faults in between.
type History struct {
	mu        sync.Mutex
	startedAt time.Time
	events    []Event
	latest    map[string]Observation
}

// Event is one line of it.
type Event struct {
	Time    float64         `json:"t"` // seconds since the start
	Process string          `json:"who"`
	Kind    string          `json:"kind"` // log, fault, or a word of whoever plays
	Text    string          `json:"text,omitempty"`
	Line    json.RawMessage `json:"line,omitempty"`
}

// Observation is a view as a process's log tells it.
type Observation struct {
	Time      float64 `json:"-"`
	Process   string  `json:"-"`
	Msg       string
	Version   uint64
	Digest    string
	Certainty string
	Members   int
	Changes   []string
}

// NewHistory begins one.
func NewHistory() *History { return &History{startedAt: time.Now(), latest: map[string]Observation{}} }

// Elapsed is the time since the start, in seconds.
func (h *History) Elapsed() float64 { return time.Since(h.startedAt).Seconds() }

// AddEvent takes a word of whoever plays.
func (h *History) AddEvent(who, kind, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(Event{Time: h.Elapsed(), Process: who, Kind: kind, Text: text})
}

// AddLogLine takes a line of a process.
func (h *History) AddLogLine(who string, line []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	e := Event{Time: h.Elapsed(), Process: who, Kind: "log"}
	if json.Valid(line) {
		e.Line = append(json.RawMessage(nil), line...)
	} else {
		e.Text = string(line)
	}
	h.add(e)
	if s, ok := e.Observation(); ok {
		h.latest[who] = s
	}
}

// maxEvents bounds what is kept of one run.
const maxEvents = 200_000

func (h *History) add(e Event) {
	if len(h.events) < maxEvents {
		h.events = append(h.events, e)
	}
}

// Observation reads a view out of a line, if it tells one.
func (e Event) Observation() (Observation, bool) {
	s := Observation{Time: e.Time, Process: e.Process}
	if e.Line == nil || json.Unmarshal(e.Line, &s) != nil || s.Msg != "view" {
		return s, false
	}
	return s, true
}

// Latest is the view that a process told last.
func (h *History) Latest(who string) (Observation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	s, ok := h.latest[who]
	return s, ok
}

// Forget drops the view of a process that has ended.
func (h *History) Forget(who string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.latest, who)
}

// Observations are the views of one process, or of all for an empty name, from a time on.
func (h *History) Observations(who string, from float64) []Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Observation
	for _, e := range h.events {
		if e.Time < from || who != "" && e.Process != who {
			continue
		}
		if s, ok := e.Observation(); ok {
			all = append(all, s)
		}
	}
	return all
}

// CountLines counts the lines of a process from a time on that have a text in them.
func (h *History) CountLines(who, text string, from float64) (n int, first float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, e := range h.events {
		if e.Time >= from && (who == "" || e.Process == who) && (strings.Contains(string(e.Line), text) || strings.Contains(e.Text, text)) {
			if n++; n == 1 {
				first = e.Time
			}
		}
	}
	return n, first
}

// Write puts it out as JSON lines.
func (h *History) Write(to io.Writer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := json.NewEncoder(to)
	for _, e := range h.events {
		if err := out.Encode(e); err != nil {
			return err
		}
	}
	return nil
}

// AgreeOnMembers tells whether all of these see the same n members; of how sure they are, none is asked.
func (h *History) AgreeOnMembers(n int, who ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, name := range who {
		s, ok := h.latest[name]
		if !ok || s.Members != n || s.Digest != h.latest[who[0]].Digest {
			return false
		}
	}
	return true
}
