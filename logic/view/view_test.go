package view

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// one is a machine with time, for what a single process decides.
type one struct {
	*Machine
	now      float64
	orders   []Action
	versions []View
}

func begin(without Rule) *one {
	t := Defaults()
	t.Disabled = without
	o := &one{Machine: New(Entry{Name: "me", Incarnation: Incarnation{100, 1}, Address: "a-me", State: Serving, Proto: 1}, []string{"a-seed"}, 0, 1, t)}
	o.take()
	return o
}

func (o *one) take() {
	for _, d := range o.Ready() {
		o.orders = append(o.orders, d)
		if d.Kind == Publish {
			o.versions = append(o.versions, *d.View)
		}
	}
}

func (o *one) step(e Event) {
	o.Step(e, o.now)
	o.take()
}

// pass lets time go by, with something done at each tenth of a second.
func (o *one) pass(span float64, each ...func()) {
	for end := o.now + span; o.now < end-1e-9; {
		o.now += 0.1
		for _, f := range each {
			f()
		}
		o.Tick(o.now)
		o.take()
	}
}

// digests counts the different views since the k-th publication.
func (o *one) digests(k int) int {
	n, last := 0, o.versions[max(k-1, 0)].Digest
	for _, v := range o.versions[k:] {
		if v.Digest != last {
			n++
		}
		last = v.Digest
	}
	return n
}

func (o *one) ordered(kind ActionKind, address string) bool {
	return slices.ContainsFunc(o.orders, func(d Action) bool { return d.Kind == kind && (address == "" || d.Address == address) })
}

func life(name string, birth uint64) Entry {
	return Entry{Name: name, Incarnation: Incarnation{birth, uint32(birth)}, Address: "a-" + name, State: Serving, Proto: 1}
}

func heard(name string, birth uint64) Event { return Event{Kind: Alive, Entry: life(name, birth)} }
func died(name string, birth uint64) Event  { return Event{Kind: Dead, Entry: life(name, birth)} }

// meet has n others heard of, and the view settle.
func (o *one) meet(n int) {
	for k := range n {
		o.step(heard(fmt.Sprintf("o%02d", k), 10))
	}
	o.pass(3)
}

