package view

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// testMachine is a machine with a clock. It collects the machine's actions and published views.
type testMachine struct {
	*Machine
	now     float64
	actions []Action
	views   []View
}

func newTestMachine(disabled Rule) *testMachine {
	config := Defaults()
	config.Disabled = disabled
	o := &testMachine{Machine: New(Entry{Name: "me", Incarnation: Incarnation{100, 1}, Address: "a-me",
		State: Serving, Proto: 1}, []string{"a-seed"}, 0, 1, config)}
	o.collect()
	return o
}

func (o *testMachine) collect() {
	for _, d := range o.Ready() {
		o.actions = append(o.actions, d)
		if d.Kind == Publish {
			o.views = append(o.views, *d.View)
		}
	}
}

func (o *testMachine) step(e Event) {
	o.Step(e, o.now)
	o.collect()
}

// runFor advances the clock in steps of 0.1 s, calling step before each tick.
func (o *testMachine) runFor(duration float64, step ...func()) {
	for end := o.now + duration; o.now < end-1e-9; {
		o.now += 0.1
		for _, f := range step {
			f()
		}
		o.Tick(o.now)
		o.collect()
	}
}

// digestChanges counts changes of the digest since the k-th published view.
func (o *testMachine) digestChanges(k int) int {
	n, last := 0, o.views[max(k-1, 0)].Digest
	for _, v := range o.views[k:] {
		if v.Digest != last {
			n++
		}
		last = v.Digest
	}
	return n
}

func (o *testMachine) hasAction(kind ActionKind, address string) bool {
	return slices.ContainsFunc(o.actions, func(d Action) bool {
		return d.Kind == kind && (address == "" || d.Address == address)
	})
}

func testEntry(name string, incarnation uint64) Entry {
	return Entry{Name: name, Incarnation: Incarnation{incarnation, uint32(incarnation)}, Address: "a-" + name,
		State: Serving, Proto: 1}
}

func aliveEvent(name string, incarnation uint64) Event {
	return Event{Kind: Alive, Entry: testEntry(name, incarnation)}
}
func deadEvent(name string, incarnation uint64) Event {
	return Event{Kind: Dead, Entry: testEntry(name, incarnation)}
}

// addPeers reports n members as alive, and waits until the view has settled.
func (o *testMachine) addPeers(n int) {
	for k := range n {
		o.step(aliveEvent(fmt.Sprintf("o%02d", k), 10))
	}
	o.runFor(3)
}

