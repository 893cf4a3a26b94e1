package configlog

import (
	"math"
	"slices"
)

// Feed is a distributor's part: it serves subscribers from the committed entries.
type Feed struct {
	cfg         FeedConfig
	table       Snapshotter
	history     entryLog
	now         float64
	upToDateAt  float64 // when the distributor was last known to be up to date; -Inf for never
	subscribers map[SubscriberID]*subscriber
	byService   map[string][]*subscriber // those not in all
	all         []*subscriber            // to all services
	active      []*subscriber            // with something to send, or no heartbeat of a known age yet
	heartbeats  []scheduledHeartbeat
	out         FeedReady
}

// scheduledHeartbeat is when the next heartbeat to a subscriber is due. The interval is the same for all,
// so the queue is in the order of time.
type scheduledHeartbeat struct {
	subscriber *subscriber
	at         float64
}

// NewFeed returns a feed for a table at a version, with an empty history.
func NewFeed(cfg FeedConfig, table Snapshotter, version Version, now float64) *Feed {
	f := &Feed{cfg: cfg, table: table, now: now, subscribers: map[SubscriberID]*subscriber{},
		byService: map[string][]*subscriber{}, upToDateAt: math.Inf(-1)}
	f.history = entryLog{base: version, lastOfService: map[string]uint64{}}
	return f
}

// Version returns the version of the last appended entry.
func (f *Feed) Version() Version { return f.history.last() }

// Subscribers returns the number of subscriptions.
func (f *Feed) Subscribers() int { return len(f.subscribers) }

// Append adds committed entries. It adds none of them, and returns an error, if they do not follow the
// last entry.
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
		return &MalformedError{Reason: "entries are not contiguous"}
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

// enqueueFor adds an entry to the pending ones of its subscribers, and closes those whose buffer is full.
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

// compact removes the oldest entries once more than HistoryEntries and a quarter are kept. The margin
// avoids a copy of the history for each entry.
func (f *Feed) compact() {
	if kept := len(f.history.entries); kept > f.cfg.HistoryEntries+f.cfg.HistoryEntries/4 {
		f.history.compact(f.history.last().Index - uint64(f.cfg.HistoryEntries))
	}
}

// Reset restarts the feed at a version, after the table was replaced. All subscriptions are closed.
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

// Subscribe starts a subscription. It replaces a subscription with the same id.
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

// byteRate returns the rate limit of a subscriber, in bytes per second.
func (f *Feed) byteRate(request Subscribe) float64 {
	if request.BytesPerSecond > 0 {
		return min(request.BytesPerSecond, f.cfg.BytesPerSecond)
	}
	return f.cfg.BytesPerSecond
}

// missedEntries returns the subscriber's entries after a version. It returns false if they are not kept
// any more, or if the version is not of this log.
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

// Unsubscribe ends a subscription. It is not reported in Closed.
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

// Ready returns the work for the caller since the last call.
func (f *Feed) Ready() FeedReady {
	out := f.out
	f.out = FeedReady{}
	return out
}
