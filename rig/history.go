package rig

import (
	"encoding/json"
	"io"
	"strings"
	"sync"
	"time"
)

// History records the events of a trial in the order of their arrival: the log lines of every process, the injected faults and
// the events of the experiment itself. It is safe for concurrent use.
type History struct {
	mu        sync.Mutex
	startedAt time.Time
	events    []Event
	latest    map[string]Observation // by process
}

// Event is one entry of a history.
type Event struct {
	Time    float64         `json:"t"` // seconds since the start of the history
	Process string          `json:"who"`
	Kind    string          `json:"kind"` // log, fault, or a kind that the experiment chooses
	Text    string          `json:"text,omitempty"`
	Line    json.RawMessage `json:"line,omitempty"`
}

// Observation is the membership view of a process as its log reports it. The names of the fields are those of the log.
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

// NewHistory returns an empty history that starts now.
func NewHistory() *History { return &History{startedAt: time.Now(), latest: map[string]Observation{}} }

// Elapsed returns the time since the start, in seconds.
func (h *History) Elapsed() float64 { return time.Since(h.startedAt).Seconds() }

// AddEvent records an event of the experiment itself.
func (h *History) AddEvent(process, kind, text string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.add(Event{Time: h.Elapsed(), Process: process, Kind: kind, Text: text})
}

// AddLogLine records a log line of a process, which need not be JSON.
func (h *History) AddLogLine(process string, line []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	event := Event{Time: h.Elapsed(), Process: process, Kind: "log"}
	if json.Valid(line) {
		event.Line = append(json.RawMessage(nil), line...)
	} else {
		event.Text = string(line)
	}
	h.add(event)
	if observation, ok := event.Observation(); ok {
		h.latest[process] = observation
	}
}

// maxEvents is the maximum number of events that a history keeps; later ones are dropped.
const maxEvents = 200_000

// add records an event. The caller holds h.mu.
func (h *History) add(event Event) {
	if len(h.events) < maxEvents {
		h.events = append(h.events, event)
	}
}

// Observation returns the membership view that the event reports, and false if it reports none.
func (e Event) Observation() (Observation, bool) {
	observation := Observation{Time: e.Time, Process: e.Process}
	if e.Line == nil || json.Unmarshal(e.Line, &observation) != nil || observation.Msg != "view" {
		return observation, false
	}
	return observation, true
}

// Latest returns the last view that a process reported, and false if there is none.
func (h *History) Latest(process string) (Observation, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	observation, ok := h.latest[process]
	return observation, ok
}

// Forget drops the view of a process that has ended.
func (h *History) Forget(process string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.latest, process)
}

// Observations returns the views that one process, or every process for an empty name, has reported since the time from, in
// seconds since the start of the history.
func (h *History) Observations(process string, from float64) []Observation {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []Observation
	for _, event := range h.events {
		if event.Time < from || process != "" && event.Process != process {
			continue
		}
		if observation, ok := event.Observation(); ok {
			all = append(all, observation)
		}
	}
	return all
}

// CountEvents counts the events of one process, or of every process for an empty name, since the time from whose text or log
// line contains a text. It also returns the time of the first one. Times are in seconds since the start of the history.
func (h *History) CountEvents(process, text string, from float64) (n int, first float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, event := range h.events {
		if event.Time >= from && (process == "" || event.Process == process) &&
			(strings.Contains(string(event.Line), text) || strings.Contains(event.Text, text)) {
			if n++; n == 1 {
				first = event.Time
			}
		}
	}
	return n, first
}

// Write writes the events as JSON lines.
func (h *History) Write(writer io.Writer) error {
	h.mu.Lock()
	defer h.mu.Unlock()
	encoder := json.NewEncoder(writer)
	for _, event := range h.events {
		if err := encoder.Encode(event); err != nil {
			return err
		}
	}
	return nil
}

// AgreeOnMembers reports whether the latest views of all given processes have the same n members, whatever their certainty.
func (h *History) AgreeOnMembers(n int, processes ...string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, process := range processes {
		observation, ok := h.latest[process]
		if !ok || observation.Members != n || observation.Digest != h.latest[processes[0]].Digest {
			return false
		}
	}
	return true
}