// A check for each rule, which returns a failure if the rule does not hold.
var ruleChecks = map[Rule]func(o *testMachine) string{
	NewerWins: func(o *testMachine) string {
		o.step(aliveEvent("a", 10))
		o.runFor(1)
		o.step(aliveEvent("a", 20))
		o.step(aliveEvent("a", 10))
		o.runFor(1)
		if e := o.View().Find("a"); e == nil || e.Incarnation.Number != 20 {
			return fmt.Sprint("older incarnation is in the view: ", e)
		}
		return ""
	},
	ConfirmingDeath: func(o *testMachine) string {
		o.addPeers(3)
		k := len(o.views)
		o.step(deadEvent("o01", 10))
		o.runFor(0.4)
		o.step(aliveEvent("o01", 10))
		o.runFor(2)
		if o.digestChanges(k) > 0 {
			return "a death that was refuted at once changed the view"
		}
		return ""
	},
	Damping: func(o *testMachine) string {
		o.addPeers(3)
		k := len(o.views)
		for b := range uint64(10) {
			o.step(deadEvent("o01", 10+b))
			o.runFor(0.5)
			o.step(aliveEvent("o01", 11+b))
			o.runFor(0.5)
		}
		if n := o.digestChanges(k); n > 4 || n == 0 {
			return fmt.Sprintf("%d views published for ten restarts in ten seconds", n)
		}
		return ""
	},
	DetectingOwnLag: func(o *testMachine) string {
		o.addPeers(6)
		k := len(o.views)
		o.now += 5
		o.step(Event{Kind: Late, Lag: 5})
		for b := range 6 {
			o.step(deadEvent(fmt.Sprintf("o%02d", b), 10))
		}
		if o.MaySuspect(o.now) {
			return "may suspect others right after a pause"
		}
		o.runFor(2)
		for b := range 6 {
			o.step(aliveEvent(fmt.Sprintf("o%02d", b), 10))
		}
		o.runFor(4)
		if o.digestChanges(k) > 0 || !o.hasAction(Rebuild, "") {
			return "others were declared dead, or gossip was not rebuilt, after a pause of this process"
		}
		return ""
	},
	DetectPartition: func(o *testMachine) string {
		o.addPeers(11)
		for k := range 7 {
			o.step(deadEvent(fmt.Sprintf("o%02d", k), 10))
			o.runFor(0.5) // detected one after the other
		}
		o.runFor(2)
		if v := o.View(); v.Certainty != Partitioned || len(v.Members) != 5 || len(v.LastHealthy) != 12 {
			return fmt.Sprintf("%v with %d members, %d in the last healthy view", v.Certainty,
				len(v.Members), len(v.LastHealthy))
		}
		o.runFor(o.config.ForgetTime + 1)
		if v := o.View(); v.Certainty == Partitioned || v.LastHealthy != nil {
			return "still partitioned after ForgetTime"
		}
		return ""
	},
	Bounding: func(o *testMachine) string {
		for k := range 3000 {
			name := fmt.Sprintf("x%d", k)
			o.step(aliveEvent(name, 10))
			o.step(deadEvent(name, 10))
		}
		if n := len(o.records); n > o.config.MaxNames {
			return fmt.Sprintf("%d names are known", n)
		}
		for k := range 3000 {
			o.step(aliveEvent(fmt.Sprintf("y%d", k), 10))
		}
		o.runFor(1)
		if n := len(o.View().Members); n > o.config.MaxNames+1 || n < 1000 {
			return fmt.Sprintf("%d members", n)
		}
		return ""
	},
	ComparingDigests: func(o *testMachine) string {
		o.addPeers(3)
		if o.View().Certainty != Converged {
			return "not converged though no change is pending"
		}
		o.step(Event{Kind: PeerDigest, Name: "o01", Version: 3, Digest: o.View().Digest + 1})
		o.runFor(0.5)
		if o.View().Certainty != Converging {
			return "converged though a peer has another digest"
		}
		o.step(Event{Kind: PeerDigest, Name: "o01", Version: 9, Digest: o.View().Digest})
		o.runFor(0.5)
		if v := o.View(); v.Certainty != Converged || v.Version != 9 {
			return fmt.Sprintf("%v, version %d, though a peer has the same digest at version 9",
				v.Certainty, v.Version)
		}
		return ""
	},
	TrustingDataPath: func(o *testMachine) string {
		o.addPeers(3)
		k := len(o.views)
		o.step(deadEvent("o01", 10))
		work := func() { o.step(Event{Kind: Reachability, Name: "o01", OK: true}) }
		o.runFor(o.config.MaxOverrideTime-1, work)
		if o.digestChanges(k) > 0 || !o.hasAction(Probe, "a-o01") {
			return "declared dead or not probed while it answers over the data path"
		}
		o.runFor(2, work)
		if o.digestChanges(k) == 0 {
			return "not declared dead after MaxOverrideTime"
		}
		for range 3 {
			o.step(Event{Kind: Reachability, Name: "o02"})
		}
		o.runFor(0.5)
		if !o.View().Find("o02").Unreachable {
			return "failures on the data path do not make the member unreachable"
		}
		return ""
	},
	Rejoining: func(o *testMachine) string {
		o.addPeers(3)
		o.step(deadEvent("o01", 10))
		o.actions = nil
		o.runFor(5, func() { // all contact attempts fail
			for _, d := range o.actions {
				if d.Kind == Contact && d.Address != "a-o01" {
					o.Step(Event{Kind: ContactDone, Address: d.Address}, o.now)
				}
			}
		})
		if !o.hasAction(Contact, "a-o01") {
			return "a dead member is not contacted again"
		}
		return ""
	},
	Reconciling: func(o *testMachine) string {
		o.addPeers(3)
		o.step(Event{Kind: PeerDigest, Name: "o01", Version: 3, Digest: o.View().Digest + 1})
		o.runFor(0.5)
		o.step(Event{Kind: PeerDigest, Name: "o02", Version: 3, Digest: o.View().Digest})
		o.runFor(0.5)
		if !o.hasAction(Contact, "a-o01") || o.hasAction(Contact, "a-o02") {
			return "no exchange with the peer whose digest differs, or one with another"
		}
		return ""
	},
	NotifyingNewer: func(o *testMachine) string {
		o.step(aliveEvent("a", 50))
		o.runFor(1)
		o.step(deadEvent("a", 50))
		o.runFor(2)
		o.step(aliveEvent("a", 40)) // a process that started after its clock was set back
		if !o.hasAction(NotifyNewerIncarnation, "a-a") {
			return "an older incarnation is not notified"
		}
		o.step(Event{Kind: NewerIncarnation, Entry: Entry{Name: "me", Incarnation: Incarnation{700, 3}}})
		if o.Entry().Incarnation.Number != 701 || !o.hasAction(Announce, "") {
			return "incarnation not raised above a newer one"
		}
		return ""
	},
}

