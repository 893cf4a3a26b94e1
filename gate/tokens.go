package gate

import (
	"container/heap"
	"container/list"
	"slices"

	"valveglade/rpc"
)

// standing is how far the RPC behind a token has come.
type standing uint8

const (
	waiting standing = iota // held, nothing has run
	started
	kept      // it ran, and its result may be kept
	failed    // it may have run, and has no result
	forgotten // it never ran, or its window has passed
)

// entryBytes is about what a remembered token takes in this process, beside its result: its entry, its places in the table,
// and the module's note of it. leastTokens are remembered however little memory there is.
const entryBytes, leastTokens = 384, 1 << 10

// unlimitedKB stands in for a machine whose memory is not told.
const unlimitedKB = 1e12

// boundTokens sees to it that what the module lets tokens take of the machine's memory, half of it, is never more of them
// than fit into so many bytes of this process: at some sites a token costs the machine nothing, and its window is days.
func boundTokens(m *rpc.Machine, bytes int) {
	if m.MemoryKB <= 0 {
		m.MemoryKB = unlimitedKB
	}
	most := max(bytes/entryBytes, leastTokens)
	m.EntryKB = max(m.EntryKB, m.MemoryKB/2/float64(most))
}

// tokenID names a tokened request: each method numbers its own.
type tokenID struct {
	method int
	token  string
}

// entry is one remembered token.
type entry struct {
	id        tokenID
	body      uint64 // digest of what all its tries carry
	runner    ID     // the try that runs or ran, or is held
	end       float64
	place     int // in the table's expiry queue, noPlace if it is not there
	state     standing
	result    []byte
	stored    *list.Element // among the table's results, nil if it is not there
	followers []int
	prior     *entry // the token's use before this one, which ran, while a repeat of it may still lie unread
}

// noPlace is of an entry that is not in the expiry queue: its window is over and its outcome still to come, or it has been
// let go.
const noPlace = -1

// inHand tells whether an outcome is still to come.
func (e *entry) inHand() bool { return e.state == waiting || e.state == started }

// proven tells whether the kernel has taken the runner for genuine.
func (e *entry) proven() bool { return e.state == kept || e.state == failed }

func (e *entry) unfollow(i int) {
	if k := slices.Index(e.followers, i); k >= 0 {
		e.followers = slices.Delete(e.followers, k, k+1)
	}
}

// expiryQueue is a heap of entries, the first to end first: methods have windows of seconds and of days side by side.
type expiryQueue []*entry

func (q expiryQueue) Len() int           { return len(q) }
func (q expiryQueue) Less(a, b int) bool { return q[a].end < q[b].end }

func (q expiryQueue) Swap(a, b int) {
	q[a], q[b] = q[b], q[a]
	q[a].place, q[b].place = a, b
}

// Push is the heap's own.
func (q *expiryQueue) Push(x any) {
	e := x.(*entry)
	e.place = len(*q)
	*q = append(*q, e)
}

// Pop is the heap's own.
func (q *expiryQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	e.place = noPlace
	return e
}

// table remembers tokens for as long as the module says. It keeps them a little longer, as a repeat counts
// by when it came to the machine, not by when it is read.
type table struct {
	entries map[tokenID]*entry // the latest use of each
	expiry  expiryQueue
	results *list.List // of entries with a result, the first to be kept first
	bytes   int
	limit   int
	looked  float64 // when it was last looked through
	holds   float64 // until when nothing is forgotten
}

// unread is how long a repeat may lie unread on a machine that still reads at all; asleep, without a look for so long, it has
// not. Looks come fifty times a second; half of unread leaves the other half for reading what came meanwhile.
const unread, asleep = 5.0, unread / 2

func newTable(limit int) table {
	return table{entries: map[tokenID]*entry{}, results: list.New(), limit: limit}
}

// find gives the entry that was live when the repeat came to the machine. One whose outcome is still to come lives on past
// its window: windows may be shorter than RPCs are held and run, and the repeat would run beside what it repeats.
func (t *table) find(id tokenID, recv float64) *entry {
	e := t.entries[id]
	if e == nil {
		return nil
	}
	for e.prior != nil && recv <= e.prior.end {
		e = e.prior
	}
	if recv <= e.end || e.inHand() {
		return e
	}
	return nil
}

// remember keeps a token, or hands its entry over to a further try.
func (t *table) remember(id tokenID, body uint64, runner ID, end float64) *entry {
	old := t.entries[id]
	if old != nil && old.state == waiting {
		old.body, old.runner, old.end = body, runner, end // those that follow it go on doing so
		t.list(old)
		return old
	}
	e := &entry{id: id, body: body, runner: runner, end: end, place: noPlace, prior: old}
	t.entries[id] = e
	t.list(e)
	return e
}

// list puts an entry where its end belongs in the expiry queue.
func (t *table) list(e *entry) {
	if e.place == noPlace {
		heap.Push(&t.expiry, e)
	} else {
		heap.Fix(&t.expiry, e.place)
	}
}

// forget gives those that waited for what has never run.
func (t *table) forget(e *entry) []int {
	t.unlink(e)
	t.drop(e)
	e.state = forgotten
	followers := e.followers
	e.followers = nil
	return followers
}

// unlink takes an entry out of its token's uses.
func (t *table) unlink(e *entry) {
	last := t.entries[e.id]
	switch {
	case last != e:
		for last != nil && last.prior != e {
			last = last.prior
		}
		if last != nil {
			last.prior = e.prior
		}
	case e.prior != nil:
		t.entries[e.id] = e.prior
	default:
		delete(t.entries, e.id)
	}
	e.prior = nil
}

// drop takes an entry's result and its place in the expiry queue.
func (t *table) drop(e *entry) {
	t.dropResult(e)
	if e.place != noPlace {
		heap.Remove(&t.expiry, e.place)
	}
}

func (t *table) dropResult(e *entry) {
	t.bytes -= len(e.result)
	e.result = nil
	if e.stored != nil {
		t.results.Remove(e.stored)
		e.stored = nil
	}
}

// finish notes the outcome of the try that ran and gives those that wait for it. A result may pass the limit until the next
// trim: those that wait for it are served first.
func (t *table) finish(e *entry, how rpc.Outcome, result []byte) []int {
	if how.NeverRan() {
		return t.forget(e) // so a further try may run
	}
	e.state = failed
	if e.place == noPlace { // its followers get the outcome, and then it goes
		t.list(e)
	}
	if how == rpc.OK {
		e.state, e.result = kept, result
		e.stored = t.results.PushBack(e)
		t.bytes += len(result)
	}
	followers := e.followers
	e.followers = nil
	return followers
}

// trim drops the oldest results past the limit. A repeat of theirs is aborted, and still never run.
func (t *table) trim() {
	for t.bytes > t.limit && t.results.Len() > 0 {
		e := t.results.Front().Value.(*entry)
		t.dropResult(e)
		e.state = failed
	}
}

// expire forgets tokens past their time. Guards against a process that was stopped, and looks here before it has read what came
// meanwhile: a repeat among that counts by when it came, and its token is still needed.
func (t *table) expire(now float64) {
	if now-t.looked > asleep {
		t.holds = now + unread
	}
	t.looked = now
	for now >= t.holds && len(t.expiry) > 0 && t.expiry[0].end+unread < now {
		e := heap.Pop(&t.expiry).(*entry)
		if !e.inHand() { // else it stays until its outcome is there
			t.forget(e)
		}
	}
}
