package configlog

import (
	"math"
	"slices"
)

// Feed is a distributor's part: it serves subscribers from committed entries.
type Feed struct {
	cfg         FeedConfig
	table       Snapshotter
	history     entryLog
	now         float64
	upToDateAt  float64 // when the distributor was last known to be as new as the leader; -Inf for never
	subscribers map[SubscriberID]*subscriber
	byService   map[string][]*subscriber
	all         []*subscriber
	active      []*subscriber // with something to send
	heartbeats  []scheduledHeartbeat
	out         FeedReady
}

// heartbeatDue is when a subscriber gets its next heartbeat. They all wait as long, so that a queue is in the order of time.
type scheduledHeartbeat struct {
	subscriber *subscriber
	at         float64
}

// NewFeed begins with a table of a version, and no history.
func NewFeed(cfg FeedConfig, table Snapshotter, version Version, now float64) *Feed {
	f := &Feed{cfg: cfg, table: table, now: now, subscribers: map[SubscriberID]*subscriber{}, byService: map[string][]*subscriber{},
		upToDateAt: math.Inf(-1)}
	f.history = entryLog{base: version, lastOfService: map[string]uint64{}}
	return f
}

// Version is the last entry that it has.
func (f *Feed) Version() Version { return f.history.last() }

// Subscribers is how many there are.
func (f *Feed) Subscribers() int { return len(f.subscribers) }

// Append takes committed entries that follow what it has; it takes none of them if they do not.
func (f *Feed) Append(entries []Entry) error {
	if len(entries) == 0 {
		return nil
	}
	last := f.Version()
	if entries[0].Index != last.Index+1 {
		return &GapError{Kind: "index", Want: last.Index + 1, Got: entries[0].Index}
	}
	if entries[0].Term < last.Term {
		return &StaleTermError{Term: entries[0].Term, Known: last.Term}
	}
	if !contiguous(last, entries) {
		return &MalformedError{Reason: "entries that do not follow each other"}
	}
	for _, entry := range entries {
		f.history.append(entry)
		f.enqueueFor(f.all, entry)
		f.enqueueFor(f.byService[entry.Service], entry)
	}
	f.compact()
	f.sendActive()
	return nil
}

// offer has an entry wait for those who want it, and closes those for whom too much waits already.
func (f *Feed) enqueueFor(subscribers []*subscriber, entry Entry) {
	var slow []*subscriber
	for _, sub := range subscribers {
		if !sub.enqueue(entry, f.cfg.BufferBytes) {
			slow = append(slow, sub)
			continue
		}
		f.activate(sub)
	}
	for _, sub := range slow {
		f.close(sub, CloseSlow)
	}
}

// compact drops the oldest entries once there is a quarter more than is to be kept.
func (f *Feed) compact() {
	if kept := len(f.history.entries); kept > f.cfg.HistoryEntries+f.cfg.HistoryEntries/4 {
		f.history.compact(f.history.last().Index - uint64(f.cfg.HistoryEntries))
	}
}

// Reset begins anew at a version, as the table was replaced: subscriptions are closed.
func (f *Feed) Reset(version Version) {
	ids := make([]SubscriberID, 0, len(f.subscribers))
	for id := range f.subscribers {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	for _, id := range ids {
		f.close(f.subscribers[id], CloseFeedReset)
	}
	f.history = entryLog{base: version, lastOfService: map[string]uint64{}}
}

// Subscribe begins a subscription, in place of one under the same id.
func (f *Feed) Subscribe(id SubscriberID, request Subscribe, now float64) {
	f.Unsubscribe(id)
	f.now = max(f.now, now)
	if request.From.Compare(f.Version()) > 0 {
		welcome := Welcome{Stream: request.Stream, Sequence: 1, Mode: WelcomeBehind, Version: f.Version()}
		f.out.Messages = append(f.out.Messages, Outgoing{id, welcome})
		f.out.Closed = append(f.out.Closed, Closed{id, CloseBehind})
		return
	}
	sub := newSubscriber(id, request, f.byteRate(request), f.now)
	f.register(sub)
	if entries, ok := f.missedEntries(request.From, sub); ok && sub.resume(entries, f.cfg.BufferBytes) {
		f.send(sub, Welcome{Mode: WelcomeResume, Version: request.From})
	} else {
		sub.snapshot = f.table.Open(request.Services, request.All)
		sub.sentVersion = sub.snapshot.Version()
		f.send(sub, Welcome{Mode: WelcomeSnapshot, Version: sub.sentVersion})
	}
	f.heartbeats = append(f.heartbeats, scheduledHeartbeat{sub, f.now + f.cfg.HeartbeatEvery})
	f.activate(sub)
	f.sendActive()
}

// rate is how many bytes a second a subscriber gets.
func (f *Feed) byteRate(request Subscribe) float64 {
	if request.BytesPerSecond > 0 {
		return min(request.BytesPerSecond, f.cfg.BytesPerSecond)
	}
	return f.cfg.BytesPerSecond
}

// missed gives the entries that a subscriber wants after a version, unless they are not kept or the version is not of this log.
func (f *Feed) missedEntries(from Version, sub *subscriber) ([]Entry, bool) {
	if from == (Version{}) {
		return nil, false
	}
	version, ok := f.history.version(from.Index)
	if !ok || version != from && f.cfg.Disabled.enabled(TermAtResume) {
		return nil, false
	}
	if sub.all {
		return f.history.entriesAfter(from.Index), true
	}
	return f.history.entriesOfServices(sub.services, from.Index), true
}

func (f *Feed) register(sub *subscriber) {
	f.subscribers[sub.id] = sub
	if sub.all {
		f.all = append(f.all, sub)
		return
	}
	for _, service := range sub.services {
		f.byService[service] = append(f.byService[service], sub)
	}
}

// Unsubscribe ends a subscription without a word.
func (f *Feed) Unsubscribe(id SubscriberID) {
	removed := f.subscribers[id]
	if removed == nil {
		return
	}
	removed.closeSnapshot()
	delete(f.subscribers, id)
	isRemoved := func(other *subscriber) bool { return other == removed }
	f.all = slices.DeleteFunc(f.all, isRemoved)
	f.active = slices.DeleteFunc(f.active, isRemoved)
	for _, service := range removed.services {
		f.byService[service] = slices.DeleteFunc(f.byService[service], isRemoved)
		if len(f.byService[service]) == 0 {
			delete(f.byService, service)
		}
	}
}

func (f *Feed) close(sub *subscriber, reason CloseReason) {
	f.Unsubscribe(sub.id)
	f.out.Closed = append(f.out.Closed, Closed{sub.id, reason})
}

// Ready empties what there is to do.
func (f *Feed) Ready() FeedReady {
	out := f.out
	f.out = FeedReady{}
	return out
}
