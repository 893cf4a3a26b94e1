package fleet

import (
	"context"
	"math"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/member"
)

// Limits and timings of an app server's subscription.
const (
	followerInboxSize      = 64 // queued events; the connection's reader blocks while the queue is full
	followerQueueFrames    = 32 // frames queued for the distributor
	followerTickInterval   = 250 * time.Millisecond
	followerSilenceSeconds = 7.0 // time without a message from the distributor: about three heartbeats
	followerMinBackoff     = 0.5 // seconds
	followerMaxBackoff     = 8.0 // seconds
	followerMaxLookups     = 16
	connectTimeout         = 4 * time.Second
	badSnapshotDelay       = 10 * time.Second
)

// followerScope is the services of a subscription and the distributors that may serve it.
type followerScope struct {
	all          bool
	services     []string
	distributors []string
}

// Events of the follower's loop. Each connection has an ID, by which events of former connections are ignored.
type (
	connectionOpened struct {
		connID uint64
		stream *member.Stream
	}
	connectionEnded struct{ connID uint64 }
	frameReceived   struct {
		connID  uint64
		payload []byte
	}
	lookupRequested struct {
		kind  configlog.LookupKind
		name  string
		reply chan configlog.LookupDone // has a buffer of one
	}
)

// followerLoop drives an app server's configlog.Follower.
type followerLoop struct {
	d             *Distribution
	scope         followerScope
	inbox         chan any
	file          *tableFile // nil if nothing is persisted
	status        atomic.Pointer[configlog.Status]
	confirmedAt   atomic.Uint64 // float64 bits of the time when the table was last known to match the leader's
	closedBytes   atomic.Int64  // bytes read and written by closed connections
	currentStream atomic.Pointer[member.Stream]

	machine *configlog.Follower // state machine, used by the loop's goroutine only
	stage   *stagedTable
	connID  uint64 // of the current connection; incremented when it ends
	cancel  context.CancelFunc
	queue   chan []byte // frames for the current connection; nil without one
	lastID  uint64
	lookups map[uint64]chan configlog.LookupDone // pending lookups by ID
}

func newFollowerLoop(d *Distribution, scope followerScope) *followerLoop {
	l := &followerLoop{d: d, scope: scope, inbox: make(chan any, followerInboxSize),
		lookups: map[uint64]chan configlog.LookupDone{}}
	l.status.Store(&configlog.Status{Age: math.Inf(1), Stale: true})
	l.confirmedAt.Store(math.Float64bits(math.Inf(-1)))
	if d.cfg.Folder != "" {
		l.file = newTableFile(d, scope)
	}
	return l
}

// age returns the age of the configuration in seconds; it is infinite before the first message from a distributor.
func (l *followerLoop) age() float64 {
	return max(clock()-math.Float64frombits(l.confirmedAt.Load()), 0)
}

// streamBytes returns the bytes read and written on all connections.
func (l *followerLoop) streamBytes() int64 {
	total := l.closedBytes.Load()
	if stream := l.currentStream.Load(); stream != nil {
		read, written := stream.Bytes()
		total += read + written
	}
	return total
}

// run drives the follower's state machine until ctx ends.
func (l *followerLoop) run(ctx context.Context) {
	if l.file != nil {
		if state := l.file.load(); state != nil {
			l.d.replaceTable(ctx, state)
		}
		saved := make(chan struct{})
		go func() {
			defer close(saved)
			defer l.d.recoverPanic("file")
			l.file.run(ctx)
		}()
		defer func() { <-saved }()
	}
	l.resetMachine(l.d.Table().Version)
	defer l.disconnect()
	ticker := time.NewTicker(followerTickInterval)
	defer ticker.Stop()
	for {
		l.processReady(ctx)
		select {
		case <-ctx.Done():
			return
		case event := <-l.inbox:
			l.handle(event)
		case <-ticker.C:
			l.machine.Tick(clock())
		}
	}
}

// resetMachine creates the state machine for a table at a version.
func (l *followerLoop) resetMachine(version configlog.Version) {
	l.machine = configlog.NewFollower(configlog.FollowerConfig{Name: l.d.cfg.Name, Services: l.scope.services,
		All: l.scope.all, Distributors: l.scope.distributors, BytesPerSecond: l.d.cfg.BytesPerSecond,
		StaleAfter: l.d.cfg.StaleAfter, SilentAfter: followerSilenceSeconds, BackoffMin: followerMinBackoff,
		BackoffMax: followerMaxBackoff, Seed: rand.Uint64(), MaxLookups: followerMaxLookups}, version, clock())
	l.machine.Tick(clock())
}

// handle passes one event to the state machine.
func (l *followerLoop) handle(event any) {
	now := clock()
	switch e := event.(type) {
	case connectionOpened:
		if e.connID == l.connID {
			l.machine.Connected(now)
		}
	case connectionEnded:
		if e.connID == l.connID {
			l.disconnect()
			l.machine.Disconnected(now)
		}
	case frameReceived:
		if e.connID == l.connID {
			l.step(e.payload)
		}
	case lookupRequested:
		l.lastID++
		if err := l.machine.Lookup(l.lastID, e.kind, e.name, now); err != nil {
			e.reply <- configlog.LookupDone{Err: err}
			return
		}
		l.lookups[l.lastID] = e.reply
	}
}

// step passes one frame to the state machine. A frame that it rejects is counted and changes nothing.
func (l *followerLoop) step(payload []byte) {
	decoded, err := decodeFrame(payload)
	message, ok := decoded.(configlog.StreamMessage)
	if err != nil || !ok {
		l.d.counts.malformedFrames.Add(1)
		l.disconnect()
		l.machine.Disconnected(clock())
		return
	}
	if err := l.machine.Step(message, clock()); err != nil {
		l.d.counts.rejectedFrames.Add(1)
		l.d.log.Warn("configuration: a message of a distributor was refused",
			zap.String("distributor", l.status.Load().Distributor), zap.Error(err))
	}
}

