package hollow

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/fleet"
	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// network is an in-memory transport between fleet nodes. It delivers a message in the sender's goroutine.
type network struct {
	mu       sync.RWMutex
	nodes    map[string]func(from string, payload []byte)
	fallback func(from, to string, payload []byte) // receives messages to names that are not in nodes
}

// port connects one fleet node to a network.
type port struct {
	name    string
	network *network
	packets atomic.Int64 // sent
	bytes   atomic.Int64 // sent, with packet headers
}

// newNetwork returns a network that delivers messages to unknown names to fallback.
func newNetwork(fallback func(from, to string, payload []byte)) *network {
	return &network{nodes: map[string]func(string, []byte){}, fallback: fallback}
}

// send delivers a message to the receiver named to.
func (n *network) send(from, to string, payload []byte) {
	n.mu.RLock()
	receive := n.nodes[to]
	n.mu.RUnlock()
	if receive != nil {
		receive(from, payload)
		return
	}
	n.fallback(from, to, payload)
}

// Send sends a message and counts it.
func (p *port) Send(to string, payload []byte) {
	p.packets.Add(1)
	p.bytes.Add(int64(len(payload) + packetOverhead(p.name, to)))
	p.network.send(p.name, to, payload)
}

// Receive sets the function that receives messages to this port.
func (p *port) Receive(f func(from string, payload []byte)) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.nodes[p.name] = f
}

// QuotaPlan describes a quota run: three real fleet nodes, which are the voters and of which one becomes the allocator of all
// kinds of work, and simulated leaseholders with demand.
type QuotaPlan struct {
	Holders int
	Kinds   int
	Seconds float64
	Seed    uint64
}

// QuotaCost is the load on the allocator, and the outcome of the leaseholders' requests.
type QuotaCost struct {
	RequestsPerSecond float64       `json:"QuestionsPerSecond"`
	LostShare         float64       // of the requests of leaseholders that had at least one answer
	RefusedHolders    int           // leaseholders that never had an answer
	CoreShare         float64       // of all work that answers requests, without receiving and decoding packets
	CPUPerRequest     time.Duration `json:"CPUPerQuestion"`
	PacketsPerSecond  float64       // sent by the allocator
	BytesPerSecond    float64       // sent by the allocator
}

const (
	quotaLeaseSeconds    = 1.0                    // the default of fleet.lease is 2, which would only make the run wait longer
	permitsPerHolder     = 2                      // fewer than a leaseholder wants, so that it keeps requesting
	demandPerHolder      = 4                      // RPCs that each leaseholder has at any time
	quotaRequestInterval = 100 * time.Millisecond // of each leaseholder and kind
	allocatorTimeout     = 20 * time.Second       // for the election of an allocator of each kind
)

// kindName returns the name of the k-th kind of work.
func kindName(k int) string { return fmt.Sprintf("kind-%d", k) }

// quotaRun is the state of one quota run.
type quotaRun struct {
	plan          QuotaPlan
	network       *network
	ports         []*port
	requestThread threadClock // of the goroutine that sends requests

	mu            sync.Mutex
	allocators    map[string]allocatorAnswer // by role
	holders       []*simulatedHolder
	holdersByName map[string][]*simulatedHolder // those of one name in the order of their kinds
}

// simulatedHolder is a leaseholder of one kind of work. Its requests are those of the program's leaseholder.
type simulatedHolder struct {
	mu           sync.Mutex
	name         string
	incarnation  owner.Incarnation
	role         string
	requester    *owner.Requester
	sentRequests int
	answers      int
}

// RunQuota makes simulated leaseholders request grants from a real fleet node in real time, each ten times per second and kind.
func RunQuota(plan QuotaPlan) (QuotaCost, error) {
	r := &quotaRun{plan: plan, allocators: map[string]allocatorAnswer{}, holdersByName: map[string][]*simulatedHolder{}}
	r.network = newNetwork(r.deliver)
	r.makeHolders()
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	if err := r.startFleets(ctx, &group); err != nil {
		return QuotaCost{}, err
	}
	if err := r.awaitAllocators(); err != nil {
		return QuotaCost{}, err
	}
	defer runtime.UnlockOSThread()
	r.requestThread = lockThread()
	r.sendRequests(time.Second) // makes all leaseholders known to the allocators
	return r.measure(), nil
}

