package main

import (
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"time"

	"valveglade/fleet"
	"valveglade/rig"
	"valveglade/rig/hollow"
	"valveglade/rig/slope"
	"valveglade/rpc"
)

// distributionScaleParts are the parts of the scale run that measure the distribution of configuration.
var distributionScaleParts = []scalePart{
	{"distribution-members", measureDistribution},
	{"distribution-table", measureDistributionTable},
}

// What is distributed.
const (
	designInForceSeconds = 18.0
	designBytesPerSecond = 20e3
	distributionServices = 200
	servicesEach         = 4  // of one app server
	tenantsEach          = 50 // of one service
	perDistributor       = 430
	perHollowProcess     = 2150
	distributionSockets  = 4096 // an eighth of them are for subscribers
)

// distributionSizes are the numbers of app servers.
func (p *experimentRun) distributionSizes() []int {
	return forms[[]int]{
		brief: []int{4, 8, 16, 32},
		usual: []int{125, 250, 500, 1000},
		long:  []int{1000, 2150, 4300, 8600},
	}.of(p)
}

// distributedServices is how many services there are: in the shortest form so few that a handful of app servers serves them all.
func (p *experimentRun) distributedServices() int {
	if p.shortForm {
		return 2 * servicesEach
	}
	return distributionServices
}

// distributionSeconds is how long changes are made at each size.
func (p *experimentRun) distributionSeconds() float64 {
	if p.shortForm {
		return 4
	}
	return 30
}

// distributionFleet is voters and distributors as processes.
type distributionFleet struct {
	*rig.Cluster
	distributors []string
	services     []string
}

