package configlog

import (
	"fmt"
	"hash/fnv"
	"math"
	"slices"
	"testing"

	"valveglade/rig/explore"
)

// streamBounds limit what may happen in an exploration of two distributors and one follower.
type streamBounds struct {
	initialEntries    [2]int // entries of each distributor at the start
	historyEntries    int
	ticks             int
	lost              int // messages
	duplicates        int // messages delivered twice
	reordered         int // messages delivered before their predecessor
	disconnects       int
	restarts          int  // of the follower
	unsentEntries     int  // entries that a faulty distributor does not send
	foreignFile       bool // the follower's file is of another log
	faultyDistributor bool // a distributor may leave out entries
	disabled          Rule
}

// committedLog is the log that the distributors receive. The follower subscribes to the services a and b.
var committedLog = linkEntries([]Entry{
	{Version: Version{1, 1}},
	{Version: Version{1, 2}, Change: Change{Service: "a"}},
	{Version: Version{1, 3}, Change: Change{Service: "b"}},
	{Version: Version{2, 4}},
	{Version: Version{2, 5}, Change: Change{Service: "a"}},
	{Version: Version{2, 6}, Change: Change{Service: "b"}},
})

// streamWorld is the state of the distributors, the follower and the messages between them.
type streamWorld struct {
	streamBounds
	feeds     [2]*Feed
	tables    [2]*prefixTable
	app       appServer
	inFlight  []StreamMessage
	starts    uint64
	violation string
}

var distributorNames = []string{"d0", "d1"}

var foreignRecords = []Change{{Service: "a", Payload: []byte("foreign")}}

func (b streamBounds) initialWorld() *streamWorld {
	w := &streamWorld{streamBounds: b}
	for d := range w.feeds {
		w.tables[d] = &prefixTable{}
		cfg := FeedConfig{HistoryEntries: b.historyEntries, BufferBytes: 1e6, PartBytes: 1,
			BytesPerSecond: 1e9, Disabled: b.disabled}
		w.feeds[d] = NewFeed(cfg, w.tables[d], Version{}, 0)
		for range b.initialEntries[d] {
			w.appendEntry(d)
		}
	}
	if b.foreignFile {
		w.app.version, w.app.records = Version{1, 4}, foreignRecords
	}
	w.startFollower()
	return w
}

func (w *streamWorld) startFollower() {
	w.starts++
	cfg := FollowerConfig{Name: "s", Services: []string{"a", "b"}, Distributors: distributorNames,
		SilentAfter: math.Inf(1), StaleAfter: 18, Seed: w.starts, Disabled: w.disabled}
	w.app = appServer{follower: NewFollower(cfg, w.app.version, 0), version: w.app.version,
		records: w.app.records}
}

// appendEntry appends the next entry to a distributor.
func (w *streamWorld) appendEntry(d int) {
	next := len(w.tables[d].entries)
	w.tables[d].entries = committedLog[:next+1]
	if err := w.feeds[d].Append(committedLog[next : next+1]); err != nil {
		w.violation = err.Error()
	}
}

const (
	streamActionAppend       = iota << 8
	streamActionAppendUnsent // the entry is appended but not sent
	streamActionTick
	streamActionConnect
	streamActionReceive
	streamActionReceiveSecond
	streamActionReceiveDuplicate
	streamActionLose
	streamActionDisconnect
	streamActionRestart
)

var streamActionTexts = map[uint16]string{
	streamActionAppend:           "the distributor appends an entry:",
	streamActionAppendUnsent:     "the distributor appends an entry and does not send it:",
	streamActionTick:             "time passes",
	streamActionConnect:          "the follower connects",
	streamActionReceive:          "the follower receives",
	streamActionReceiveSecond:    "the follower receives before its predecessor",
	streamActionReceiveDuplicate: "the follower receives, while it stays in flight,",
	streamActionLose:             "lost:",
	streamActionDisconnect:       "the connection breaks",
	streamActionRestart:          "the follower restarts from its file",
}

