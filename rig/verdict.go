package rig

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"
)

// Verdict is what a worker's record says.
type Verdict struct {
	MaxConcurrentOwners int // the most owners whose orders had their effects among each other's
	LateEffects         int // effects of one who ordered before, after another had begun, who went on afterwards
	DecreasingTerms     int // terms below one before
	SharedTerms         int // terms with more than one owner
	OwnerChanges        int // of owner
}

// NewVerdict reads the record: an owner whose orders lie between two of another's, within a span, was one at the same time.
func NewVerdict(orders []Order, span time.Duration) Verdict {
	j := Verdict{MaxConcurrentOwners: min(len(orders), 1)}
	byTerm := map[uint64]string{}
	for k, o := range orders {
		if k > 0 && o.Term < orders[k-1].Term {
			j.DecreasingTerms++
		}
		if by, seen := byTerm[o.Term]; seen && by != o.Owner && o.Term > 0 {
			j.SharedTerms++
		}
		byTerm[o.Term] = o.Owner
		if k == 0 || orders[k-1].Owner == o.Owner {
			continue
		}
		j.OwnerChanges++
		// Between its own last order and this one another's lie: late, if that other goes on.
		before := k - 1
		for before >= 0 && orders[before].Owner != o.Owner {
			before--
		}
		if before < 0 || o.At.Sub(orders[before].At) > span {
			continue
		}
		// Under a term of its own that came later it has taken over anew.
		others := map[string]bool{}
		for _, x := range orders[before+1 : k] {
			if x.Term >= o.Term {
				others[x.Owner] = true
			}
		}
		if len(others) == 0 {
			continue
		}
		j.MaxConcurrentOwners = max(j.MaxConcurrentOwners, 1+len(others))
		j.LateEffects++
	}
	return j
}

// Line tells some of a record, for people.
func (j Verdict) String() string {
	return strings.TrimSpace(fmt.Sprintf("at once %d, late %d, falling %d, shared %d, changes %d", j.MaxConcurrentOwners, j.LateEffects, j.DecreasingTerms, j.SharedTerms, j.OwnerChanges))
}

// LeadershipInterval is for how long one process worked as the owner of a role, by its own log, in seconds of the history. It ends
// where the process was stopped or killed: what it does after that is late, and judged by its orders.
type LeadershipInterval struct {
	Role, Process string
	Term          uint64
	From, To      float64
}

// LeadershipIntervals reads them out of a history.
func (h *History) LeadershipIntervals() []LeadershipInterval {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []LeadershipInterval
	began := float64(h.startedAt.UnixNano()) / 1e9
	end := func(who, role string, at float64) {
		for k := range all {
			if t := &all[k]; t.Process == who && (role == "" || t.Role == role) && math.IsInf(t.To, 1) {
				t.To = at
			}
		}
	}
	for _, e := range h.events {
		if words := strings.Fields(e.Text); e.Kind == "fault" && len(words) > 1 {
			switch words[0] {
			case "stop", "kill", "restart", "replace", "starve":
				end(words[1], "", e.Time)
			}
		}
		var line struct {
			Msg, Role string
			Term      uint64
			Ts        float64
		}
		if e.Line == nil || json.Unmarshal(e.Line, &line) != nil {
			continue
		}
		switch line.Msg {
		case "role acquired":
			all = append(all, LeadershipInterval{line.Role, e.Process, line.Term, line.Ts - began, math.Inf(1)})
		case "stepped down":
			end(e.Process, line.Role, line.Ts-began)
		}
	}
	return all
}

// MaxOverlap is for how long two processes worked as owners of one role at the same time, at the most, in seconds.
func MaxOverlap(all []LeadershipInterval) float64 {
	most := 0.0
	for k, a := range all {
		for _, b := range all[:k] {
			if a.Role == b.Role && a.Process != b.Process {
				most = max(most, min(a.To, b.To)-max(a.From, b.From))
			}
		}
	}
	return most
}
