package configlog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"valveglade/logic/chance"
	"valveglade/rig/explore"
)

// cluster is an installation: three voters that are also distributors, a distributor that is not a voter
// (the relay), and an app server that subscribes to any of them.
type cluster struct {
	seed       uint64
	draws      uint64 // random numbers drawn so far
	now        float64
	term       uint64 // of the last election
	proposed   uint64 // ID of the last proposal
	starts     uint64 // of followers; makes their seeds differ
	voters     [3]clusterVoter
	relay      clusterFollower // the distributor that is not a voter
	app        clusterFollower
	relayFeed  *Feed
	relayTable prefixTable
	inFlight   []Envelope
	committed  []Entry            // reported as committed by any voter
	results    map[uint64]Version // of committed proposals, by ID
	faultFree  bool               // no more faults are injected
	trace      []string
}

type clusterVoter struct {
	replica *Replica
	disk    Stored
	feed    *Feed
	table   prefixTable
}

// clusterFollower is a follower and the stream messages in flight to it.
type clusterFollower struct {
	appServer
	id       SubscriberID
	inFlight []StreamMessage
}

// followers returns the followers by subscriber ID.
func (c *cluster) followers() []*clusterFollower { return []*clusterFollower{&c.relay, &c.app} }

func (c *cluster) random() float64 {
	c.draws++
	return chance.At(c.seed, c.draws)
}

func (c *cluster) randomInt(n int) int { return int(c.random() * float64(n)) }

func newCluster(seed uint64) *cluster {
	c := &cluster{seed: seed, results: map[uint64]Version{}}
	for voter := range c.voters {
		c.startVoter(voter)
	}
	c.app.id = 1
	c.startFollower(&c.relay)
	c.startFollower(&c.app)
	return c
}

func (c *cluster) feedConfig() FeedConfig {
	return FeedConfig{HistoryEntries: 5, BufferBytes: 400, PartBytes: 1, BytesPerSecond: 400,
		HeartbeatEvery: 1, LookupsInFlight: 2}
}

func (c *cluster) startVoter(voter int) {
	v := &c.voters[voter]
	cfg := ReplicaConfig{Name: voterNames[voter], Voters: [][]string{voterNames}, KeepEntries: 6,
		MaxOpen: 3, MessageBytes: 80, MaxInFlight: 2, ResendAfter: 1, HeartbeatEvery: 2}
	v.replica = NewReplica(cfg, v.disk, c.now)
	v.feed = NewFeed(c.feedConfig(), &v.table, lastVersion(v.table.entries), c.now)
}

func (c *cluster) startFollower(s *clusterFollower) {
	c.starts++
	cfg := FollowerConfig{Name: "s", Services: []string{"a", "b"},
		Distributors: []string{"v0", "v1", "v2", "relay"}, SilentAfter: 6, StaleAfter: 18,
		BackoffMin: 1, BackoffMax: 3, Seed: c.seed<<16 + c.starts, MaxLookups: 2}
	if s == &c.relay {
		cfg.All, cfg.Services, cfg.Distributors = true, nil, voterNames
	}
	s.appServer = appServer{version: s.version, records: s.records}
	s.follower = NewFollower(cfg, s.version, c.now)
	if s == &c.relay {
		c.relayFeed = NewFeed(c.feedConfig(), &c.relayTable, s.version, c.now)
		s.onApplied = func(entries []Entry) { c.updateRelayTable(c.relayFeed.Append(entries)) }
		s.onReplaced = func(version Version) { c.updateRelayTable(nil); c.relayFeed.Reset(version) }
	}
}

// updateRelayTable sets the relay's table to the version of its follower.
func (c *cluster) updateRelayTable(err error) {
	if err != nil {
		panic(err)
	}
	c.relayTable.entries = c.committed[:c.relay.follower.version.Index]
}

func (c *cluster) feed(name string) *Feed {
	if name == "relay" {
		return c.relayFeed
	}
	return c.voters[voterNumber(name)].feed
}

// step performs one random action, or injects one random fault.
func (c *cluster) step() {
	voter := c.randomInt(3)
	draw := c.random()
	if c.faultFree {
		draw = 0.09 + 0.91*draw
	}
	switch {
	case draw < 0.01:
		c.logf("v%d restarts", voter)
		c.startVoter(voter)
	case draw < 0.02:
		c.logf("the app server or the relay restarts")
		s := c.followers()[c.randomInt(2)]
		c.disconnect(s)
		c.startFollower(s)
	case draw < 0.04:
		c.elect(voter)
	case draw < 0.05 && len(c.inFlight) > 0:
		c.inFlight = slices.Delete(c.inFlight, 0, 1+c.randomInt(len(c.inFlight)))
	case draw < 0.08 && len(c.inFlight) > 0:
		c.inFlight = append(c.inFlight, c.inFlight[c.randomInt(len(c.inFlight))])
	case draw < 0.09:
		c.disturbStream(&c.app)
		c.disturbStream(&c.relay)
	case draw < 0.15:
		c.propose(voter)
	case draw < 0.25:
		c.tick()
	case draw < 0.6 && len(c.inFlight) > 0:
		position := c.randomInt(len(c.inFlight))
		envelope := c.inFlight[position]
		c.inFlight = slices.Delete(c.inFlight, position, position+1)
		c.voters[voterNumber(envelope.To)].replica.Step(envelope, c.now)
	case draw < 0.8:
		c.serveFollower(&c.relay)
	default:
		c.serveFollower(&c.app)
	}
	c.processOutput()
}

