package configlog

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"testing"

	"valveglade/rig/explore"
)

// streamBounds are what may happen at the most in a walk of two distributors and one follower.
type streamBounds struct {
	have                                            [2]int // entries that the distributors begin with
	history                                         int
	ticks, lost, doubled, swapped, broken, restarts int
	skipped                                         int  // entries that a distributor at fault does not send
	foreign                                         bool // the follower's file is of another log
	faulty                                          bool // a distributor may skip entries
	disabled                                        Rule
}

// committedLog is the log that the distributors are given; the follower serves a and b.
var committedLog = chain([]Entry{
	{Version: Version{1, 1}}, {Version: Version{1, 2}, Change: Change{Service: "a"}}, {Version: Version{1, 3}, Change: Change{Service: "b"}},
	{Version: Version{2, 4}}, {Version: Version{2, 5}, Change: Change{Service: "a"}}, {Version: Version{2, 6}, Change: Change{Service: "b"}},
})

// streamWorld is all there is at one time.
type streamWorld struct {
	streamBounds
	feeds  [2]*Feed
	tables [2]*prefixTable
	app    appServer
	flight []StreamMessage
	starts uint64
	wrong  string
}

var distributorNames = []string{"d0", "d1"}

var foreignRecords = []Change{{Service: "a", Payload: []byte("foreign")}}

func (b streamBounds) begin() *streamWorld {
	w := &streamWorld{streamBounds: b}
	for d := range w.feeds {
		w.tables[d] = &prefixTable{}
		cfg := FeedConfig{HistoryEntries: b.history, BufferBytes: 1e6, PartBytes: 1, BytesPerSecond: 1e9, Disabled: b.disabled}
		w.feeds[d] = NewFeed(cfg, w.tables[d], Version{}, 0)
		for range b.have[d] {
			w.grow(d)
		}
	}
	if b.foreign {
		w.app.version, w.app.records = Version{1, 4}, foreignRecords
	}
	w.start()
	return w
}

func (w *streamWorld) start() {
	w.starts++
	cfg := FollowerConfig{Name: "s", Services: []string{"a", "b"}, Distributors: distributorNames, SilentAfter: math.Inf(1), StaleAfter: 18,
		Seed: w.starts, Disabled: w.disabled}
	w.app = appServer{follower: NewFollower(cfg, w.app.version, 0), version: w.app.version, records: w.app.records}
}

// grow gives a distributor the next entry.
func (w *streamWorld) grow(d int) {
	next := len(w.tables[d].entries)
	w.tables[d].entries = committedLog[:next+1]
	if err := w.feeds[d].Append(committedLog[next : next+1]); err != nil {
		w.wrong = err.Error()
	}
}

const (
	actGrow = iota << 8
	actSkip // grows, and does not send
	actTick
	actConnect
	actTake
	actTakeSecond
	actTakeTwice
	actDrop
	actBreak
	actStart
)

var streamActs = map[uint16]string{actGrow: "the distributor has another entry:", actSkip: "the distributor has another entry, and does not send it:",
	actTick: "time passes", actConnect: "connects", actTake: "takes", actTakeSecond: "takes, before the one before it",
	actTakeTwice: "takes, and again later", actDrop: "loses", actBreak: "the connection breaks", actStart: "starts again from its file"}

func (w *streamWorld) acts(all []uint16) []uint16 {
	for d := range w.feeds {
		if len(w.tables[d].entries) < len(committedLog) {
			all = append(all, actGrow|uint16(d))
			if w.skipped > 0 {
				all = append(all, actSkip|uint16(d))
			}
		}
	}
	add := func(can bool, act uint16) {
		if can {
			all = append(all, act)
		}
	}
	flying := len(w.flight) > 0
	add(w.ticks > 0, actTick)
	add(w.app.wants != "", actConnect)
	add(flying, actTake)
	add(len(w.flight) > 1 && w.swapped > 0, actTakeSecond)
	add(flying && w.doubled > 0, actTakeTwice)
	add(flying && w.lost > 0, actDrop)
	add(w.app.connected != "" && w.broken > 0, actBreak)
	add(w.restarts > 0, actStart)
	return all
}

func (w *streamWorld) do(act uint16) {
	d := int(act & 0xff)
	switch act &^ 0xff {
	case actGrow:
		w.grow(d)
	case actSkip:
		w.skipped--
		wanting := w.feeds[d].byService
		w.feeds[d].byService = nil
		w.grow(d)
		w.feeds[d].byService = wanting
	case actTick:
		w.ticks--
		w.app.follower.Tick(0)
		for _, feed := range w.feeds {
			feed.Tick(0, 0)
		}
	case actConnect:
		w.app.connected, w.app.wants = w.app.wants, ""
		w.app.follower.Connected(0)
	case actTake:
		w.take(0, true)
	case actTakeSecond:
		w.swapped--
		w.take(1, true)
	case actTakeTwice:
		w.doubled--
		w.take(0, false)
	case actDrop:
		w.lost--
		w.flight = w.flight[1:]
	case actBreak:
		w.broken--
		w.unsubscribe(w.app.connected)
		w.app.connected = ""
		w.app.follower.Disconnected(0)
	case actStart:
		w.restarts--
		w.unsubscribe(w.app.connected)
		w.start()
	}
	w.settle()
	w.check()
}

func (w *streamWorld) take(k int, once bool) {
	message := w.flight[k]
	if once {
		w.flight = slices.Delete(w.flight, k, k+1)
	}
	_ = w.app.follower.Step(message, 0)
}