// The rules, each with what shows that it holds. Every one of these fails when its rule is left out.
var shown = map[Rule]func(o *one) string{
	NewerWins: func(o *one) string {
		o.step(heard("a", 10))
		o.pass(1)
		o.step(heard("a", 20))
		o.step(heard("a", 10))
		o.pass(1)
		if e := o.View().Find("a"); e == nil || e.Incarnation.Number != 20 {
			return fmt.Sprint("the older incarnation is in the view: ", e)
		}
		return ""
	},
	ConfirmingDeath: func(o *one) string {
		o.meet(3)
		k := len(o.versions)
		o.step(died("o01", 10))
		o.pass(0.4)
		o.step(heard("o01", 10))
		o.pass(2)
		if o.digests(k) > 0 {
			return "a death that was refuted at once made a view"
		}
		return ""
	},
	Damping: func(o *one) string {
		o.meet(3)
		k := len(o.versions)
		for b := range uint64(10) {
			o.step(died("o01", 10+b))
			o.pass(0.5)
			o.step(heard("o01", 11+b))
			o.pass(0.5)
		}
		if n := o.digests(k); n > 4 || n == 0 {
			return fmt.Sprintf("%d views by ten restarts in ten seconds", n)
		}
		return ""
	},
	DetectingOwnLag: func(o *one) string {
		o.meet(6)
		k := len(o.versions)
		o.now += 5
		o.step(Event{Kind: Late, Lag: 5})
		for b := range 6 {
			o.step(died(fmt.Sprintf("o%02d", b), 10))
		}
		if o.MaySuspect(o.now) {
			return "accuses others right after its sleep"
		}
		o.pass(2)
		for b := range 6 {
			o.step(heard(fmt.Sprintf("o%02d", b), 10))
		}
		o.pass(4)
		if o.digests(k) > 0 || !o.ordered(Rebuild, "") {
			return "others were taken for dead for this process's own sleep"
		}
		return ""
	},
	DetectPartition: func(o *one) string {
		o.meet(11)
		for k := range 7 {
			o.step(died(fmt.Sprintf("o%02d", k), 10))
			o.pass(0.5) // not all at one time
		}
		o.pass(2)
		if v := o.View(); v.Certainty != Partitioned || len(v.Members) != 5 || len(v.LastHealthy) != 12 {
			return fmt.Sprintf("%v of %d with %d beside", v.Certainty, len(v.Members), len(v.LastHealthy))
		}
		o.pass(o.config.ForgetTime + 1)
		if v := o.View(); v.Certainty == Partitioned || v.LastHealthy != nil {
			return "partitioned for ever"
		}
		return ""
	},
	Bounding: func(o *one) string {
		for k := range 3000 {
			name := fmt.Sprintf("x%d", k)
			o.step(heard(name, 10))
			o.step(died(name, 10))
		}
		if n := len(o.records); n > o.config.MaxNames {
			return fmt.Sprintf("%d names are kept", n)
		}
		for k := range 3000 {
			o.step(heard(fmt.Sprintf("y%d", k), 10))
		}
		o.pass(1)
		if n := len(o.View().Members); n > o.config.MaxNames+1 || n < 1000 {
			return fmt.Sprintf("%d members", n)
		}
		return ""
	},
	ComparingDigests: func(o *one) string {
		o.meet(3)
		if o.View().Certainty != Converged {
			return "not converged though nothing is under way"
		}
		o.step(Event{Kind: PeerDigest, Name: "o01", Version: 3, Digest: o.View().Digest + 1})
		o.pass(0.5)
		if o.View().Certainty != Converging {
			return "converged though another sees something else"
		}
		o.step(Event{Kind: PeerDigest, Name: "o01", Version: 9, Digest: o.View().Digest})
		o.pass(0.5)
		if v := o.View(); v.Certainty != Converged || v.Version != 9 {
			return fmt.Sprintf("%v, version %d, though another sees the same at version 9", v.Certainty, v.Version)
		}
		return ""
	},
	TrustingDataPath: func(o *one) string {
		o.meet(3)
		k := len(o.versions)
		o.step(died("o01", 10))
		work := func() { o.step(Event{Kind: Reachability, Name: "o01", OK: true}) }
		o.pass(o.config.MaxOverrideTime-1, work)
		if o.digests(k) > 0 || !o.ordered(Probe, "a-o01") {
			return "taken for dead while its work answers"
		}
		o.pass(2, work)
		if o.digests(k) == 0 {
			return "never taken for dead though gossip is sure"
		}
		for range 3 {
			o.step(Event{Kind: Reachability, Name: "o02"})
		}
		o.pass(0.5)
		if !o.View().Find("o02").Unreachable {
			return "work that fails is not shown"
		}
		return ""
	},
	Rejoining: func(o *one) string {
		o.meet(3)
		o.step(died("o01", 10))
		o.orders = nil
		o.pass(5, func() { // whatever is tried fails
			for _, d := range o.orders {
				if d.Kind == Contact && d.Address != "a-o01" {
					o.Step(Event{Kind: ContactDone, Address: d.Address}, o.now)
				}
			}
		})
		if !o.ordered(Contact, "a-o01") {
			return "one that was lost is not looked for"
		}
		return ""
	},
	Reconciling: func(o *one) string {
		o.meet(3)
		o.step(Event{Kind: PeerDigest, Name: "o01", Version: 3, Digest: o.View().Digest + 1})
		o.pass(0.5)
		o.step(Event{Kind: PeerDigest, Name: "o02", Version: 3, Digest: o.View().Digest})
		o.pass(0.5)
		if !o.ordered(Contact, "a-o01") || o.ordered(Contact, "a-o02") {
			return "nothing is exchanged with the one that sees something else"
		}
		return ""
	},
	NotifyingNewer: func(o *one) string {
		o.step(heard("a", 50))
		o.pass(1)
		o.step(died("a", 50))
		o.pass(2)
		o.step(heard("a", 40)) // its clock went back
		if !o.ordered(NotifyNewerIncarnation, "a-a") {
			return "one with too low an incarnation is not told"
		}
		o.step(Event{Kind: NewerIncarnation, Entry: Entry{Name: "me", Incarnation: Incarnation{700, 3}}})
		if o.Entry().Incarnation.Number != 701 || !o.ordered(Announce, "") {
			return "not raised above an incarnation that is known"
		}
		return ""
	},
}

// Each rule holds, and its loss is noticed.
func TestRules(t *testing.T) {
	for rule, show := range shown {
		if what := show(begin(0)); what != "" {
			t.Errorf("rule %b: %s", rule, what)
		}
		if show(begin(rule)) == "" {
			t.Errorf("rule %b is left out, and nobody notices", rule)
		}
	}
	if len(shown) != 11 || Reconciling != 1<<10 {
		t.Error("a rule has nothing that shows it")
	}
}

