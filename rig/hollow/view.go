package hollow

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"valveglade/logic/view"
)

// Steps in which one restart reaches the other members' views.
type RestartKind uint8

const (
	// OneChange is a restart of which others hear one thing: a later incarnation, serving.
	OneChange RestartKind = iota
	// AllChanges is a restart as the program tells it: leaving, gone, back and cold, serving.
	AllChanges
)

// ViewPlan is what one run of the pure view plays.
type ViewPlan struct {
	Members           int
	RestartsPerSecond float64 // of the whole fleet
	Restart           RestartKind
	Seconds           float64 // simulated, after the fleet has converged
	Observers         int     // machines that are run side by side
	Seed              uint64
}

// ViewCost is what one machine of the run cost and saw.
type ViewCost struct {
	CoreShare      float64 // CPU seconds a simulated second
	ConvergedShare float64 // of the simulated time
	HeapBytes      float64
	ViewsPerHour   float64 // published with another digest
}

const (
	tickSeconds  = 0.1  // between two ticks of a machine, as the member's loop has it
	probeSeconds = 0.3  // between two probes, each of which brings another's digest
	meanDelay    = 0.35 // seconds until gossip has reached a member, on the mean; rounds of 0.105 s
	quietSeconds = 4.0  // simulated before the measurement, for the fleet to settle
)

// delivery is one event on its way to one observer.
type delivery struct {
	at       float64
	observer int
	event    view.Event
}

type deliveries []delivery

func (d deliveries) Len() int           { return len(d) }
func (d deliveries) Less(i, j int) bool { return d[i].at < d[j].at }
func (d deliveries) Swap(i, j int)      { d[i], d[j] = d[j], d[i] }
func (d *deliveries) Push(x any)        { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := len(*d) - 1
	x := (*d)[last]
	*d = (*d)[:last]
	return x
}

// pureView is a run: some observers' machines, and gossip on its way to them.
type pureView struct {
	plan    ViewPlan
	random  *rand.Rand
	entries []view.Entry // the truth
	pending deliveries
	nodes   []*view.Machine
	now     float64
}

// RunView plays the view's machine alone, without sockets, over simulated time. Gossip reaches each observer after a delay of its
// own; every probe brings an observer the digest that another one has. The bound on names is raised to what the plan needs.
func RunView(plan ViewPlan) ViewCost {
	v := newPureView(plan)
	heapBefore := HeapBytes()
	v.start()
	for v.now < quietSeconds {
		v.step(false)
	}
	heap := HeapBytes() - heapBefore
	cost := v.measure()
	cost.HeapBytes = heap / float64(plan.Observers)
	return cost
}

func newPureView(plan ViewPlan) *pureView {
	v := &pureView{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, uint64(plan.Members)))}
	for k := range plan.Members {
		v.entries = append(v.entries, entry(k, 1000))
	}
	return v
}

func entry(k int, birth uint64) view.Entry {
	return view.Entry{Name: memberName(k), Zone: fmt.Sprintf("z%02d", k%zones), Address: fmt.Sprintf("10.%d.%d.%d:7946", k>>16, k>>8&255, k&255),
		Incarnation: view.Incarnation{Number: birth, Nonce: uint32(birth)}, State: view.Serving, Proto: 1}
}

// zones is how many zones the members are spread over.
const zones = 25

func memberName(k int) string { return fmt.Sprintf("app%05d.pool", k) }

// boundless is the usual settings with room for so many names.
func boundless(members int) view.Config {
	config := view.Defaults()
	config.MaxNames = max(config.MaxNames, 2*members)
	config.MaxRemembered = max(config.MaxRemembered, members)
	return config
}

// start makes the observers, the first members of the fleet, and tells them of all others.
func (v *pureView) start() {
	for k := range v.plan.Observers {
		node := view.New(v.entries[k], nil, v.now, v.plan.Seed+uint64(k), boundless(v.plan.Members))
		for other, e := range v.entries {
			if other != k {
				node.Step(view.Event{Kind: view.Alive, Entry: e}, v.now)
			}
		}
		v.nodes = append(v.nodes, node)
	}
}

// step is one tick of all observers.
func (v *pureView) step(churn bool) {
	v.now += tickSeconds
	if churn {
		v.restart()
	}
	for len(v.pending) > 0 && v.pending[0].at <= v.now {
		d := heap.Pop(&v.pending).(delivery)
		v.nodes[d.observer].Step(d.event, v.now)
	}
	for k, node := range v.nodes {
		v.echo(k)
		node.Tick(v.now)
		v.carry(k)
	}
}

// carry answers what a machine wants done: whoever it looks for is met.
func (v *pureView) carry(k int) {
	for _, order := range v.nodes[k].Ready() {
		if order.Kind == view.Contact {
			v.nodes[k].Step(view.Event{Kind: view.ContactDone, Address: order.Address, OK: true}, v.now)
		}
	}
}

// echo brings an observer the digest of a random member, which sees what another observer sees.
func (v *pureView) echo(k int) {
	if len(v.nodes) < 2 || v.random.Float64() >= tickSeconds/probeSeconds {
		return
	}
	seen := v.nodes[(k+1+v.random.IntN(len(v.nodes)-1))%len(v.nodes)].View()
	who := v.entries[v.random.IntN(len(v.entries))].Name
	v.nodes[k].Step(view.Event{Kind: view.PeerDigest, Name: who, Version: seen.Version, Digest: seen.Digest}, v.now)
}

// restart draws the restarts of one tick. Observers themselves stay.
func (v *pureView) restart() {
	for expected := v.plan.RestartsPerSecond * tickSeconds; ; expected-- {
		if v.random.Float64() >= expected {
			return
		}
		k := v.plan.Observers + v.random.IntN(v.plan.Members-v.plan.Observers)
		v.tell(k)
	}
}

// Seconds from the notice of a restart: the old process has drained and says good-bye, the new one is heard of, and serves.
const (
	goneAfter    = 2.0
	backAfter    = 4.0
	servingAfter = 6.0
)

// tell has all observers hear of one restart.
func (v *pureView) tell(k int) {
	was := v.entries[k]
	is := was
	is.Incarnation = view.Incarnation{Number: was.Incarnation.Number + 1, Nonce: was.Incarnation.Nonce + 1}
	v.entries[k] = is
	if v.plan.Restart == OneChange {
		v.spread(0, view.Event{Kind: view.Alive, Entry: is})
		return
	}
	leaving, cold := was, is
	leaving.State, cold.State = view.Leaving, view.Cold
	v.spread(0, view.Event{Kind: view.Alive, Entry: leaving})
	v.spread(goneAfter, view.Event{Kind: view.Leave, Entry: leaving})
	v.spread(backAfter, view.Event{Kind: view.Alive, Entry: cold})
	v.spread(servingAfter, view.Event{Kind: view.Alive, Entry: is})
}

// spread has an event reach each observer after a delay of its own.
func (v *pureView) spread(after float64, e view.Event) {
	for k := range v.nodes {
		delay := meanDelay * (0.5 + v.random.Float64())
		heap.Push(&v.pending, delivery{v.now + after + delay, k, e})
	}
}

// measure plays the churn.
func (v *pureView) measure() ViewCost {
	var cost ViewCost
	digests := make([]uint64, len(v.nodes))
	converged, samples, changes := 0, 0, 0
	began, cpu := v.now, ProcessCPUTime()
	for v.now < began+v.plan.Seconds {
		v.step(true)
		for k, node := range v.nodes {
			seen := node.View()
			samples++
			if seen.Certainty == view.Converged {
				converged++
			}
			if digests[k] != seen.Digest {
				digests[k] = seen.Digest
				changes++
			}
		}
	}
	played := (v.now - began) * float64(len(v.nodes))
	cost.CoreShare = (ProcessCPUTime() - cpu).Seconds() / played
	cost.ConvergedShare = float64(converged) / float64(samples)
	cost.ViewsPerHour = float64(changes) / played * time.Hour.Seconds()
	return cost
}

// OutagePlan is the loss of some members at one time, and their return, with nothing else going on.
type OutagePlan struct {
	View          ViewPlan
	Lost          int
	SpreadSeconds float64 // over which the deaths are found
}

// OutageCost is how a machine bears it.
type OutageCost struct {
	LostSeconds float64 // until all observers have converged without them
	BackSeconds float64 // until all observers have converged with them
	CoreShare   float64 // of both, CPU seconds a simulated second
}

// ErrNotConverged is returned where observers do not settle within settleLimit.
var ErrNotConverged = errors.New("views have not converged")

// RunOutage plays it. It returns ErrNotConverged if the observers do not settle.
func RunOutage(plan OutagePlan) (OutageCost, error) {
	v := newPureView(plan.View)
	v.start()
	for v.now < quietSeconds {
		v.step(false)
	}
	began, cpu := v.now, ProcessCPUTime()
	var out OutageCost
	var err error
	left := plan.View.Members - plan.Lost
	for k := left; k < plan.View.Members; k++ {
		v.spread(v.random.Float64()*plan.SpreadSeconds, view.Event{Kind: view.Dead, Entry: v.entries[k]})
	}
	if out.LostSeconds, err = v.untilConverged(left); err != nil {
		return out, err
	}
	for k := left; k < plan.View.Members; k++ {
		v.entries[k].Incarnation.Number++
		v.spread(v.random.Float64()*plan.SpreadSeconds, view.Event{Kind: view.Alive, Entry: v.entries[k]})
	}
	if out.BackSeconds, err = v.untilConverged(plan.View.Members); err != nil {
		return out, err
	}
	out.CoreShare = (ProcessCPUTime() - cpu).Seconds() / ((v.now - began) * float64(len(v.nodes)))
	return out, nil
}

// settleLimit is for how many simulated seconds a converged view is waited for.
const settleLimit = 60.0

// untilConverged gives how many seconds it takes until all observers have converged and see that many members.
func (v *pureView) untilConverged(members int) (float64, error) {
	for began := v.now; v.now < began+settleLimit; {
		v.step(false)
		all := true
		for _, node := range v.nodes {
			seen := node.View()
			all = all && seen.Certainty == view.Converged && len(seen.Members) == members
		}
		if all {
			return v.now - began, nil
		}
	}
	return 0, ErrNotConverged
}
