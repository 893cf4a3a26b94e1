package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/member"
)

// Limits and timings of a distributor.
const (
	feedInboxSize           = 256      // queued events; senders block while the queue is full
	feedHistoryEntries      = 50_000   // entries kept for app servers that reconnect: thirteen hours of changes
	feedBufferBytes         = 1 << 20  // bytes buffered for one subscriber
	feedPartBytes           = 16 << 10 // bytes of one part of a snapshot
	feedHeartbeatSeconds    = 2.0
	maxLookupsPerSubscriber = 16  // pending lookups of one subscriber
	subscriberQueueFrames   = 128 // frames queued for one subscriber's connection
	frameWriteTimeout       = 5 * time.Second
)

// Events of the feed's loop.
type (
	entriesCommitted struct{ entries []configlog.Entry }
	tableReplaced    struct{ version configlog.Version }
	subscriberJoined struct {
		subscriber *subscriberConn
		request    configlog.Subscribe
	}
	subscriberRequested struct {
		subscriber *subscriberConn
		message    any // configlog.Subscribe or configlog.Lookup
	}
	subscriberLeft struct{ subscriber *subscriberConn }
)

// subscriberConn is one subscriber's connection.
type subscriberConn struct {
	id         configlog.SubscriberID
	stream     *member.Stream
	queue      chan []byte // frames to be written; closed when the feed removes the subscriber
	writerDone chan struct{}
}

// feedLoop drives a distributor's configlog.Feed.
type feedLoop struct {
	d                 *Distribution
	inbox             chan any
	lastID            atomic.Uint64
	subscriberCount   atomic.Int64 // current subscribers
	subscriptionCount atomic.Int64 // subscriptions since the start
	snapshotCount     atomic.Int64 // snapshots begun since the start

	machine     *configlog.Feed // state machine, used by the loop's goroutine only
	subscribers map[configlog.SubscriberID]*subscriberConn
}

func newFeedLoop(d *Distribution) *feedLoop {
	return &feedLoop{d: d, inbox: make(chan any, feedInboxSize), subscribers: map[configlog.SubscriberID]*subscriberConn{}}
}

// enqueue passes an event to the loop. It blocks while the queue is full; the loop itself never waits for a subscriber.
func (l *feedLoop) enqueue(ctx context.Context, event any) {
	select {
	case l.inbox <- event:
	case <-ctx.Done():
	}
}

// run drives the feed's state machine until ctx ends.
func (l *feedLoop) run(ctx context.Context) {
	cfg := configlog.FeedConfig{HistoryEntries: feedHistoryEntries, BufferBytes: feedBufferBytes,
		PartBytes: feedPartBytes, BytesPerSecond: l.d.cfg.BytesPerSecond, HeartbeatEvery: feedHeartbeatSeconds,
		LookupsInFlight: maxLookupsPerSubscriber}
	l.machine = configlog.NewFeed(cfg, tableSnapshotter{l.d}, l.d.Table().Version, clock())
	ticker := time.NewTicker(distributionTickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.inbox:
			l.handle(event)
		case <-ticker.C:
			l.machine.Tick(clock(), l.d.sourceAge())
		}
		l.processReady()
	}
}

// sourceAge returns the age, in seconds, of this process's configuration: the time since it last matched the leader's.
func (d *Distribution) sourceAge() float64 {
	if d.replica != nil {
		return d.replica.status.Load().Age
	}
	return d.follower.age()
}

// handle passes one event to the state machine.
func (l *feedLoop) handle(event any) {
	switch e := event.(type) {
	case entriesCommitted:
		l.append(e.entries)
	case tableReplaced:
		if e.version.Index > l.machine.Version().Index {
			l.machine.Reset(e.version)
		}
	case subscriberJoined:
		l.subscribers[e.subscriber.id] = e.subscriber
		l.subscriberCount.Store(int64(len(l.subscribers)))
		l.machine.Subscribe(e.subscriber.id, e.request, clock())
	case subscriberRequested:
		l.handleRequest(e)
	case subscriberLeft:
		l.machine.Unsubscribe(e.subscriber.id)
		l.remove(e.subscriber)
	}
}

