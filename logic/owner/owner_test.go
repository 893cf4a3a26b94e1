package owner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
)

// simulation is three voters and two candidates with clocks of their own, a network that loses, duplicates
// and delays messages, and an executor of commands. The events are drawn at random from a seed, and recorded
// in the trace.
type simulation struct {
	timing         Timing
	chance         *rand.Rand
	now            float64
	voters         []*Voter
	persisted      []map[string]Vote // by voter: the votes on its disk
	candidates     []*Candidate
	paused         []bool
	checkedTerms   []uint64 // by candidate: term of a command that it checked and has not sent; 0 for none
	clockRates     []float64
	inFlight       []Message
	fence          *Fence
	observedTerms  []uint64 // terms with an owner, in the order of their first observation
	ownerByTerm    map[uint64]int
	ownedTerms     int
	highestCommand uint64 // the highest term of an executed command
	trace          []string
	violation      string
	// Parameters drawn for each run, as some failures show only under certain combinations.
	maxTimeStep        float64
	lossProbability    float64 // of a message that is delivered
	restartProbability float64 // of a voter, per event
	pauseProbability   float64 // of a candidate being paused or resumed, per event
}

const voterCount = 3

// localTime returns the reading of a process's own clock.
func (s *simulation) localTime(process int) float64 {
	return 1000*float64(process) + s.now*s.clockRates[process]
}

func newSimulation(seed uint64, timing Timing) *simulation {
	s := &simulation{timing: timing, chance: rand.New(rand.NewPCG(seed, 3)), ownerByTerm: map[uint64]int{},
		fence: NewFence(timing), paused: make([]bool, 2), checkedTerms: make([]uint64, 2)}
	pick := func(of ...float64) float64 { return of[s.chance.IntN(len(of))] }
	s.maxTimeStep, s.lossProbability, s.restartProbability, s.pauseProbability =
		pick(0.02, 0.1, 0.3), pick(0, 0.08, 0.3), pick(0, 0.002, 0.02), pick(0, 0.01, 0.05)
	names := []string{"v0", "v1", "v2"}
	for k := range voterCount + 2 {
		// Any two clocks drift apart by at most the bound.
		s.clockRates = append(s.clockRates, 1+timing.Drift*(s.chance.Float64()-0.5)*0.98)
		if k < voterCount {
			s.voters = append(s.voters, NewVoter(names[k], map[string]Vote{}, true, 0, s.localTime(k),
				timing))
			s.persisted = append(s.persisted, map[string]Vote{})
		}
	}
	for k := range 2 {
		c := NewCandidate(Incarnation{fmt.Sprintf("c%d", k), 1}, "o", [][]string{names}, seed+uint64(k),
			s.localTime(voterCount+k), timing)
		c.SetCampaigning(true, s.localTime(voterCount+k))
		s.candidates = append(s.candidates, c)
	}
	return s
}

func (s *simulation) logf(format string, args ...any) {
	s.trace = append(s.trace, fmt.Sprintf("%6.3f ", s.now)+fmt.Sprintf(format, args...))
}

// step simulates one event.
func (s *simulation) step(persistent bool) {
	random := s.chance.Float64
	switch x := random(); {
	case x < s.restartProbability:
		k := s.chance.IntN(voterCount)
		s.logf("v%d restarts", k)
		votes := map[string]Vote(nil)
		if persistent {
			votes = s.persisted[k]
		}
		s.voters[k] = NewVoter(fmt.Sprintf("v%d", k), votes, persistent, uint64(s.now*1000), s.localTime(k),
			s.timing)
	case random() < s.pauseProbability:
		k := s.chance.IntN(2)
		s.paused[k] = !s.paused[k]
		s.logf("c%d paused: %v", k, s.paused[k])
	case random() < 0.1: // an owner checks its lease before it sends a command
		k := s.chance.IntN(2)
		if term, _, ok := s.candidates[k].Owns(s.localTime(voterCount + k)); ok && !s.paused[k] {
			s.checkedTerms[k] = term
		}
	case random() < 0.1: // and sends the command at any later time
		k := s.chance.IntN(2)
		if s.checkedTerms[k] == 0 || s.paused[k] {
			break
		}
		term := s.checkedTerms[k]
		s.checkedTerms[k] = 0
		known, ok := s.fence.Pass("o", term)
		s.logf("c%d sends a command under %d: %v", k, term, ok)
		if !ok {
			s.candidates[k].HandleStaleTerm(known, s.localTime(voterCount+k))
			break
		}
		if term < s.highestCommand {
			s.violation = fmt.Sprintf("a command of term %d was executed after one of %d", term,
				s.highestCommand)
		}
		s.highestCommand = max(s.highestCommand, term)
	case len(s.inFlight) > 0 && random() < 0.75:
		k := s.chance.IntN(len(s.inFlight))
		m := s.inFlight[k]
		if random() > 0.08 { // otherwise it stays in flight too, as a duplicate
			s.inFlight = slices.Delete(s.inFlight, k, k+1)
		}
		if random() < s.lossProbability {
			return
		}
		s.deliver(m)
	default:
		s.now += s.maxTimeStep * random()
		for k, c := range s.candidates {
			if !s.paused[k] {
				c.Tick(s.localTime(voterCount + k))
			}
		}
	}
	s.collectMessages()
	s.checkInvariants()
}