// settle carries out what the machines want done.
func (w *streamWorld) settle() {
	w.app.carryOut(func(name string, request Subscribe) {
		w.feeds[slices.Index(distributorNames, name)].Subscribe(1, request, 0)
	}, w.unsubscribe)
	for _, feed := range w.feeds {
		for _, outgoing := range feed.Ready().Messages {
			w.flight = append(w.flight, outgoing.Message)
		}
	}
}

func (w *streamWorld) unsubscribe(name string) {
	if d := slices.Index(distributorNames, name); d >= 0 {
		w.feeds[d].Unsubscribe(1)
	}
}

// check compares the table with the log: it has the changes of its services up to its version, and no others. Where a distributor is at
// fault it has a first part of those of each service.
func (w *streamWorld) check() {
	if w.foreign && slices.EqualFunc(w.app.records, foreignRecords, sameChange) {
		return
	}
	at := w.app.follower.version.Index
	want := recordsOf(committedLog[:at], w.app.follower.subscribesTo)
	if !w.faulty {
		if !slices.EqualFunc(w.app.records, want, sameChange) {
			w.wrong = fmt.Sprintf("at version %d the table has %s, not %s", at, w.app.records, want)
		}
		return
	}
	for _, service := range []string{"a", "b"} {
		of := func(name string) bool { return name == service }
		all, have := recordsOf(committedLog, of), slices.DeleteFunc(slices.Clone(w.app.records), func(c Change) bool { return c.Service != service })
		if len(have) > len(all) || !slices.EqualFunc(have, all[:len(have)], sameChange) {
			w.wrong = fmt.Sprintf("of %s the table has %s, not the first of %s", service, have, all)
		}
	}
}

// key tells worlds apart by all that can matter.
func (w *streamWorld) key() uint64 {
	h := fnv.New64a()
	f := w.app.follower
	fmt.Fprint(h, w.streamBounds, w.app.version, w.app.records, w.app.staged, w.app.wants, w.app.connected, w.flight, f.state, f.version,
		f.highestTerm, f.resumable, f.baseIndex, f.lastApplied, f.stream, f.connection.rankIndex, f.connection.opening)
	for d, feed := range w.feeds {
		fmt.Fprint(h, len(w.tables[d].entries))
		for _, s := range feed.subscribers {
			fmt.Fprint(h, s.stream, s.sentVersion, s.sequence, s.snapshot, s.pending, s.knownAgeSent)
		}
	}
	return h.Sum64()
}

// streamState is a world, and how it came about: a world is played again from the start, as nothing in it can be copied.
type streamState struct {
	world *streamWorld
	acts  []uint16
}

func (b streamBounds) walk(most int) explore.Result {
	return explore.World[streamState]{
		Begin: streamState{world: b.begin()},
		Acts:  func(s streamState, into []uint16) []uint16 { return s.world.acts(into) },
		After: func(s streamState, act uint16) streamState {
			next := streamState{world: b.begin(), acts: append(slices.Clip(s.acts), act)}
			for _, act := range next.acts {
				next.world.do(act)
			}
			return next
		},
		Key:   func(s streamState) uint64 { return s.world.key() },
		Wrong: func(s streamState) string { return s.world.wrong },
		Tell:  func(s streamState, act uint16) string { return s.world.tell(act) },
	}.Walk(most)
}

func (w *streamWorld) tell(act uint16) string {
	text := streamActs[act&^0xff]
	switch act &^ 0xff {
	case actGrow, actSkip:
		return fmt.Sprintf("%s d%d, %v", text, act&0xff, committedLog[len(w.tables[act&0xff].entries)].Version)
	case actTake, actTakeTwice, actDrop:
		return fmt.Sprintf("%s %T%+v", text, w.flight[0], w.flight[0])
	case actTakeSecond:
		return fmt.Sprintf("%s %T%+v", text, w.flight[1], w.flight[1])
	}
	return text
}

// A follower has its services' changes up to its version, and nothing else, whatever happens to its streams and to itself.
func TestExhaustiveStream(t *testing.T) {
	bounds := []named[streamBounds]{
		{"resumes and snapshots", streamBounds{have: [2]int{3, 2}, history: 1, ticks: 3, broken: 1}},
		{"lost, doubled, reordered", streamBounds{have: [2]int{4, 4}, history: 9, ticks: 2, lost: 1, doubled: 1, swapped: 1}},
		{"a restart", streamBounds{have: [2]int{5, 5}, history: 9, ticks: 3, restarts: 1, broken: 1}},
		{"a file of another log", streamBounds{have: [2]int{5, 5}, history: 9, ticks: 2, foreign: true, broken: 1}},
		{"a distributor at fault", streamBounds{have: [2]int{4, 4}, history: 9, ticks: 2, skipped: 1, faulty: true}},
	}
	walkAll(t, bounds)
}

// Each rule of the stream that is left out is found.
func TestExhaustiveStreamFaults(t *testing.T) {
	faults := []named[streamBounds]{
		{"no service chain", streamBounds{have: [2]int{2, 2}, history: 9, ticks: 1, skipped: 1, faulty: true, disabled: ServiceChain}},
		{"no stream sequence", streamBounds{have: [2]int{4, 4}, history: 9, ticks: 1, lost: 1, disabled: StreamSequence}},
		{"half a snapshot", streamBounds{have: [2]int{3, 3}, history: 9, ticks: 1, broken: 1, disabled: WholeSnapshot}},
		{"resumed across another's term", streamBounds{have: [2]int{5, 5}, history: 9, ticks: 1, foreign: true, disabled: TermAtResume}},
	}
	findAll(t, faults)
}
