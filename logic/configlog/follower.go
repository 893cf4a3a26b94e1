package configlog

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"valveglade/logic/chance"
)

// Follower is an app server's part, and that of a distributor that is no voter: it keeps one subscription.
type Follower struct {
	cfg      FollowerConfig
	services map[string]bool
	state    FollowerState

	version     Version
	highestTerm uint64            // the highest that is known
	resumable   bool              // the table has all of its services up to version
	baseIndex   uint64            // index of the last snapshot, or of the file
	lastApplied map[string]uint64 // index of the last entry of each service that was applied above the base
	upToDateAt  float64           // when it was as new as the leader; -Inf for never
	now         float64

	connection    connection
	stream        stream
	lookups       []uint64 // that wait for a reply
	reportedStale bool
	counts        Counts
	out           []Action
}

// NewFollower begins with a table of a version, which has all of its services; with the zero Version it takes a snapshot first.
func NewFollower(cfg FollowerConfig, version Version, now float64) *Follower {
	f := &Follower{cfg: cfg, now: now, upToDateAt: math.Inf(-1), reportedStale: true}
	f.resetTable(version)
	f.setServices(cfg.Services)
	f.stream.number = uint64(chance.At(cfg.Seed, 0) * (1 << 48))
	f.connection = connection{rankedDistributors: rank(cfg.Name, cfg.Distributors), retryAt: now}
	return f
}

// restart begins from a table of a version.
func (f *Follower) resetTable(version Version) {
	f.version, f.baseIndex, f.lastApplied = version, version.Index, map[string]uint64{}
	f.highestTerm = max(f.highestTerm, version.Term)
	f.resumable = version != Version{}
}

func (f *Follower) setServices(services []string) {
	f.services = make(map[string]bool, len(services))
	for _, service := range services {
		f.services[service] = true
	}
}

// SetServices wants other services: the table has to come whole again, unless none is new.
func (f *Follower) SetServices(services []string, now float64) {
	f.now = max(f.now, now)
	added := slices.ContainsFunc(services, func(service string) bool { return !f.services[service] })
	f.cfg.Services = services
	f.setServices(services)
	if added {
		f.invalidate()
	}
	if f.state != FollowerDisconnected {
		f.subscribe()
	}
}

// moveTo changes the state, and nothing else does.
func (f *Follower) setState(state FollowerState) {
	if f.state == state {
		return
	}
	if f.state == FollowerSnapshot && state != FollowerFollowing {
		f.abandonSnapshot()
	}
	if state == FollowerFollowing {
		f.connection.failures = 0
	}
	f.state = state
	f.reportStatus()
}

// abandonSnapshot drops what has come of a snapshot.
func (f *Follower) abandonSnapshot() {
	if !f.cfg.Disabled.enabled(WholeSnapshot) {
		f.replaceTable()
		return
	}
	f.out = append(f.out, Discard{})
}

// Status tells where the follower is.
func (f *Follower) Status(now float64) Status {
	age := now - f.upToDateAt
	return Status{Version: f.version, Age: age, Stale: age > f.cfg.StaleAfter, Distributor: f.connection.name(), State: f.state,
		Counts: f.counts}
}

func (f *Follower) reportStatus() {
	status := f.Status(f.now)
	f.reportedStale = status.Stale
	f.out = append(f.out, StatusChanged{status})
}

// Tick does what is due.
func (f *Follower) Tick(now float64) {
	f.now = max(f.now, now)
	f.tickConnection()
	if f.Status(f.now).Stale != f.reportedStale {
		f.reportStatus()
	}
}

// Ready empties what there is to do, in order.
func (f *Follower) Ready() []Action {
	out := f.out
	f.out = nil
	return out
}

// rank orders distributors for one app server by rendezvous hashing: each goes to another first, and all change as little as
// can be when the list does.
func rank(name string, distributors []string) []string {
	score := func(distributor string) uint64 {
		h := fnv.New64a()
		h.Write([]byte(name))
		h.Write([]byte{0})
		h.Write([]byte(distributor))
		return uint64(chance.At(h.Sum64(), 0) * (1 << 53))
	}
	ranked := slices.Clone(distributors)
	slices.SortFunc(ranked, func(a, b string) int {
		return cmp.Or(cmp.Compare(score(b), score(a)), cmp.Compare(a, b))
	})
	return slices.Compact(ranked)
}
