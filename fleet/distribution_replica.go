package fleet

import (
	"context"
	"errors"
	"os"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
	"valveglade/store/configstore"
)

// Limits and timings of a voter's replica of the log.
const (
	replicaInboxSize        = 1024   // queued events; packets that find the queue full are dropped
	replicaBatchEvents      = 64     // further events handled before one write to disk
	replicaKeepEntries      = 20_000 // committed entries kept in memory for replicas that lag
	replicaMaxOpen          = 4096   // uncommitted changes
	replicaMaxInFlight      = 16     // unacknowledged messages with entries to one voter
	replicaResendSeconds    = 0.3
	replicaHeartbeatSeconds = 0.25
	reopenDelay             = time.Second
	snapshotRetryDelay      = 2 * time.Second
)

// Errors of a proposal, in addition to those of configlog.
var (
	errStorage    = errors.New("the log cannot be written on this voter")
	errNotReady   = errors.New("this voter lost its files and has not recovered them yet")
	errShutdown   = errors.New("this app server is shutting down")
	errOverloaded = errors.New("too many changes are waiting")
	errNotLeader  = errors.New("no leader of the configuration is known")
)

// Events of the replica's loop.
type (
	envelopeReceived  struct{ envelope configlog.Envelope }
	leadershipStarted struct {
		term  uint64
		reply chan error
	}
	leadershipEnded struct{}
	changesProposed struct {
		changes []configtable.Change
		reply   chan proposalOutcome // has a buffer of one
	}
	snapshotFetched struct{ state *TableState }
	snapshotFailed  struct{}
)

// proposalOutcome is the outcome of proposed changes. If they were rejected, FaultIndex is the index of the first
// invalid change, and nothing was changed.
type proposalOutcome struct {
	Version    configlog.Version
	FaultIndex int
	Err        error
}

// proposal is a set of changes that waits until all of them are committed.
type proposal struct {
	uncommitted int
	outcome     proposalOutcome
	reply       chan proposalOutcome
}

// replicaLoop drives a voter's configlog.Replica. Its goroutine also writes to disk, so that a slow disk delays this
// replica and nothing else.
type replicaLoop struct {
	d               *Distribution
	inbox           chan any
	leadershipLost  chan uint64 // receives the higher term when leadership is lost
	status          atomic.Pointer[configlog.ReplicaStatus]
	termRequestedAt atomic.Int64 // when a voter last requested a new term, in nanoseconds since epoch
	ready           atomic.Bool  // the files are open, and this voter may campaign

	machine      *configlog.Replica // nil while the files cannot be opened
	store        *configstore.Store
	speculative  configtable.Table // the leader's table with all open proposals applied
	lastID       uint64
	proposals    map[uint64]*proposal // by the ID of each change
	fetching     bool
	promisedTerm uint64 // the highest promised term that this process has written to disk
	savedIndex   uint64 // the index of the last entry that this process has written to disk
	failing      bool
}

func newReplicaLoop(d *Distribution) *replicaLoop {
	l := &replicaLoop{d: d, inbox: make(chan any, replicaInboxSize),
		leadershipLost: make(chan uint64, 1), proposals: map[uint64]*proposal{}}
	l.status.Store(&configlog.ReplicaStatus{Age: maxSeconds})
	return l
}

// lead runs while this process holds the elected role.
func (d *Distribution) lead(ctx context.Context, term uint64) error {
	l := d.replica
	select {
	case <-l.leadershipLost: // from an earlier term
	default:
	}
	started := leadershipStarted{term, make(chan error, 1)}
	if err := l.enqueue(ctx, started); err != nil {
		return err
	}
	defer l.enqueue(context.WithoutCancel(ctx), leadershipEnded{})
	select {
	case err := <-started.reply:
		if err != nil {
			d.log.Warn("configuration: cannot lead the log", zap.Uint64("term", term), zap.Error(err))
			return &StaleTermError{Term: term, Known: term + 1} // lets another voter campaign
		}
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case <-ctx.Done():
		return ctx.Err()
	case known := <-l.leadershipLost:
		return &StaleTermError{Term: term, Known: known}
	}
}

