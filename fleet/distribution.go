package fleet

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
	"valveglade/member"
)

// DistributionConfig configures this process's part in the distribution of configuration.
type DistributionConfig struct {
	Name           string
	Voters         [][]string // voters that replicate the log, grouped as for elected roles
	Distributors   []string   // nodes that serve app servers; the voters if empty
	Services       []string   // services that this app server serves
	AllServices    bool       // subscribe to every service; Services is ignored
	Folder         string     // for persistent files; empty to persist nothing
	BytesPerSecond float64    // send rate limit of one subscriber
	StaleAfter     float64    // age in seconds past which the configuration is stale
	Socket         string     // path of the local socket for status and changes; empty for none
}

// StreamOpener opens streams to other app servers. member.Member implements it.
type StreamOpener interface {
	OpenStream(ctx context.Context, to string) (*member.Stream, error)
}

// TableState is the configuration in force at a version of the log. It is immutable.
type TableState struct {
	Table   configtable.Table
	Version configlog.Version
}

// Distribution is one process's part in the distribution of configuration: a voter's replica of the log, a
// distributor's feed and an app server's subscription. Parts that the process does not have are nil. RPC processing
// never waits for it.
type Distribution struct {
	cfg       DistributionConfig
	log       *zap.Logger
	opener    StreamOpener
	send      func(to string, packet []byte)
	leader    func() (name string, known bool)
	table     atomic.Pointer[TableState]
	startedAt float64
	replica   *replicaLoop
	feed      *feedLoop
	follower  *followerLoop
	cache     *lookupCache
	counts    distributionCounts
}

// distributionCounts counts rejected and dropped messages and failed writes, for Status.
type distributionCounts struct {
	malformedPackets  atomic.Int64
	droppedPackets    atomic.Int64
	malformedFrames   atomic.Int64
	rejectedFrames    atomic.Int64 // frames that the follower's state machine rejected
	slowSubscribers   atomic.Int64
	rejectedChanges   atomic.Int64
	unreadableChanges atomic.Int64 // committed changes that this version of the program cannot decode or apply
	failedWrites      atomic.Int64
	skippedWrites     atomic.Int64 // changes not appended to the local file, which is rewritten whole instead
}

// configRoleName is the elected role of the log's leader.
const configRoleName = "config"

// distributionTickInterval is the interval between clock ticks of the feed's and the replica's state machines.
const distributionTickInterval = 50 * time.Millisecond

// Distribute sets up this process's parts of the distribution of configuration; Distribution lists them. If this
// process is a voter, which keeps a replica of the log, Distribute also registers it as a candidate for the role of the
// log's leader. Nothing is started before the returned Distribution's Run, and the candidate does not campaign before
// the replica has opened its files. The opener opens streams to other app servers, to subscribe to the configuration,
// to fetch snapshots and to pass on changes. Distribute must be called at most once, before Fleet.Run.
func (f *Fleet) Distribute(cfg DistributionConfig, opener StreamOpener) (*Distribution, error) {
	if len(cfg.Voters) == 0 {
		return nil, errors.New("configuration is distributed only where there are voters")
	}
	d := newDistribution(cfg, opener, f.log)
	d.send = f.transport.Send
	d.leader = func() (string, bool) { return f.roleOwner(configRoleName) }
	if d.replica != nil {
		if err := f.Campaign(configRoleName, d.lead); err != nil {
			return nil, err
		}
		f.mu.Lock()
		f.roles[configRoleName].ready = d.replica.ready.Load
		f.mu.Unlock()
	}
	f.distribution.Store(d)
	return d, nil
}

// roleOwner returns the owner of a role, if this process knows it.
func (f *Fleet) roleOwner(role string) (name string, known bool) {
	for _, owner := range f.Owners() {
		if owner.Role == role && owner.Owner != "" {
			return owner.Owner, true
		}
	}
	return "", false
}

// newDistribution creates the parts that this process has by its configuration.
func newDistribution(cfg DistributionConfig, opener StreamOpener, log *zap.Logger) *Distribution {
	if len(cfg.Distributors) == 0 {
		cfg.Distributors = uniqueNames(cfg.Voters)
	}
	d := &Distribution{cfg: cfg, log: log, opener: opener, startedAt: clock(), cache: newLookupCache(),
		leader: unknownLeader, send: func(string, []byte) { /* no transport to other voters */ }}
	d.table.Store(&TableState{})
	voters := uniqueNames(cfg.Voters)
	isVoter, isDistributor := slices.Contains(voters, cfg.Name), slices.Contains(cfg.Distributors, cfg.Name)
	if isVoter || isDistributor {
		d.feed = newFeedLoop(d)
	}
	switch {
	case isVoter:
		d.replica = newReplicaLoop(d)
	case isDistributor:
		d.follower = newFollowerLoop(d, followerScope{all: true, distributors: voters})
	default:
		d.follower = newFollowerLoop(d, followerScope{
			all: cfg.AllServices, services: cfg.Services, distributors: cfg.Distributors,
		})
	}
	return d
}