// Checks that each rule holds, and that its check fails when the rule is disabled.
func TestRules(t *testing.T) {
	for rule, check := range ruleChecks {
		if failure := check(newTestMachine(0)); failure != "" {
			t.Errorf("rule %b: %s", rule, failure)
		}
		if check(newTestMachine(rule)) == "" {
			t.Errorf("rule %b: its check passes though the rule is disabled", rule)
		}
	}
	if len(ruleChecks) != 11 || Reconciling != 1<<10 {
		t.Error("a rule has no check")
	}
}

// Two processes with one name: an established one is superseded by a newer one, withdraws once and does
// nothing afterwards; one that has just started raises its incarnation above the one it finds.
func TestNameConflict(t *testing.T) {
	o := newTestMachine(0)
	o.addPeers(2)
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{90, 9}}})
	if o.Superseded() {
		t.Fatal("superseded by an older incarnation")
	}
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{200, 9}}})
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{300, 9}}})
	n := 0
	for _, d := range o.actions {
		if d.Kind == Withdraw {
			n++
		}
	}
	o.actions = nil
	o.step(deadEvent("o01", 10))
	o.runFor(10)
	if n != 1 || o.View().Certainty != Superseded || len(o.actions) > 0 {
		t.Errorf("%d withdrawals, %v, later actions %v", n, o.View().Certainty, o.actions)
	}

	o = newTestMachine(0)
	o.step(aliveEvent("o01", 10))
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{200, 9}}})
	if o.Superseded() || o.Entry().Incarnation.Number != 201 {
		t.Errorf("incarnation not raised after a start: %v", o.Entry())
	}
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{500, 9}}})
	if !o.Superseded() {
		t.Error("incarnation raised a second time")
	}
	// An incarnation out of range is ignored.
	o = newTestMachine(0)
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{math.MaxUint64, 9}}})
	o.step(aliveEvent("a", math.MaxUint64))
	o.runFor(1)
	if o.Superseded() || len(o.View().Members) != 1 {
		t.Errorf("accepted an incarnation out of range: %v", o.View())
	}
}

