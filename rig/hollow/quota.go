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

// network is an in-memory transport between processes' parts in the fleet: a message is received in the sender's goroutine.
type network struct {
	mu    sync.RWMutex
	nodes map[string]func(from string, payload []byte)
	other func(from, to string, payload []byte) // for hollow ones
}

// port is one process's place in a network.
type port struct {
	name    string
	network *network
	packets atomic.Int64 // sent
	bytes   atomic.Int64 // sent, with the heads of packets
}

func newNetwork(other func(from, to string, payload []byte)) *network {
	return &network{nodes: map[string]func(string, []byte){}, other: other}
}

func (n *network) send(from, to string, payload []byte) {
	n.mu.RLock()
	receive := n.nodes[to]
	n.mu.RUnlock()
	if receive != nil {
		receive(from, payload)
		return
	}
	n.other(from, to, payload)
}

// Send puts a message on its way.
func (p *port) Send(to string, payload []byte) {
	p.packets.Add(1)
	p.bytes.Add(int64(len(payload) + noteHead(p.name, to)))
	p.network.send(p.name, to, payload)
}

// Receive has f told of what comes.
func (p *port) Receive(f func(from string, payload []byte)) {
	p.network.mu.Lock()
	defer p.network.mu.Unlock()
	p.network.nodes[p.name] = f
}

// QuotaPlan is what one run of quotas plays: three real parts in the fleet, which vote and of which one becomes the allocator of
// all kinds of work, and hollow holders with demand.
type QuotaPlan struct {
	Holders int
	Kinds   int
	Seconds float64
	Seed    uint64
}

// QuotaCost is what the allocator bore, and what became of the holders' questions.
type QuotaCost struct {
	RequestsPerSecond float64       `json:"QuestionsPerSecond"`
	LostShare         float64       // of the questions of holders that were answered at least once
	RefusedHolders    int           // of whom no question was ever answered
	CoreShare         float64       // of all that answers; reading a packet and taking it apart is not among it
	CPUPerRequest     time.Duration `json:"CPUPerQuestion"`
	PacketsPerSecond  float64       // that the allocator sends
	BytesPerSecond    float64       // that the allocator sends
}

const (
	quotaLease   = 1.0 // seconds; the default of fleet.lease is 2, which only has the run wait for longer
	quotaLimit   = 2   // permits a holder: less than it wants, so that it goes on asking
	quotaDemand  = 4   // RPCs that each holder has at any time
	quotaAsk     = 100 * time.Millisecond
	quotaSettled = 20 * time.Second // within which there is an allocator of each kind
)

func kindName(k int) string { return fmt.Sprintf("kind-%d", k) }

// quotaRun is one run under way.
type quotaRun struct {
	plan    QuotaPlan
	network *network
	ports   []*port
	thread  threadClock // of the goroutine that asks

	mu         sync.Mutex
	allocators map[string]answer // by role
	holders    []*hollowHolder
	byName     map[string][]*hollowHolder // by kind
}

// hollowHolder asks for one kind of work. Its questions are those of the program's holder.
type hollowHolder struct {
	mu          sync.Mutex
	name        string
	incarnation owner.Incarnation
	role        string
	requester   *owner.Requester
	asked       int
	answered    int
}

// RunQuota has hollow holders ask a real part in the fleet for grants, in real time, each ten times a second and kind.
func RunQuota(plan QuotaPlan) (QuotaCost, error) {
	r := &quotaRun{plan: plan, allocators: map[string]answer{}, byName: map[string][]*hollowHolder{}}
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
	r.thread = lockThread()
	r.ask(time.Second) // all holders become known
	return r.measure(), nil
}

func (r *quotaRun) makeHolders() {
	for k := range r.plan.Holders {
		name := memberName(k)
		incarnation := owner.Incarnation{Name: name, ID: r.plan.Seed + uint64(k)}
		for kind := range r.plan.Kinds {
			role := "share/" + kindName(kind)
			h := &hollowHolder{name: name, incarnation: incarnation, role: role, requester: owner.NewRequester(incarnation, role, quotaGrants())}
			r.holders = append(r.holders, h)
			r.byName[name] = append(r.byName[name], h)
		}
	}
}

func quotaGrants() owner.Lease { return owner.Lease{Length: 2 * quotaLease, Grace: 1, Drift: 0.01} }

// startFleets starts the three that vote. Only the first campaigns: it is to become the allocator of every kind.
func (r *quotaRun) startFleets(ctx context.Context, group *sync.WaitGroup) error {
	var list, others []string
	for k := range voters {
		list = append(list, voterName(k))
	}
	for k := range r.plan.Holders {
		others = append(others, memberName(k))
	}
	var configs []share.Config
	for kind := range r.plan.Kinds {
		configs = append(configs, share.Config{Name: kindName(kind), Limit: quotaLimit * r.plan.Holders, Methods: []int{kind}, Lease: quotaGrants()})
	}
	for k, name := range list {
		p := &port{name: name, network: r.network}
		f, err := fleet.New(fleet.Config{Name: name, Voters: [][]string{list}, Timing: owner.Timing{Lease: quotaLease, Drift: 0.01, Margin: quotaLease / 10},
			Peers: func() []string { return others }}, p, zap.NewNop())
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

func (r *quotaRun) awaitAllocators() error {
	for until := time.Now().Add(quotaSettled); time.Now().Before(until); time.Sleep(50 * time.Millisecond) {
		r.mu.Lock()
		known := len(r.allocators)
		r.mu.Unlock()
		if known == r.plan.Kinds {
			return nil
		}
	}
	return errors.New("no allocator for each kind of work")
}

// deliver takes what is sent to hollow holders.
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
	for _, h := range r.byName[to] {
		if h.role == a.role && a.kind == kindGranted {
			h.hear(a)
		}
	}
}

func (h *hollowHolder) hear(a answer) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answered++
	h.requester.HandleAnswer(owner.Answer{Role: a.role, To: h.incarnation, Number: a.number, Term: a.term, Grants: a.grants}, time.Since(epoch).Seconds())
}