func (c *cluster) logf(format string, args ...any) {
	c.trace = append(c.trace, fmt.Sprintf("%5.1f ", c.now)+fmt.Sprintf(format, args...))
}

func (c *cluster) elect(voter int) {
	c.term++
	c.logf("v%d leads under term %d", voter, c.term)
	_ = c.voters[voter].replica.Lead(c.term, c.now)
}

func (c *cluster) propose(voter int) {
	c.proposed++
	change := Change{Service: string(rune('a' + c.randomInt(3))), Payload: fmt.Append(nil, c.proposed)}
	if c.voters[voter].replica.Propose(c.proposed, change, c.now) == nil {
		c.logf("v%d accepts proposal %d", voter, c.proposed)
	}
}

func (c *cluster) tick() {
	c.now += 0.5
	for voter := range c.voters {
		v := &c.voters[voter]
		v.replica.Tick(c.now)
		v.feed.Tick(c.now, v.replica.Status(c.now).Age)
	}
	c.relay.follower.Tick(c.now)
	c.app.follower.Tick(c.now)
	c.relayFeed.Tick(c.now, c.relay.follower.Status(c.now).Age)
}

// disturbStream loses, duplicates or reorders a message of a stream, or disconnects it.
func (c *cluster) disturbStream(s *clusterFollower) {
	n := len(s.inFlight)
	kind := c.randomInt(4)
	switch {
	case kind == 0:
		c.disconnect(s)
		s.follower.Disconnected(c.now)
	case n == 0:
	case kind == 1:
		s.inFlight = s.inFlight[1:]
	case kind == 2:
		s.inFlight = append(s.inFlight, s.inFlight[c.randomInt(n)])
	default:
		s.inFlight[0], s.inFlight[n-1] = s.inFlight[n-1], s.inFlight[0]
	}
}

func (c *cluster) disconnect(s *clusterFollower) {
	if s.connected != "" {
		c.feed(s.connected).Unsubscribe(s.id)
	}
	s.connected, s.connectTo = "", ""
}

// serveFollower lets a follower connect, or receive a message.
func (c *cluster) serveFollower(s *clusterFollower) {
	switch {
	case s.connectTo != "":
		s.connected, s.connectTo = s.connectTo, ""
		s.follower.Connected(c.now)
	case len(s.inFlight) > 0:
		message := s.inFlight[0]
		s.inFlight = s.inFlight[1:]
		_ = s.follower.Step(message, c.now)
	}
}

// processOutput carries out the output of all state machines.
func (c *cluster) processOutput() {
	for voter := range c.voters {
		c.processReplica(voter)
	}
	for _, s := range c.followers() {
		s.runActions(func(name string, request Subscribe) { c.feed(name).Subscribe(s.id, request, c.now) },
			func(string) { c.disconnect(s) })
	}
	for _, name := range []string{"v0", "v1", "v2", "relay"} {
		ready := c.feed(name).Ready()
		for _, outgoing := range ready.Messages {
			s := c.followers()[outgoing.Subscriber]
			s.inFlight = append(s.inFlight, outgoing.Message)
		}
		for _, closed := range ready.Closed {
			for _, s := range c.followers() {
				if s.id == closed.Subscriber && s.connected == name {
					s.connected = ""
					s.follower.Disconnected(c.now)
				}
			}
		}
	}
}

func (c *cluster) processReplica(voter int) {
	v := &c.voters[voter]
	ready := v.replica.Ready()
	v.disk = applyPersist(v.disk, ready.Persist)
	c.inFlight = append(c.inFlight, ready.Messages...)
	for _, entry := range ready.Committed {
		c.commitEntry(voter, entry)
	}
	if err := v.feed.Append(ready.Committed); err != nil {
		panic(err)
	}
	v.disk.Commit = uint64(len(v.table.entries))
	for _, result := range ready.Results {
		if result.Err == nil {
			c.results[result.ID] = result.Version
		}
	}
	if upTo := ready.CompactedUpTo; upTo != (Version{}) {
		v.disk.LastOfService = v.replica.LastOfService(upTo.Index)
		v.disk.Entries = v.disk.Entries[upTo.Index-v.disk.Base.Index:]
		v.disk.Base = upTo
	}
	if needed := ready.NeedSnapshot; needed != (Version{}) {
		c.installSnapshot(voter, needed)
	}
}

