package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
	"valveglade/member"
)

// noOpener opens nothing.
type noOpener struct{}

func (noOpener) OpenStream(context.Context, string) (*member.Stream, error) {
	return nil, member.ErrUnknownMember
}

func aloneSubscriber(t *testing.T, services ...string) *Distribution {
	t.Helper()
	return NewSubscriber(DistributionConfig{Name: "a1", Distributors: []string{"d1"}, Services: services, Folder: t.TempDir(), StaleAfter: 18},
		noOpener{}, zap.NewNop())
}

func committedPut(t *testing.T, index uint64, tenant string, quota float64) configlog.Entry {
	t.Helper()
	change := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: "billing", Name: tenant,
		Value: configtable.Value{Tenant: configtable.TenantValue{QuotaPerSecond: quota}}}
	payload, err := change.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return configlog.Entry{Version: configlog.Version{Term: 1, Index: index}, Change: configlog.Change{Service: "billing", Payload: payload}}
}

// What can not be read or does not fit changes nothing and is counted; what comes after it is applied.
func TestUnreadableEntries(t *testing.T) {
	d := aloneSubscriber(t, "billing")
	spoilt := committedPut(t, 2, "b", 2)
	spoilt.Payload = spoilt.Payload[:3]
	state := d.applyEntries(d.Table(), []configlog.Entry{committedPut(t, 1, "a", 1), spoilt, committedPut(t, 3, "c", 3), committedPut(t, 3, "again", 4),
		{Version: configlog.Version{Term: 2, Index: 5}}})
	if state.Version != (configlog.Version{Term: 2, Index: 5}) || state.Table.Len() != 2 || d.counts.unreadableChanges.Load() != 2 {
		t.Errorf("%v, %d entries, %d counted", state.Version, state.Table.Len(), d.counts.unreadableChanges.Load())
	}
}

// More than waits for the disk is written as a whole table, and a start goes on from it.
func TestFileFallsBackToWhole(t *testing.T) {
	d := aloneSubscriber(t, "billing")
	f := d.follower.file
	if state := f.load(); state != nil {
		t.Fatalf("an empty folder has %v", state.Version)
	}
	state := d.Table()
	f.replace(state)
	if !f.save() {
		t.Fatal("not saved")
	}
	for k := range maxPendingEntries + 10 {
		entries := []configlog.Entry{committedPut(t, uint64(k+1), fmt.Sprint("t", k), 1)}
		state = d.applyEntries(state, entries)
		f.append(entries, state)
	}
	if !f.rewrite || d.counts.skippedWrites.Load() == 0 || len(f.pending) > 0 {
		t.Errorf("%d wait, %d were skipped", len(f.pending), d.counts.skippedWrites.Load())
	}
	if !f.save() {
		t.Fatal("not saved")
	}
	f.store.Close()
	again := newTableFile(d, d.follower.scope)
	if loaded := again.load(); loaded == nil || loaded.Version != state.Version || loaded.Table.Digest() != state.Table.Digest() {
		t.Errorf("read again: %+v", loaded)
	}
	again.invalidate()
	if !again.save() {
		t.Fatal("not saved")
	}
	again.store.Close()
	if loaded := newTableFile(d, d.follower.scope).load(); loaded != nil {
		t.Errorf("continued from a file that is not to be: %v", loaded.Version)
	}
}

// A version that goes on without a change here is saved too, so that a restart has no gap to fill.
func TestFileKeepsVersion(t *testing.T) {
	d := aloneSubscriber(t, "billing")
	f := d.follower.file
	f.load()
	f.replace(d.applyEntries(d.Table(), []configlog.Entry{committedPut(t, 1, "a", 1)}))
	f.save()
	moved := &TableState{Table: f.state.Table, Version: configlog.Version{Term: 3, Index: 900}}
	f.append(nil, moved)
	if f.shouldSave(time.Now()) || !f.shouldSave(time.Now().Add(-2*fileVersionDelay)) {
		t.Error("the version alone is saved too early, or not at all")
	}
	f.save()
	f.store.Close()
	if loaded := newTableFile(d, d.follower.scope).load(); loaded == nil || loaded.Version != moved.Version || loaded.Table.Len() != 1 {
		t.Errorf("read again: %+v", loaded)
	}
}

func TestLookupCacheIsBounded(t *testing.T) {
	c := newLookupCache()
	for k := range lookupCacheEntries + 100 {
		c.put(configtable.Tenant, fmt.Sprint(k), LookupResult{Found: true}, 0)
		c.get(configtable.Tenant, "0", 0) // used all the time
	}
	if c.len() != lookupCacheEntries || len(c.entries) != lookupCacheEntries {
		t.Errorf("%d, %d entries", c.len(), len(c.entries))
	}
	if _, ok := c.get(configtable.Tenant, "0", 0); !ok {
		t.Error("what is used was dropped")
	}
	if _, ok := c.get(configtable.Tenant, "1", 0); ok {
		t.Error("what is not used was kept")
	}
	if _, ok := c.get(configtable.Tenant, "0", lookupCacheTTL+1); ok {
		t.Error("an old result was given")
	}
	if _, ok := c.get(configtable.Route, "0", 0); ok {
		t.Error("a result of another kind was given")
	}
}

// A packet that is not of the protocol, or for somebody who has no copy of the log, is counted and harms nothing.
func TestForeignPackets(t *testing.T) {
	d := aloneSubscriber(t, "billing")
	d.receive("v1", []byte(replicationMagic))
	d.receive("v1", []byte(replicationMagic+"\x09nonsense"))
	d.receive("v1", encodeReplication(configlog.RecoverRequest{Term: 1}))
	if d.counts.malformedPackets.Load() != 2 || d.counts.droppedPackets.Load() != 1 {
		t.Errorf("%d malformed, %d dropped", d.counts.malformedPackets.Load(), d.counts.droppedPackets.Load())
	}
}

// A subscriber that does not read is closed and counted once its queue is full; others go on.
func TestSlowSubscriber(t *testing.T) {
	d := newDistribution(DistributionConfig{Name: "v1", Voters: [][]string{{"v1"}}, BytesPerSecond: 1e9, StaleAfter: 18}, noOpener{}, zap.NewNop())
	l := d.feed
	cfg := configlog.FeedConfig{HistoryEntries: 10, BufferBytes: feedBufferBytes, PartBytes: feedPartBytes, BytesPerSecond: 1e9, HeartbeatEvery: 1, LookupsInFlight: 1}
	l.machine = configlog.NewFeed(cfg, tableSnapshotter{d}, configlog.Version{}, 0)
	slow := &subscriberConn{id: 1, queue: make(chan []byte, 3)}
	quick := &subscriberConn{id: 2, queue: make(chan []byte, subscriberQueueFrames)}
	for _, s := range []*subscriberConn{slow, quick} {
		l.handle(subscriberJoined{s, configlog.Subscribe{Stream: 1, All: true}})
		l.processReady()
	}
	for k := range 20 {
		entry := committedPut(t, uint64(k+1), "a", float64(k))
		if k > 0 {
			entry.Previous = uint64(k)
		}
		l.handle(entriesCommitted{[]configlog.Entry{entry}})
		l.processReady()
	}
	if l.subscribers[1] != nil || l.subscribers[2] == nil || d.counts.slowSubscribers.Load() != 1 || len(quick.queue) < 20 {
		t.Errorf("%d subscribers, %d counted, %d frames for the quick one", len(l.subscribers), d.counts.slowSubscribers.Load(), len(quick.queue))
	}
}
