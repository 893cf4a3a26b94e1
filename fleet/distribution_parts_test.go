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

// failingOpener fails to open any stream.
type failingOpener struct{}

func (failingOpener) OpenStream(context.Context, string) (*member.Stream, error) {
	return nil, member.ErrUnknownMember
}

func newTestSubscriber(t *testing.T, services ...string) *Distribution {
	t.Helper()
	return NewSubscriber(DistributionConfig{Name: "a1", Distributors: []string{"d1"}, Services: services,
		Folder: t.TempDir(), StaleAfter: 18}, failingOpener{}, zap.NewNop())
}

func committedTenant(t *testing.T, index uint64, tenant string, quota float64) configlog.Entry {
	t.Helper()
	change := configtable.Change{Operation: configtable.Put, Kind: configtable.Tenant, Service: "billing", Name: tenant,
		Value: configtable.Value{Tenant: configtable.TenantValue{QuotaPerSecond: quota}}}
	payload, err := change.Encode()
	if err != nil {
		t.Fatal(err)
	}
	return configlog.Entry{Version: configlog.Version{Term: 1, Index: index},
		Change: configlog.Change{Service: "billing", Payload: payload}}
}

// An entry that cannot be decoded or applied changes nothing and is counted, and later entries are applied.
func TestUnreadableEntries(t *testing.T) {
	d := newTestSubscriber(t, "billing")
	truncated := committedTenant(t, 2, "b", 2)
	truncated.Payload = truncated.Payload[:3]
	state := d.applyEntries(d.Table(), []configlog.Entry{committedTenant(t, 1, "a", 1), truncated,
		committedTenant(t, 3, "c", 3), committedTenant(t, 3, "again", 4),
		{Version: configlog.Version{Term: 2, Index: 5}}})
	if state.Version != (configlog.Version{Term: 2, Index: 5}) || state.Table.Len() != 2 ||
		d.counts.unreadableChanges.Load() != 2 {
		t.Errorf("%v, %d entries, %d counted", state.Version, state.Table.Len(), d.counts.unreadableChanges.Load())
	}
}

// With more than maxPendingEntries pending changes the whole table is written, and a restart continues from it. An
// invalidated file is not loaded.
func TestFileFallsBackToWholeTable(t *testing.T) {
	d := newTestSubscriber(t, "billing")
	f := d.follower.file
	if state := f.load(); state != nil {
		t.Fatalf("loaded %v from an empty folder", state.Version)
	}
	state := d.Table()
	f.replace(state)
	if !f.save() {
		t.Fatal("not saved")
	}
	for k := range maxPendingEntries + 10 {
		entries := []configlog.Entry{committedTenant(t, uint64(k+1), fmt.Sprint("t", k), 1)}
		state = d.applyEntries(state, entries)
		f.append(entries, state)
	}
	if !f.rewrite || d.counts.skippedWrites.Load() == 0 || len(f.pending) > 0 {
		t.Errorf("%d pending, %d skipped", len(f.pending), d.counts.skippedWrites.Load())
	}
	if !f.save() {
		t.Fatal("not saved")
	}
	f.store.Close()
	reopened := newTableFile(d, d.follower.scope)
	if loaded := reopened.load(); loaded == nil || loaded.Version != state.Version ||
		loaded.Table.Digest() != state.Table.Digest() {
		t.Errorf("loaded after reopening: %+v", loaded)
	}
	reopened.invalidate()
	if !reopened.save() {
		t.Fatal("not saved")
	}
	reopened.store.Close()
	if loaded := newTableFile(d, d.follower.scope).load(); loaded != nil {
		t.Errorf("loaded an invalidated file: %v", loaded.Version)
	}
}