// commitEntry checks an entry that a voter reports as committed against what any voter has reported
// before.
func (c *cluster) commitEntry(voter int, entry Entry) {
	v := &c.voters[voter]
	position := len(v.table.entries)
	if position == len(c.committed) {
		c.committed = append(c.committed, entry)
	}
	if c.committed[position].Version != entry.Version ||
		string(c.committed[position].Payload) != string(entry.Payload) {
		panic(fmt.Sprintf("v%d commits %+v, want %+v", voter, entry, c.committed[position]))
	}
	v.table.entries = c.committed[:position+1]
}

// installSnapshot installs another voter's table in a voter.
func (c *cluster) installSnapshot(voter int, needed Version) {
	for other := range c.voters {
		from := &c.voters[other]
		version := lastVersion(from.table.entries)
		if other == voter || version.Index < needed.Index {
			continue
		}
		last := map[string]uint64{}
		for _, entry := range from.table.entries {
			last[entry.Service] = entry.Index
		}
		v := &c.voters[voter]
		if !v.replica.InstallSnapshot(version, last, c.now) {
			return
		}
		c.logf("v%d installs a snapshot of %v", voter, version)
		v.table.entries = from.table.entries
		v.feed.Reset(version)
		persist := v.replica.Ready().Persist
		v.disk = applyPersist(v.disk, persist)
		if persist.Reset {
			v.disk.LastOfService = last
		}
		return
	}
}

// check compares the tables and the results of the proposals with the log.
func (c *cluster) check() string {
	for id, version := range c.results {
		if entry := c.committed[version.Index-1]; entry.Version != version ||
			string(entry.Payload) != fmt.Sprint(id) {
			return fmt.Sprintf("proposal %d was reported as committed at %v, where the log has %+v",
				id, version, entry)
		}
	}
	for _, s := range c.followers() {
		index := s.follower.version.Index
		if s.invalidated {
			return fmt.Sprintf("follower %d reported a missing entry, but none is missing", s.id)
		}
		if want := recordsOf(c.committed[:index], s.follower.subscribesTo); !slices.EqualFunc(
			s.records, want, sameChange) {
			return fmt.Sprintf("follower %d at version %d has %s, want %s", s.id, index, s.records, want)
		}
	}
	return ""
}

// recoverWithoutFaults elects a leader, injects no more faults, and returns which part has not caught up
// with the log after a while.
func (c *cluster) recoverWithoutFaults() string {
	c.faultFree = true
	for voter := range c.voters {
		c.voters[voter].replica.StepDown()
	}
	c.elect(c.randomInt(3))
	for range 6000 {
		c.step()
	}
	for range 400 { // no more proposals: those in progress complete
		c.tick()
		c.processOutput()
		for len(c.inFlight) > 0 {
			envelope := c.inFlight[0]
			c.inFlight = c.inFlight[1:]
			c.voters[voterNumber(envelope.To)].replica.Step(envelope, c.now)
			c.processOutput()
		}
		for range 9 {
			c.serveFollower(&c.relay)
			c.serveFollower(&c.app)
			c.processOutput()
		}
	}
	want := lastVersion(c.committed)
	for voter := range c.voters {
		if status := c.voters[voter].replica.Status(c.now); status.Committed != want {
			return fmt.Sprintf("v%d has %+v, want %v", voter, status, want)
		}
	}
	for _, s := range c.followers() {
		if status := s.follower.Status(c.now); status.Version != want || status.Stale {
			return fmt.Sprintf("follower %d has %+v, want %v", s.id, status, want)
		}
	}
	return c.check()
}

// A cluster keeps the log and the tables consistent through random faults, and catches up once no more
// faults are injected.
func TestRandomCluster(t *testing.T) {
	seeds, steps := 40, 3000
	if explore.RaceEnabled {
		seeds = 4
	}
	committed, snapshots, gaps := 0, uint64(0), uint64(0)
	for seed := range uint64(seeds) {
		c := newCluster(seed)
		fail := func(violation string) {
			t.Fatalf("seed %d: %s\n%s", seed, violation,
				strings.Join(c.trace[max(0, len(c.trace)-60):], "\n"))
		}
		for range steps {
			c.step()
			if violation := c.check(); violation != "" {
				fail(violation)
			}
		}
		if violation := c.recoverWithoutFaults(); violation != "" {
			fail(violation)
		}
		committed += len(c.committed)
		snapshots += c.app.follower.counts.Snapshots
		gaps += c.app.follower.counts.Gaps
	}
	t.Logf("%d clusters: %d entries committed; app servers since their last restart: %d snapshots, %d gaps",
		seeds, committed, snapshots, gaps)
}
