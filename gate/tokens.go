package gate

import (
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

// entry is one remembered token.
type entry struct {
	token     string
	body      uint64 // digest of what all its tries carry
	runner    ID     // the try that runs or ran, or is held
	end       float64
	unlisted  bool // its time is over, and what it runs is not
	state     standing
	result    []byte
	followers []int
}

// inHand tells whether an outcome is still to come.
func (e *entry) inHand() bool { return e.state == waiting || e.state == started }

// proven tells whether the kernel has taken the runner for genuine.
func (e *entry) proven() bool { return e.state == kept || e.state == failed }

func (e *entry) unfollow(i int) {
	if k := slices.Index(e.followers, i); k >= 0 {
		e.followers = slices.Delete(e.followers, k, k+1)
	}
}

// table remembers tokens for as long as the module says. It keeps them a little longer, as a repeat counts
// by when it came to the machine, not by when it is read.
type table struct {
	entries map[string]*entry
	oldest  []*entry // by when they were remembered
	results []*entry // with a result, the first to be kept first
	bytes   int
	limit   int
	looked  float64 // when it was last looked through
	holds   float64 // until when nothing is forgotten
}

// unread is how long a repeat may lie unread on a machine that still reads at all; asleep, without a look for so long, it has
// not. Looks come fifty times a second; half of unread leaves the other half for reading what came meanwhile.
const unread, asleep = 5.0, unread / 2

func newTable(limit int) table { return table{entries: map[string]*entry{}, limit: limit} }

// find gives the entry that was live when the repeat came to the machine. One whose outcome is still to come lives on past
// its window: windows may be shorter than RPCs are held and run, and the repeat would run beside what it repeats.
func (t *table) find(token string, recv float64) *entry {
	if e := t.entries[token]; e != nil && (recv <= e.end || e.inHand()) {
		return e
	}
	return nil
}

// remember keeps a token, or hands its entry over to a further try.
func (t *table) remember(token string, body uint64, runner ID, end float64) *entry {
	old := t.entries[token]
	if old != nil && old.state == waiting {
		old.body, old.runner, old.end = body, runner, end // those that follow it go on doing so
		if old.unlisted {
			old.unlisted = false
			t.oldest = append(t.oldest, old)
		}
		return old
	}
	e := &entry{token: token, body: body, runner: runner, end: end}
	if old != nil {
		t.drop(old)
	}
	t.entries[token] = e
	// Guards against callers whose tokened RPCs are all refused: what was forgotten would stay in line behind the
	// first that is not, for a whole window.
	if len(t.oldest) > 64+2*len(t.entries) {
		t.oldest = slices.DeleteFunc(t.oldest, func(e *entry) bool { return t.entries[e.token] != e })
	}
	t.oldest = append(t.oldest, e)
	return e
}

// forget gives those that waited for what has never run.
func (t *table) forget(e *entry) []int {
	if t.entries[e.token] == e {
		delete(t.entries, e.token)
	}
	t.drop(e)
	e.state = forgotten
	followers := e.followers
	e.followers = nil
	return followers
}

func (t *table) drop(e *entry) {
	t.bytes -= len(e.result)
	e.result = nil
	e.end = 0
}

// finish notes the outcome of the try that ran and gives those that wait for it.
func (t *table) finish(e *entry, how rpc.Outcome, result []byte) []int {
	e.state = failed
	if e.unlisted { // its followers get the outcome, and then it goes
		e.unlisted = false
		t.oldest = slices.Insert(t.oldest, 0, e)
	}
	switch {
	case how == rpc.OK:
		e.state, e.result = kept, result
		t.bytes += len(result)
		t.results = append(t.results, e)
		t.trim()
	case how.NeverRan():
		return t.forget(e) // so a further try may run
	}
	followers := e.followers
	e.followers = nil
	return followers
}

// trim drops the oldest results past the limit. A repeat of theirs is aborted, and still never run.
func (t *table) trim() {
	for len(t.results) > 0 && (t.bytes > t.limit || t.results[0].result == nil) {
		if e := t.results[0]; e.result != nil {
			t.bytes -= len(e.result)
			e.result, e.state = nil, failed
		}
		t.results = t.results[1:]
	}
}

// expire forgets tokens past their time. Guards against a process that was stopped, and looks here before it has read what came
// meanwhile: a repeat among that counts by when it came, and its token is still needed.
func (t *table) expire(now float64) {
	if now-t.looked > asleep {
		t.holds = now + unread
	}
	t.looked = now
	for now >= t.holds && len(t.oldest) > 0 && t.oldest[0].end+unread < now {
		if e := t.oldest[0]; e.inHand() && t.entries[e.token] == e {
			e.unlisted = true // until its outcome is there
		} else {
			t.forget(e)
		}
		t.oldest = t.oldest[1:]
	}
	t.trim()
}