// A version that advances without a change to this table is saved too, so that a restart has no gap to fill.
func TestFileKeepsVersion(t *testing.T) {
	d := newTestSubscriber(t, "billing")
	f := d.follower.file
	f.load()
	f.replace(d.applyEntries(d.Table(), []configlog.Entry{committedTenant(t, 1, "a", 1)}))
	f.save()
	advanced := &TableState{Table: f.state.Table, Version: configlog.Version{Term: 3, Index: 900}}
	f.append(nil, advanced)
	if f.shouldSave(time.Now()) || !f.shouldSave(time.Now().Add(-2*fileVersionDelay)) {
		t.Error("an advanced version alone is saved too early, or not at all")
	}
	f.save()
	f.store.Close()
	if loaded := newTableFile(d, d.follower.scope).load(); loaded == nil || loaded.Version != advanced.Version ||
		loaded.Table.Len() != 1 {
		t.Errorf("loaded after reopening: %+v", loaded)
	}
}

func TestLookupCacheIsBounded(t *testing.T) {
	c := newLookupCache()
	for k := range lookupCacheEntries + 100 {
		c.put(configtable.Tenant, fmt.Sprint(k), LookupResult{Found: true}, 0)
		c.get(configtable.Tenant, "0", 0) // keeps entry 0 recently used
	}
	if c.len() != lookupCacheEntries || len(c.entries) != lookupCacheEntries {
		t.Errorf("%d, %d entries", c.len(), len(c.entries))
	}
	if _, ok := c.get(configtable.Tenant, "0", 0); !ok {
		t.Error("a recently used entry was evicted")
	}
	if _, ok := c.get(configtable.Tenant, "1", 0); ok {
		t.Error("the least recently used entry was kept")
	}
	if _, ok := c.get(configtable.Tenant, "0", lookupCacheTTL+1); ok {
		t.Error("an expired result was returned")
	}
	if _, ok := c.get(configtable.Route, "0", 0); ok {
		t.Error("a result of another kind was returned")
	}
}

// A malformed packet, and a packet sent to a node without a replica, are counted and have no other effect.
func TestForeignPackets(t *testing.T) {
	d := newTestSubscriber(t, "billing")
	d.receive("v1", []byte(replicationMagic))
	d.receive("v1", []byte(replicationMagic+"\x09nonsense"))
	d.receive("v1", encodeReplication(configlog.RecoverRequest{Term: 1}))
	if d.counts.malformedPackets.Load() != 2 || d.counts.droppedPackets.Load() != 1 {
		t.Errorf("%d malformed, %d dropped", d.counts.malformedPackets.Load(), d.counts.droppedPackets.Load())
	}
}

// A subscriber that does not read is closed and counted once its queue is full, and others continue to be served.
func TestSlowSubscriber(t *testing.T) {
	d := newDistribution(DistributionConfig{Name: "v1", Voters: [][]string{{"v1"}}, BytesPerSecond: 1e9, StaleAfter: 18},
		failingOpener{}, zap.NewNop())
	l := d.feed
	cfg := configlog.FeedConfig{HistoryEntries: 10, BufferBytes: feedBufferBytes, PartBytes: feedPartBytes,
		BytesPerSecond: 1e9, HeartbeatEvery: 1, LookupsInFlight: 1}
	l.machine = configlog.NewFeed(cfg, tableSnapshotter{d}, configlog.Version{}, 0)
	slow := &subscriberConn{id: 1, queue: make(chan []byte, 3)}
	fast := &subscriberConn{id: 2, queue: make(chan []byte, subscriberQueueFrames)}
	for _, s := range []*subscriberConn{slow, fast} {
		l.handle(subscriberJoined{s, configlog.Subscribe{Stream: 1, All: true}})
		l.processReady()
	}
	for k := range 20 {
		entry := committedTenant(t, uint64(k+1), "a", float64(k))
		if k > 0 {
			entry.Previous = uint64(k)
		}
		l.handle(entriesCommitted{[]configlog.Entry{entry}})
		l.processReady()
	}
	if l.subscribers[1] != nil || l.subscribers[2] == nil || d.counts.slowSubscribers.Load() != 1 || len(fast.queue) < 20 {
		t.Errorf("%d subscribers, %d counted, %d frames for the fast one",
			len(l.subscribers), d.counts.slowSubscribers.Load(), len(fast.queue))
	}
}
