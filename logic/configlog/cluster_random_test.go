package configlog

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"valveglade/logic/chance"
	"valveglade/rig/explore"
)

// whole is an installation: three voters that distribute too, a distributor that is no voter, and an app server that subscribes to any
// of them.
type whole struct {
	seed, drawn uint64
	now         float64
	term        uint64
	proposed    uint64
	starts      uint64
	voters      [3]wholeVoter
	relay       wholeServer // the distributor that is no voter
	app         wholeServer
	relayFeed   *Feed
	relayTable  prefixTable
	flight      []Envelope
	committed   []Entry
	results     map[uint64]Version
	calm        bool // nothing goes wrong any more
	trace       []string
}

type wholeVoter struct {
	replica *Replica
	disk    Stored
	feed    *Feed
	table   prefixTable
}

// wholeServer is a follower, and what is on its way to it.
type wholeServer struct {
	appServer
	id     SubscriberID
	flight []StreamMessage
}

// servers are the followers, by id.
func (w *whole) servers() []*wholeServer { return []*wholeServer{&w.relay, &w.app} }

func (w *whole) chance() float64 {
	w.drawn++
	return chance.At(w.seed, w.drawn)
}

func (w *whole) pick(n int) int { return int(w.chance() * float64(n)) }

func newWhole(seed uint64) *whole {
	w := &whole{seed: seed, results: map[uint64]Version{}}
	for voter := range w.voters {
		w.startVoter(voter)
	}
	w.app.id = 1
	w.startServer(&w.relay)
	w.startServer(&w.app)
	return w
}

func (w *whole) feedConfig() FeedConfig {
	return FeedConfig{HistoryEntries: 5, BufferBytes: 400, PartBytes: 1, BytesPerSecond: 400, HeartbeatEvery: 1, LookupsInFlight: 2}
}

func (w *whole) startVoter(k int) {
	v := &w.voters[k]
	cfg := ReplicaConfig{Name: voterNames[k], Voters: [][]string{voterNames}, KeepEntries: 6, MaxOpen: 3, MessageBytes: 80, MaxInFlight: 2,
		ResendAfter: 1, HeartbeatEvery: 2}
	v.replica = NewReplica(cfg, v.disk, w.now)
	v.feed = NewFeed(w.feedConfig(), &v.table, lastOf(v.table.entries), w.now)
}

func (w *whole) startServer(s *wholeServer) {
	w.starts++
	cfg := FollowerConfig{Name: "s", Services: []string{"a", "b"}, Distributors: []string{"v0", "v1", "v2", "relay"}, SilentAfter: 6,
		StaleAfter: 18, BackoffMin: 1, BackoffMax: 3, Seed: w.seed<<16 + w.starts, MaxLookups: 2}
	if s == &w.relay {
		cfg.All, cfg.Services, cfg.Distributors = true, nil, voterNames
	}
	s.appServer = appServer{version: s.version, records: s.records}
	s.follower = NewFollower(cfg, s.version, w.now)
	if s == &w.relay {
		w.relayFeed = NewFeed(w.feedConfig(), &w.relayTable, s.version, w.now)
		s.applied = func(entries []Entry) { w.relayed(w.relayFeed.Append(entries)) }
		s.replaced = func(version Version) { w.relayed(nil); w.relayFeed.Reset(version) }
	}
}

// relayed has the relay's table be as its follower says.
func (w *whole) relayed(err error) {
	if err != nil {
		panic(err)
	}
	w.relayTable.entries = w.committed[:w.relay.follower.version.Index]
}

func (w *whole) feed(name string) *Feed {
	if name == "relay" {
		return w.relayFeed
	}
	return w.voters[number(name)].feed
}

// step has one thing happen.
func (w *whole) step() {
	k := w.pick(3)
	draw := w.chance()
	if w.calm {
		draw = 0.09 + 0.91*draw
	}
	switch {
	case draw < 0.01:
		w.say("v%d starts again", k)
		w.startVoter(k)
	case draw < 0.02:
		w.say("the app server or the relay starts again")
		s := w.servers()[w.pick(2)]
		w.leave(s)
		w.startServer(s)
	case draw < 0.04:
		w.lead(k)
	case draw < 0.05 && len(w.flight) > 0:
		w.flight = slices.Delete(w.flight, 0, 1+w.pick(len(w.flight)))
	case draw < 0.08 && len(w.flight) > 0:
		w.flight = append(w.flight, w.flight[w.pick(len(w.flight))])
	case draw < 0.09:
		w.disturb(&w.app)
		w.disturb(&w.relay)
	case draw < 0.15:
		w.propose(k)
	case draw < 0.25:
		w.tick()
	case draw < 0.6 && len(w.flight) > 0:
		at := w.pick(len(w.flight))
		envelope := w.flight[at]
		w.flight = slices.Delete(w.flight, at, at+1)
		w.voters[number(envelope.To)].replica.Step(envelope, w.now)
	case draw < 0.8:
		w.serve(&w.relay)
	default:
		w.serve(&w.app)
	}
	w.settle()
}