// startDistribution starts one, with entries in its table.
func (p *experimentRun) startDistribution(distributors, entriesEach int, rate string) (*distributionFleet, error) {
	f := &distributionFleet{}
	names := []string{"v1", "v2", "v3"}
	for k := range distributors {
		f.distributors = append(f.distributors, fmt.Sprintf("d%d", k+1))
	}
	for k := range p.distributedServices() {
		f.services = append(f.services, fmt.Sprintf("service%03d", k))
	}
	names = append(names, f.distributors...)
	settings := []string{"fleet.voters v1 v2 v3", "fleet.config on", "fleet.config-rate " + rate}
	settings = append(settings, "fleet.config-distributors "+strings.Join(f.distributors, " "))
	s, err := rig.NewCluster(rig.Plan{Program: p.Program, Names: names, Slack: time.Second, Seed: p.Seed, Folders: names, Laws: settings,
		Site: rig.Site{Cores: 1, MemoryMB: 128, Sockets: distributionSockets, Stop: 2 * time.Second, Grace: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), Target: 0.5, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		return nil, err
	}
	f.Cluster = s
	for _, text := range hollow.FillChanges(f.services, entriesEach) {
		if _, err := f.apply(text); err != nil {
			s.Close()
			return nil, err
		}
	}
	if _, ok := s.Until(time.Minute, f.even); !ok {
		s.Close()
		return nil, errors.New("the distributors do not come to one version")
	}
	return f, nil
}

// apply has changes committed, and tries again while nobody leads.
func (f *distributionFleet) apply(text string) (version uint64, err error) {
	_, ok := f.Until(time.Minute, func() bool {
		result, failed := fleet.ApplyChanges(fleet.ConfigSocket(f.Socket("v1")), "changes", []byte(text))
		if err = failed; err == nil && result.Error != "" {
			err = errors.New(result.Error)
		}
		version = result.Version
		return err == nil
	})
	if !ok {
		return 0, fmt.Errorf("not applied: %w", err)
	}
	return version, nil
}

// even reports whether all processes are of one version.
func (f *distributionFleet) even() bool {
	versions := map[uint64]bool{}
	for _, name := range f.Names() {
		status, err := fleet.AskDistribution(fleet.ConfigSocket(f.Socket(name)))
		if err != nil || status.Stale {
			return false
		}
		versions[status.Version] = true
	}
	return len(versions) == 1
}

// addresses are where subscribers reach the distributors, and the address that they speak from.
func (f *distributionFleet) addresses() (at map[string]netip.AddrPort, local netip.Addr) {
	at = map[string]netip.AddrPort{}
	for slot, name := range f.Names() {
		if slices.Contains(f.distributors, name) {
			at[name] = f.Paths.Own(slot + 1)
		}
	}
	bytes := f.Paths.Own(1).Addr().As4()
	bytes[2], bytes[3] = 9, 1
	return at, netip.AddrFrom4(bytes)
}

// distributionCost is what one size took.
type distributionCost struct {
	inForce                   []float64 // seconds of each change, until all that serve it had it
	missing                   int       // changes that not all had in the end
	bytes                     float64   // a second, of one app server
	subscriberCore            float64   // of a core, of one app server
	distributorCore           float64   // of a core, of the busiest distributor
	ready, stale, laterWholes int
}

// measureDistribution measures changes at the design's rate against the number of app servers.
func measureDistribution(p *experimentRun, r *slope.Result) error {
	found := points{}
	for _, members := range p.distributionSizes() {
		cost, err := p.distributeAmong(members)
		if err != nil {
			return fmt.Errorf("%d app servers: %w", members, err)
		}
		slowest, median := quantile(cost.inForce, 1), quantile(cost.inForce, 0.5)
		p.printNote("distribution, %d app servers: %d followed, %d changes in force everywhere after %.3g s at the median, %.3g s at the most; "+
			"%d not everywhere, %d stale, %d whole tables; an app server %.0f B/s, %.3g%% of a core; the busiest distributor %.3g%%", members,
			cost.ready, len(cost.inForce), median, slowest, cost.missing, cost.stale, cost.laterWholes, cost.bytes, 100*cost.subscriberCore,
			100*cost.distributorCore)
		x := float64(members)
		found.add("distribution.on.in_force_max", x, slowest)
		found.add("distribution.on.in_force_median", x, median)
		found.add("distribution.on.bytes", x, cost.bytes)
		found.add("distribution.on.cpu.app_server", x, 100*cost.subscriberCore)
		found.add("distribution.on.cpu.distributor", x, 100*cost.distributorCore)
		p.exactly(fmt.Sprintf("distribution.%d.missing", members), float64(cost.missing), 0)
		p.atMost(fmt.Sprintf("distribution.%d.in_force_s", members), slowest, designInForceSeconds)
		p.atMost(fmt.Sprintf("distribution.%d.bytes", members), cost.bytes, designBytesPerSecond)
	}
	note := fmt.Sprintf("%d services of %d tenants, %d served each, %.2f changes a second; app servers are hollow, up to %d a process, with the watching in "+
		"their CPU; voters and distributors are processes, a distributor for each %d", distributionServices, tenantsEach, servicesEach,
		designChangesPerSecond, perHollowProcess, perDistributor)
	for _, s := range []slope.Series{{Name: "distribution.on.in_force_max", Unit: "s"}, {Name: "distribution.on.in_force_median", Unit: "s"},
		{Name: "distribution.on.bytes", Unit: "B/s"}, {Name: "distribution.on.cpu.app_server", Unit: "% of a core"},
		{Name: "distribution.on.cpu.distributor", Unit: "% of a core"}} {
		s.Against, s.Points, s.Note = "members", found[s.Name], note
		if err := p.series(r, s); err != nil {
			return err
		}
	}
	return nil
}

// connectSeconds is how long subscribers have until changes begin.
const connectSeconds = 12.0

// distributeAmong makes changes among hollow app servers.
func (p *experimentRun) distributeAmong(members int) (cost distributionCost, err error) {
	settling, connecting, entries := 5.0, connectSeconds, tenantsEach
	if p.shortForm {
		settling, connecting, entries = 8, 4, 2
	}
	f, err := p.startDistribution(2+(members-1)/perDistributor, entries, "20KB")
	if err != nil {
		return cost, err
	}
	defer f.Close()
	at, local := f.addresses()
	start := time.Now().Add(secondsOf(connecting))
	var plans []hollow.SubscriberPlan
	for first := 0; first < members; first += perHollowProcess {
		plans = append(plans, hollow.SubscriberPlan{Subscribers: min(perHollowProcess, members-first), First: first, Distributors: at, LocalAddress: local,
			Services: f.services, ServicesPerSubscriber: servicesEach, BytesPerSecond: designBytesPerSecond, Seed: p.Seed, StartAt: start, Seconds: p.distributionSeconds() + settling})
	}
	var costs []hollow.SubscriberCost
	var watching sync.WaitGroup
	var watchErr error
	watching.Go(func() { costs, watchErr = runHollows[hollow.SubscriberCost](p, "subscribers", plans) })
	time.Sleep(time.Until(start))
	before := f.processorTimes()
	committed, err := p.makeChanges(f)
	after := f.processorTimes()
	watching.Wait()
	if err = errors.Join(err, watchErr); err != nil {
		return cost, err
	}
	for _, name := range f.distributors {
		cost.distributorCore = max(cost.distributorCore, (after[name]-before[name]).Seconds()/p.distributionSeconds())
	}
	cost.add(costs, committed, members, p.distributionSeconds()+settling)
	return cost, nil
}

func (f *distributionFleet) processorTimes() map[string]time.Duration {
	all := map[string]time.Duration{}
	for _, name := range f.distributors {
		all[name] = f.CPU(name)
	}
	return all
}

// changeKey names a change by service and index.
type changeKey struct {
	service string
	index   uint64
}

// makeChanges makes changes at the design's rate, and tells when each was asked for.
func (p *experimentRun) makeChanges(f *distributionFleet) (map[changeKey]time.Time, error) {
	committed := map[changeKey]time.Time{}
	random := rand.New(rand.NewPCG(p.Seed, 77))
	every := secondsOf(1 / designChangesPerSecond)
	for end := time.Now().Add(secondsOf(p.distributionSeconds())); time.Now().Before(end); {
		began := time.Now()
		service := f.services[random.IntN(len(f.services))]
		text := fmt.Sprintf("put tenant tenant%05d service=%s quota=%d\n", random.IntN(tenantsEach), service, 1+random.IntN(100_000))
		index, err := f.apply(text)
		if err != nil {
			return nil, err
		}
		committed[changeKey{service, index}] = began
		time.Sleep(time.Until(began.Add(every)))
	}
	return committed, nil
}

// add joins what the hollow processes saw.
func (c *distributionCost) add(costs []hollow.SubscriberCost, committed map[changeKey]time.Time, members int, seconds float64) {
	type sight struct {
		has  int
		last time.Time
	}
	sights := map[changeKey]*sight{}
	serving := map[string]int{}
	for _, one := range costs {
		c.ready += one.Ready
		c.stale += one.Stale
		c.laterWholes += int(one.LaterSnapshots)
		c.bytes += float64(one.Bytes) / seconds / float64(members)
		c.subscriberCore += one.CoreSeconds / seconds / float64(members)
		for service, n := range one.SubscribersByService {
			serving[service] += n
		}
		for _, seen := range one.ObservedChanges {
			key := changeKey{seen.Service, seen.Index}
			if sights[key] == nil {
				sights[key] = &sight{}
			}
			s := sights[key]
			s.has += seen.Subscribers
			if seen.Last.After(s.last) {
				s.last = seen.Last
			}
		}
	}
	for key, at := range committed {
		switch s := sights[key]; {
		case serving[key.service] == 0: // nobody is to have it
		case s == nil || s.has < serving[key.service]:
			c.missing++
			c.inForce = append(c.inForce, math.Inf(1))
		default:
			c.inForce = append(c.inForce, s.last.Sub(at).Seconds())
		}
	}
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