// enqueue passes an event to the loop. It waits up to frameWriteTimeout while the queue is full, as with a slow disk.
func (l *replicaLoop) enqueue(ctx context.Context, event any) error {
	ctx, cancel := context.WithTimeout(ctx, frameWriteTimeout)
	defer cancel()
	select {
	case l.inbox <- event:
		return nil
	case <-ctx.Done():
		return errOverloaded
	}
}

// run drives the replica's state machine until ctx ends. After a disk error it reopens the files.
func (l *replicaLoop) run(ctx context.Context) {
	defer l.close()
	ticker := time.NewTicker(distributionTickInterval)
	defer ticker.Stop()
	for {
		if l.machine == nil && !l.open(ctx) {
			return
		}
		select {
		case <-ctx.Done():
			return
		case event := <-l.inbox:
			l.handle(ctx, event)
			l.handleQueued(ctx)
		case <-ticker.C:
			l.machine.Tick(clock())
		}
		if err := l.processReady(ctx); err != nil {
			l.handleStorageFailure(err)
		}
	}
}

// handleQueued handles further queued events, so that one write to disk serves all of them.
func (l *replicaLoop) handleQueued(ctx context.Context) {
	for range replicaBatchEvents {
		select {
		case event := <-l.inbox:
			l.handle(ctx, event)
		default:
			return
		}
	}
}

// open opens the files and creates the state machine. It retries until ctx ends.
func (l *replicaLoop) open(ctx context.Context) bool {
	for {
		stored, err := l.recover(ctx)
		if err == nil {
			cfg := configlog.ReplicaConfig{Name: l.d.cfg.Name, Voters: l.d.cfg.Voters,
				KeepEntries: replicaKeepEntries, MaxOpen: replicaMaxOpen, MessageBytes: maxReplicationEntries,
				MaxInFlight: replicaMaxInFlight, ResendAfter: replicaResendSeconds, HeartbeatEvery: replicaHeartbeatSeconds}
			l.machine = configlog.NewReplica(cfg, stored, clock())
			l.failing = false
			l.ready.Store(true)
			return true
		}
		l.handleStorageFailure(err)
		if !l.rejectEventsFor(ctx, reopenDelay) {
			return false
		}
	}
}

// recover reads the stored log and puts the stored table in force.
func (l *replicaLoop) recover(ctx context.Context) (configlog.Stored, error) {
	if l.d.cfg.Folder == "" {
		return configlog.Stored{}, errors.New("a voter of the configuration needs a persistent folder")
	}
	if _, err := os.Stat(l.d.cfg.Folder); err != nil {
		return configlog.Stored{}, err // not created: the missing folder, as on an unmounted disk, has this voter's promises
	}
	store, found, err := configstore.Open(l.d.cfg.Folder, l.d.cfg.Name)
	if err != nil {
		return configlog.Stored{}, err
	}
	l.store = store
	// Files older than what this process has written are from another folder, such as an empty mount point.
	if len(found.RejectedFiles) > 0 || found.Vote.Term < l.promisedTerm || found.Last.Index < l.savedIndex {
		l.d.logRefusedFiles(found.RejectedFiles)
		if err := l.recoverFromPeers(ctx); err != nil {
			return configlog.Stored{}, err
		}
		return l.recover(ctx)
	}
	entries, err := readEntries(store)
	if err != nil {
		return configlog.Stored{}, err
	}
	base := logVersion(found.Version)
	if base.Index > l.d.Table().Version.Index {
		l.d.replaceTable(ctx, &TableState{Table: found.Table, Version: base})
	}
	return configlog.Stored{Promised: found.Vote.Term, Base: base,
		LastOfService: lastOfService(found.Table), Entries: entries, Commit: base.Index}, nil
}

// rejectEventsFor rejects all events for the given time. It returns false once ctx has ended.
func (l *replicaLoop) rejectEventsFor(ctx context.Context, wait time.Duration) bool {
	expired := time.After(wait)
	for {
		select {
		case <-ctx.Done():
			return false
		case <-expired:
			return true
		case event := <-l.inbox:
			rejectEvent(event, errNotReady)
		}
	}
}

