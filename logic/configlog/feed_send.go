package configlog

import (
	"math"
	"slices"
)

// messageOverhead is the size of a message without entries, records and values, in bytes.
const messageOverhead = 32

// subscriber is the state of one subscription of a feed.
type subscriber struct {
	id          SubscriberID
	stream      uint64
	services    []string
	all         bool
	sentVersion Version // all its entries up to this version were sent or are in its snapshot

	rate       float64 // bytes per second
	tokens     float64 // token bucket, in bytes; the last message may overdraw it below 0
	refilledAt float64

	sequence     uint64
	snapshot     Snapshot // nil if none is left to send
	pending      []Entry
	pendingBytes int
	replies      []LookupReply
	active       bool
	knownAgeSent bool // a heartbeat with a known age was sent
}

func newSubscriber(id SubscriberID, request Subscribe, rate, now float64) *subscriber {
	services := slices.Clone(request.Services)
	slices.Sort(services)
	s := &subscriber{id: id, stream: request.Stream, all: request.All, sentVersion: request.From,
		rate: rate, tokens: rate, refilledAt: now}
	if !request.All {
		s.services = slices.Compact(services)
	}
	return s
}

// resume makes the missed entries pending. It returns false and does nothing if they exceed the buffer.
func (s *subscriber) resume(entries []Entry, maxBytes int) bool {
	size := 0
	for _, entry := range entries {
		size += entry.Size()
	}
	if size > maxBytes {
		return false
	}
	s.pending, s.pendingBytes = slices.Clone(entries), size
	return true
}

// enqueue makes an entry pending, unless the snapshot includes it. It returns false if the buffer is full.
func (s *subscriber) enqueue(entry Entry, maxBytes int) bool {
	if entry.Index <= s.sentVersion.Index {
		return true
	}
	if s.pendingBytes+entry.Size() > maxBytes {
		return false
	}
	s.pending = append(s.pending, entry)
	s.pendingBytes += entry.Size()
	return true
}

func (s *subscriber) closeSnapshot() {
	if s.snapshot != nil {
		s.snapshot.Close()
		s.snapshot = nil
	}
}

// refill adds tokens for the time since the last refill. The bucket holds the bytes of one second.
func (s *subscriber) refill(now float64) {
	s.tokens = min(s.tokens+(now-s.refilledAt)*s.rate, s.rate)
	s.refilledAt = now
}

func (s *subscriber) idle() bool {
	return s.snapshot == nil && len(s.pending) == 0 && len(s.replies) == 0
}

// Tick sends what is due. age is the time since the distributor was last known to be up to date, in
// seconds; +Inf if never.
func (f *Feed) Tick(now, age float64) {
	f.now = max(f.now, now)
	f.upToDateAt = f.now - age
	f.sendActive()
	due := 0
	for due < len(f.heartbeats) && f.heartbeats[due].at <= f.now {
		due++
	}
	now, dueNow := f.now, f.heartbeats[:due]
	f.heartbeats = f.heartbeats[due:]
	for _, heartbeat := range dueNow {
		s := heartbeat.subscriber
		if f.subscribers[s.id] != s {
			continue
		}
		f.heartbeats = append(f.heartbeats, scheduledHeartbeat{s, now + f.cfg.HeartbeatEvery})
		f.sendHeartbeat(s)
	}
}

// sendHeartbeat sends a heartbeat to a subscriber that has been sent all its entries. Others are skipped
// until the next one: they still receive pending messages.
func (f *Feed) sendHeartbeat(s *subscriber) {
	s.refill(f.now)
	if !s.idle() || s.tokens <= 0 || f.Version().Index < s.sentVersion.Index {
		return
	}
	s.sentVersion, s.knownAgeSent = f.Version(), !math.IsInf(f.upToDateAt, -1)
	f.send(s, Heartbeat{Version: s.sentVersion, Age: f.now - f.upToDateAt})
}

func (f *Feed) activate(s *subscriber) {
	if !s.active {
		s.active = true
		f.active = append(f.active, s)
	}
}

// sendActive sends pending messages within the rate limit of each subscriber. A subscriber without any
// gets its first heartbeat as soon as the age is known.
func (f *Feed) sendActive() {
	f.active = slices.DeleteFunc(f.active, func(s *subscriber) bool {
		s.refill(f.now)
		for s.tokens > 0 && !s.idle() {
			f.sendNext(s)
		}
		if s.idle() && !s.knownAgeSent && !math.IsInf(f.upToDateAt, -1) {
			f.sendHeartbeat(s)
		}
		s.active = !s.idle() || !s.knownAgeSent
		return !s.active
	})
}

// sendNext sends the next message: lookup replies first, then the snapshot, then entries.
func (f *Feed) sendNext(s *subscriber) {
	switch {
	case len(s.replies) > 0:
		reply := s.replies[0]
		s.replies = s.replies[1:]
		f.send(s, reply)
	case s.snapshot != nil:
		records, done := s.snapshot.Next(f.cfg.PartBytes)
		if done {
			s.closeSnapshot()
		}
		f.send(s, SnapshotPart{Records: records, Done: done})
	default:
		entry := s.pending[0]
		s.pending = s.pending[1:]
		s.pendingBytes -= entry.Size()
		s.sentVersion = entry.Version
		f.send(s, Delta{Entry: entry})
	}
}

// send sets the stream and sequence numbers of a message, and takes its size out of the token bucket.
func (f *Feed) send(s *subscriber, message StreamMessage) {
	size := messageOverhead
	switch m := message.(type) {
	case LookupReply:
		m.Stream = s.stream
		size += len(m.Value)
		message = m
	case Welcome:
		s.sequence++
		m.Stream, m.Sequence = s.stream, s.sequence
		message = m
	case SnapshotPart:
		s.sequence++
		m.Stream, m.Sequence = s.stream, s.sequence
		for _, record := range m.Records {
			size += Entry{Change: record}.Size()
		}
		message = m
	case Delta:
		s.sequence++
		m.Stream, m.Sequence = s.stream, s.sequence
		size += m.Entry.Size()
		message = m
	case Heartbeat:
		s.sequence++
		m.Stream, m.Sequence = s.stream, s.sequence
		message = m
	}
	s.tokens -= float64(size)
	f.out.Messages = append(f.out.Messages, Outgoing{s.id, message})
}

// Lookup handles a lookup of a subscriber.
func (f *Feed) Lookup(id SubscriberID, lookup Lookup, now float64) {
	s := f.subscribers[id]
	if s == nil || lookup.Stream != s.stream || len(s.replies) >= f.cfg.LookupsInFlight {
		return
	}
	f.now = max(f.now, now)
	value, version, found := f.table.Lookup(lookup.Kind, lookup.Name)
	s.replies = append(s.replies, LookupReply{ID: lookup.ID, Version: version, Found: found, Value: value})
	f.activate(s)
	f.sendActive()
}