// makeHolders creates a leaseholder for each name and kind of work.
func (r *quotaRun) makeHolders() {
	for k := range r.plan.Holders {
		name := memberName(k)
		incarnation := owner.Incarnation{Name: name, ID: r.plan.Seed + uint64(k)}
		for kind := range r.plan.Kinds {
			role := "share/" + kindName(kind)
			h := &simulatedHolder{name: name, incarnation: incarnation, role: role,
				requester: owner.NewRequester(incarnation, role, quotaLeaseTiming())}
			r.holders = append(r.holders, h)
			r.holdersByName[name] = append(r.holdersByName[name], h)
		}
	}
}

// quotaLeaseTiming returns the timing of the leases on quotas.
func quotaLeaseTiming() owner.Lease {
	return owner.Lease{Length: 2 * quotaLeaseSeconds, Grace: 1, Drift: 0.01}
}

// startFleets starts the three voters. Only the first campaigns, so that it becomes the allocator of every kind.
func (r *quotaRun) startFleets(ctx context.Context, group *sync.WaitGroup) error {
	var voterNames, holderNames []string
	for k := range voterCount {
		voterNames = append(voterNames, voterName(k))
	}
	for k := range r.plan.Holders {
		holderNames = append(holderNames, memberName(k))
	}
	var configs []share.Config
	for kind := range r.plan.Kinds {
		configs = append(configs, share.Config{Name: kindName(kind), Limit: permitsPerHolder * r.plan.Holders,
			Methods: []int{kind}, Lease: quotaLeaseTiming()})
	}
	for k, name := range voterNames {
		p := &port{name: name, network: r.network}
		f, err := fleet.New(fleet.Config{Name: name, Voters: [][]string{voterNames},
			Timing: owner.Timing{Lease: quotaLeaseSeconds, Drift: 0.01, Margin: quotaLeaseSeconds / 10},
			Peers:  func() []string { return holderNames }}, p, zap.NewNop())
		if err != nil {
			return err
		}
		if k == 0 {
			if _, err := f.AddQuota(configs, r.plan.Kinds); err != nil {
				return err
			}
		}
		r.ports = append(r.ports, p)
		group.Go(func() { f.Run(ctx) })
	}
	return nil
}

// awaitAllocators waits until each kind of work has an allocator. It returns an error after allocatorTimeout.
func (r *quotaRun) awaitAllocators() error {
	for until := time.Now().Add(allocatorTimeout); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		known := len(r.allocators)
		r.mu.Unlock()
		if known == r.plan.Kinds {
			return nil
		}
	}
	return errors.New("not every kind of work has an allocator")
}

// deliver receives the messages to simulated leaseholders.
func (r *quotaRun) deliver(_, to string, payload []byte) {
	a, ok := decodeAnswer(payload)
	if !ok {
		return
	}
	if a.kind == kindAnnounced {
		r.mu.Lock()
		r.allocators[a.role] = a
		r.mu.Unlock()
		return
	}
	for _, h := range r.holdersByName[to] {
		if h.role == a.role && a.kind == kindGranted {
			h.handleAnswer(a)
		}
	}
}

// handleAnswer passes a grant to the requester.
func (h *simulatedHolder) handleAnswer(a allocatorAnswer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answers++
	h.requester.HandleAnswer(owner.Answer{Role: a.role, To: h.incarnation, Number: a.requestNumber, Term: a.term,
		Grants: a.grants}, time.Since(startTime).Seconds())
}

// startTime is the origin of the leaseholders' clock.
var startTime = time.Now()

// nextRequest returns the next request, to the allocator of the given term.
func (h *simulatedHolder) nextRequest(term uint64) share.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.sentRequests++
	h.requester.ObserveTerm(term)
	now := time.Since(startTime).Seconds()
	holds, _ := h.requester.Holds(now)
	return share.Request{Request: h.requester.Request(demandPerHolder, min(holds, demandPerHolder), now), Criticality: 1}
}

// maxLateness limits how late a request may be sent. Requests that are due for longer are skipped: the load generator itself was
// delayed then, and a burst of them would say nothing about the allocator.
const maxLateness = 5 * time.Millisecond

// sendRequests sends requests for the given duration. Those of all leaseholders are spread evenly over quotaRequestInterval.
func (r *quotaRun) sendRequests(duration time.Duration) {
	began := time.Now()
	perSecond := float64(len(r.holders)) / quotaRequestInterval.Seconds()
	maxOverdue := max(int(perSecond*maxLateness.Seconds()), 1)
	for sent := 0; ; {
		elapsed := time.Since(began)
		if elapsed >= duration {
			return
		}
		due := int(perSecond * elapsed.Seconds())
		for sent = max(sent, due-maxOverdue); sent < due; sent++ {
			r.sendRequest(r.holders[sent%len(r.holders)])
		}
		time.Sleep(500 * time.Microsecond)
	}
}