// A member is joining until it has found another member or JoinTimeout has passed.
func TestOwnState(t *testing.T) {
	o := newTestMachine(0)
	report := func(s State) State {
		o.step(Event{Kind: Self, Entry: Entry{State: s}})
		o.runFor(0.2)
		return o.View().Find("me").State
	}
	if s := report(Serving); s != Joining {
		t.Errorf("%v before another member was found", s)
	}
	o.runFor(o.config.JoinTimeout)
	if s := o.View().Find("me").State; s != Serving || o.View().Certainty != Alone {
		t.Errorf("%v, %v after JoinTimeout without other members", s, o.View().Certainty)
	}
	if s := report(Leaving); s != Leaving {
		t.Errorf("%v after the shutdown notice", s)
	}
	// A member that leaves voluntarily is removed at once, and does not count as lost.
	o.addPeers(2)
	k := len(o.views)
	o.step(Event{Kind: Leave, Entry: testEntry("o00", 10)})
	o.step(Event{Kind: Leave, Entry: testEntry("o01", 10)})
	o.runFor(0.1)
	if o.digestChanges(k) != 1 || o.View().Certainty == Partitioned {
		t.Errorf("%d views, %v", o.digestChanges(k), o.View().Certainty)
	}
	o.step(aliveEvent("o00", 10))
	o.runFor(1)
	if len(o.View().Members) != 1 {
		t.Error("a late message restored a member that has left")
	}
}

// simulation runs several machines with simplified gossip, which after some delay reports every reachable
// node as alive and every unreachable one as dead.
type simulation struct {
	t           *rapid.T
	now         float64
	all         []*simNode
	incarnation uint64
	seeds       []string
	chance      *rand.Rand // not drawn from rapid, which would log each number
}

type simNode struct {
	*Machine
	up          bool
	pausedSince float64 // when it was paused, 0 if it runs
	group       int
	alive       map[string]Incarnation // incarnations that its gossip takes for alive
	lastSeen    map[string]float64
}

func (w *simulation) start(c *simNode, name string) {
	w.incarnation++
	e := Entry{Name: name, Incarnation: Incarnation{w.incarnation, uint32(w.incarnation)},
		Address: name, State: Serving, Proto: 1}
	// Every node has the addresses of all as seeds: nodes that no live node knows of could not be found.
	c.Machine = New(e, w.seeds, w.now, w.incarnation, Defaults())
	c.up, c.pausedSince, c.alive, c.lastSeen = true, 0, map[string]Incarnation{}, map[string]float64{}
}

func (w *simulation) at(address string) *simNode {
	for _, c := range w.all {
		if c.Entry().Address == address {
			return c
		}
	}
	return nil
}

func canReach(a, b *simNode) bool {
	return a.up && b.up && a.pausedSince == 0 && b.pausedSince == 0 && a.group == b.group
}

// exchange lets two nodes exchange their entries.
func (w *simulation) exchange(a, b *simNode) {
	for _, pair := range [][2]*simNode{{a, b}, {b, a}} {
		c, d := pair[0], pair[1]
		c.Step(Event{Kind: Alive, Entry: d.Entry()}, w.now)
		c.alive[d.Entry().Name], c.lastSeen[d.Entry().Name] = d.Entry().Incarnation, w.now
	}
}

// tick simulates 0.1 s.
func (w *simulation) tick() {
	w.now += 0.1
	for _, c := range w.all {
		if !c.up || c.pausedSince > 0 {
			continue
		}
		for _, d := range w.all {
			name := d.Entry().Name
			_, known := c.alive[name]
			switch {
			case c == d:
			case canReach(c, d) && known:
				w.exchange(c, d)
				if v := d.View(); w.chance.IntN(4) == 0 {
					c.Step(Event{Kind: PeerDigest, Name: name, Version: v.Version, Digest: v.Digest}, w.now)
				}
			case canReach(c, d) && slices.ContainsFunc(w.all, func(e *simNode) bool {
				_, both := e.alive[name]
				_, met := c.alive[e.Entry().Name]
				return both && met && canReach(c, e) && canReach(d, e) && e != c && e != d
			}):
				w.exchange(c, d) // reported by a third node
			case known && w.now-c.lastSeen[name] > 2:
				c.Step(Event{Kind: Dead, Entry: Entry{Name: name, Incarnation: c.alive[name]}}, w.now)
				delete(c.alive, name)
			}
		}
		c.Tick(w.now)
		for _, o := range c.Ready() {
			switch o.Kind {
			case Contact:
				d := w.at(o.Address)
				ok := d != nil && d != c && canReach(c, d)
				if ok {
					w.exchange(c, d)
				}
				c.Step(Event{Kind: ContactDone, Address: o.Address, OK: ok}, w.now)
			case Probe:
				d := w.at(o.Address)
				c.Step(Event{Kind: Reachability, Name: o.Name,
					OK: d != nil && canReach(c, d) && d.Entry().Name == o.Name}, w.now)
			case Rebuild:
				c.alive = map[string]Incarnation{}
			case Publish:
				w.checkView(c, o.View)
			}
		}
	}
}

