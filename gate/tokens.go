package gate

import (
	"container/heap"
	"container/list"
	"slices"

	"valveglade/rpc"
)

// progress is the progress of the RPC behind a token.
type progress uint8

const (
	waiting   progress = iota // queued, nothing has run
	started                   // the run has started
	succeeded                 // it ran, and its result may be kept
	failed                    // it may have run, and there is no result
	forgotten                 // it never ran, or its window has passed
)

const (
	// entryBytes is the approximate memory of a remembered token in this process, without its result: its entry, its
	// places in the table and the module's record of it.
	entryBytes = 384
	// minTokens is how many tokens are remembered even with very little memory.
	minTokens = 1 << 10
)

// unknownMemoryKB is used if the settings give no memory for the machine, and imposes no limit.
const unknownMemoryKB = 1e12

// limitTokens raises the memory that a token counts for, so that the tokens that the module allows, which fill half of
// the machine's memory, fit into the given bytes of this process. Otherwise the process could run out of memory: in
// some deployments a token counts for no memory of the machine, and is kept for days.
func limitTokens(m *rpc.Machine, bytes int) {
	if m.MemoryKB <= 0 {
		m.MemoryKB = unknownMemoryKB
	}
	maxTokens := max(bytes/entryBytes, minTokens)
	m.EntryKB = max(m.EntryKB, m.MemoryKB/2/float64(maxTokens))
}

// tokenID identifies a tokened request. Each method has its own token space.
type tokenID struct {
	method int
	token  string
}

// entry is one remembered token.
type entry struct {
	id            tokenID
	bodyDigest    uint64 // of the body of all attempts
	runner        ID     // the attempt that is queued, runs or ran
	expiresAt     float64
	heapIndex     int // in the table's expiry queue, or notQueued
	state         progress
	result        []byte
	resultElement *list.Element // in the table's list of results, nil if the result is not kept
	followers     []int         // attempts that wait for the outcome
	previous      *entry        // earlier use of the token that ran, while repeats of it may still be unread
}

// notQueued is the heap index of an entry outside the expiry queue: its window is over while its outcome is still to
// come, or it was forgotten.
const notQueued = -1

// isPending reports whether the outcome is still to come.
func (e *entry) isPending() bool { return e.state == waiting || e.state == started }

// isVerified reports whether the kernel has accepted the runner as genuine.
func (e *entry) isVerified() bool { return e.state == succeeded || e.state == failed }

func (e *entry) removeFollower(i int) {
	if k := slices.Index(e.followers, i); k >= 0 {
		e.followers = slices.Delete(e.followers, k, k+1)
	}
}

// expiryQueue is a heap of entries ordered by expiry. A heap is needed because windows of seconds and of days coexist.
type expiryQueue []*entry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(a, b int) bool { return q[a].expiresAt < q[b].expiresAt }

func (q expiryQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].heapIndex, q[b].heapIndex = a, b
}

// Push implements heap.Interface.
func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.heapIndex = len(*q)
	*q = append(*q, e)
}

// Pop implements heap.Interface.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	e.heapIndex = notQueued
	return e
}

// table remembers tokens for as long as the module asks, and slightly longer, as a repeat counts by its arrival at the
// machine and not by when it is read.
type table struct {
	entries    map[tokenID]*entry // latest use of each token
	expiry     expiryQueue
	results    *list.List // entries with a result, oldest result first
	bytes      int        // of kept results
	limit      int        // on bytes
	lastExpiry float64    // time of the last call of expire
	holdUntil  float64    // nothing expires before this time
}

const (
	// maxReadDelay is how many seconds a repeat may stay unread on a machine that keeps reading.
	maxReadDelay = 5.0
	// pauseThreshold is the gap in seconds between calls of expire from which the process counts as having been paused.
	// They normally come fifty times a second. It is half of maxReadDelay, so that the other half is left for reading
	// the backlog.
	pauseThreshold = maxReadDelay / 2
)

func newTable(limit int) table {
	return table{entries: map[tokenID]*entry{}, results: list.New(), limit: limit}
}

