package rig

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"time"
)

// Verdict is the evaluation of the orders that a worker received from the owners of a role.
type Verdict struct {
	MaxConcurrentOwners int // the maximum number of owners whose orders interleaved
	LateEffects         int // orders of an earlier owner that took effect after those of its successor had begun
	DecreasingTerms     int // orders whose term is lower than that of the order before
	SharedTerms         int // orders under a term that another owner had used
	OwnerChanges        int // changes of the owner
}

// NewVerdict evaluates orders, which must be sorted by when they took effect. Two owners held the role at the same time if
// orders of one lie between two orders of the other that are at most maxGap apart.
func NewVerdict(orders []Order, maxGap time.Duration) Verdict {
	verdict := Verdict{MaxConcurrentOwners: min(len(orders), 1)}
	ownerOfTerm := map[uint64]string{}
	for k, order := range orders {
		if k > 0 && order.Term < orders[k-1].Term {
			verdict.DecreasingTerms++
		}
		if owner, seen := ownerOfTerm[order.Term]; seen && owner != order.Owner && order.Term > 0 {
			verdict.SharedTerms++
		}
		ownerOfTerm[order.Term] = order.Owner
		if k == 0 || orders[k-1].Owner == order.Owner {
			continue
		}
		verdict.OwnerChanges++
		// If orders of others lie between this owner's previous order and this one, this one is late.
		previous := k - 1
		for previous >= 0 && orders[previous].Owner != order.Owner {
			previous--
		}
		if previous < 0 || order.At.Sub(orders[previous].At) > maxGap {
			continue
		}
		// It is not late if its term is later than the others': the owner has taken over again.
		others := map[string]bool{}
		for _, other := range orders[previous+1 : k] {
			if other.Term >= order.Term {
				others[other.Owner] = true
			}
		}
		if len(others) == 0 {
			continue
		}
		verdict.MaxConcurrentOwners = max(verdict.MaxConcurrentOwners, 1+len(others))
		verdict.LateEffects++
	}
	return verdict
}

// String returns a summary for logs.
func (v Verdict) String() string {
	return strings.TrimSpace(fmt.Sprintf(
		"concurrent owners %d, late effects %d, decreasing terms %d, shared terms %d, owner changes %d",
		v.MaxConcurrentOwners, v.LateEffects, v.DecreasingTerms, v.SharedTerms, v.OwnerChanges))
}

// LeadershipInterval is a period in which one process was the owner of a role according to its own log, in seconds since the
// start of the history. It ends when the process logs that it has stepped down, or with a fault that pauses (stop), throttles
// (starve) or ends (kill, restart, replace) the process. Orders that the process sends after such a fault are not part of an
// interval; NewVerdict counts them in LateEffects if they take effect after those of a successor.
type LeadershipInterval struct {
	Role, Process string
	Term          uint64
	From, To      float64
}

// LeadershipIntervals returns the periods in which processes were owners of roles, derived from the log lines and the faults of
// the history, in the order in which the log lines on acquired roles were recorded. To is +Inf for a period that has not ended.
func (h *History) LeadershipIntervals() []LeadershipInterval {
	h.mu.Lock()
	defer h.mu.Unlock()
	var all []LeadershipInterval
	start := float64(h.startedAt.UnixNano()) / 1e9
	endIntervals := func(process, role string, at float64) {
		for k := range all {
			if interval := &all[k]; interval.Process == process && (role == "" || interval.Role == role) &&
				math.IsInf(interval.To, 1) {
				interval.To = at
			}
		}
	}
	for _, e := range h.events {
		if words := strings.Fields(e.Text); e.Kind == "fault" && len(words) > 1 {
			switch words[0] {
			case "stop", "kill", "restart", "replace", "starve":
				endIntervals(words[1], "", e.Time) // words[1] is the process; the fault ends its intervals of all roles
			}
		}
		var line struct {
			Msg, Role string
			Term      uint64
			Ts        float64 // Unix time in seconds, unlike Event.Time
		}
		if e.Line == nil || json.Unmarshal(e.Line, &line) != nil {
			continue
		}
		switch line.Msg {
		case "role acquired":
			all = append(all, LeadershipInterval{line.Role, e.Process, line.Term, line.Ts - start, math.Inf(1)})
		case "stepped down":
			endIntervals(e.Process, line.Role, line.Ts-start)
		}
	}
	return all
}

// MaxOverlap returns the longest period in which two processes were owners of one role at the same time, in seconds.
func MaxOverlap(all []LeadershipInterval) float64 {
	longest := 0.0
	for k, a := range all {
		for _, b := range all[:k] {
			if a.Role == b.Role && a.Process != b.Process {
				longest = max(longest, min(a.To, b.To)-max(a.From, b.From))
			}
		}
	}
	return longest
}
