package fleet

import (
	"fmt"
	"io"
	"math"
	"text/tabwriter"

	"valveglade/logic/configlog"
)

// DistributionStatus is the state of an app server's configuration.
type DistributionStatus struct {
	Name        string  `json:"name"`
	Version     uint64  `json:"version"`
	Term        uint64  `json:"term"`
	Age         float64 `json:"age_s"` // time since it was last known to match the leader's; -1 if it never was
	Stale       bool    `json:"stale"`
	Part        string  `json:"part"`  // voter, distributor or app server
	State       string  `json:"state"` // of the replica of the log, or of the subscription
	Distributor string  `json:"distributor,omitempty"`
	Leader      string  `json:"leader,omitempty"`
	Leads       bool    `json:"leads"`
	Digest      string  `json:"digest"`
	Entries     int     `json:"entries"`
	Services    int     `json:"services"`

	Subscribers     int64 `json:"subscribers"`      // current subscribers of this distributor
	Subscriptions   int64 `json:"subscriptions"`    // since the start
	SnapshotsServed int64 `json:"snapshots_served"` // since the start

	Applied        uint64           `json:"applied"`         // changes received over the subscription
	SnapshotsTaken uint64           `json:"snapshots_taken"` // whole tables received over the subscription
	Bytes          int64            `json:"bytes"`           // over the subscription's connections, in both directions
	Lookups        int              `json:"lookups_kept"`
	Refused        map[string]int64 `json:"refused,omitempty"` // counts of rejected and dropped items by cause
}

// Status returns the state of this process's configuration.
func (d *Distribution) Status() DistributionStatus {
	state := d.Table()
	s := DistributionStatus{Name: d.cfg.Name, Version: state.Version.Index, Term: state.Version.Term,
		Digest: fmt.Sprintf("%016x", uint64(state.Table.Digest())), Entries: state.Table.Len(),
		Services: state.Table.ServiceCount(), Lookups: d.cache.len(), Refused: d.rejectionCounts()}
	s.Leader, _ = d.leader()
	age := d.sourceAge()
	s.Stale = age > d.cfg.StaleAfter
	if s.Age = math.Round(age*1e3) / 1e3; !(age < maxSeconds) {
		s.Age = -1
	}
	if d.feed != nil {
		s.Part, s.Subscribers, s.Subscriptions, s.SnapshotsServed = "distributor", d.feed.subscriberCount.Load(),
			d.feed.subscriptionCount.Load(), d.feed.snapshotCount.Load()
	}
	if d.replica != nil {
		s.Part = "voter"
		status := d.replica.status.Load()
		s.State, s.Leads = replicaStateNames[status.State], status.State == configlog.ReplicaLeader
		return s
	}
	if s.Part == "" {
		s.Part = "app server"
	}
	status := d.follower.status.Load()
	s.State, s.Distributor = status.State.String(), status.Distributor
	s.Applied, s.SnapshotsTaken, s.Bytes = status.Counts.Applied, status.Counts.Snapshots, d.follower.streamBytes()
	return s
}

var replicaStateNames = map[configlog.ReplicaState]string{configlog.ReplicaFollower: "follows",
	configlog.ReplicaPreparing: "asks for promises",
	configlog.ReplicaFetching:  "fetches", configlog.ReplicaLeader: "leads"}

// rejectionCounts returns the nonzero counts of rejected and dropped messages, changes and writes, by cause.
func (d *Distribution) rejectionCounts() map[string]int64 {
	all := map[string]int64{"malformed packets": d.counts.malformedPackets.Load(),
		"dropped packets":  d.counts.droppedPackets.Load(),
		"malformed frames": d.counts.malformedFrames.Load(), "slow subscribers": d.counts.slowSubscribers.Load(),
		"refused changes": d.counts.rejectedChanges.Load(), "unreadable changes": d.counts.unreadableChanges.Load(),
		"failed writes": d.counts.failedWrites.Load(), "skipped writes": d.counts.skippedWrites.Load()}
	if d.follower != nil {
		c := d.follower.status.Load().Counts
		for name, n := range map[string]uint64{"gaps": c.Gaps, "duplicates": c.Duplicates, "reordered": c.Reordered,
			"stale": c.Stale, "old terms": c.StaleTerms, "malformed": c.Malformed} {
			all[name] = int64(n)
		}
	}
	for name, n := range all {
		if n == 0 {
			delete(all, name)
		}
	}
	return all
}

// Table writes the status in readable form.
func (s DistributionStatus) Table(w io.Writer) {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	writeRow := func(name, format string, args ...any) { fmt.Fprintf(t, name+"\t"+format+"\n", args...) }
	age := fmt.Sprintf("%gs", s.Age)
	if s.Age < 0 {
		age = "never known to be new"
	}
	if s.Stale {
		age += "  STALE"
	}
	writeRow("app server", "%s, %s, %s", s.Name, s.Part, s.State)
	writeRow("version", "%d of term %d", s.Version, s.Term)
	writeRow("age", "%s", age)
	if s.Distributor != "" {
		writeRow("distributor", "%s", s.Distributor)
	}
	if s.Leader != "" {
		writeRow("leader", "%s", s.Leader)
	}
	writeRow("entries", "%d of %d services, digest %s", s.Entries, s.Services, s.Digest)
	if s.Part == "app server" {
		writeRow("taken", "%d changes, %d snapshots", s.Applied, s.SnapshotsTaken)
	} else {
		writeRow("served", "%d subscribers now, %d subscriptions and %d snapshots so far",
			s.Subscribers, s.Subscriptions, s.SnapshotsServed)
	}
	for _, cause := range sortedCauses(s.Refused) {
		writeRow("refused", "%d %s", s.Refused[cause], cause)
	}
	t.Flush()
}
