package hollow

import (
	"fmt"
	"time"

	"valveglade/logic/owner"
)

// RolePlan is what one run of elected roles plays: candidates that all campaign for all roles, and three voters.
type RolePlan struct {
	Candidates int
	Roles      int
	Seconds    float64 // simulated, after the first owner of each role
	Lease      float64
	KillOwner  bool // the owner of the first role dies as the measurement begins
	Seed       uint64
}

// RoleCost is what one voter of the run bore.
type RoleCost struct {
	MessagesPerSecond float64       // received, on the mean
	PeakPerTick       int           // received within one tick, at the most
	SentPerSecond     float64       // answers
	BytesPerSecond    float64       // received and sent, with the heads of packets
	CPUPerMessage     time.Duration // of the voter's machine
	TakenOverSeconds  float64       // until the first role has an owner again, where it was killed
}

// voters is how many voters a run has.
const voters = 3

// roleTick is the step of simulated time, as fleet has it. A message takes one step.
const roleTick = 0.02

// noteHead is what a packet adds to a message: magic, kind, checksum, and the two names with their lengths.
func noteHead(from, to string) int { return 9 + 2 + len(from) + len(to) }

// roleRun is one run under way.
type roleRun struct {
	plan       RolePlan
	now        float64
	voters     []*owner.Voter
	candidates [][]*owner.Candidate // by candidate, then by role
	names      map[string]int
	toVoters   []owner.Message
	toOthers   []owner.Message
	dead       int // index of the candidate that was killed, -1 for none

	received, sent, bytes, peak int // at the first voter
	spent                       time.Duration
}

// RunRoles plays elections by the pure machines of voters and candidates, on simulated time.
func RunRoles(plan RolePlan) (RoleCost, error) {
	r := newRoleRun(plan)
	for r.now < 10*plan.Lease && r.ownerOf(0) < 0 || r.now < 3*plan.Lease {
		r.step()
	}
	first := r.ownerOf(0)
	if first < 0 {
		return RoleCost{}, fmt.Errorf("nobody of %d candidates owns a role after %g leases", plan.Candidates, 10.0)
	}
	if plan.KillOwner {
		r.dead = first
	}
	r.received, r.sent, r.bytes, r.peak, r.spent = 0, 0, 0, 0, 0
	began, taken := r.now, 0.0
	for r.now < began+plan.Seconds {
		r.step()
		if next := r.ownerOf(0); plan.KillOwner && taken == 0 && next >= 0 && next != first {
			taken = r.now - began
		}
	}
	cost := RoleCost{PeakPerTick: r.peak, TakenOverSeconds: taken}
	cost.MessagesPerSecond = float64(r.received) / plan.Seconds
	cost.SentPerSecond = float64(r.sent) / plan.Seconds
	cost.BytesPerSecond = float64(r.bytes) / plan.Seconds
	cost.CPUPerMessage = r.spent / time.Duration(max(r.received, 1))
	return cost, nil
}

func newRoleRun(plan RolePlan) *roleRun {
	r := &roleRun{plan: plan, names: map[string]int{}, dead: -1}
	timing := owner.Timing{Lease: plan.Lease, Drift: 0.01, Margin: plan.Lease / 10}
	var list []string
	for k := range voters {
		list = append(list, voterName(k))
		r.voters = append(r.voters, owner.NewVoter(voterName(k), nil, true, 1, 0, timing))
	}
	for k := range plan.Candidates {
		self := owner.Incarnation{Name: memberName(k), ID: plan.Seed + uint64(k)}
		r.names[self.Name] = k
		var all []*owner.Candidate
		for role := range plan.Roles {
			seed := plan.Seed + uint64(k*plan.Roles+role)
			c := owner.NewCandidate(self, roleName(role), [][]string{list}, seed, 0, timing)
			c.SetCampaigning(true, 0)
			all = append(all, c)
		}
		r.candidates = append(r.candidates, all)
	}
	return r
}

func voterName(k int) string     { return fmt.Sprintf("voter%d.pool", k) }
func roleName(k int) string      { return fmt.Sprintf("role-%d", k) }
func roleIndex(s string) (k int) { fmt.Sscanf(s, "role-%d", &k); return k }

// ownerOf gives the candidate that owns a role now, -1 for none.
func (r *roleRun) ownerOf(role int) int {
	for k, all := range r.candidates {
		if _, _, owns := all[role].Owns(r.now); owns && k != r.dead {
			return k
		}
	}
	return -1
}

// step passes what was sent in the step before, and lets time pass.
func (r *roleRun) step() {
	r.now += roleTick
	questions, answers := r.toVoters, r.toOthers
	r.toVoters, r.toOthers = nil, nil
	r.vote(questions)
	for _, m := range answers {
		if k := r.names[m.To]; k != r.dead {
			r.candidates[k][roleIndex(m.Role)].HandleAnswer(m, r.now)
		}
	}
	for k, all := range r.candidates {
		if k == r.dead {
			continue
		}
		for _, c := range all {
			c.Tick(r.now)
			r.toVoters = append(r.toVoters, c.Ready()...)
		}
	}
}

// vote has the voters answer, and counts what the first of them bears.
func (r *roleRun) vote(questions []owner.Message) {
	received := 0
	for _, m := range questions {
		var k int
		fmt.Sscanf(m.To, "voter%d", &k)
		began := time.Now()
		answers := r.voters[k].HandleMessage(m, r.now)
		if k == 0 {
			r.spent += time.Since(began)
			received++
			r.sent += len(answers)
			r.bytes += len(encodeRoleMessage(m)) + noteHead(m.From.Name, m.To)
			for _, a := range answers {
				r.bytes += len(encodeRoleMessage(a)) + noteHead(a.From.Name, a.To)
			}
		}
		r.toOthers = append(r.toOthers, answers...)
	}
	r.received += received
	r.peak = max(r.peak, received)
}