func (w *streamWorld) actions(all []uint16) []uint16 {
	for d := range w.feeds {
		if len(w.tables[d].entries) < len(committedLog) {
			all = append(all, streamActionAppend|uint16(d))
			if w.unsentEntries > 0 {
				all = append(all, streamActionAppendUnsent|uint16(d))
			}
		}
	}
	add := func(possible bool, action uint16) {
		if possible {
			all = append(all, action)
		}
	}
	hasMessages := len(w.inFlight) > 0
	add(w.ticks > 0, streamActionTick)
	add(w.app.connectTo != "", streamActionConnect)
	add(hasMessages, streamActionReceive)
	add(len(w.inFlight) > 1 && w.reordered > 0, streamActionReceiveSecond)
	add(hasMessages && w.duplicates > 0, streamActionReceiveDuplicate)
	add(hasMessages && w.lost > 0, streamActionLose)
	add(w.app.connected != "" && w.disconnects > 0, streamActionDisconnect)
	add(w.restarts > 0, streamActionRestart)
	return all
}

func (w *streamWorld) perform(action uint16) {
	d := int(action & 0xff)
	switch action &^ 0xff {
	case streamActionAppend:
		w.appendEntry(d)
	case streamActionAppendUnsent:
		w.unsentEntries--
		byService := w.feeds[d].byService
		w.feeds[d].byService = nil
		w.appendEntry(d)
		w.feeds[d].byService = byService
	case streamActionTick:
		w.ticks--
		w.app.follower.Tick(0)
		for _, feed := range w.feeds {
			feed.Tick(0, 0)
		}
	case streamActionConnect:
		w.app.connected, w.app.connectTo = w.app.connectTo, ""
		w.app.follower.Connected(0)
	case streamActionReceive:
		w.receive(0, true)
	case streamActionReceiveSecond:
		w.reordered--
		w.receive(1, true)
	case streamActionReceiveDuplicate:
		w.duplicates--
		w.receive(0, false)
	case streamActionLose:
		w.lost--
		w.inFlight = w.inFlight[1:]
	case streamActionDisconnect:
		w.disconnects--
		w.unsubscribe(w.app.connected)
		w.app.connected = ""
		w.app.follower.Disconnected(0)
	case streamActionRestart:
		w.restarts--
		w.unsubscribe(w.app.connected)
		w.startFollower()
	}
	w.processOutput()
	w.check()
}

func (w *streamWorld) receive(index int, remove bool) {
	message := w.inFlight[index]
	if remove {
		w.inFlight = slices.Delete(w.inFlight, index, index+1)
	}
	_ = w.app.follower.Step(message, 0)
}

// processOutput carries out the output of the state machines.
func (w *streamWorld) processOutput() {
	w.app.runActions(func(name string, request Subscribe) {
		w.feeds[slices.Index(distributorNames, name)].Subscribe(1, request, 0)
	}, w.unsubscribe)
	for _, feed := range w.feeds {
		for _, outgoing := range feed.Ready().Messages {
			w.inFlight = append(w.inFlight, outgoing.Message)
		}
	}
}

func (w *streamWorld) unsubscribe(name string) {
	if d := slices.Index(distributorNames, name); d >= 0 {
		w.feeds[d].Unsubscribe(1)
	}
}

// check compares the table with the log: it must have exactly the changes of its services up to its
// version. With a faulty distributor it must have a prefix of the changes of each service.
func (w *streamWorld) check() {
	if w.foreignFile && slices.EqualFunc(w.app.records, foreignRecords, sameChange) {
		return
	}
	index := w.app.follower.version.Index
	want := recordsOf(committedLog[:index], w.app.follower.subscribesTo)
	if !w.faultyDistributor {
		if !slices.EqualFunc(w.app.records, want, sameChange) {
			w.violation = fmt.Sprintf("at version %d the table has %s, want %s", index, w.app.records, want)
		}
		return
	}
	for _, service := range []string{"a", "b"} {
		isService := func(name string) bool { return name == service }
		all, have := recordsOf(committedLog, isService), slices.DeleteFunc(slices.Clone(w.app.records),
			func(c Change) bool { return c.Service != service })
		if len(have) > len(all) || !slices.EqualFunc(have, all[:len(have)], sameChange) {
			w.violation = fmt.Sprintf("of service %s the table has %s, want a prefix of %s",
				service, have, all)
		}
	}
}