// NewSubscriber returns a Distribution with an app server's subscription only, for a process that is not a fleet
// member.
func NewSubscriber(cfg DistributionConfig, opener StreamOpener, log *zap.Logger) *Distribution {
	return newDistribution(cfg, opener, log)
}

func unknownLeader() (string, bool) { return "", false }

// uniqueNames returns the names in all lists, sorted and without duplicates.
func uniqueNames(lists [][]string) []string {
	var all []string
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Run runs all parts until ctx ends. A panic ends only the part that it occurs in; the configuration in force is kept.
func (d *Distribution) Run(ctx context.Context) error {
	var group sync.WaitGroup
	defer group.Wait()
	run := func(part string, loop func(context.Context)) {
		group.Go(func() {
			defer d.recoverPanic(part)
			loop(ctx)
		})
	}
	if d.feed != nil {
		run("feed", d.feed.run)
	}
	if d.replica != nil {
		run("replica", d.replica.run)
	}
	if d.follower != nil {
		run("follower", d.follower.run)
	}
	if d.cfg.Socket != "" {
		run("socket", d.serveSocket)
	}
	run("age", d.watchStaleness)
	<-ctx.Done()
	return nil
}

// recoverPanic logs a panic, which ends only the part that it occurred in.
func (d *Distribution) recoverPanic(part string) {
	if p := recover(); p != nil {
		d.log.Error("panic", zap.String("configuration", part), zap.Any("panic", p), zap.Stack("stack"))
	}
}

// Table returns the configuration in force. It never blocks.
func (d *Distribution) Table() *TableState { return d.table.Load() }

// receive handles a replication packet. It never blocks: a packet that finds the queue full is dropped, which the
// protocol tolerates like any packet loss.
func (d *Distribution) receive(from string, packet []byte) {
	message, err := decodeReplication(packet)
	if err != nil {
		d.counts.malformedPackets.Add(1)
		return
	}
	if d.replica == nil {
		d.counts.droppedPackets.Add(1)
		return
	}
	select {
	case d.replica.inbox <- envelopeReceived{configlog.Envelope{From: from, To: d.cfg.Name, Message: message}}:
	default:
		d.counts.droppedPackets.Add(1)
	}
}

// firstFrameTimeout bounds the wait for the first frame of a stream, which states its purpose.
const firstFrameTimeout = 5 * time.Second

// ServeStream serves an incoming stream from another app server. It is a member.StreamHandler.
func (d *Distribution) ServeStream(ctx context.Context, s *member.Stream) {
	defer d.recoverPanic("stream")
	payload, err := s.ReadFrame(firstFrameTimeout)
	if err != nil {
		return
	}
	message, err := decodeFrame(payload)
	if err != nil {
		d.counts.malformedFrames.Add(1)
		return
	}
	switch m := message.(type) {
	case configlog.Subscribe:
		if d.feed != nil {
			d.feed.serve(ctx, s, m)
		}
	case applyRequest:
		reply := d.applyText(ctx, m)
		s.WriteFrame(encodeFrame(reply), frameWriteTimeout)
	case newTermRequest:
		d.endTerm(m.Term)
	default:
		d.counts.malformedFrames.Add(1)
	}
}

// watchStaleness logs each change between a fresh and a stale configuration.
func (d *Distribution) watchStaleness(ctx context.Context) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	stale := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		status := d.Status()
		// After a start the age is unknown until the first message from a distributor, which has StaleAfter to arrive.
		if status.Stale == stale || status.Stale && clock()-d.startedAt < d.cfg.StaleAfter {
			continue
		}
		stale = status.Stale
		fields := []zap.Field{zap.Uint64("term", status.Term), zap.Uint64("version", status.Version),
			zap.String("age", fmt.Sprintf("%.1fs", status.Age)), zap.String("distributor", status.Distributor)}
		if stale {
			d.log.Warn("configuration is stale", fields...)
		} else {
			d.log.Info("configuration is no longer stale", fields...)
		}
	}
}