// checkView checks the invariants of every published view.
func (w *simulation) checkView(c *simNode, v *View) {
	if v.Find(c.Entry().Name) == nil {
		w.t.Fatalf("%s is not in its own view", c.Entry().Name)
	}
	if !slices.IsSortedFunc(v.Members, byName) || digest(v.Members) != v.Digest {
		w.t.Fatalf("members are not sorted, or the digest is wrong")
	}
	if (v.Certainty == Partitioned) != (v.LastHealthy != nil) ||
		v.Certainty == Partitioned && 2*len(v.Members) >= len(v.LastHealthy) {
		w.t.Fatalf("%v: %d members, %d in the last healthy view", v.Certainty,
			len(v.Members), len(v.LastHealthy))
	}
}

// After any partitions, crashes, restarts and pauses, all running nodes converge on the same view of all of
// them.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{t: t, incarnation: 100,
			chance: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		n := rapid.IntRange(2, 7).Draw(t, "n")
		for k := range n {
			w.seeds = append(w.seeds, fmt.Sprintf("m%d", k))
		}
		for k := range n {
			w.all = append(w.all, &simNode{})
			w.start(w.all[k], fmt.Sprintf("m%d", k))
		}
		for range rapid.IntRange(1, 6).Draw(t, "faults") {
			c := w.all[rapid.IntRange(0, n-1).Draw(t, "who")]
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				c.up = false
			case 1:
				if !c.up {
					w.start(c, c.Entry().Name)
				}
			case 2:
				if c.pausedSince == 0 {
					c.pausedSince = w.now
				} else {
					c.Step(Event{Kind: Late, Lag: w.now - c.pausedSince}, w.now)
					c.pausedSince = 0
				}
			case 3:
				for _, d := range w.all {
					d.group = rapid.IntRange(0, 1).Draw(t, "group")
				}
			case 4: // nothing
			}
			for range rapid.IntRange(1, 60).Draw(t, "ticks") {
				w.tick()
			}
		}
		up := 0
		for _, c := range w.all {
			if c.group = 0; c.up {
				up++
			}
			if c.pausedSince > 0 {
				c.Step(Event{Kind: Late, Lag: w.now - c.pausedSince}, w.now)
				c.pausedSince = 0
			}
		}
		for range 300 {
			w.tick()
		}
		var first *View
		for _, c := range w.all {
			v := c.View()
			switch {
			case !c.up:
			case len(v.Members) != up || up > 1 && v.Certainty != Converged &&
				v.Certainty != Partitioned:
				t.Fatalf("%s sees %d of %d, %v", c.Entry().Name, len(v.Members), up, v.Certainty)
			case first == nil:
				first = v
			case v.Digest != first.Digest || v.Version != first.Version:
				t.Fatalf("%s sees version %d, another %d", c.Entry().Name, v.Version, first.Version)
			}
		}
	})
}

// The same events give the same views.
func TestDeterministic(t *testing.T) {
	run := func() string {
		o := newTestMachine(0)
		o.addPeers(9)
		for k := range 5 {
			o.step(deadEvent(fmt.Sprintf("o%02d", k), 10))
		}
		o.runFor(8)
		return fmt.Sprint(o.views, o.actions[len(o.actions)-1].Kind)
	}
	if a, b := run(), run(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

// Band maps similar numbers to the same band, and doubled ones to different bands.
func TestBand(t *testing.T) {
	for n, want := range map[int]uint8{0: 0, 1: 1, 2: 3, 4: 5, 100: 14, 200: 16, 1 << 40: 61, -1: 0} {
		if b := Band(n); b != want {
			t.Errorf("%d is in band %d, not %d", n, b, want)
		}
	}
}