// key returns a hash of all that can influence what happens next.
func (w *streamWorld) key() uint64 {
	h := fnv.New64a()
	f := w.app.follower
	fmt.Fprint(h, w.streamBounds, w.app.version, w.app.records, w.app.staged, w.app.connectTo,
		w.app.connected, w.inFlight, f.state, f.version,
		f.highestTerm, f.resumable, f.baseIndex, f.lastApplied, f.stream,
		f.connection.rankIndex, f.connection.opening)
	for d, feed := range w.feeds {
		fmt.Fprint(h, len(w.tables[d].entries))
		for _, s := range feed.subscribers {
			fmt.Fprint(h, s.stream, s.sentVersion, s.sequence, s.snapshot, s.pending, s.knownAgeSent)
		}
	}
	return h.Sum64()
}

// streamState is a world and the actions that led to it. A world cannot be copied, so a successor is built
// by replaying the actions from the start.
type streamState struct {
	world   *streamWorld
	actions []uint16
}

func (b streamBounds) explore(maxStates int) explore.Result {
	return explore.Model[streamState]{
		Initial: streamState{world: b.initialWorld()},
		Actions: func(s streamState, into []uint16) []uint16 { return s.world.actions(into) },
		Apply: func(s streamState, act uint16) streamState {
			next := streamState{world: b.initialWorld(), actions: append(slices.Clip(s.actions), act)}
			for _, act := range next.actions {
				next.world.perform(act)
			}
			return next
		},
		Key:       func(s streamState) uint64 { return s.world.key() },
		Violation: func(s streamState) string { return s.world.violation },
		Describe:  func(s streamState, act uint16) string { return s.world.describe(act) },
	}.Walk(maxStates)
}

func (w *streamWorld) describe(action uint16) string {
	text := streamActionTexts[action&^0xff]
	switch action &^ 0xff {
	case streamActionAppend, streamActionAppendUnsent:
		return fmt.Sprintf("%s d%d, %v", text, action&0xff,
			committedLog[len(w.tables[action&0xff].entries)].Version)
	case streamActionReceive, streamActionReceiveDuplicate, streamActionLose:
		return fmt.Sprintf("%s %T%+v", text, w.inFlight[0], w.inFlight[0])
	case streamActionReceiveSecond:
		return fmt.Sprintf("%s %T%+v", text, w.inFlight[1], w.inFlight[1])
	}
	return text
}

// The follower's table has exactly the changes of its services up to its version, whatever happens to its
// streams and through its restarts.
func TestExhaustiveStream(t *testing.T) {
	bounds := []namedBounds[streamBounds]{
		{"resumes and snapshots", streamBounds{initialEntries: [2]int{3, 2}, historyEntries: 1, ticks: 3,
			disconnects: 1}},
		{"lost, duplicate and reordered messages", streamBounds{initialEntries: [2]int{4, 4},
			historyEntries: 9, ticks: 2, lost: 1, duplicates: 1, reordered: 1}},
		{"a restart", streamBounds{initialEntries: [2]int{5, 5}, historyEntries: 9, ticks: 3, restarts: 1,
			disconnects: 1}},
		{"a file of another log", streamBounds{initialEntries: [2]int{5, 5}, historyEntries: 9, ticks: 2,
			foreignFile: true, disconnects: 1}},
		{"a faulty distributor", streamBounds{initialEntries: [2]int{4, 4}, historyEntries: 9, ticks: 2,
			unsentEntries: 1, faultyDistributor: true}},
	}
	exploreAll(t, bounds)
}

// The exploration finds a violation for each disabled rule of the stream.
func TestExhaustiveStreamFaults(t *testing.T) {
	faults := []namedBounds[streamBounds]{
		{"no check of the previous entry of the service", streamBounds{initialEntries: [2]int{2, 2},
			historyEntries: 9, ticks: 1, unsentEntries: 1, faultyDistributor: true, disabled: ServiceChain}},
		{"no check of the stream sequence", streamBounds{initialEntries: [2]int{4, 4}, historyEntries: 9,
			ticks: 1, lost: 1, disabled: StreamSequence}},
		{"incomplete snapshot", streamBounds{initialEntries: [2]int{3, 3}, historyEntries: 9, ticks: 1,
			disconnects: 1, disabled: WholeSnapshot}},
		{"resume from a version of another log", streamBounds{initialEntries: [2]int{5, 5},
			historyEntries: 9, ticks: 1, foreignFile: true, disabled: TermAtResume}},
	}
	requireViolations(t, faults)
}
