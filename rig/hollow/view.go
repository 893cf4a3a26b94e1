package hollow

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"valveglade/logic/view"
)

// RestartKind is the sequence of events by which other members observe a restart.
type RestartKind uint8

const (
	// OneChange is a restart that others observe as one event: a later incarnation that serves.
	OneChange RestartKind = iota
	// AllChanges is a restart as the program announces it: leaving, gone, back but cold, serving.
	AllChanges
)

// ViewPlan describes a run of the view's state machine.
type ViewPlan struct {
	Members           int
	RestartsPerSecond float64 // of the whole fleet
	Restart           RestartKind
	Seconds           float64 // of simulated time, after the fleet has converged
	Observers         int     // members whose state machines are run
	Seed              uint64
}

// ViewCost is the cost and outcome per observer.
type ViewCost struct {
	CoreShare      float64 // CPU seconds per simulated second
	ConvergedShare float64 // of the simulated time
	HeapBytes      float64
	ViewsPerHour   float64 // published with a digest that differs from the previous one
}

const (
	tickSeconds      = 0.1  // between two ticks of a state machine, as in the member's loop
	probeSeconds     = 0.3  // between two probes, each of which brings the digest of another member
	meanDelaySeconds = 0.35 // until gossip reaches a member, mean; gossip rounds take 0.105 s
	warmUpSeconds    = 4.0  // simulated before the measurement, for the fleet to converge
)

// delivery is an event to be delivered to one observer.
type delivery struct {
	at       float64 // simulated time in seconds
	observer int     // index of the observer
	event    view.Event
}

// deliveries is a heap of deliveries, ordered by time.
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

// viewRun is the state of one run: the observers and the gossip that is to be delivered to them.
type viewRun struct {
	plan      ViewPlan
	random    *rand.Rand
	entries   []view.Entry // current entry of each member
	pending   deliveries
	observers []*view.Machine
	now       float64 // simulated time in seconds
}

// RunView runs the view's state machine alone, without sockets, in simulated time. Gossip reaches each observer after a random
// delay; each probe brings an observer the digest of another one. The limit on names is raised to what the plan needs.
func RunView(plan ViewPlan) ViewCost {
	r := newViewRun(plan)
	heapBefore := HeapBytes()
	r.start()
	for r.now < warmUpSeconds {
		r.step(false)
	}
	heap := HeapBytes() - heapBefore
	cost := r.measure()
	cost.HeapBytes = heap / float64(plan.Observers)
	return cost
}

// newViewRun creates the entries of all members, without starting the observers.
func newViewRun(plan ViewPlan) *viewRun {
	r := &viewRun{plan: plan, random: rand.New(rand.NewPCG(plan.Seed, uint64(plan.Members)))}
	for k := range plan.Members {
		r.entries = append(r.entries, newEntry(k, 1000))
	}
	return r
}

// newEntry returns the entry of member k with the given incarnation number.
func newEntry(k int, incarnation uint64) view.Entry {
	return view.Entry{Name: memberName(k), Zone: fmt.Sprintf("z%02d", k%zoneCount),
		Address:     fmt.Sprintf("10.%d.%d.%d:7946", k>>16, k>>8&255, k&255),
		Incarnation: view.Incarnation{Number: incarnation, Nonce: uint32(incarnation)}, State: view.Serving, Proto: 1}
}

// zoneCount is the number of zones that the members are spread over.
const zoneCount = 25

// memberName returns the name of member k.
func memberName(k int) string { return fmt.Sprintf("app%05d.pool", k) }

// viewConfig returns the default configuration with its limits raised for the given number of members.
func viewConfig(members int) view.Config {
	config := view.Defaults()
	config.MaxNames = max(config.MaxNames, 2*members)
	config.MaxRemembered = max(config.MaxRemembered, members)
	return config
}

// start creates the observers, which are the first members of the fleet, and delivers the entries of all others to them.
func (r *viewRun) start() {
	for k := range r.plan.Observers {
		observer := view.New(r.entries[k], nil, r.now, r.plan.Seed+uint64(k), viewConfig(r.plan.Members))
		for other, e := range r.entries {
			if other != k {
				observer.Step(view.Event{Kind: view.Alive, Entry: e}, r.now)
			}
		}
		r.observers = append(r.observers, observer)
	}
}

// step runs one tick of all observers.
func (r *viewRun) step(churn bool) {
	r.now += tickSeconds
	if churn {
		r.drawRestarts()
	}
	for len(r.pending) > 0 && r.pending[0].at <= r.now {
		d := heap.Pop(&r.pending).(delivery)
		r.observers[d.observer].Step(d.event, r.now)
	}
	for k, observer := range r.observers {
		r.deliverPeerDigest(k)
		observer.Tick(r.now)
		r.completeContacts(k)
	}
}

// completeContacts reports success for each contact that an observer's state machine requests.
func (r *viewRun) completeContacts(k int) {
	for _, action := range r.observers[k].Ready() {
		if action.Kind == view.Contact {
			r.observers[k].Step(view.Event{Kind: view.ContactDone, Address: action.Address, OK: true}, r.now)
		}
	}
}

// deliverPeerDigest delivers to an observer the digest of a random member, which has the same view as a random other observer.
func (r *viewRun) deliverPeerDigest(k int) {
	if len(r.observers) < 2 || r.random.Float64() >= tickSeconds/probeSeconds {
		return
	}
	peerView := r.observers[(k+1+r.random.IntN(len(r.observers)-1))%len(r.observers)].View()
	peerName := r.entries[r.random.IntN(len(r.entries))].Name
	r.observers[k].Step(view.Event{Kind: view.PeerDigest, Name: peerName, Version: peerView.Version, Digest: peerView.Digest}, r.now)
}