func (s *simulation) collectMessages() {
	for _, c := range s.candidates {
		s.inFlight = append(s.inFlight, c.Ready()...)
	}
	for len(s.inFlight) > 40 { // as on any network, the messages in flight are bounded
		s.inFlight = slices.Delete(s.inFlight, 0, 1)
	}
}

func (s *simulation) deliver(m Message) {
	for k, v := range s.voters {
		if v.name != m.To || m.Kind > StepDown {
			continue
		}
		for _, a := range v.HandleMessage(m, s.localTime(k)) {
			s.logf("%s to %s: kind %d term %d round %d; %d", m.From.Name, m.To, m.Kind, m.Term, m.Round,
				a.Kind)
			if a.Sync {
				s.persisted[k] = maps.Clone(v.Votes())
			}
			s.inFlight = append(s.inFlight, a)
		}
	}
	for k, c := range s.candidates {
		if c.self.Name == m.To && m.Kind > StepDown && !s.paused[k] {
			s.logf("%s receives from %s: kind %d term %d round %d", m.To, m.From.Name, m.Kind, m.Term,
				m.Round)
			c.HandleAnswer(m, s.localTime(voterCount+k))
		}
	}
}

// checkInvariants records a violation of the properties that must always hold.
func (s *simulation) checkInvariants() {
	owners := 0
	for k, c := range s.candidates {
		term, _, ok := c.Owns(s.localTime(voterCount + k))
		if !ok {
			continue
		}
		owners++
		if owner, seen := s.ownerByTerm[term]; seen && owner != k {
			s.violation = fmt.Sprintf("term %d has two owners", term)
		} else if !seen {
			s.ownerByTerm[term] = k
			s.logf("c%d owns under %d", k, term)
			if len(s.observedTerms) > 0 && term <= slices.Max(s.observedTerms) {
				s.violation = fmt.Sprintf("term %d comes after %d", term, slices.Max(s.observedTerms))
			}
			s.observedTerms = append(s.observedTerms, term)
			s.ownedTerms++
		}
	}
	if owners > 1 {
		s.violation = "two owners at one time"
	}
}

// runSimulation runs a simulation up to its first violation.
func runSimulation(seed uint64, timing Timing, persistent bool, steps int) (s *simulation) {
	s = newSimulation(seed, timing)
	for range steps {
		if s.step(persistent); s.violation != "" {
			break
		}
	}
	return s
}

const simulationRuns = 300

var defaultTiming = Timing{Lease: 1, Drift: 0.08, Margin: 0.02}

// Whatever is lost, duplicated, delayed, paused and restarted, with and without persisted votes: at most one
// owner at a time, rising terms, and no command of a superseded owner is executed. The runs do have owners.
func TestRandomRuns(t *testing.T) {
	for _, persistent := range []bool{true, false} {
		owned := 0
		for seed := range uint64(simulationRuns) {
			s := runSimulation(seed, defaultTiming, persistent, 600)
			owned += s.ownedTerms
			if s.violation != "" {
				t.Fatalf("seed %d, persistent %v: %s\n%s", seed, persistent, s.violation,
					strings.Join(s.trace[max(0, len(s.trace)-60):], "\n"))
			}
		}
		t.Logf("persistent %v: %d terms were owned in %d runs", persistent, owned, simulationRuns)
		if owned < simulationRuns {
			t.Errorf("persistent %v: only %d terms were owned", persistent, owned)
		}
	}
}
