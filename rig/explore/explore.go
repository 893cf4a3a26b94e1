// Package explore is a model checker for deterministic state machines. It searches all reachable states within a bound, breadth
// first, so that the trace of the first violation is a shortest one. Tests under logic/ define the states, the actions and the
// rules; this package depends on none of them.
package explore

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Model describes the state machine to explore: its states, the actions possible in each, and the rules that must hold.
type Model[S any] struct {
	Initial   S
	Actions   func(s S, into []uint16) []uint16 // appends the numbers of the possible actions to into
	Apply     func(s S, action uint16) S        // returns the next state and leaves s unchanged
	Key       func(s S) uint64                  // equivalent states have the same key
	Violation func(s S) string                  // returns the rule that s violates, or ""
	Describe  func(s S, action uint16) string   // describes an action in a trace
}

// Result is the outcome of a search.
type Result struct {
	States    int
	Depth     int    // number of steps to the states furthest from the initial one
	Complete  bool   // all reachable states were visited
	Violation string // the rule that was violated, or ""
	Trace     string // the actions up to the violation, one per line
}

// step is the action by which a state was first reached, and the key of the state before it.
type step struct {
	from   uint64
	action uint16
}

// shardCount is the number of shards of the visited states, which reduce lock contention between workers.
const shardCount = 64

// visitedStates maps the key of each visited state to the step that reached it, in shards with a lock each.
type visitedStates [shardCount]struct {
	sync.Mutex
	from map[uint64]step
}

// add records a state and reports whether it is new.
func (v *visitedStates) add(key uint64, via step) bool {
	shard := &v[key%shardCount]
	shard.Lock()
	defer shard.Unlock()
	if _, exists := shard.from[key]; exists {
		return false
	}
	shard.from[key] = via
	return true
}

// Walk searches breadth first until there are no new states, a rule is violated, or maxStates states were visited.
func (m Model[S]) Walk(maxStates int) (r Result) {
	type reachedState struct {
		state S
		key   uint64
	}
	var visited visitedStates
	for k := range visited {
		visited[k].from = map[uint64]step{}
	}
	first := m.Key(m.Initial)
	visited.add(first, step{})
	level := []reachedState{{m.Initial, first}}
	var violatingStep atomic.Pointer[step]
	var violatedRule string
	for r.States = 1; len(level) > 0 && r.States < maxStates; r.Depth++ {
		var next [][]reachedState
		var mu sync.Mutex
		var workers sync.WaitGroup
		var claimedCount atomic.Int64
		for range runtime.GOMAXPROCS(0) {
			workers.Go(func() {
				var found []reachedState
				var actions []uint16
				for {
					k := int(claimedCount.Add(1)) - 1
					if k >= len(level) {
						break
					}
					s := level[k]
					actions = m.Actions(s.state, actions[:0])
					for _, action := range actions {
						n := m.Apply(s.state, action)
						if violation := m.Violation(n); violation != "" {
							mu.Lock()
							if violatingStep.Load() == nil {
								violatingStep.Store(&step{s.key, action})
								violatedRule = violation
							}
							mu.Unlock()
							return
						}
						key := m.Key(n)
						if visited.add(key, step{s.key, action}) {
							found = append(found, reachedState{n, key})
						}
					}
					level[k] = reachedState{}
				}
				mu.Lock()
				next = append(next, found)
				mu.Unlock()
			})
		}
		workers.Wait()
		if lastStep := violatingStep.Load(); lastStep != nil {
			r.Violation, r.Trace = violatedRule, m.replay(&visited, *lastStep, first)
			return r
		}
		level = slices.Concat(next...)
		r.States += len(level)
	}
	r.Complete = len(level) == 0
	return r
}

// replay describes the actions from the initial state up to the step last.
func (m Model[S]) replay(visited *visitedStates, last step, first uint64) string {
	actions := []uint16{last.action}
	for key := last.from; key != first; {
		s := visited[key%shardCount].from[key]
		actions = append(actions, s.action)
		key = s.from
	}
	slices.Reverse(actions)
	var out strings.Builder
	s := m.Initial
	for k, action := range actions {
		fmt.Fprintf(&out, "%2d  %s\n", k+1, m.Describe(s, action))
		s = m.Apply(s, action)
	}
	return out.String()
}

// Hash is a 64-bit hash of a sequence of numbers, for state keys.
type Hash uint64

// NewHash returns the hash of an empty sequence.
func NewHash() Hash { return 14695981039346656037 }

// Add adds a number to the hash.
func (h *Hash) Add(v uint64) {
	x := (uint64(*h) ^ v) * 0x9E3779B97F4A7C15
	*h = Hash(x ^ x>>29)
}
