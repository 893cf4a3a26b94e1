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

// Bounds and times of a voter's copy of the log.
const (
	replicaInboxSize        = 1024 // events that may wait; packets past it are lost
	replicaBatchEvents      = 64   // events that one write to the disk serves at the most
	replicaKeepEntries      = 20_000
	replicaMaxOpen          = 4096
	replicaMaxInFlight      = 16
	replicaResendSeconds    = 0.3  // seconds
	replicaHeartbeatSeconds = 0.25 // seconds
	reopenDelay             = time.Second
	snapshotRetryDelay      = 2 * time.Second
)

// Errors of a proposal beside those of configlog.
var (
	errStorage    = errors.New("the log can not be written here")
	errNotReady   = errors.New("this voter lost its files and has not recovered them yet")
	errShutdown   = errors.New("this app server stops")
	errOverloaded = errors.New("too many changes wait already")
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
		reply   chan proposalOutcome // holds one
	}
	snapshotFetched struct{ state *TableState }
	snapshotFailed  struct{}
)

// proposalOutcome is what became of proposed changes. Of a refusal, At is the first change that is at fault and nothing was changed.
type proposalOutcome struct {
	Version    configlog.Version
	FaultIndex int
	Err        error
}

// proposal is a set of changes that waits for the commit of all of them.
type proposal struct {
	uncommitted int
	outcome     proposalOutcome
	reply       chan proposalOutcome
}

// replicaLoop drives a voter's configlog.Replica. Its goroutine does the disk's work too: a slow disk holds up the voter's part
// in the log, and nothing else.
type replicaLoop struct {
	d               *Distribution
	inbox           chan any
	leadershipLost  chan uint64 // holds the higher term when leadership is lost
	status          atomic.Pointer[configlog.ReplicaStatus]
	termRequestedAt atomic.Int64 // when a voter last asked for a new term, nanoseconds since epoch
	ready           atomic.Bool  // the files are open, so that this voter may campaign

	machine      *configlog.Replica // nil while the files can not be opened
	store        *configstore.Store
	speculative  configtable.Table // the leader's table with all open proposals applied
	lastID       uint64
	proposals    map[uint64]*proposal // by the id of each change
	fetching     bool
	promisedTerm uint64 // the highest term that this process has put on the disk
	savedIndex   uint64 // the last entry likewise
	failing      bool
}

func newReplicaLoop(d *Distribution) *replicaLoop {
	l := &replicaLoop{d: d, inbox: make(chan any, replicaInboxSize), leadershipLost: make(chan uint64, 1), proposals: map[uint64]*proposal{}}
	l.status.Store(&configlog.ReplicaStatus{Age: maxSeconds})
	return l
}

// lead is the work of the elected role.
func (d *Distribution) lead(ctx context.Context, term uint64) error {
	l := d.replica
	select {
	case <-l.leadershipLost: // of an earlier term
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
			d.log.Warn("configuration: not led", zap.Uint64("term", term), zap.Error(err))
			return &StaleTermError{Term: term, Known: term + 1} // another voter is to campaign
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

// enqueue has the loop take an event; it waits while the disk is slow.
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

// run drives the machine until ctx ends; a fault of the disk has the files be opened anew.
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

// handleQueued takes what else has come meanwhile, so that one write to the disk serves all of it.
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

// open opens the files and makes the machine; it tries again until ctx ends.
func (l *replicaLoop) open(ctx context.Context) bool {
	for {
		stored, err := l.recover(ctx)
		if err == nil {
			cfg := configlog.ReplicaConfig{Name: l.d.cfg.Name, Voters: l.d.cfg.Voters, KeepEntries: replicaKeepEntries, MaxOpen: replicaMaxOpen,
				MessageBytes: maxReplicationEntries, MaxInFlight: replicaMaxInFlight, ResendAfter: replicaResendSeconds, HeartbeatEvery: replicaHeartbeatSeconds}
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

// recover reads what the disk has, and has the table there take effect.
func (l *replicaLoop) recover(ctx context.Context) (configlog.Stored, error) {
	if l.d.cfg.Folder == "" {
		return configlog.Stored{}, errors.New("a voter of the configuration needs a folder that lasts")
	}
	if _, err := os.Stat(l.d.cfg.Folder); err != nil {
		return configlog.Stored{}, err // not created: a folder that is away holds what was promised
	}
	store, found, err := configstore.Open(l.d.cfg.Folder, l.d.cfg.Name)
	if err != nil {
		return configlog.Stored{}, err
	}
	l.store = store
	// A folder that has forgotten what this process has promised in it is another one.
	if len(found.Refused) > 0 || found.Vote.Term < l.promisedTerm || found.Last.Index < l.savedIndex {
		l.d.logRefusedFiles(found.Refused)
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
	return configlog.Stored{Promised: found.Vote.Term, Base: base, LastOfService: lastOfService(found.Table), Entries: entries, Commit: base.Index}, nil
}

// rejectEventsFor refuses all that comes for some time; it reports false once ctx has ended.
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

// rejectEvent answers what waits for an answer.
func rejectEvent(event any, err error) {
	switch e := event.(type) {
	case leadershipStarted:
		e.reply <- err
	case changesProposed:
		e.reply <- proposalOutcome{Err: err}
	}
}

// handleStorageFailure drops the machine after a fault of the disk.
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

// handle has the machine take one event.
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

// install has the log go on from another voter's snapshot.
func (l *replicaLoop) install(ctx context.Context, state *TableState) {
	if state.Version.Index <= l.d.Table().Version.Index || !l.machine.InstallSnapshot(state.Version, lastOfService(state.Table), clock()) {
		return
	}
	l.d.log.Info("configuration: snapshot taken from another voter", zap.Uint64("version", state.Version.Index))
	l.d.replaceTable(ctx, state)
}

// processReady does what the machine has to do, in the order that it asks for.
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

// fetchSnapshot gets a snapshot for a voter that is too far behind.
func (l *replicaLoop) fetchSnapshot(ctx context.Context, minVersion configlog.Version) {
	defer l.d.recoverPanic("snapshot")
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