// Two under one name: whoever is established gives way to the later, says so once and is silent from then on; whoever
// has only just come raises its incarnation above what it finds.
func TestRivals(t *testing.T) {
	o := begin(0)
	o.meet(2)
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{90, 9}}})
	if o.Superseded() {
		t.Fatal("gave way to an older incarnation")
	}
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{200, 9}}})
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{300, 9}}})
	n := 0
	for _, d := range o.orders {
		if d.Kind == Withdraw {
			n++
		}
	}
	o.orders = nil
	o.step(died("o01", 10))
	o.pass(10)
	if n != 1 || o.View().Certainty != Superseded || len(o.orders) > 0 {
		t.Errorf("%d times superseded, %v, then %v", n, o.View().Certainty, o.orders)
	}

	o = begin(0)
	o.step(heard("o01", 10))
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{200, 9}}})
	if o.Superseded() || o.Entry().Incarnation.Number != 201 {
		t.Errorf("a newcomer under a clock that went back: %v", o.Entry())
	}
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{500, 9}}})
	if !o.Superseded() {
		t.Error("raised a second time")
	}
	// What nobody could be is not believed.
	o = begin(0)
	o.step(Event{Kind: Alive, Entry: Entry{Name: "me", Incarnation: Incarnation{math.MaxUint64, 9}}})
	o.step(heard("a", math.MaxUint64))
	o.pass(1)
	if o.Superseded() || len(o.View().Members) != 1 {
		t.Errorf("believed an absurd incarnation: %v", o.View())
	}
}

// A member says what it is, joining until it has met somebody or waited long enough.
func TestStages(t *testing.T) {
	o := begin(0)
	say := func(s State) State {
		o.step(Event{Kind: Self, Entry: Entry{State: s}})
		o.pass(0.2)
		return o.View().Find("me").State
	}
	if s := say(Serving); s != Joining {
		t.Errorf("%v before it has met anybody", s)
	}
	o.pass(o.config.JoinTimeout)
	if s := o.View().Find("me").State; s != Serving || o.View().Certainty != Alone {
		t.Errorf("%v, %v when nobody is there", s, o.View().Certainty)
	}
	if s := say(Leaving); s != Leaving {
		t.Errorf("%v after its notice", s)
	}
	// One that leaves by its own word is gone at once, and no loss.
	o.meet(2)
	k := len(o.versions)
	o.step(Event{Kind: Leave, Entry: life("o00", 10)})
	o.step(Event{Kind: Leave, Entry: life("o01", 10)})
	o.pass(0.1)
	if o.digests(k) != 1 || o.View().Certainty == Partitioned {
		t.Errorf("%d views, %v", o.digests(k), o.View().Certainty)
	}
	o.step(heard("o00", 10))
	o.pass(1)
	if len(o.View().Members) != 1 {
		t.Error("late word of one that has left brought it back")
	}
}

// world is some machines with gossip that is right in the end: it tells of whoever can be reached within a while, and of
// whoever cannot.
type world struct {
	t      *rapid.T
	now    float64
	all    []*citizen
	birth  uint64
	seeds  []string
	chance *rand.Rand // not drawn by rapid, which would tell each one
}

type citizen struct {
	*Machine
	up     bool
	asleep float64 // since when, 0 for awake
	group  int
	knows  map[string]Incarnation // whom its gossip takes for alive
	unseen map[string]float64
}

func (w *world) start(c *citizen, name string) {
	w.birth++
	e := Entry{Name: name, Incarnation: Incarnation{w.birth, uint32(w.birth)}, Address: name, State: Serving, Proto: 1}
	// Everybody's address is given to everybody: of those whom nobody living was told of, nobody could know.
	c.Machine = New(e, w.seeds, w.now, w.birth, Defaults())
	c.up, c.asleep, c.knows, c.unseen = true, 0, map[string]Incarnation{}, map[string]float64{}
}

func (w *world) at(address string) *citizen {
	for _, c := range w.all {
		if c.Entry().Address == address {
			return c
		}
	}
	return nil
}

func reach(a, b *citizen) bool {
	return a.up && b.up && a.asleep == 0 && b.asleep == 0 && a.group == b.group
}

// meets has two exchange what they know.
func (w *world) meets(a, b *citizen) {
	for _, pair := range [][2]*citizen{{a, b}, {b, a}} {
		c, d := pair[0], pair[1]
		c.Step(Event{Kind: Alive, Entry: d.Entry()}, w.now)
		c.knows[d.Entry().Name], c.unseen[d.Entry().Name] = d.Entry().Incarnation, w.now
	}
}

