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
	freshAt     float64 // when the distributor was last known to be as new as the leader; -Inf for never
	subscribers map[SubscriberID]*subscriber
	byService   map[string][]*subscriber
	all         []*subscriber
	active      []*subscriber // with something to send
	heartbeats  []heartbeatDue
	out         FeedReady
}

// heartbeatDue is when a subscriber gets its next heartbeat. They all wait as long, so that a queue is in the order of time.
type heartbeatDue struct {
	subscriber *subscriber
	at         float64
}

// NewFeed begins with a table of a version, and no history.
func NewFeed(cfg FeedConfig, table Snapshotter, version Version, now float64) *Feed {
	f := &Feed{cfg: cfg, table: table, now: now, subscribers: map[SubscriberID]*subscriber{}, byService: map[string][]*subscriber{},
		freshAt: math.Inf(-1)}
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
		return &GapError{What: "index", Want: last.Index + 1, Got: entries[0].Index}
	}
	if entries[0].Term < last.Term {
		return &StaleTermError{Term: entries[0].Term, Known: last.Term}
	}
	if !contiguous(last, entries) {
		return &MalformedError{Why: "entries that do not follow each other"}
	}
	for _, entry := range entries {
		f.history.append(entry)
		f.offer(f.all, entry)
		f.offer(f.byService[entry.Service], entry)
	}
	f.compact()
	f.sendActive()
	return nil
}

// offer has an entry wait for those who want it, and closes those for whom too much waits already.
func (f *Feed) offer(wanting []*subscriber, entry Entry) {
	var slow []*subscriber
	for _, subscriber := range wanting {
		if !subscriber.enqueue(entry, f.cfg.BufferBytes) {
			slow = append(slow, subscriber)
			continue
		}
		f.activate(subscriber)
	}
	for _, subscriber := range slow {
		f.close(subscriber, CloseSlow)
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
	subscriber := newSubscriber(id, request, f.rate(request), f.now)
	f.register(subscriber)
	if entries, ok := f.missed(request.From, subscriber); ok && subscriber.resume(entries, f.cfg.BufferBytes) {
		f.send(subscriber, Welcome{Mode: WelcomeResume, Version: request.From})
	} else {
		subscriber.snapshot = f.table.Open(request.Services, request.All)
		subscriber.position = subscriber.snapshot.Version()
		f.send(subscriber, Welcome{Mode: WelcomeSnapshot, Version: subscriber.position})
	}
	f.heartbeats = append(f.heartbeats, heartbeatDue{subscriber, f.now + f.cfg.HeartbeatEvery})
	f.activate(subscriber)
	f.sendActive()
}

// rate is how many bytes a second a subscriber gets.
func (f *Feed) rate(request Subscribe) float64 {
	if request.BytesPerSecond > 0 {
		return min(request.BytesPerSecond, f.cfg.BytesPerSecond)
	}
	return f.cfg.BytesPerSecond
}

// missed gives the entries that a subscriber wants after a version, unless they are not kept or the version is not of this log.
func (f *Feed) missed(from Version, subscriber *subscriber) ([]Entry, bool) {
	if from == (Version{}) {
		return nil, false
	}
	version, ok := f.history.version(from.Index)
	if !ok || version != from && f.cfg.Disabled.enabled(TermAtResume) {
		return nil, false
	}
	if subscriber.all {
		return f.history.after(from.Index), true
	}
	return f.history.ofServices(subscriber.services, from.Index), true
}

func (f *Feed) register(subscriber *subscriber) {
	f.subscribers[subscriber.id] = subscriber
	if subscriber.all {
		f.all = append(f.all, subscriber)
		return
	}
	for _, service := range subscriber.services {
		f.byService[service] = append(f.byService[service], subscriber)
	}
}

// Unsubscribe ends a subscription without a word.
func (f *Feed) Unsubscribe(id SubscriberID) {
	ending := f.subscribers[id]
	if ending == nil {
		return
	}
	ending.end()
	delete(f.subscribers, id)
	same := func(other *subscriber) bool { return other == ending }
	f.all = slices.DeleteFunc(f.all, same)
	f.active = slices.DeleteFunc(f.active, same)
	for _, service := range ending.services {
		f.byService[service] = slices.DeleteFunc(f.byService[service], same)
		if len(f.byService[service]) == 0 {
			delete(f.byService, service)
		}
	}
}

func (f *Feed) close(subscriber *subscriber, reason CloseReason) {
	f.Unsubscribe(subscriber.id)
	f.out.Closed = append(f.out.Closed, Closed{subscriber.id, reason})
}

// Ready empties what there is to do.
func (f *Feed) Ready() FeedReady {
	out := f.out
	f.out = FeedReady{}
	return out
}
