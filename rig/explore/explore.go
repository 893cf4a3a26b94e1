// Package explore walks a pure machine through everything that can happen to it within some bounds, in breadth: the first
// trace that breaks a rule is a shortest one. Tests under logic/ say what can happen and what must hold; nothing here knows
// of any of them.
package explore

import (
	"fmt"
	"runtime"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
)

// Model is what is walked: states of a type, and what can happen to them.
type Model[S any] struct {
	Initial   S
	Actions   func(s S, into []uint16) []uint16 // what can happen, as numbers; into is appended to
	Apply     func(s S, act uint16) S           // what comes of it; s stays as it was
	Key       func(s S) uint64                  // states that can be told apart by nothing have one key
	Violation func(s S) string                  // the rule that is broken, if any
	Describe  func(s S, act uint16) string      // for people
}

// Result is what a walk has found.
type Result struct {
	States    int
	Depth     int    // of the longest way to a new state
	Complete  bool   // there was nothing else
	Violation string // the rule that was broken
	Trace     string // what happened until then, a line each
}

// step is how a state was reached first.
type step struct {
	from uint64
	act  uint16
}

// shards of what has been seen, so that many can look at once.
const shards = 64

type seen [shards]struct {
	sync.Mutex
	from map[uint64]step
}

// fresh takes a state in, and tells whether it had not been seen.
func (v *seen) fresh(key uint64, by step) bool {
	shard := &v[key%shards]
	shard.Lock()
	defer shard.Unlock()
	if _, there := shard.from[key]; there {
		return false
	}
	shard.from[key] = by
	return true
}

// Walk goes on until there is nothing new, a rule is broken, or there are more states than most.
func (w Model[S]) Walk(most int) (r Result) {
	type reached struct {
		state S
		key   uint64
	}
	var all seen
	for k := range all {
		all[k].from = map[uint64]step{}
	}
	first := w.Key(w.Initial)
	all.fresh(first, step{})
	level := []reached{{w.Initial, first}}
	var wrong atomic.Pointer[step]
	var why string
	for r.States = 1; len(level) > 0 && r.States < most; r.Depth++ {
		var next [][]reached
		var mu sync.Mutex
		var group sync.WaitGroup
		var taken atomic.Int64
		for range runtime.GOMAXPROCS(0) {
			group.Go(func() {
				var mine []reached
				var acts []uint16
				for {
					k := int(taken.Add(1)) - 1
					if k >= len(level) {
						break
					}
					s := level[k]
					acts = w.Actions(s.state, acts[:0])
					for _, act := range acts {
						n := w.Apply(s.state, act)
						if broken := w.Violation(n); broken != "" {
							mu.Lock()
							if wrong.Load() == nil {
								wrong.Store(&step{s.key, act})
								why = broken
							}
							mu.Unlock()
							return
						}
						key := w.Key(n)
						if all.fresh(key, step{s.key, act}) {
							mine = append(mine, reached{n, key})
						}
					}
					level[k] = reached{}
				}
				mu.Lock()
				next = append(next, mine)
				mu.Unlock()
			})
		}
		group.Wait()
		if at := wrong.Load(); at != nil {
			r.Violation, r.Trace = why, w.replay(&all, *at, first)
			return r
		}
		level = slices.Concat(next...)
		r.States += len(level)
	}
	r.Complete = len(level) == 0
	return r
}

// replay tells what happened, from the beginning.
func (w Model[S]) replay(all *seen, last step, first uint64) string {
	acts := []uint16{last.act}
	for key := last.from; key != first; {
		s := all[key%shards].from[key]
		acts = append(acts, s.act)
		key = s.from
	}
	slices.Reverse(acts)
	var out strings.Builder
	s := w.Initial
	for k, act := range acts {
		fmt.Fprintf(&out, "%2d  %s\n", k+1, w.Describe(s, act))
		s = w.Apply(s, act)
	}
	return out.String()
}

// Hash is for keys: numbers are put in one after another.
type Hash uint64

// NewHash begins one.
func NewHash() Hash { return 14695981039346656037 }

// Add puts a number in.
func (h *Hash) Add(v uint64) {
	x := (uint64(*h) ^ v) * 0x9E3779B97F4A7C15
	*h = Hash(x ^ x>>29)
}