func (w *whole) say(format string, args ...any) {
	w.trace = append(w.trace, fmt.Sprintf("%5.1f ", w.now)+fmt.Sprintf(format, args...))
}

func (w *whole) lead(k int) {
	w.term++
	w.say("v%d leads under term %d", k, w.term)
	_ = w.voters[k].replica.Lead(w.term, w.now)
}

func (w *whole) propose(k int) {
	w.proposed++
	change := Change{Service: string(rune('a' + w.pick(3))), Payload: fmt.Append(nil, w.proposed)}
	if w.voters[k].replica.Propose(w.proposed, change, w.now) == nil {
		w.say("v%d takes proposal %d", k, w.proposed)
	}
}

func (w *whole) tick() {
	w.now += 0.5
	for k := range w.voters {
		v := &w.voters[k]
		v.replica.Tick(w.now)
		v.feed.Tick(w.now, v.replica.Status(w.now).Age)
	}
	w.relay.follower.Tick(w.now)
	w.app.follower.Tick(w.now)
	w.relayFeed.Tick(w.now, w.relay.follower.Status(w.now).Age)
}

// disturb loses, doubles or reorders a message of a stream, or breaks it.
func (w *whole) disturb(s *wholeServer) {
	n := len(s.flight)
	kind := w.pick(4)
	switch {
	case kind == 0:
		w.leave(s)
		s.follower.Disconnected(w.now)
	case n == 0:
	case kind == 1:
		s.flight = s.flight[1:]
	case kind == 2:
		s.flight = append(s.flight, s.flight[w.pick(n)])
	default:
		s.flight[0], s.flight[n-1] = s.flight[n-1], s.flight[0]
	}
}

func (w *whole) leave(s *wholeServer) {
	if s.connected != "" {
		w.feed(s.connected).Unsubscribe(s.id)
	}
	s.connected, s.wants = "", ""
}

// serve has a follower connect, or take a message.
func (w *whole) serve(s *wholeServer) {
	switch {
	case s.wants != "":
		s.connected, s.wants = s.wants, ""
		s.follower.Connected(w.now)
	case len(s.flight) > 0:
		message := s.flight[0]
		s.flight = s.flight[1:]
		_ = s.follower.Step(message, w.now)
	}
}

// settle carries out what all machines want done.
func (w *whole) settle() {
	for k := range w.voters {
		w.carryOut(k)
	}
	for _, s := range w.servers() {
		s.carryOut(func(name string, request Subscribe) { w.feed(name).Subscribe(s.id, request, w.now) },
			func(string) { w.leave(s) })
	}
	for _, name := range []string{"v0", "v1", "v2", "relay"} {
		ready := w.feed(name).Ready()
		for _, outgoing := range ready.Messages {
			s := w.servers()[outgoing.Subscriber]
			s.flight = append(s.flight, outgoing.Message)
		}
		for _, closed := range ready.Closed {
			for _, s := range w.servers() {
				if s.id == closed.Subscriber && s.connected == name {
					s.connected = ""
					s.follower.Disconnected(w.now)
				}
			}
		}
	}
}

func (w *whole) carryOut(k int) {
	v := &w.voters[k]
	ready := v.replica.Ready()
	v.disk = write(v.disk, ready.Persist)
	w.flight = append(w.flight, ready.Messages...)
	for _, entry := range ready.Committed {
		w.commit(k, entry)
	}
	if err := v.feed.Append(ready.Committed); err != nil {
		panic(err)
	}
	v.disk.Commit = uint64(len(v.table.entries))
	for _, result := range ready.Results {
		if result.Err == nil {
			w.results[result.ID] = result.Version
		}
	}
	if upTo := ready.CompactedUpTo; upTo != (Version{}) {
		v.disk.LastOfService = v.replica.LastOfService(upTo.Index)
		v.disk.Entries = v.disk.Entries[upTo.Index-v.disk.Base.Index:]
		v.disk.Base = upTo
	}
	if need := ready.NeedSnapshot; need != (Version{}) {
		w.install(k, need)
	}
}

