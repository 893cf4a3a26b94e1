package member

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"net/netip"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"valveglade/logic/view"
)

// heartbeatInterval is the longest time between two passes of the loop: a third of the lag that matters.
const heartbeatInterval = 100 * time.Millisecond

// Run takes part in the fleet until ctx ends, then leaves.
func (m *Member) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var groupCtx context.Context
	m.group, groupCtx = errgroup.WithContext(runCtx)
	if err := m.startGossip(); err != nil {
		m.wire.close()
		return err
	}
	m.group.Go(m.wire.readPackets)
	m.group.Go(m.wire.acceptStreams)
	m.group.Go(func() error { return m.announce(groupCtx) })
	if m.config.Socket != "" {
		m.group.Go(func() error { return m.serveStatus(groupCtx) })
	}
	m.group.Go(func() error {
		defer m.wire.close()
		defer m.stopGossip()
		defer cancel()
		// A panic of the loop ends membership, not the app server.
		return m.wire.recoverPanic("loop", func() error { return m.loop(ctx, groupCtx) })
	})
	return m.group.Wait()
}

// loop feeds events and time to the machine, and executes its actions.
func (m *Member) loop(ctx, groupCtx context.Context) error {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	lastPass := time.Now()
	for {
		var e view.Event
		hasEvent := false
		select {
		case <-ctx.Done():
			m.leave()
			return nil
		case <-groupCtx.Done():
			return nil
		case <-m.killed.Done():
			m.stopGossip()
			return nil
		case <-ticker.C:
		case e = <-m.events:
			hasEvent = true
		}
		// A lag of this process is handled before the event.
		if lag := time.Since(lastPass) - heartbeatInterval; lag > m.wire.lagThreshold {
			m.machine.Step(view.Event{Kind: view.Late, Lag: lag.Seconds()}, m.now())
			m.wire.maySuspect.Store(m.machine.MaySuspect(m.now()))
			if lag > m.wire.rebuildThreshold {
				m.log.Warn("fleet: this process slept and begins gossip anew", zap.Float64("slept_s", roundMillis(lag.Seconds())))
			}
			m.execute(groupCtx)
		}
		lastPass = time.Now()
		if hasEvent {
			m.machine.Step(e, m.now())
			for n := len(m.events); n > 0; n-- { // events that are queued already
				m.machine.Step(<-m.events, m.now())
			}
		} else {
			m.machine.Tick(m.now())
		}
		m.wire.maySuspect.Store(m.machine.MaySuspect(m.now()))
		m.execute(groupCtx)
		m.wire.heartbeat()
	}
}

// execute executes the machine's actions. Actions that may block run in goroutines of their own, whose number the
// machine bounds.
func (m *Member) execute(ctx context.Context) {
	for _, action := range m.machine.Ready() {
		switch action.Kind {
		case view.Publish:
			m.publish()
		case view.Announce:
			m.publish()
			notify(m.announceDue)
		case view.Contact:
			go m.contact(action.Address)
		case view.Probe:
			go m.probe(ctx, action.Name, action.Address)
		case view.NotifyNewerIncarnation:
			if to, err := netip.ParseAddrPort(action.Address); err == nil {
				m.wire.send(kindNewerIncarnation, appendNewerIncarnation(nil, action.Entry), to)
			}
		case view.Rebuild:
			m.stopGossip()
			if err := m.startGossip(); err != nil {
				m.log.Error("fleet: gossip cannot be restarted", zap.Error(err))
			}
		case view.Withdraw:
			m.log.Error("fleet: a newer incarnation of this name is running; this one takes no further part",
				zap.String("there", action.Entry.Address), zap.Uint64("its_birth", action.Entry.Incarnation.Number),
				zap.Uint64("our_birth", m.machine.Entry().Incarnation.Number))
			go m.stopGossip()
		}
	}
}

// publish makes the machine's current view and entry available to readers.
func (m *Member) publish() {
	e := m.machine.Entry()
	m.entry.Store(&e)
	v, previous := m.machine.View(), m.view.Load()
	if v == previous {
		return
	}
	m.view.Store(v)
	if previous == nil || v.Digest != previous.Digest {
		m.rememberAddresses(v)
	}
	m.mu.Lock()
	for c := range m.subscribers {
		notify(c)
	}
	m.mu.Unlock()
	if previous == nil || v.Digest != previous.Digest || v.Certainty != previous.Certainty {
		m.log.Info("view", zap.Uint64("version", v.Version), zap.String("digest", digestText(v.Digest)),
			zap.Stringer("certainty", v.Certainty), zap.Int("members", len(v.Members)), zap.Int("healthy", len(v.LastHealthy)),
			zap.Strings("changes", changeTexts(v.Changes)))
	}
}

func digestText(d uint64) string { return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, d)) }

// maxChangeTexts bounds the changes in one log line, as three hundred would be unreadable.
const maxChangeTexts = 24

func changeTexts(changes []view.Change) []string {
	var texts []string
	for k, c := range changes {
		if k == maxChangeTexts {
			return append(texts, fmt.Sprintf("and %d more", len(changes)-k))
		}
		texts = append(texts, c.Name+" "+c.What+": "+c.Why)
	}
	return texts
}

// Kill ends this member at once without a leave message, as a crash of its process would; Run returns. It is for tests
// and experiments with many members in one process.
func (m *Member) Kill() {
	m.wire.transport.Store(nil)
	m.wire.close()
	m.kill()
}

// contact exchanges all state with the process at an address.
func (m *Member) contact(address string) {
	ok := false
	if g := m.gossip.Load(); g != nil {
		n, err := g.Join([]string{address})
		ok = err == nil && n > 0
	}
	m.enqueue(view.Event{Kind: view.ContactDone, Address: address, OK: ok})
}

// probe asks the process at an address whether it is the named member.
func (m *Member) probe(ctx context.Context, name, address string) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(float64(m.config.ProbeInterval)*(1+probeTimeoutRatio)))
	defer cancel()
	_, err := m.wire.probe(ctx, address, name)
	m.ReportReachability(name, err == nil)
}
