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

// SubscriberPlan describes a measurement of many app servers' subscriptions, in one process, to real distributors.
type SubscriberPlan struct {
	Subscribers           int
	First                 int // number of the first subscriber: names differ between processes
	Distributors          map[string]netip.AddrPort
	LocalAddress          netip.Addr `json:"Local"` // source address of connections
	Services              []string   // from which those of each subscriber are drawn
	ServicesPerSubscriber int        `json:"Each"`
	BytesPerSecond        float64    `json:"Rate"`
	Seed                  uint64
	StartAt               time.Time // of the measurement
	Seconds               float64   // that the measurement takes
}

// ObservedChange tells how many subscribers of a service have a certain log entry for it.
type ObservedChange struct {
	Service     string
	Index       uint64
	Subscribers int       `json:"Has"`
	Last        time.Time // when the last of them received it
}

// SubscriberCost is the cost of the subscriptions of one process during the measurement.
type SubscriberCost struct {
	Ready                int              // subscribers that followed a distributor when the measurement began
	CoreSeconds          float64          // CPU time of this process, including the measurement itself
	Bytes                int64            // sent and received by all subscribers
	Snapshots            uint64           // taken before the measurement began
	LaterSnapshots       uint64           // taken during the measurement
	Stale                int              // subscribers that were stale at the end
	SubscribersByService map[string]int   `json:"Serving"` // number of subscribers of each service
	ObservedChanges      []ObservedChange `json:"Seen"`
}

// addressBook opens streams to members at known addresses.
type addressBook struct {
	name      string
	local     net.Addr
	addresses map[string]netip.AddrPort
}

// OpenStream opens a stream to the member with the given name. It returns member.ErrUnknownMember if the address is not known.
func (a addressBook) OpenStream(ctx context.Context, to string) (*member.Stream, error) {
	address, known := a.addresses[to]
	if !known {
		return nil, fmt.Errorf("%w: %s", member.ErrUnknownMember, to)
	}
	return member.DialStream(ctx, a.local, address, a.name, to)
}

// subscriber is the subscription of one simulated app server.
type subscriber struct {
	*fleet.Distribution
	services  []string
	lastState *fleet.TableState // last observed
	indices   []uint64          // of the last entry for each service in lastState
}

// RunSubscribers starts the subscribers of the plan and measures them from StartAt on.
func RunSubscribers(plan SubscriberPlan) (SubscriberCost, error) {
	ctx, cancel := context.WithCancel(context.Background())
	var goroutines sync.WaitGroup
	defer goroutines.Wait()
	defer cancel()
	random := rand.New(rand.NewPCG(plan.Seed, uint64(plan.First)))
	names := make([]string, 0, len(plan.Distributors))
	for name := range plan.Distributors {
		names = append(names, name)
	}
	slices.Sort(names)
	subscribers := make([]*subscriber, plan.Subscribers)
	subscribersByService := map[string]int{}
	for k := range subscribers {
		subscribers[k] = newSubscriber(plan, k, names, random)
		for _, service := range subscribers[k].services {
			subscribersByService[service]++
		}
		goroutines.Go(func() { subscribers[k].Run(ctx) })
	}
	time.Sleep(time.Until(plan.StartAt))
	return watchSubscribers(plan, subscribers, subscribersByService), nil
}

// newSubscriber creates subscriber k, with services drawn at random.
func newSubscriber(plan SubscriberPlan, k int, distributors []string, random *rand.Rand) *subscriber {
	s := &subscriber{}
	for _, index := range random.Perm(len(plan.Services))[:min(plan.ServicesPerSubscriber, len(plan.Services))] {
		s.services = append(s.services, plan.Services[index])
	}
	name := fmt.Sprintf("hollow%d", plan.First+k)
	book := addressBook{name: name, local: &net.TCPAddr{IP: plan.LocalAddress.AsSlice()}, addresses: plan.Distributors}
	s.Distribution = fleet.NewSubscriber(fleet.DistributionConfig{Name: name, Distributors: distributors,
		Services: s.services, BytesPerSecond: plan.BytesPerSecond, StaleAfter: 18}, book, zap.NewNop())
	s.indices = make([]uint64, len(s.services))
	return s
}

// pollDelay is the time between two checks of all subscribers for new entries.
const pollDelay = 10 * time.Millisecond

// watchSubscribers measures the subscribers until the end of the plan.
func watchSubscribers(plan SubscriberPlan, subscribers []*subscriber, subscribersByService map[string]int) (cost SubscriberCost) {
	bytes := int64(0)
	cost.SubscribersByService = subscribersByService
	for _, s := range subscribers {
		status := s.Status()
		if status.State == "following" {
			cost.Ready++
		}
		cost.Snapshots += status.SnapshotsTaken
		bytes -= status.Bytes
		s.reportNewEntries(func(int, uint64) { /* entries from before the measurement do not count */ })
	}
	began, observed := ProcessCPUTime(), map[string]*ObservedChange{}
	for end := plan.StartAt.Add(time.Duration(plan.Seconds * float64(time.Second))); time.Now().Before(end); time.Sleep(pollDelay) {
		now := time.Now()
		for _, s := range subscribers {
			s.reportNewEntries(func(k int, index uint64) {
				recordObservation(observed, s.services[k], index, subscribersByService, now)
			})
		}
	}
	cost.CoreSeconds = (ProcessCPUTime() - began).Seconds()
	for _, s := range subscribers {
		status := s.Status()
		cost.LaterSnapshots += status.SnapshotsTaken
		bytes += status.Bytes
		if status.Stale {
			cost.Stale++
		}
	}
	cost.LaterSnapshots -= cost.Snapshots
	cost.Bytes = bytes
	for _, change := range observed {
		cost.ObservedChanges = append(cost.ObservedChanges, *change)
	}
	return cost
}

// reportNewEntries calls found for each service whose last entry has changed since the previous call.
func (s *subscriber) reportNewEntries(found func(service int, index uint64)) {
	state := s.Distribution.Table()
	if state == s.lastState {
		return
	}
	s.lastState = state
	for k, service := range s.services {
		if index := state.Table.LastIndex(service); index != s.indices[k] {
			s.indices[k] = index
			found(k, index)
		}
	}
}

// recordObservation counts a subscriber that has received an entry of a service.
func recordObservation(observed map[string]*ObservedChange, service string, index uint64,
	subscribersByService map[string]int, now time.Time) {
	key := fmt.Sprint(service, " ", index)
	change := observed[key]
	if change == nil {
		change = &ObservedChange{Service: service, Index: index}
		observed[key] = change
	}
	change.Subscribers++
	change.Last = now
}

// FillChanges returns texts of changes that put entries into each service, each text of at most fleet.MaxChangeText bytes.
func FillChanges(services []string, entries int) []string {
	var texts []string
	text := ""
	for _, service := range services {
		for k := range entries {
			line := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: service,
				Name:  fmt.Sprintf("tenant%05d", k),
				Value: configtable.Value{Tenant: configtable.TenantValue{QuotaPerSecond: float64(1 + k%997)}}}.String() + "\n"
			if len(text)+len(line) > fleet.MaxChangeText {
				texts, text = append(texts, text), ""
			}
			text += line
		}
	}
	return append(texts, text)
}