// commit checks what a voter tells as committed against what any has told before.
func (w *whole) commit(k int, entry Entry) {
	v := &w.voters[k]
	at := len(v.table.entries)
	if at == len(w.committed) {
		w.committed = append(w.committed, entry)
	}
	if w.committed[at].Version != entry.Version || string(w.committed[at].Payload) != string(entry.Payload) {
		panic(fmt.Sprintf("v%d commits %+v, not %+v", k, entry, w.committed[at]))
	}
	v.table.entries = w.committed[:at+1]
}

// install gives a voter another one's table.
func (w *whole) install(k int, need Version) {
	for other := range w.voters {
		from := &w.voters[other]
		version := lastOf(from.table.entries)
		if other == k || version.Index < need.Index {
			continue
		}
		last := map[string]uint64{}
		for _, entry := range from.table.entries {
			last[entry.Service] = entry.Index
		}
		v := &w.voters[k]
		if !v.replica.InstallSnapshot(version, last, w.now) {
			return
		}
		w.say("v%d installs a snapshot of %v", k, version)
		v.table.entries = from.table.entries
		v.feed.Reset(version)
		persist := v.replica.Ready().Persist
		v.disk = write(v.disk, persist)
		if persist.Reset {
			v.disk.LastOfService = last
		}
		return
	}
}

// check compares the tables and the results with the log.
func (w *whole) check() string {
	for id, version := range w.results {
		if entry := w.committed[version.Index-1]; entry.Version != version || string(entry.Payload) != fmt.Sprint(id) {
			return fmt.Sprintf("proposal %d was told committed at %v, there is %+v", id, version, entry)
		}
	}
	for _, s := range w.servers() {
		at := s.follower.version.Index
		if s.invalidated {
			return fmt.Sprintf("server %d found an entry missing, and none is", s.id)
		}
		if want := recordsOf(w.committed[:at], s.follower.subscribesTo); !slices.EqualFunc(s.records, want, sameChange) {
			return fmt.Sprintf("server %d at version %d has %s, not %s", s.id, at, s.records, want)
		}
	}
	return ""
}

// calmDown has one voter lead while nothing goes wrong, and tells what is not as new as the log after a while.
func (w *whole) calmDown() string {
	w.calm = true
	for k := range w.voters {
		w.voters[k].replica.StepDown()
	}
	w.lead(w.pick(3))
	for range 6000 {
		w.step()
	}
	for range 400 { // no more proposals: what is under way ends
		w.tick()
		w.settle()
		for len(w.flight) > 0 {
			envelope := w.flight[0]
			w.flight = w.flight[1:]
			w.voters[number(envelope.To)].replica.Step(envelope, w.now)
			w.settle()
		}
		for range 9 {
			w.serve(&w.relay)
			w.serve(&w.app)
			w.settle()
		}
	}
	want := lastOf(w.committed)
	for k := range w.voters {
		if status := w.voters[k].replica.Status(w.now); status.Committed != want {
			return fmt.Sprintf("v%d has %+v, not %v", k, status, want)
		}
	}
	for _, s := range w.servers() {
		if status := s.follower.Status(w.now); status.Version != want || status.Stale {
			return fmt.Sprintf("server %d has %+v, not %v", s.id, status, want)
		}
	}
	return w.check()
}

// A whole installation keeps the rules through what goes wrong at random, and is up to date once nothing does.
func TestRandomWhole(t *testing.T) {
	seeds, steps := 40, 3000
	if explore.Race {
		seeds = 4
	}
	committed, snapshots, gaps := 0, uint64(0), uint64(0)
	for seed := range uint64(seeds) {
		w := newWhole(seed)
		fail := func(why string) {
			t.Fatalf("seed %d: %s\n%s", seed, why, strings.Join(w.trace[max(0, len(w.trace)-60):], "\n"))
		}
		for range steps {
			w.step()
			if why := w.check(); why != "" {
				fail(why)
			}
		}
		if why := w.calmDown(); why != "" {
			fail(why)
		}
		committed += len(w.committed)
		snapshots += w.app.follower.counts.Snapshots
		gaps += w.app.follower.counts.Gaps
	}
	t.Logf("%d installations: %d entries committed; of the last followers %d snapshots, %d gaps", seeds, committed, snapshots, gaps)
}
