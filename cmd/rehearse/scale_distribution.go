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

// distributionScaleParts are the parts of the scale experiment that measure the distribution of configuration.
var distributionScaleParts = []scalePart{
	{"distribution-members", measureDistribution},
	{"distribution-table", measureDistributionTable},
}

// The workload of the distribution parts and its bounds.
const (
	designInForceSeconds     = 18.0 // until a change is in force on all app servers that serve it
	designBytesPerSecond     = 20e3 // of one app server
	distributionServices     = 200
	servicesPerAppServer     = 4
	tenantsPerService        = 50
	appServersPerDistributor = 430
	appServersPerProcess     = 2150 // simulated app servers
	distributionSocketLimit  = 4096 // an eighth of the sockets is reserved for subscribers
)

// distributionSizes returns the numbers of app servers that distribution is measured at.
func (run *experimentRun) distributionSizes() []int {
	return formValues[[]int]{
		short:    []int{4, 8, 16, 32},
		standard: []int{125, 250, 500, 1000},
		long:     []int{1000, 2150, 4300, 8600},
	}.valueFor(run)
}

// distributedServices returns the number of services. The shortest form has so few that a handful of app servers serves them all.
func (run *experimentRun) distributedServices() int {
	if run.shortForm {
		return 2 * servicesPerAppServer
	}
	return distributionServices
}

// distributionSeconds returns how long changes are made at each size, in seconds.
func (run *experimentRun) distributionSeconds() float64 {
	if run.shortForm {
		return 4
	}
	return 30
}

// distributionFleet is a cluster of voters and distributors, each a process of its own.
type distributionFleet struct {
	*rig.Cluster
	distributors []string
	services     []string
}

// startDistribution starts three voters and the given number of distributors, commits entriesPerService tenants for each
// service and waits until all processes have the same version. rate is the maximum number of bytes per second that a distributor
// sends to a subscriber. The caller closes the fleet.
func (run *experimentRun) startDistribution(distributors, entriesPerService int, rate string) (*distributionFleet, error) {
	distribution := &distributionFleet{}
	names := []string{"v1", "v2", "v3"}
	for k := range distributors {
		distribution.distributors = append(distribution.distributors, fmt.Sprintf("d%d", k+1))
	}
	for k := range run.distributedServices() {
		distribution.services = append(distribution.services, fmt.Sprintf("service%03d", k))
	}
	names = append(names, distribution.distributors...)
	settings := []string{"fleet.voters v1 v2 v3", "fleet.config on", "fleet.config-rate " + rate}
	settings = append(settings, "fleet.config-distributors "+strings.Join(distribution.distributors, " "))
	cluster, err := rig.NewCluster(rig.ClusterConfig{Program: run.Program, Names: names, Slack: time.Second, Seed: run.Seed,
		WithStateDir: names,
		Settings:     settings, Site: rig.Site{Cores: 1, MemoryMB: 128, Sockets: distributionSocketLimit, StopTimeout: 2 * time.Second,
			GracePeriod: time.Second, Callers: 1,
			Methods: []rig.SiteMethod{{Name: "lookup", Kind: string(rpc.Idempotent), LatencyTarget: 0.5, Deadline: 1, Criticality: 1}}}})
	if err != nil {
		return nil, err
	}
	distribution.Cluster = cluster
	for _, text := range hollow.FillChanges(distribution.services, entriesPerService) {
		if _, err := distribution.apply(text); err != nil {
			cluster.Close()
			return nil, err
		}
	}
	if _, ok := cluster.WaitUntil(time.Minute, distribution.sameVersion); !ok {
		cluster.Close()
		return nil, errors.New("voters and distributors did not converge on one version within a minute")
	}
	return distribution, nil
}

// apply commits changes and returns the version of the table that includes them. It retries for up to a minute, as there may be
// no leader.
func (f *distributionFleet) apply(text string) (version uint64, err error) {
	_, ok := f.WaitUntil(time.Minute, func() bool {
		result, applyErr := fleet.ApplyChanges(fleet.ConfigSocket(f.Socket("v1")), "changes", []byte(text))
		if err = applyErr; err == nil && result.Error != "" {
			err = errors.New(result.Error)
		}
		version = result.Version
		return err == nil
	})
	if !ok {
		return 0, fmt.Errorf("changes not committed within a minute: %w", err)
	}
	return version, nil
}