// drawRestarts draws the restarts of one tick. Observers do not restart.
func (r *viewRun) drawRestarts() {
	for expected := r.plan.RestartsPerSecond * tickSeconds; ; expected-- {
		if r.random.Float64() >= expected {
			return
		}
		k := r.plan.Observers + r.random.IntN(r.plan.Members-r.plan.Observers)
		r.announceRestart(k)
	}
}

// Seconds from the announcement of a restart until the old process has drained and leaves, until the new process is back, and
// until it serves.
const (
	leaveAfterSeconds   = 2.0
	returnAfterSeconds  = 4.0
	servingAfterSeconds = 6.0
)

// announceRestart schedules the events of one restart for all observers.
func (r *viewRun) announceRestart(k int) {
	old := r.entries[k]
	updated := old
	updated.Incarnation = view.Incarnation{Number: old.Incarnation.Number + 1, Nonce: old.Incarnation.Nonce + 1}
	r.entries[k] = updated
	if r.plan.Restart == OneChange {
		r.schedule(0, view.Event{Kind: view.Alive, Entry: updated})
		return
	}
	leaving, cold := old, updated
	leaving.State, cold.State = view.Leaving, view.Cold
	r.schedule(0, view.Event{Kind: view.Alive, Entry: leaving})
	r.schedule(leaveAfterSeconds, view.Event{Kind: view.Leave, Entry: leaving})
	r.schedule(returnAfterSeconds, view.Event{Kind: view.Alive, Entry: cold})
	r.schedule(servingAfterSeconds, view.Event{Kind: view.Alive, Entry: updated})
}

// schedule schedules an event for each observer, after the given number of seconds and a random gossip delay of its own.
func (r *viewRun) schedule(after float64, e view.Event) {
	for k := range r.observers {
		delay := meanDelaySeconds * (0.5 + r.random.Float64())
		heap.Push(&r.pending, delivery{r.now + after + delay, k, e})
	}
}

// measure runs the planned restarts and returns the cost.
func (r *viewRun) measure() ViewCost {
	var cost ViewCost
	digests := make([]uint64, len(r.observers))
	converged, samples, changes := 0, 0, 0
	began, cpuBefore := r.now, ProcessCPUTime()
	for r.now < began+r.plan.Seconds {
		r.step(true)
		for k, observer := range r.observers {
			current := observer.View()
			samples++
			if current.Certainty == view.Converged {
				converged++
			}
			if digests[k] != current.Digest {
				digests[k] = current.Digest
				changes++
			}
		}
	}
	observedSeconds := (r.now - began) * float64(len(r.observers))
	cost.CoreShare = (ProcessCPUTime() - cpuBefore).Seconds() / observedSeconds
	cost.ConvergedShare = float64(converged) / float64(samples)
	cost.ViewsPerHour = float64(changes) / observedSeconds * time.Hour.Seconds()
	return cost
}

// OutagePlan describes the failure of several members at the same time and their return, without other changes.
type OutagePlan struct {
	View          ViewPlan
	Lost          int
	SpreadSeconds float64 // over which the failures are detected
}

// OutageCost is the time that observers need to converge, and the cost.
type OutageCost struct {
	LostSeconds float64 // from the failure until all observers have converged
	BackSeconds float64 // from the return until all observers have converged
	CoreShare   float64 // of both, CPU seconds per simulated second
}

// ErrNotConverged is returned if the observers' views do not converge within convergenceTimeoutSeconds.
var ErrNotConverged = errors.New("the observers' views have not converged")

// RunOutage runs an outage. It returns ErrNotConverged if the observers do not converge.
func RunOutage(plan OutagePlan) (OutageCost, error) {
	r := newViewRun(plan.View)
	r.start()
	for r.now < warmUpSeconds {
		r.step(false)
	}
	began, cpuBefore := r.now, ProcessCPUTime()
	var cost OutageCost
	var err error
	remaining := plan.View.Members - plan.Lost
	for k := remaining; k < plan.View.Members; k++ {
		r.schedule(r.random.Float64()*plan.SpreadSeconds, view.Event{Kind: view.Dead, Entry: r.entries[k]})
	}
	if cost.LostSeconds, err = r.secondsUntilConverged(remaining); err != nil {
		return cost, err
	}
	for k := remaining; k < plan.View.Members; k++ {
		r.entries[k].Incarnation.Number++
		r.schedule(r.random.Float64()*plan.SpreadSeconds, view.Event{Kind: view.Alive, Entry: r.entries[k]})
	}
	if cost.BackSeconds, err = r.secondsUntilConverged(plan.View.Members); err != nil {
		return cost, err
	}
	cost.CoreShare = (ProcessCPUTime() - cpuBefore).Seconds() / ((r.now - began) * float64(len(r.observers)))
	return cost, nil
}

// convergenceTimeoutSeconds limits the simulated time to wait for a converged view.
const convergenceTimeoutSeconds = 60.0

// secondsUntilConverged runs until all observers have converged on a view with the given number of members, and returns the
// simulated seconds that it took.
func (r *viewRun) secondsUntilConverged(members int) (float64, error) {
	for began := r.now; r.now < began+convergenceTimeoutSeconds; {
		r.step(false)
		converged := true
		for _, observer := range r.observers {
			current := observer.View()
			converged = converged && current.Certainty == view.Converged && len(current.Members) == members
		}
		if converged {
			return r.now - began, nil
		}
	}
	return 0, ErrNotConverged
}
