package fleet

import (
	"container/list"
	"context"
	"slices"
	"strings"
	"sync"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
)

// Limits of the cache of lookup results.
const (
	lookupCacheEntries = 4096
	lookupCacheTTL     = 9.0 // seconds: half of the time within which a change must be in force everywhere
)

// LookupResult is the outcome of a lookup at a version.
type LookupResult struct {
	Found   bool
	Value   configtable.Value // zero unless Found
	Version configlog.Version
	Cached  bool // served from the cache, at most lookupCacheTTL old
}

// Lookup finds an entry, in the local table if this process serves the service, otherwise at the distributor. Replies
// of the distributor are cached for lookupCacheTTL. Lookup waits for the network and must not be used on the path of
// an RPC.
func (d *Distribution) Lookup(ctx context.Context, kind configtable.Kind, service, name string) (LookupResult, error) {
	key := lookupKey(service, name)
	if d.serves(service) {
		state := d.Table()
		change, found := lookupTable(state.Table, kind, key)
		return LookupResult{Found: found, Value: change.Value, Version: state.Version}, nil
	}
	if result, ok := d.cache.get(kind, key, clock()); ok {
		return result, nil
	}
	request := lookupRequested{kind: configlog.LookupKind(kind), name: key, reply: make(chan configlog.LookupDone, 1)}
	select {
	case d.follower.inbox <- request:
	case <-ctx.Done():
		return LookupResult{}, ctx.Err()
	}
	select {
	case done := <-request.reply:
		return d.finishLookup(kind, service, key, done)
	case <-ctx.Done():
		return LookupResult{}, ctx.Err()
	}
}

// finishLookup decodes the outcome of a lookup and caches it.
func (d *Distribution) finishLookup(kind configtable.Kind, service, key string,
	done configlog.LookupDone) (LookupResult, error) {
	if done.Err != nil {
		return LookupResult{}, done.Err
	}
	result := LookupResult{Found: done.Reply.Found, Version: done.Reply.Version}
	if result.Found {
		change, err := configtable.DecodeEntry(service, done.Reply.Value)
		if err != nil {
			d.counts.malformedFrames.Add(1)
			return LookupResult{}, err
		}
		result.Value = change.Value
	}
	d.cache.put(kind, key, result, clock())
	return result, nil
}

// serves reports whether the local table has all entries of a service.
func (d *Distribution) serves(service string) bool {
	return d.follower == nil || d.follower.scope.all || slices.Contains(d.follower.scope.services, service)
}

// lookupKey encodes the service and name of a lookup. Neither contains the separator.
func lookupKey(service, name string) string { return service + "\x00" + name }

// lookupTable finds an entry by its key.
func lookupTable(table configtable.Table, kind configtable.Kind, key string) (configtable.Change, bool) {
	service, name, ok := strings.Cut(key, "\x00")
	if !ok {
		return configtable.Change{}, false
	}
	change := configtable.Change{Operation: configtable.Put, Kind: kind, Service: service, Name: name}
	found := false
	switch kind {
	case configtable.Route:
		change.Value.Route, found = table.Route(service, name)
	case configtable.Tenant:
		change.Value.Tenant, found = table.Tenant(service, name)
	}
	return change, found
}

// lookupCache is an LRU cache of lookup results with a time limit.
type lookupCache struct {
	mu      sync.Mutex
	entries map[cacheKey]*list.Element
	order   *list.List // of cacheEntry, the most recently used first
}

type cacheKey struct {
	kind configtable.Kind
	key  string
}

type cacheEntry struct {
	key      cacheKey
	result   LookupResult
	storedAt float64
}

func newLookupCache() *lookupCache {
	return &lookupCache{entries: map[cacheKey]*list.Element{}, order: list.New()}
}

func (c *lookupCache) get(kind configtable.Kind, key string, now float64) (LookupResult, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	element := c.entries[cacheKey{kind, key}]
	if element == nil {
		return LookupResult{}, false
	}
	entry := element.Value.(cacheEntry)
	if now-entry.storedAt > lookupCacheTTL {
		return LookupResult{}, false
	}
	c.order.MoveToFront(element)
	entry.result.Cached = true
	return entry.result, true
}

func (c *lookupCache) put(kind configtable.Kind, key string, result LookupResult, now float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := cacheKey{kind, key}
	if element := c.entries[k]; element != nil {
		c.order.Remove(element)
	}
	c.entries[k] = c.order.PushFront(cacheEntry{k, result, now})
	if c.order.Len() > lookupCacheEntries {
		oldest := c.order.Remove(c.order.Back()).(cacheEntry)
		delete(c.entries, oldest.key)
	}
}

func (c *lookupCache) len() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.order.Len()
}