// tick is a tenth of a second.
func (w *world) tick() {
	w.now += 0.1
	for _, c := range w.all {
		if !c.up || c.asleep > 0 {
			continue
		}
		for _, d := range w.all {
			name := d.Entry().Name
			_, known := c.knows[name]
			switch {
			case c == d:
			case reach(c, d) && known:
				w.meets(c, d)
				if v := d.View(); w.chance.IntN(4) == 0 {
					c.Step(Event{Kind: PeerDigest, Name: name, Version: v.Version, Digest: v.Digest}, w.now)
				}
			case reach(c, d) && slices.ContainsFunc(w.all, func(e *citizen) bool {
				_, both := e.knows[name]
				_, met := c.knows[e.Entry().Name]
				return both && met && reach(c, e) && reach(d, e) && e != c && e != d
			}):
				w.meets(c, d) // heard of through a third
			case known && w.now-c.unseen[name] > 2:
				c.Step(Event{Kind: Dead, Entry: Entry{Name: name, Incarnation: c.knows[name]}}, w.now)
				delete(c.knows, name)
			}
		}
		c.Tick(w.now)
		for _, o := range c.Ready() {
			switch o.Kind {
			case Contact:
				d := w.at(o.Address)
				ok := d != nil && d != c && reach(c, d)
				if ok {
					w.meets(c, d)
				}
				c.Step(Event{Kind: ContactDone, Address: o.Address, OK: ok}, w.now)
			case Probe:
				d := w.at(o.Address)
				c.Step(Event{Kind: Reachability, Name: o.Name, OK: d != nil && reach(c, d) && d.Entry().Name == o.Name}, w.now)
			case Rebuild:
				c.knows = map[string]Incarnation{}
			case Publish:
				w.sane(c, o.View)
			}
		}
	}
}

// sane is what holds of every view at any time.
func (w *world) sane(c *citizen, v *View) {
	if v.Find(c.Entry().Name) == nil {
		w.t.Fatalf("%s is not in its own view", c.Entry().Name)
	}
	if !slices.IsSortedFunc(v.Members, byName) || digest(v.Members) != v.Digest {
		w.t.Fatalf("a view out of order, or with another's digest")
	}
	if (v.Certainty == Partitioned) != (v.LastHealthy != nil) || v.Certainty == Partitioned && 2*len(v.Members) >= len(v.LastHealthy) {
		w.t.Fatalf("%v: %d members, %d beside", v.Certainty, len(v.Members), len(v.LastHealthy))
	}
}

// Whatever is cut, killed, started again and put to sleep: once it is over, all see the same, all of it, and have converged.
func TestConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{t: t, birth: 100, chance: rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))}
		n := rapid.IntRange(2, 7).Draw(t, "n")
		for k := range n {
			w.seeds = append(w.seeds, fmt.Sprintf("m%d", k))
		}
		for k := range n {
			w.all = append(w.all, &citizen{})
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
				if c.asleep == 0 {
					c.asleep = w.now
				} else {
					c.Step(Event{Kind: Late, Lag: w.now - c.asleep}, w.now)
					c.asleep = 0
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
		alive := 0
		for _, c := range w.all {
			if c.group = 0; c.up {
				alive++
			}
			if c.asleep > 0 {
				c.Step(Event{Kind: Late, Lag: w.now - c.asleep}, w.now)
				c.asleep = 0
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
			case len(v.Members) != alive || alive > 1 && v.Certainty != Converged && v.Certainty != Partitioned:
				t.Fatalf("%s sees %d of %d, %v", c.Entry().Name, len(v.Members), alive, v.Certainty)
			case first == nil:
				first = v
			case v.Digest != first.Digest || v.Version != first.Version:
				t.Fatalf("%s sees version %d, another %d", c.Entry().Name, v.Version, first.Version)
			}
		}
	})
}

// The same events give the same views, to the letter.
func TestReplays(t *testing.T) {
	play := func() string {
		o := begin(0)
		o.meet(9)
		for k := range 5 {
			o.step(died(fmt.Sprintf("o%02d", k), 10))
		}
		o.pass(8)
		return fmt.Sprint(o.versions, o.orders[len(o.orders)-1].Kind)
	}
	if a, b := play(), play(); a != b {
		t.Errorf("%s\n%s", a, b)
	}
}

// A band hides what hardly moves, and tells what doubles.
func TestBand(t *testing.T) {
	for n, want := range map[int]uint8{0: 0, 1: 1, 2: 3, 4: 5, 100: 14, 200: 16, 1 << 40: 61, -1: 0} {
		if b := Band(n); b != want {
			t.Errorf("%d is in band %d, not %d", n, b, want)
		}
	}
}