// append adds committed entries to the feed and skips those that it already has.
func (l *feedLoop) append(entries []configlog.Entry) {
	for len(entries) > 0 && entries[0].Index <= l.machine.Version().Index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	if err := l.machine.Append(entries); err != nil {
		l.d.log.Warn("configuration: committed entries do not follow the feed; resetting the feed", zap.Error(err))
		l.machine.Reset(entries[len(entries)-1].Version)
	}
}

func (l *feedLoop) handleRequest(e subscriberRequested) {
	if l.subscribers[e.subscriber.id] == nil {
		return
	}
	switch m := e.message.(type) {
	case configlog.Subscribe:
		l.machine.Subscribe(e.subscriber.id, m, clock())
	case configlog.Lookup:
		l.machine.Lookup(e.subscriber.id, m, clock())
	}
}

// processReady sends the state machine's outgoing messages and closes the connections that it gave up. A connection
// whose queue is full is too slow and is closed.
func (l *feedLoop) processReady() {
	ready := l.machine.Ready()
	for _, out := range ready.Messages {
		to := l.subscribers[out.Subscriber]
		if to == nil {
			continue
		}
		if welcome, ok := out.Message.(configlog.Welcome); ok && welcome.Mode == configlog.WelcomeSnapshot {
			l.snapshotCount.Add(1)
		}
		select {
		case to.queue <- encodeFrame(out.Message):
		default:
			l.d.counts.slowSubscribers.Add(1)
			l.machine.Unsubscribe(to.id)
			l.remove(to)
		}
	}
	for _, closed := range ready.Closed {
		if to := l.subscribers[closed.Subscriber]; to != nil {
			if closed.Reason == configlog.CloseSlow {
				l.d.counts.slowSubscribers.Add(1)
			}
			l.remove(to)
		}
	}
}

// remove removes a subscriber. Its writer ends after writing the queued frames.
func (l *feedLoop) remove(s *subscriberConn) {
	if l.subscribers[s.id] == nil {
		return
	}
	delete(l.subscribers, s.id)
	l.subscriberCount.Store(int64(len(l.subscribers)))
	close(s.queue)
}

// serve handles one subscription until its connection ends.
func (l *feedLoop) serve(ctx context.Context, stream *member.Stream, request configlog.Subscribe) {
	s := &subscriberConn{id: configlog.SubscriberID(l.lastID.Add(1)), stream: stream,
		queue: make(chan []byte, subscriberQueueFrames), writerDone: make(chan struct{})}
	l.subscriptionCount.Add(1)
	go s.write(ctx)
	l.enqueue(ctx, subscriberJoined{s, request})
	defer func() {
		l.enqueue(ctx, subscriberLeft{s})
		select { // the queue may still hold the final frames, which state why the connection is closed
		case <-s.writerDone:
		case <-ctx.Done():
		}
	}()
	for {
		payload, err := stream.ReadFrame(0)
		if err != nil {
			return
		}
		message, err := decodeFrame(payload)
		if err != nil {
			l.d.counts.malformedFrames.Add(1)
			return
		}
		switch message.(type) {
		case configlog.Subscribe, configlog.Lookup:
			l.enqueue(ctx, subscriberRequested{s, message})
		default:
			l.d.counts.malformedFrames.Add(1)
			return
		}
	}
}

// write sends the queued frames until the feed removes the subscriber, the connection fails or ctx ends.
func (s *subscriberConn) write(ctx context.Context) {
	defer close(s.writerDone)
	defer s.stream.Close() // ends the reader, which unsubscribes from the feed
	for {
		select {
		case <-ctx.Done():
			return
		case frame, more := <-s.queue:
			if !more || s.stream.WriteFrame(frame, frameWriteTimeout) != nil {
				return
			}
		}
	}
}