// find returns the entry that was valid when a repeat arrived at the machine, or nil. An entry whose outcome is still
// to come stays valid past its window: windows may be shorter than RPCs are queued and run, and otherwise the repeat
// would run concurrently with the RPC that it repeats.
func (t *table) find(id tokenID, arrivedAt float64) *entry {
	e := t.entries[id]
	if e == nil {
		return nil
	}
	for e.previous != nil && arrivedAt <= e.previous.expiresAt {
		e = e.previous
	}
	if arrivedAt <= e.expiresAt || e.isPending() {
		return e
	}
	return nil
}

// remember adds an entry for a token, or passes its waiting entry on to a later attempt.
func (t *table) remember(id tokenID, bodyDigest uint64, runner ID, expiresAt float64) *entry {
	old := t.entries[id]
	if old != nil && old.state == waiting {
		old.bodyDigest, old.runner, old.expiresAt = bodyDigest, runner, expiresAt // its followers stay
		t.enqueue(old)
		return old
	}
	e := &entry{id: id, bodyDigest: bodyDigest, runner: runner, expiresAt: expiresAt, heapIndex: notQueued,
		previous: old}
	t.entries[id] = e
	t.enqueue(e)
	return e
}

// enqueue adds an entry to the expiry queue, or moves it after a change of its expiry.
func (t *table) enqueue(e *entry) {
	if e.heapIndex == notQueued {
		heap.Push(&t.expiry, e)
	} else {
		heap.Fix(&t.expiry, e.heapIndex)
	}
}

// forget removes an entry and returns its followers.
func (t *table) forget(e *entry) []int {
	t.unlink(e)
	t.drop(e)
	e.state = forgotten
	followers := e.followers
	e.followers = nil
	return followers
}

// unlink removes an entry from the uses of its token.
func (t *table) unlink(e *entry) {
	last := t.entries[e.id]
	switch {
	case last != e:
		for last != nil && last.previous != e {
			last = last.previous
		}
		if last != nil {
			last.previous = e.previous
		}
	case e.previous != nil:
		t.entries[e.id] = e.previous
	default:
		delete(t.entries, e.id)
	}
	e.previous = nil
}

// drop removes an entry's result and takes the entry out of the expiry queue.
func (t *table) drop(e *entry) {
	t.dropResult(e)
	if e.heapIndex != notQueued {
		heap.Remove(&t.expiry, e.heapIndex)
	}
}

func (t *table) dropResult(e *entry) {
	t.bytes -= len(e.result)
	e.result = nil
	if e.resultElement != nil {
		t.results.Remove(e.resultElement)
		e.resultElement = nil
	}
}

// finish records the outcome of the attempt that ran, and returns the followers that wait for it. The result may exceed
// the limit until the next trim, so that the followers are served first.
func (t *table) finish(e *entry, outcome rpc.Outcome, result []byte) []int {
	if outcome.NeverRan() {
		return t.forget(e) // so that a retry may run
	}
	e.state = failed
	if e.heapIndex == notQueued { // its window is over: it expires once its followers have the outcome
		t.enqueue(e)
	}
	if outcome == rpc.OK {
		e.state, e.result = succeeded, result
		e.resultElement = t.results.PushBack(e)
		t.bytes += len(result)
	}
	followers := e.followers
	e.followers = nil
	return followers
}

// trim drops the oldest results beyond the limit. Repeats of their RPCs are aborted and still never run.
func (t *table) trim() {
	for t.bytes > t.limit && t.results.Len() > 0 {
		e := t.results.Front().Value.(*entry)
		t.dropResult(e)
		e.state = failed
	}
}

// expire forgets tokens whose time is over. After a pause of the process nothing expires for a while: expire may run
// before the backlog is read, and a repeat in it, which counts by its arrival, still needs its token.
func (t *table) expire(now float64) {
	if now-t.lastExpiry > pauseThreshold {
		t.holdUntil = now + maxReadDelay
	}
	t.lastExpiry = now
	for now >= t.holdUntil && len(t.expiry) > 0 && t.expiry[0].expiresAt+maxReadDelay < now {
		e := heap.Pop(&t.expiry).(*entry)
		if !e.isPending() { // a pending entry stays until its outcome is known
			t.forget(e)
		}
	}
}