// processReady executes the state machine's actions, in order.
func (l *followerLoop) processReady(ctx context.Context) {
	for _, action := range l.machine.Ready() {
		switch a := action.(type) {
		case configlog.Connect:
			l.connect(ctx, a.Distributor)
		case configlog.Send:
			l.sendFrame(encodeFrame(a.Message))
		case configlog.Close:
			l.disconnect()
		case configlog.LookupDone:
			l.completeLookup(a)
		case configlog.Stage:
			if a.First || l.stage == nil {
				l.stage = &stagedTable{}
			}
			l.stage.add(a.Records)
		case configlog.Discard:
			l.stage = nil
		case configlog.Apply:
			l.apply(ctx, a)
		case configlog.Replace:
			if !l.replace(ctx, a.Version) {
				return
			}
		case configlog.Invalidate:
			if l.file != nil {
				l.file.invalidate()
			}
		}
	}
	l.publishStatus()
}

// publishStatus makes the state machine's status visible to other goroutines.
func (l *followerLoop) publishStatus() {
	now := clock()
	status := l.machine.Status(now)
	l.status.Store(&status)
	l.confirmedAt.Store(math.Float64bits(now - status.Age))
}

// apply applies entries to the table and hands them to the feed and the file.
func (l *followerLoop) apply(ctx context.Context, a configlog.Apply) {
	state := l.d.applyEntries(l.d.Table(), a.Entries)
	state.Version = a.Version
	l.d.table.Store(state)
	if l.d.feed != nil && len(a.Entries) > 0 {
		l.d.feed.enqueue(ctx, entriesCommitted{a.Entries})
	}
	if l.file != nil {
		l.file.append(a.Entries, state)
	}
}

// replace puts the staged snapshot in force. One that cannot be read changes nothing, and the subscription restarts
// after badSnapshotDelay.
func (l *followerLoop) replace(ctx context.Context, version configlog.Version) bool {
	stage := l.stage
	l.stage = nil
	if stage == nil {
		stage = &stagedTable{}
	}
	table, err := stage.table()
	if err != nil {
		l.d.counts.malformedFrames.Add(1)
		l.d.log.Error("configuration: a snapshot cannot be read", zap.String("distributor", l.status.Load().Distributor),
			zap.Error(err))
		l.disconnect()
		sleepContext(ctx, badSnapshotDelay)
		l.resetMachine(l.d.Table().Version)
		return false
	}
	state := &TableState{Table: table, Version: version}
	l.d.replaceTable(ctx, state)
	l.d.log.Info("configuration: snapshot installed", zap.Uint64("version", version.Index),
		zap.Int("entries", table.Len()))
	if l.file != nil {
		l.file.replace(state)
	}
	return true
}

// connect opens a connection. The outcome arrives as an event.
func (l *followerLoop) connect(ctx context.Context, distributor string) {
	l.disconnect()
	ctx, l.cancel = context.WithCancel(ctx)
	connID, queue := l.connID, make(chan []byte, followerQueueFrames)
	l.queue = queue
	go l.serveConnection(ctx, connID, distributor, queue)
}

// disconnect ends the connection, if there is one.
func (l *followerLoop) disconnect() {
	l.connID++
	l.queue = nil
	if l.cancel != nil {
		l.cancel()
		l.cancel = nil
	}
}

// sendFrame queues a frame for the distributor. A full queue ends the connection, as the distributor is not reading.
func (l *followerLoop) sendFrame(frame []byte) {
	if l.queue == nil {
		return
	}
	select {
	case l.queue <- frame:
	default:
		l.cancel()
	}
}

// serveConnection opens a connection and reads from it; another goroutine writes to it.
func (l *followerLoop) serveConnection(ctx context.Context, connID uint64, distributor string, queue <-chan []byte) {
	defer l.d.recoverPanic("connection")
	defer l.post(ctx, connectionEnded{connID})
	openCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	stream, err := l.d.opener.OpenStream(openCtx, distributor)
	cancel()
	if err != nil {
		l.d.log.Debug("configuration: no connection to the distributor", zap.String("distributor", distributor),
			zap.Error(err))
		return
	}
	l.currentStream.Store(stream)
	defer func() {
		stream.Close()
		l.currentStream.CompareAndSwap(stream, nil)
		read, written := stream.Bytes()
		l.closedBytes.Add(read + written)
	}()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	l.post(ctx, connectionOpened{connID, stream})
	go writeFrames(ctx, stream, queue)
	for {
		payload, err := stream.ReadFrame(2 * time.Duration(followerSilenceSeconds*float64(time.Second)))
		if err != nil {
			return
		}
		l.post(ctx, frameReceived{connID, payload})
	}
}

// post passes an event to the loop, unless its connection has been cancelled.
func (l *followerLoop) post(ctx context.Context, event any) {
	select {
	case l.inbox <- event:
	case <-ctx.Done():
	}
}

// writeFrames writes queued frames until the connection ends.
func writeFrames(ctx context.Context, stream *member.Stream, queue <-chan []byte) {
	defer stream.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case frame := <-queue:
			if stream.WriteFrame(frame, frameWriteTimeout) != nil {
				return
			}
		}
	}
}

// completeLookup passes the outcome of a lookup to the waiting caller.
func (l *followerLoop) completeLookup(done configlog.LookupDone) {
	if reply := l.lookups[done.ID]; reply != nil {
		delete(l.lookups, done.ID)
		reply <- done
	}
}