// rejectEvent replies with an error to an event that expects a reply.
func rejectEvent(event any, err error) {
	switch e := event.(type) {
	case leadershipStarted:
		e.reply <- err
	case changesProposed:
		e.reply <- proposalOutcome{Err: err}
	}
}

// handleStorageFailure drops the state machine and closes the files after a disk error.
func (l *replicaLoop) handleStorageFailure(err error) {
	l.d.counts.failedWrites.Add(1)
	if !l.failing {
		l.failing = true
		l.d.log.Error("the log of the configuration can not be kept: this voter is silent until it can", zap.Error(err))
	}
	l.failProposals(errStorage)
	l.loseLeadership(l.status.Load().Term + 1)
	l.machine = nil
	l.ready.Store(false)
	if l.store != nil {
		l.store.Close()
		l.store = nil
	}
}

func (l *replicaLoop) close() {
	l.failProposals(errShutdown)
	if l.store != nil {
		l.store.Close()
	}
}

func (l *replicaLoop) loseLeadership(known uint64) {
	select {
	case l.leadershipLost <- known:
	default:
	}
}

// handle passes one event to the state machine.
func (l *replicaLoop) handle(ctx context.Context, event any) {
	switch e := event.(type) {
	case envelopeReceived:
		l.machine.Step(e.envelope, clock())
	case leadershipStarted:
		e.reply <- l.machine.Lead(e.term, clock())
	case leadershipEnded:
		l.machine.StepDown()
	case changesProposed:
		l.propose(e)
	case snapshotFetched:
		l.fetching = false
		l.install(ctx, e.state)
	case snapshotFailed:
		l.fetching = false
	}
}

// install continues the log from another voter's snapshot, if that is newer than the local table.
func (l *replicaLoop) install(ctx context.Context, state *TableState) {
	if state.Version.Index <= l.d.Table().Version.Index ||
		!l.machine.InstallSnapshot(state.Version, lastOfService(state.Table), clock()) {
		return
	}
	l.d.log.Info("configuration: snapshot installed from another voter", zap.Uint64("version", state.Version.Index))
	l.d.replaceTable(ctx, state)
}

// processReady executes the state machine's actions. Its state is persisted before messages that depend on it are sent.
func (l *replicaLoop) processReady(ctx context.Context) error {
	ready := l.machine.Ready()
	if err := l.persist(ready.Persist); err != nil {
		return err
	}
	for _, envelope := range ready.Messages {
		l.d.send(envelope.To, encodeReplication(envelope.Message))
	}
	l.d.applyCommitted(ctx, ready.Committed)
	for _, result := range ready.Results {
		l.resolve(result)
	}
	if ready.StaleTerm > 0 {
		l.loseLeadership(ready.StaleTerm)
	}
	if ready.NeedSnapshot != (configlog.Version{}) && !l.fetching {
		l.fetching = true
		go l.fetchSnapshot(ctx, ready.NeedSnapshot)
	}
	status := l.machine.Status(clock())
	l.status.Store(&status)
	return l.compact()
}

// fetchSnapshot fetches a snapshot at minVersion or later from another voter and passes the outcome to the loop.
// processReady starts it in a goroutine when this replica's log lacks entries that the leader, or the voter that a new
// leader fetches from, no longer keeps. The loop starts no other fetch until it has received the outcome, so the wait
// before a failure is reported limits the rate of retries.
func (l *replicaLoop) fetchSnapshot(ctx context.Context, minVersion configlog.Version) {
	defer l.d.recoverPanic("snapshot")
	// Both versions are of committed entries. Only one entry is ever committed at an index, so the term adds nothing.
	state, err := l.d.fetchSnapshot(ctx, func(version configlog.Version) bool { return version.Index >= minVersion.Index })
	var event any = snapshotFailed{}
	if err == nil {
		event = snapshotFetched{state}
	} else {
		sleepContext(ctx, snapshotRetryDelay)
	}
	select {
	case l.inbox <- event:
	case <-ctx.Done():
	}
}

func sleepContext(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
