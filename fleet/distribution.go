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

// DistributionConfig is what this process is told of the distribution of configuration.
type DistributionConfig struct {
	Name           string
	Voters         [][]string // who replicates the log; as for elected roles
	Distributors   []string   // who serves app servers; the voters if empty
	Services       []string   // what this app server serves
	AllServices    bool       // every service, in place of Services
	Folder         string     // for this app server's own files; empty where nothing lasts
	BytesPerSecond float64    // most that one subscriber is sent
	StaleAfter     float64    // age in seconds from which the configuration is too old
	Socket         string     // local socket for status and changes; empty for none
}

// StreamOpener opens streams to other app servers: member.Member.
type StreamOpener interface {
	OpenStream(ctx context.Context, to string) (*member.Stream, error)
}

// TableState is the configuration in force, as of a version of the log. It is immutable.
type TableState struct {
	Table   configtable.Table
	Version configlog.Version
}

// Distribution is one process's part in the distribution of configuration: a voter's copy of the log, a distributor's feed, and
// an app server's subscription, each as far as the process has that part. Nothing that an RPC waits for waits for it.
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

// distributionCounts counts what was refused or dropped, for Status.
type distributionCounts struct {
	malformedPackets  atomic.Int64
	droppedPackets    atomic.Int64
	malformedFrames   atomic.Int64
	rejectedFrames    atomic.Int64 // by the follower's machine
	slowSubscribers   atomic.Int64
	rejectedChanges   atomic.Int64
	unreadableChanges atomic.Int64 // committed changes that this version of the program can not read
	failedWrites      atomic.Int64
	skippedWrites     atomic.Int64 // of an app server's own file: a whole file is written later instead
}

// configRoleName is the elected role of the log's leader.
const configRoleName = "config"

// distributionTickInterval is how often machines are told of time.
const distributionTickInterval = 50 * time.Millisecond

// Distribute prepares this process's part in the distribution of configuration; nothing is sent before its Run. It is called
// once, before Run of the fleet.
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

// roleOwner tells who owns a role, as far as is known here.
func (f *Fleet) roleOwner(role string) (name string, known bool) {
	for _, owner := range f.Owners() {
		if owner.Role == role && owner.Owner != "" {
			return owner.Owner, true
		}
	}
	return "", false
}

// newDistribution decides which parts this process has.
func newDistribution(cfg DistributionConfig, opener StreamOpener, log *zap.Logger) *Distribution {
	if len(cfg.Distributors) == 0 {
		cfg.Distributors = uniqueNames(cfg.Voters)
	}
	d := &Distribution{cfg: cfg, log: log, opener: opener, startedAt: clock(), cache: newLookupCache(), leader: unknownLeader,
		send: func(string, []byte) { /* no other voter to send to */ }}
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
		d.follower = newFollowerLoop(d, followerScope{all: cfg.AllServices, services: cfg.Services, distributors: cfg.Distributors})
	}
	return d
}

// NewSubscriber prepares an app server's subscription alone, for a process that is no member of a fleet.
func NewSubscriber(cfg DistributionConfig, opener StreamOpener, log *zap.Logger) *Distribution {
	return newDistribution(cfg, opener, log)
}

func unknownLeader() (string, bool) { return "", false }

// uniqueNames are the names of all lists, each once.
func uniqueNames(lists [][]string) []string {
	var all []string
	for _, list := range lists {
		all = append(all, list...)
	}
	slices.Sort(all)
	return slices.Compact(all)
}

// Run takes part until ctx ends. An error ends the distribution here and nothing else: what is in force stays.
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

// recoverPanic has a panic end the part that it came in, and nothing else.
func (d *Distribution) recoverPanic(part string) {
	if p := recover(); p != nil {
		d.log.Error("panic", zap.String("configuration", part), zap.Any("panic", p), zap.Stack("stack"))
	}
}

// Table is the configuration in force; reading it never waits.
func (d *Distribution) Table() *TableState { return d.table.Load() }

// receive takes a packet of replication. It never waits: what does not fit is lost, as it may be on its way.
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

// firstFrameTimeout is how long a stream may take to say what it is for.
const firstFrameTimeout = 5 * time.Second

// ServeStream serves an incoming stream of another app server; it is a member.StreamHandler.
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

// watchStaleness logs once when the configuration becomes too old, and once when it no longer is.
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
		// At a start the age is unknown until the first word of a distributor: that is given as long as an age may be.
		if status.Stale == stale || status.Stale && clock()-d.startedAt < d.cfg.StaleAfter {
			continue
		}
		stale = status.Stale
		fields := []zap.Field{zap.Uint64("term", status.Term), zap.Uint64("version", status.Version), zap.String("age", fmt.Sprintf("%.1fs", status.Age)),
			zap.String("distributor", status.Distributor)}
		if stale {
			d.log.Warn("configuration is stale", fields...)
		} else {
			d.log.Info("configuration is no longer stale", fields...)
		}
	}
}
