package rig

import "sync"

// CatalogEntry describes one try of an RPC in a trial: the RPC that it belongs to and what a run of it does.
type CatalogEntry struct {
	RPC    string  // the same for all tries of one RPC
	Work   float64 // seconds on a core
	Result []byte  // what the run produces; nil for RunResult(RPC)
	Fails  bool    // the run ends with an error and produces no result
}

// result returns what a run produces.
func (e CatalogEntry) result() []byte {
	if e.Result != nil {
		return e.Result
	}
	return RunResult(e.RPC)
}

// Catalog holds the entries of a trial by call id, so that bodies need not follow the format of EncodeBody. It is safe for
// concurrent use.
type Catalog struct {
	mu      sync.Mutex
	entries map[string]CatalogEntry
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog { return &Catalog{entries: map[string]CatalogEntry{}} }

// Add adds the entry of a try. It must be called before the try is written to an app server.
func (c *Catalog) Add(call string, entry CatalogEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[call] = entry
}

// Lookup returns the entry of a try. If none was added, the entry is parsed from the body; a body that is not in the format of
// EncodeBody stands for an RPC of its own that takes no work.
func (c *Catalog) Lookup(call string, body []byte) CatalogEntry {
	c.mu.Lock()
	entry, found := c.entries[call]
	c.mu.Unlock()
	if found {
		return entry
	}
	if id, work, ok := DecodeBody(body); ok {
		return CatalogEntry{RPC: id, Work: work}
	}
	return CatalogEntry{RPC: call}
}
