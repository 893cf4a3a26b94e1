package hollow

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"valveglade/fleet"
	"valveglade/logic/configtable"
	"valveglade/member"
)

// SubscriberPlan is a measurement of app servers' subscriptions to real distributors, many in one process.
type SubscriberPlan struct {
	Subscribers           int
	First                 int // number of the first one: names differ between processes
	Distributors          map[string]netip.AddrPort
	LocalAddress          netip.Addr `json:"Local"` // to speak from
	Services              []string   // all that there are
	ServicesPerSubscriber int        `json:"Each"` // services of one subscriber
	BytesPerSecond        float64    `json:"Rate"` // bytes a second
	Seed                  uint64
	StartAt               time.Time // the watch begins
	Seconds               float64   // and lasts so long
}

// ObservedChange tells when the subscribers of a service had an entry of it.
type ObservedChange struct {
	Service     string
	Index       uint64
	Subscribers int       `json:"Has"`
	Last        time.Time // when the last of them had it
}

// SubscriberCost is what the subscriptions of one process took during the watch.
type SubscriberCost struct {
	Ready                int              // subscribers that followed when the watch began
	CoreSeconds          float64          // of this process, with the watching
	Bytes                int64            // of all subscribers, both ways
	Snapshots            uint64           // taken until the watch began
	LaterSnapshots       uint64           // during it
	Stale                int              // subscribers at its end
	SubscribersByService map[string]int   `json:"Serving"` // subscribers of each service
	ObservedChanges      []ObservedChange `json:"Seen"`
}

// addressBook opens streams to members at known addresses.
type addressBook struct {
	name  string
	local net.Addr
	at    map[string]netip.AddrPort
}

// OpenStream opens a stream to a member by its name.
func (a addressBook) OpenStream(ctx context.Context, to string) (*member.Stream, error) {
	at, known := a.at[to]
	if !known {
		return nil, fmt.Errorf("%w: %s", member.ErrUnknownMember, to)
	}
	return member.DialStream(ctx, a.local, at, a.name, to)
}

// subscriber is one hollow app server.
type subscriber struct {
	*fleet.Distribution
	services []string
	last     *fleet.TableState // as the watch saw it last
	indices  []uint64          // of its services' last entries then
}

// RunSubscribers runs them, and watches.
func RunSubscribers(plan SubscriberPlan) (SubscriberCost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	random := rand.New(rand.NewPCG(plan.Seed, uint64(plan.First)))
	names := make([]string, 0, len(plan.Distributors))
	for name := range plan.Distributors {
		names = append(names, name)
	}
	slices.Sort(names)
	all := make([]*subscriber, plan.Subscribers)
	of := map[string]int{}
	for k := range all {
		all[k] = newSubscriber(plan, k, names, random)
		for _, service := range all[k].services {
			of[service]++
		}
		running.Go(func() { all[k].Run(ctx) })
	}
	time.Sleep(time.Until(plan.StartAt))
	return watchSubscribers(plan, all, of), nil
}

func newSubscriber(plan SubscriberPlan, k int, distributors []string, random *rand.Rand) *subscriber {
	s := &subscriber{}
	for _, at := range random.Perm(len(plan.Services))[:min(plan.ServicesPerSubscriber, len(plan.Services))] {
		s.services = append(s.services, plan.Services[at])
	}
	name := fmt.Sprintf("hollow%d", plan.First+k)
	book := addressBook{name: name, local: &net.TCPAddr{IP: plan.LocalAddress.AsSlice()}, at: plan.Distributors}
	s.Distribution = fleet.NewSubscriber(fleet.DistributionConfig{Name: name, Distributors: distributors,
		Services: s.services, BytesPerSecond: plan.BytesPerSecond, StaleAfter: 18}, book, zap.NewNop())
	s.indices = make([]uint64, len(s.services))
	return s
}

// watchEvery is how often subscribers are looked at.
const watchEvery = 10 * time.Millisecond

func watchSubscribers(plan SubscriberPlan, all []*subscriber, of map[string]int) (cost SubscriberCost) {
	bytes := int64(0)
	cost.SubscribersByService = of
	for _, s := range all {
		status := s.Status()
		if status.State == "following" {
			cost.Ready++
		}
		cost.Snapshots += status.SnapshotsTaken
		bytes -= status.Bytes
		s.look(func(int, uint64) { /* what was there before */ })
	}
	began, seen := ProcessCPUTime(), map[string]*ObservedChange{}
	for end := plan.StartAt.Add(time.Duration(plan.Seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(watchEvery) {
		now := time.Now()
		for _, s := range all {
			s.look(func(k int, index uint64) { note(seen, s.services[k], index, of, now) })
		}
	}
	cost.CoreSeconds = (ProcessCPUTime() - began).Seconds()
	for _, s := range all {
		status := s.Status()
		cost.LaterSnapshots += status.SnapshotsTaken
		bytes += status.Bytes
		if status.Stale {
			cost.Stale++
		}
	}
	cost.LaterSnapshots -= cost.Snapshots
	cost.Bytes = bytes
	for _, one := range seen {
		cost.ObservedChanges = append(cost.ObservedChanges, *one)
	}
	return cost
}

// look finds services whose last entry is another one than before.
func (s *subscriber) look(found func(service int, index uint64)) {
	state := s.Distribution.Table()
	if state == s.last {
		return
	}
	s.last = state
	for k, service := range s.services {
		if index := state.Table.LastIndex(service); index != s.indices[k] {
			s.indices[k] = index
			found(k, index)
		}
	}
}

func note(seen map[string]*ObservedChange, service string, index uint64, of map[string]int, now time.Time) {
	key := fmt.Sprint(service, " ", index)
	one := seen[key]
	if one == nil {
		one = &ObservedChange{Service: service, Index: index}
		seen[key] = one
	}
	one.Subscribers++
	one.Last = now
}

// FillChanges are the texts that put entries into a number of services, each of at most fleet.MaxChangeText bytes.
func FillChanges(services []string, entries int) []string {
	var texts []string
	text := ""
	for _, service := range services {
		for k := range entries {
			line := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: service, Name: fmt.Sprintf("tenant%05d", k),
				Value: configtable.Value{Tenant: configtable.TenantValue{QuotaPerSecond: float64(1 + k%997)}}}.String() + "\n"
			if len(text)+len(line) > fleet.MaxChangeText {
				texts, text = append(texts, text), ""
			}
			text += line
		}
	}
	return append(texts, text)
}
