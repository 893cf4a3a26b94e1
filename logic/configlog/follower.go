package configlog

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"

	"valveglade/logic/chance"
)

// Follower keeps one subscription for an app server, or for a distributor that is not a voter.
type Follower struct {
	cfg      FollowerConfig
	services map[string]bool
	state    FollowerState

	version     Version
	highestTerm uint64            // the highest known term
	resumable   bool              // the table has all entries of its services up to version
	baseIndex   uint64            // index of the last snapshot, or of the file at the start
	lastApplied map[string]uint64 // index of the last applied entry of each service, if above the base
	upToDateAt  float64           // when it was last known to be up to date; -Inf for never
	now         float64

	connection    connection
	stream        stream
	lookups       []uint64 // IDs of the lookups without a reply
	reportedStale bool
	counts        Counts
	out           []Action
}

// NewFollower returns a follower for a table at a version, with all entries of its services. With the zero
// Version it requests a snapshot first.
func NewFollower(cfg FollowerConfig, version Version, now float64) *Follower {
	f := &Follower{cfg: cfg, now: now, upToDateAt: math.Inf(-1), reportedStale: true}
	f.resetTable(version)
	f.setServices(cfg.Services)
	f.stream.number = uint64(chance.At(cfg.Seed, 0) * (1 << 48))
	f.connection = connection{rankedDistributors: rank(cfg.Name, cfg.Distributors), retryAt: now}
	return f
}

// resetTable continues from a table at a version.
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

// SetServices changes the services of the subscription. If one is new, the table is replaced by a
// snapshot.
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

// setState is the only function that changes the state.
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

// abandonSnapshot discards the received parts of an incomplete snapshot.
func (f *Follower) abandonSnapshot() {
	if !f.cfg.Disabled.enabled(WholeSnapshot) {
		f.replaceTable()
		return
	}
	f.out = append(f.out, Discard{})
}

// Status returns a snapshot of the state of the follower.
func (f *Follower) Status(now float64) Status {
	age := now - f.upToDateAt
	return Status{Version: f.version, Age: age, Stale: age > f.cfg.StaleAfter,
		Distributor: f.connection.name(), State: f.state, Counts: f.counts}
}

func (f *Follower) reportStatus() {
	status := f.Status(f.now)
	f.reportedStale = status.Stale
	f.out = append(f.out, StatusChanged{status})
}

// Tick does what is due: it opens or gives up a connection, and reports when the table becomes stale.
func (f *Follower) Tick(now float64) {
	f.now = max(f.now, now)
	f.tickConnection()
	if f.Status(f.now).Stale != f.reportedStale {
		f.reportStatus()
	}
}

// Ready returns the actions since the last call, in order.
func (f *Follower) Ready() []Action {
	out := f.out
	f.out = nil
	return out
}

// rank orders the distributors for one app server by rendezvous hashing. This spreads the app servers
// evenly, and a change of the list moves as few of them as possible.
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
