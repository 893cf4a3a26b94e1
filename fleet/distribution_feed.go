package fleet

import (
	"context"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/member"
)

// Bounds and times of a distributor.
const (
	feedInbox         = 256     // events that may wait; whoever tells more waits itself
	feedHistory       = 50_000  // entries kept for app servers that come back: thirteen hours of changes
	feedBuffer        = 1 << 20 // bytes that wait for one subscriber
	feedPart          = 16 << 10
	feedHeartbeat     = 2.0 // seconds
	feedLookups       = 16  // of one subscriber that wait
	subscriberQueue   = 128 // frames that wait for one subscriber's connection
	frameWriteTimeout = 5 * time.Second
)

// Events of the feed's loop.
type (
	entriesCommitted struct{ entries []configlog.Entry }
	tableReplaced    struct{ version configlog.Version }
	subscriberJoined struct {
		subscriber *subscriberConn
		request    configlog.Subscribe
	}
	subscriberAsked struct {
		subscriber *subscriberConn
		message    any // configlog.Subscribe or configlog.Lookup
	}
	subscriberLeft struct{ subscriber *subscriberConn }
)

// subscriberConn is one subscriber's connection.
type subscriberConn struct {
	id     configlog.SubscriberID
	stream *member.Stream
	queue  chan []byte // frames to be written
	ended  chan struct{}
}

// feedLoop drives a distributor's configlog.Feed.
type feedLoop struct {
	d      *Distribution
	inbox  chan any
	lastID atomic.Uint64
	served atomic.Int64 // subscribers now
	total  atomic.Int64 // subscriptions so far
	whole  atomic.Int64 // snapshots begun

	machine     *configlog.Feed
	subscribers map[configlog.SubscriberID]*subscriberConn
}

func newFeedLoop(d *Distribution) *feedLoop {
	return &feedLoop{d: d, inbox: make(chan any, feedInbox), subscribers: map[configlog.SubscriberID]*subscriberConn{}}
}

// tell has the loop take an event. It waits if many do already: the loop itself never waits for a subscriber.
func (l *feedLoop) tell(ctx context.Context, event any) {
	select {
	case l.inbox <- event:
	case <-ctx.Done():
	}
}

// run drives the machine until ctx ends.
func (l *feedLoop) run(ctx context.Context) {
	cfg := configlog.FeedConfig{HistoryEntries: feedHistory, BufferBytes: feedBuffer, PartBytes: feedPart, BytesPerSecond: l.d.cfg.BytesPerSecond,
		HeartbeatEvery: feedHeartbeat, LookupsInFlight: feedLookups}
	l.machine = configlog.NewFeed(cfg, tableSnapshotter{l.d}, l.d.Table().Version, clock())
	tick := time.NewTicker(distributionTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case event := <-l.inbox:
			l.handle(event)
		case <-tick.C:
			l.machine.Tick(clock(), l.d.sourceAge())
		}
		l.carryOut()
	}
}

// sourceAge is how old this process's own knowledge of the configuration is, in seconds.
func (d *Distribution) sourceAge() float64 {
	if d.replica != nil {
		return d.replica.status.Load().Age
	}
	return d.follower.age()
}

// handle has the machine take one event.
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
		l.served.Store(int64(len(l.subscribers)))
		l.machine.Subscribe(e.subscriber.id, e.request, clock())
	case subscriberAsked:
		l.ask(e)
	case subscriberLeft:
		l.machine.Unsubscribe(e.subscriber.id)
		l.drop(e.subscriber)
	}
}

// append takes committed entries; those that the feed has already are skipped.
func (l *feedLoop) append(entries []configlog.Entry) {
	for len(entries) > 0 && entries[0].Index <= l.machine.Version().Index {
		entries = entries[1:]
	}
	if len(entries) == 0 {
		return
	}
	if err := l.machine.Append(entries); err != nil {
		l.d.log.Warn("configuration: the feed begins anew", zap.Error(err))
		l.machine.Reset(entries[len(entries)-1].Version)
	}
}

func (l *feedLoop) ask(e subscriberAsked) {
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

// carryOut passes on what the machine has to say. A connection whose queue is full is too slow, and closed.
func (l *feedLoop) carryOut() {
	ready := l.machine.Ready()
	for _, out := range ready.Messages {
		to := l.subscribers[out.Subscriber]
		if to == nil {
			continue
		}
		if welcome, ok := out.Message.(configlog.Welcome); ok && welcome.Mode == configlog.WelcomeSnapshot {
			l.whole.Add(1)
		}
		select {
		case to.queue <- encodeFrame(out.Message):
		default:
			l.d.counts.slowSubscribers.Add(1)
			l.machine.Unsubscribe(to.id)
			l.drop(to)
		}
	}
	for _, closed := range ready.Closed {
		if to := l.subscribers[closed.Subscriber]; to != nil {
			if closed.Reason == configlog.CloseSlow {
				l.d.counts.slowSubscribers.Add(1)
			}
			l.drop(to)
		}
	}
}

// drop forgets a subscriber; its writer ends once it has written what waits.
func (l *feedLoop) drop(s *subscriberConn) {
	if l.subscribers[s.id] == nil {
		return
	}
	delete(l.subscribers, s.id)
	l.served.Store(int64(len(l.subscribers)))
	close(s.queue)
}

// serve keeps one subscription until its connection ends.
func (l *feedLoop) serve(ctx context.Context, stream *member.Stream, request configlog.Subscribe) {
	s := &subscriberConn{id: configlog.SubscriberID(l.lastID.Add(1)), stream: stream, queue: make(chan []byte, subscriberQueue),
		ended: make(chan struct{})}
	l.total.Add(1)
	go s.write(ctx)
	l.tell(ctx, subscriberJoined{s, request})
	defer func() {
		l.tell(ctx, subscriberLeft{s})
		select { // the queue may still hold frames of a connection that is closed with the reason in them
		case <-s.ended:
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
			l.tell(ctx, subscriberAsked{s, message})
		default:
			l.d.counts.malformedFrames.Add(1)
			return
		}
	}
}

// write writes what waits for a subscriber, until the feed drops it, the connection fails or ctx ends.
func (s *subscriberConn) write(ctx context.Context) {
	defer close(s.ended)
	defer s.stream.Close() // the reader ends with it, and has the feed drop it
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