// sendRequest sends the next request of one leaseholder to the allocator of its kind.
func (r *quotaRun) sendRequest(h *simulatedHolder) {
	r.mu.Lock()
	allocator := r.allocators[h.role]
	r.mu.Unlock()
	request := h.nextRequest(allocator.term)
	r.network.send(h.name, allocator.from, encodeRequest(h.role, h.name, request))
}

// measure runs the load for the planned time and returns its cost.
func (r *quotaRun) measure() QuotaCost {
	sent, answered, _ := r.requestCounts()
	packets, bytes, cpuTime := r.ports[0].packets.Load(), r.ports[0].bytes.Load(), ProcessCPUTime()-r.requestThread.cpuTime()
	began := time.Now()
	r.sendRequests(time.Duration(r.plan.Seconds * float64(time.Second)))
	elapsed := time.Since(began).Seconds()
	cpuTime = ProcessCPUTime() - r.requestThread.cpuTime() - cpuTime
	packets, bytes = r.ports[0].packets.Load()-packets, r.ports[0].bytes.Load()-bytes
	time.Sleep(quotaRequestInterval) // for the last answers
	sentAfter, answeredAfter, unanswered := r.requestCounts()
	sent, answered = sentAfter-sent, answeredAfter-answered
	cost := QuotaCost{RefusedHolders: unanswered, RequestsPerSecond: float64(sent) / elapsed, CoreShare: cpuTime.Seconds() / elapsed,
		PacketsPerSecond: float64(packets) / elapsed, BytesPerSecond: float64(bytes) / elapsed}
	answerable := sent * (len(r.holders) - unanswered) / len(r.holders)
	cost.LostShare = max(1-float64(answered)/float64(max(answerable, 1)), 0)
	cost.CPUPerRequest = cpuTime / time.Duration(max(sent, 1))
	return cost
}

// requestCounts returns the numbers of requests sent, of answers received, and of leaseholders that never had an answer.
func (r *quotaRun) requestCounts() (sent, answered, unanswered int) {
	for _, h := range r.holders {
		h.mu.Lock()
		sent, answered = sent+h.sentRequests, answered+h.answers
		if h.answers == 0 {
			unanswered++
		}
		h.mu.Unlock()
	}
	return sent, answered, unanswered
}

// BurstPlan describes a burst of vote requests. The voter persists its votes in Folder, or nowhere if that is empty.
type BurstPlan struct {
	Candidates int
	Folder     string
}

// BurstCost is how many requests of a burst a voter answers, and at what cost.
type BurstCost struct {
	Answered      int
	CPUPerRequest time.Duration `json:"CPUPerQuestion"`
}

// RunVoterBurst sends the vote requests of many candidates to one real voter at the same time, as when a lease has ended, over an
// in-memory transport.
func RunVoterBurst(plan BurstPlan) (BurstCost, error) {
	var answered atomic.Int64
	transport := newNetwork(func(string, string, []byte) { answered.Add(1) })
	p := &port{name: voterName(0), network: transport}
	voterNames := []string{voterName(0), voterName(1), voterName(2)}
	f, err := fleet.New(fleet.Config{Name: p.name, Voters: [][]string{voterNames}, Folder: plan.Folder,
		Timing: owner.Timing{Lease: 0.5, Drift: 0.01, Margin: 0.05}}, p, zap.NewNop())
	if err != nil {
		return BurstCost{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { f.Run(ctx) })
	time.Sleep(700 * time.Millisecond) // the voter does not answer for the longest lease after its start
	var requests [][]byte
	for k := range plan.Candidates {
		m := owner.Message{Kind: owner.PreVote, Role: roleName(0), From: owner.Incarnation{Name: memberName(k), ID: 1},
			To: p.name, Round: 1}
		requests = append(requests, encodeRoleMessage(m))
	}
	before := ProcessCPUTime()
	for k, request := range requests {
		transport.send(memberName(k), p.name, request)
	}
	for last := int64(-1); answered.Load() != last; time.Sleep(50 * time.Millisecond) {
		last = answered.Load()
	}
	cpuTime := ProcessCPUTime() - before
	n := int(answered.Load())
	return BurstCost{Answered: n, CPUPerRequest: cpuTime / time.Duration(max(n, 1))}, nil
}
