package hollow

import (
	"fmt"
	"time"

	"valveglade/logic/owner"
)

// RolePlan describes a run of elected roles: candidates that all campaign for all roles, and three voters.
type RolePlan struct {
	Candidates int
	Roles      int
	Seconds    float64 // of simulated time, once each role has its first owner
	Lease      float64 // in seconds
	KillOwner  bool    // kills the owner of the first role when the measurement begins
	Seed       uint64
}

// RoleCost is the load on one voter, and the time of a takeover.
type RoleCost struct {
	MessagesPerSecond float64       // received, mean
	PeakPerTick       int           // received within one tick, maximum
	SentPerSecond     float64       // answers
	BytesPerSecond    float64       // received and sent, with packet headers
	CPUPerMessage     time.Duration // of the voter's state machine
	TakenOverSeconds  float64       // until the first role has another owner after its owner was killed; 0 if none took over
}

// voterCount is the number of voters of a run.
const voterCount = 3

// roleTickSeconds is the step of simulated time, the same as in package fleet. A message takes one step.
const roleTickSeconds = 0.02

// packetOverhead returns the bytes that a packet adds to a message: magic, kind, checksum, and the two names with their lengths.
func packetOverhead(from, to string) int { return 9 + 2 + len(from) + len(to) }

// roleRun is the state of one run of elected roles.
type roleRun struct {
	plan         RolePlan
	now          float64 // simulated time in seconds
	voters       []*owner.Voter
	candidates   [][]*owner.Candidate // by candidate, then by role
	names        map[string]int       // index of each candidate
	toVoters     []owner.Message
	toCandidates []owner.Message
	killed       int // index of the candidate that was killed, -1 for none

	received, sent, bytes, peak int // at the first voter
	cpuTime                     time.Duration
}

// RunRoles runs elections with the state machines of voters and candidates alone, in simulated time.
func RunRoles(plan RolePlan) (RoleCost, error) {
	r := newRoleRun(plan)
	for r.now < 10*plan.Lease && r.ownerOf(0) < 0 || r.now < 3*plan.Lease {
		r.step()
	}
	firstOwner := r.ownerOf(0)
	if firstOwner < 0 {
		return RoleCost{}, fmt.Errorf("none of %d candidates owns the first role after %g leases", plan.Candidates, 10.0)
	}
	if plan.KillOwner {
		r.killed = firstOwner
	}
	r.received, r.sent, r.bytes, r.peak, r.cpuTime = 0, 0, 0, 0, 0
	began, takenOverAfter := r.now, 0.0
	for r.now < began+plan.Seconds {
		r.step()
		if currentOwner := r.ownerOf(0); plan.KillOwner && takenOverAfter == 0 && currentOwner >= 0 && currentOwner != firstOwner {
			takenOverAfter = r.now - began
		}
	}
	cost := RoleCost{PeakPerTick: r.peak, TakenOverSeconds: takenOverAfter}
	cost.MessagesPerSecond = float64(r.received) / plan.Seconds
	cost.SentPerSecond = float64(r.sent) / plan.Seconds
	cost.BytesPerSecond = float64(r.bytes) / plan.Seconds
	cost.CPUPerMessage = r.cpuTime / time.Duration(max(r.received, 1))
	return cost, nil
}

// newRoleRun creates the voters and candidates of a plan.
func newRoleRun(plan RolePlan) *roleRun {
	r := &roleRun{plan: plan, names: map[string]int{}, killed: -1}
	timing := owner.Timing{Lease: plan.Lease, Drift: 0.01, Margin: plan.Lease / 10}
	var voterNames []string
	for k := range voterCount {
		voterNames = append(voterNames, voterName(k))
		r.voters = append(r.voters, owner.NewVoter(voterName(k), nil, true, 1, 0, timing))
	}
	for k := range plan.Candidates {
		self := owner.Incarnation{Name: memberName(k), ID: plan.Seed + uint64(k)}
		r.names[self.Name] = k
		var all []*owner.Candidate
		for role := range plan.Roles {
			seed := plan.Seed + uint64(k*plan.Roles+role)
			c := owner.NewCandidate(self, roleName(role), [][]string{voterNames}, seed, 0, timing)
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

// ownerOf returns the index of the candidate that owns a role now, -1 if there is none.
func (r *roleRun) ownerOf(role int) int {
	for k, all := range r.candidates {
		if _, _, owns := all[role].Owns(r.now); owns && k != r.killed {
			return k
		}
	}
	return -1
}

// step advances simulated time by one tick and delivers the messages sent in the previous one.
func (r *roleRun) step() {
	r.now += roleTickSeconds
	requests, answers := r.toVoters, r.toCandidates
	r.toVoters, r.toCandidates = nil, nil
	r.deliverToVoters(requests)
	for _, m := range answers {
		if k := r.names[m.To]; k != r.killed {
			r.candidates[k][roleIndex(m.Role)].HandleAnswer(m, r.now)
		}
	}
	for k, all := range r.candidates {
		if k == r.killed {
			continue
		}
		for _, c := range all {
			c.Tick(r.now)
			r.toVoters = append(r.toVoters, c.Ready()...)
		}
	}
}

// deliverToVoters has the voters handle messages and collects their answers. It counts the load on the first voter.
func (r *roleRun) deliverToVoters(requests []owner.Message) {
	received := 0
	for _, m := range requests {
		var k int
		fmt.Sscanf(m.To, "voter%d", &k)
		began := time.Now()
		answers := r.voters[k].HandleMessage(m, r.now)
		if k == 0 {
			r.cpuTime += time.Since(began)
			received++
			r.sent += len(answers)
			r.bytes += len(encodeRoleMessage(m)) + packetOverhead(m.From.Name, m.To)
			for _, a := range answers {
				r.bytes += len(encodeRoleMessage(a)) + packetOverhead(a.From.Name, a.To)
			}
		}
		r.toCandidates = append(r.toCandidates, answers...)
	}
	r.received += received
	r.peak = max(r.peak, received)
}