// sameVersion reports whether all processes have the same version and none is stale.
func (f *distributionFleet) sameVersion() bool {
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

// addresses returns the address of each distributor and the local address that subscribers connect from.
func (f *distributionFleet) addresses() (distributors map[string]netip.AddrPort, local netip.Addr) {
	distributors = map[string]netip.AddrPort{}
	for slot, name := range f.Names() {
		if slices.Contains(f.distributors, name) {
			distributors[name] = f.Network.ListenAddress(slot + 1)
		}
	}
	octets := f.Network.ListenAddress(1).Addr().As4()
	octets[2], octets[3] = 9, 1
	return distributors, netip.AddrFrom4(octets)
}

// distributionCost holds the costs of distribution at one size.
type distributionCost struct {
	inForceSeconds               []float64 // for each change, until all app servers that serve it had it; +Inf if some never did
	incompleteChanges            int       // changes that some app servers did not have at the end
	bytesPerSecond               float64   // of one app server
	subscriberCore               float64   // share of a core, of one app server
	distributorCore              float64   // share of a core, of the busiest distributor
	ready, stale, laterSnapshots int       // subscribers ready at the start, stale at the end; snapshots taken in between
}

// measureDistribution measures, against the number of app servers, what it costs to distribute changes made at the design rate.
func measureDistribution(run *experimentRun, result *slope.Result) error {
	measured := points{}
	for _, members := range run.distributionSizes() {
		cost, err := run.distributeAmong(members)
		if err != nil {
			return fmt.Errorf("%d app servers: %w", members, err)
		}
		slowest, median := quantile(cost.inForceSeconds, 1), quantile(cost.inForceSeconds, 0.5)
		run.printNote("distribution, %d app servers: %d subscribed, %d changes in force everywhere after a median of %.3g s, max "+
			"%.3g s; %d incomplete, %d stale, %d snapshots; per app server %.0f B/s, %.3g%% of a core; busiest distributor %.3g%%",
			members, cost.ready, len(cost.inForceSeconds), median, slowest, cost.incompleteChanges, cost.stale, cost.laterSnapshots,
			cost.bytesPerSecond, 100*cost.subscriberCore, 100*cost.distributorCore)
		size := float64(members)
		measured.add("distribution.on.in_force_max", size, slowest)
		measured.add("distribution.on.in_force_median", size, median)
		measured.add("distribution.on.bytes", size, cost.bytesPerSecond)
		measured.add("distribution.on.cpu.app_server", size, 100*cost.subscriberCore)
		measured.add("distribution.on.cpu.distributor", size, 100*cost.distributorCore)
		run.exactly(fmt.Sprintf("distribution.%d.missing", members), float64(cost.incompleteChanges), 0)
		run.atMost(fmt.Sprintf("distribution.%d.in_force_s", members), slowest, designInForceSeconds)
		run.atMost(fmt.Sprintf("distribution.%d.bytes", members), cost.bytesPerSecond, designBytesPerSecond)
	}
	note := fmt.Sprintf("%d services of %d tenants, %d served each, %.2f changes a second; app servers are hollow, up to %d "+
		"a process, with the watching in their CPU; voters and distributors are processes, a distributor for each %d",
		distributionServices, tenantsPerService, servicesPerAppServer, designChangesPerSecond, appServersPerProcess,
		appServersPerDistributor)
	for _, series := range []slope.Series{{Name: "distribution.on.in_force_max", Unit: "s"},
		{Name: "distribution.on.in_force_median", Unit: "s"},
		{Name: "distribution.on.bytes", Unit: "B/s"}, {Name: "distribution.on.cpu.app_server", Unit: "% of a core"},
		{Name: "distribution.on.cpu.distributor", Unit: "% of a core"}} {
		series.Against, series.Points, series.Note = "members", measured[series.Name], note
		if err := run.addSeries(result, series); err != nil {
			return err
		}
	}
	return nil
}

// connectSeconds is the time that subscribers have to connect before changes begin.
const connectSeconds = 12.0

// distributeAmong measures the distribution of changes to the given number of simulated app servers.
func (run *experimentRun) distributeAmong(members int) (cost distributionCost, err error) {
	settleSeconds, leadSeconds, entries := 5.0, connectSeconds, tenantsPerService
	if run.shortForm {
		settleSeconds, leadSeconds, entries = 8, 4, 2
	}
	cluster, err := run.startDistribution(2+(members-1)/appServersPerDistributor, entries, "20KB")
	if err != nil {
		return cost, err
	}
	defer cluster.Close()
	distributorAddresses, local := cluster.addresses()
	start := time.Now().Add(toDuration(leadSeconds))
	var plans []hollow.SubscriberPlan
	for first := 0; first < members; first += appServersPerProcess {
		plans = append(plans, hollow.SubscriberPlan{Subscribers: min(appServersPerProcess, members-first), First: first,
			Distributors: distributorAddresses, LocalAddress: local, Services: cluster.services,
			ServicesPerSubscriber: servicesPerAppServer, BytesPerSecond: designBytesPerSecond, Seed: run.Seed, StartAt: start,
			Seconds: run.distributionSeconds() + settleSeconds})
	}
	var costs []hollow.SubscriberCost
	var subscribers sync.WaitGroup
	var subscribersErr error
	subscribers.Go(func() { costs, subscribersErr = runMeasurements[hollow.SubscriberCost](run, "subscribers", plans) })
	time.Sleep(time.Until(start))
	before := cluster.distributorCPUTimes()
	committed, err := run.makeChanges(cluster)
	after := cluster.distributorCPUTimes()
	subscribers.Wait()
	if err = errors.Join(err, subscribersErr); err != nil {
		return cost, err
	}
	for _, name := range cluster.distributors {
		cost.distributorCore = max(cost.distributorCore, (after[name]-before[name]).Seconds()/run.distributionSeconds())
	}
	cost.add(costs, committed, members, run.distributionSeconds()+settleSeconds)
	return cost, nil
}

// distributorCPUTimes returns the CPU time that each distributor has used so far.
func (f *distributionFleet) distributorCPUTimes() map[string]time.Duration {
	all := map[string]time.Duration{}
	for _, name := range f.distributors {
		all[name] = f.CPU(name)
	}
	return all
}

// changeKey identifies a change by its service and its index in the log.
type changeKey struct {
	service string
	index   uint64
}

// makeChanges commits changes at the design rate for distributionSeconds and returns when each was requested.
func (run *experimentRun) makeChanges(cluster *distributionFleet) (map[changeKey]time.Time, error) {
	committed := map[changeKey]time.Time{}
	random := rand.New(rand.NewPCG(run.Seed, 77))
	interval := toDuration(1 / designChangesPerSecond)
	for end := time.Now().Add(toDuration(run.distributionSeconds())); time.Now().Before(end); {
		began := time.Now()
		service := cluster.services[random.IntN(len(cluster.services))]
		text := fmt.Sprintf("put tenant tenant%05d service=%s quota=%d\n", random.IntN(tenantsPerService), service,
			1+random.IntN(100_000))
		index, err := cluster.apply(text)
		if err != nil {
			return nil, err
		}
		committed[changeKey{service, index}] = began
		time.Sleep(time.Until(began.Add(interval)))
	}
	return committed, nil
}

// add sums up the costs of the processes of simulated app servers and derives from their observations how long each committed
// change took to reach all app servers that serve it. seconds is the length of the measurement.
func (cost *distributionCost) add(costs []hollow.SubscriberCost, committed map[changeKey]time.Time, members int,
	seconds float64) {
	type observation struct {
		count int // app servers that have the change
		last  time.Time
	}
	observations := map[changeKey]*observation{}
	subscribersByService := map[string]int{}
	for _, processCost := range costs {
		cost.ready += processCost.Ready
		cost.stale += processCost.Stale
		cost.laterSnapshots += int(processCost.LaterSnapshots)
		cost.bytesPerSecond += float64(processCost.Bytes) / seconds / float64(members)
		cost.subscriberCore += processCost.CoreSeconds / seconds / float64(members)
		for service, count := range processCost.SubscribersByService {
			subscribersByService[service] += count
		}
		for _, change := range processCost.ObservedChanges {
			key := changeKey{change.Service, change.Index}
			if observations[key] == nil {
				observations[key] = &observation{}
			}
			observed := observations[key]
			observed.count += change.Subscribers
			if change.Last.After(observed.last) {
				observed.last = change.Last
			}
		}
	}
	for key, requested := range committed {
		switch observed := observations[key]; {
		case subscribersByService[key.service] == 0: // no app server subscribes to the service
		case observed == nil || observed.count < subscribersByService[key.service]:
			cost.incompleteChanges++
			cost.inForceSeconds = append(cost.inForceSeconds, math.Inf(1))
		default:
			cost.inForceSeconds = append(cost.inForceSeconds, observed.last.Sub(requested).Seconds())
		}
	}
}

// toDuration converts seconds to a duration.
func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }
