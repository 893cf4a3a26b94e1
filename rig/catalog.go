package rig

import "sync"

// CatalogEntry is what a trial has drawn for one try of an RPC: which RPC it is a try of, and what a run of it does.
type CatalogEntry struct {
	RPC    string  // the same for all tries of one RPC
	Work   float64 // seconds on a core
	Result []byte  // what the run makes; nil for Answer(RPC)
	Fails  bool    // the run ends with a fault and makes nothing
}

// result is what a run makes.
func (e CatalogEntry) result() []byte {
	if e.Result != nil {
		return e.Result
	}
	return RunResult(e.RPC)
}

// Catalog holds the entries of a trial by call id, so that bodies may be any bytes. It is safe for use by many goroutines.
type Catalog struct {
	mu      sync.Mutex
	entries map[string]CatalogEntry
}

// NewCatalog returns an empty one.
func NewCatalog() *Catalog { return &Catalog{entries: map[string]CatalogEntry{}} }

// Add enters a try; it comes before the try is written to an app server.
func (c *Catalog) Add(call string, entry CatalogEntry) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries[call] = entry
}

// Lookup returns the entry of a try. A try that was not entered is read from its body as Body writes it; where that cannot
// be done, it is an RPC of its own that takes no work.
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