var epoch = time.Now()

// question is the next one, for the allocator of a term.
func (h *hollowHolder) question(term uint64) share.Request {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.asked++
	h.requester.ObserveTerm(term)
	now := time.Since(epoch).Seconds()
	holds, _ := h.requester.Holds(now)
	return share.Request{Request: h.requester.Request(quotaDemand, min(holds, quotaDemand), now), Criticality: 1}
}

// mostLate is for how long questions that are due may be late; past it they are left out, as the generator itself was held up,
// and a burst of them would say nothing of the allocator.
const mostLate = 5 * time.Millisecond

// ask has every holder ask, evenly spread over each tenth of a second, for a time.
func (r *quotaRun) ask(length time.Duration) {
	began := time.Now()
	perSecond := float64(len(r.holders)) / quotaAsk.Seconds()
	late := max(int(perSecond*mostLate.Seconds()), 1)
	for asked := 0; ; {
		gone := time.Since(began)
		if gone >= length {
			return
		}
		due := int(perSecond * gone.Seconds())
		for asked = max(asked, due-late); asked < due; asked++ {
			r.askOne(r.holders[asked%len(r.holders)])
		}
		time.Sleep(500 * time.Microsecond)
	}
}

func (r *quotaRun) askOne(h *hollowHolder) {
	r.mu.Lock()
	allocator := r.allocators[h.role]
	r.mu.Unlock()
	q := h.question(allocator.term)
	r.network.send(h.name, allocator.from, encodeRequest(h.role, h.name, q))
}

func (r *quotaRun) measure() QuotaCost {
	asked, answered, _ := r.counts()
	packets, bytes, spent := r.ports[0].packets.Load(), r.ports[0].bytes.Load(), ProcessCPUTime()-r.thread.spent()
	began := time.Now()
	r.ask(time.Duration(r.plan.Seconds * float64(time.Second)))
	took := time.Since(began).Seconds()
	spent = ProcessCPUTime() - r.thread.spent() - spent
	packets, bytes = r.ports[0].packets.Load()-packets, r.ports[0].bytes.Load()-bytes
	time.Sleep(quotaAsk) // for the last answers
	askedAfter, answeredAfter, refused := r.counts()
	asked, answered = askedAfter-asked, answeredAfter-answered
	cost := QuotaCost{RefusedHolders: refused, RequestsPerSecond: float64(asked) / took, CoreShare: spent.Seconds() / took,
		PacketsPerSecond: float64(packets) / took, BytesPerSecond: float64(bytes) / took}
	served := asked * (len(r.holders) - refused) / len(r.holders)
	cost.LostShare = max(1-float64(answered)/float64(max(served, 1)), 0)
	cost.CPUPerRequest = spent / time.Duration(max(asked, 1))
	return cost
}

// counts tells how many questions there were and how many were answered, and how many holders never had an answer.
func (r *quotaRun) counts() (asked, answered, refused int) {
	for _, h := range r.holders {
		h.mu.Lock()
		asked, answered = asked+h.asked, answered+h.answered
		if h.answered == 0 {
			refused++
		}
		h.mu.Unlock()
	}
	return asked, answered, refused
}

// BurstPlan is a burst of questions. With a folder the voter keeps its votes on disk.
type BurstPlan struct {
	Candidates int
	Folder     string
}

// BurstCost is what a voter answers of many questions that come at one time.
type BurstCost struct {
	Answered      int
	CPUPerRequest time.Duration `json:"CPUPerQuestion"`
}

// RunVoterBurst has that many candidates ask one real voter at one time, as when a lease has ended, over an in-memory transport.
func RunVoterBurst(plan BurstPlan) (BurstCost, error) {
	var answered atomic.Int64
	net := newNetwork(func(string, string, []byte) { answered.Add(1) })
	p := &port{name: voterName(0), network: net}
	list := []string{voterName(0), voterName(1), voterName(2)}
	f, err := fleet.New(fleet.Config{Name: p.name, Voters: [][]string{list}, Folder: plan.Folder,
		Timing: owner.Timing{Lease: 0.5, Drift: 0.01, Margin: 0.05}}, p, zap.NewNop())
	if err != nil {
		return BurstCost{}, err
	}
	ctx, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer stop()
	group.Go(func() { f.Run(ctx) })
	time.Sleep(700 * time.Millisecond) // it is silent for the longest lease at first
	var questions [][]byte
	for k := range plan.Candidates {
		m := owner.Message{Kind: owner.PreVote, Role: roleName(0), From: owner.Incarnation{Name: memberName(k), ID: 1}, To: p.name, Round: 1}
		questions = append(questions, encodeRoleMessage(m))
	}
	before := ProcessCPUTime()
	for k, q := range questions {
		net.send(memberName(k), p.name, q)
	}
	for last := int64(-1); answered.Load() != last; time.Sleep(50 * time.Millisecond) {
		last = answered.Load()
	}
	spent := ProcessCPUTime() - before
	n := int(answered.Load())
	return BurstCost{Answered: n, CPUPerRequest: spent / time.Duration(max(n, 1))}, nil
}
