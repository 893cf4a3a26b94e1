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

// beatEvery is how often the loop comes round at the least: a third of the lateness that matters.
const beatEvery = 100 * time.Millisecond

// Run takes part in the fleet until ctx ends, then leaves.
func (m *Member) Run(ctx context.Context) error {
	live, end := context.WithCancel(context.WithoutCancel(ctx))
	defer end()
	var all context.Context
	m.group, all = errgroup.WithContext(live)
	if err := m.start(); err != nil {
		m.wire.close()
		return err
	}
	m.group.Go(m.wire.packets)
	m.group.Go(m.wire.accept)
	m.group.Go(func() error { return m.announce(all) })
	if m.config.Socket != "" {
		m.group.Go(func() error { return m.serveStatus(all) })
	}
	m.group.Go(func() error {
		defer m.wire.close()
		defer m.stop()
		defer end()
		// The app server does without a fleet rather than end with it.
		return m.wire.guard("loop", func() error { return m.loop(ctx, all) })
	})
	return m.group.Wait()
}

// loop brings the machine events and time, and has its actions carried out.
func (m *Member) loop(ctx, all context.Context) error {
	beat := time.NewTicker(beatEvery)
	defer beat.Stop()
	last := time.Now()
	for {
		var e view.Event
		some := false
		select {
		case <-ctx.Done():
			m.leave()
			return nil
		case <-all.Done():
			return nil
		case <-m.killed.Done():
			m.stop()
			return nil
		case <-beat.C:
		case e = <-m.events:
			some = true
		}
		// Whatever it was that woke us: if we slept, that comes first.
		if gap := time.Since(last) - beatEvery; gap > m.wire.lag {
			m.machine.Step(view.Event{Kind: view.Late, Lag: gap.Seconds()}, m.now())
			m.wire.accuses.Store(m.machine.MaySuspect(m.now()))
			if gap > m.wire.wake {
				m.log.Warn("fleet: this process slept and begins gossip anew", zap.Float64("slept_s", round(gap.Seconds())))
			}
			m.carryOut(all)
		}
		last = time.Now()
		if some {
			m.machine.Step(e, m.now())
			for n := len(m.events); n > 0; n-- { // what came with it
				m.machine.Step(<-m.events, m.now())
			}
		} else {
			m.machine.Tick(m.now())
		}
		m.wire.accuses.Store(m.machine.MaySuspect(m.now()))
		m.carryOut(all)
		m.wire.beat()
	}
}

// carryOut carries out the machine's actions. Whatever may wait does so in a goroutine of its own, of which the machine
// bounds the number.
func (m *Member) carryOut(ctx context.Context) {
	for _, o := range m.machine.Ready() {
		switch o.Kind {
		case view.Publish:
			m.publish()
		case view.Announce:
			m.publish()
			signal(m.announceDue)
		case view.Contact:
			go m.contact(o.Address)
		case view.Probe:
			go m.probe(ctx, o.Name, o.Address)
		case view.NotifyNewerIncarnation:
			if to, err := netip.ParseAddrPort(o.Address); err == nil {
				m.wire.send(kindNewer, appendNewer(nil, o.Entry), to)
			}
		case view.Rebuild:
			m.stop()
			if err := m.start(); err != nil {
				m.log.Error("fleet: gossip cannot begin anew", zap.Error(err))
			}
		case view.Withdraw:
			m.log.Error("fleet: a newer incarnation of this name is running; this one takes no further part",
				zap.String("there", o.Entry.Address), zap.Uint64("its_birth", o.Entry.Incarnation.Number),
				zap.Uint64("our_birth", m.machine.Entry().Incarnation.Number))
			go m.stop()
		}
	}
}

// publish makes the machine's view and entry those in force.
func (m *Member) publish() {
	e := m.machine.Entry()
	m.entry.Store(&e)
	v, was := m.machine.View(), m.view.Load()
	if v == was {
		return
	}
	m.view.Store(v)
	if was == nil || v.Digest != was.Digest {
		m.rememberAddresses(v)
	}
	m.mu.Lock()
	for c := range m.subs {
		signal(c)
	}
	m.mu.Unlock()
	if was == nil || v.Digest != was.Digest || v.Certainty != was.Certainty {
		m.log.Info("view", zap.Uint64("version", v.Version), zap.String("digest", digestText(v.Digest)),
			zap.Stringer("certainty", v.Certainty), zap.Int("members", len(v.Members)), zap.Int("healthy", len(v.LastHealthy)),
			zap.Strings("changes", changeTexts(v.Changes)))
	}
}

func digestText(d uint64) string { return hex.EncodeToString(binary.BigEndian.AppendUint64(nil, d)) }

// maxChangeTexts is how many changes one line tells; a line for each of three hundred would say less.
const maxChangeTexts = 24

func changeTexts(changes []view.Change) []string {
	var all []string
	for k, c := range changes {
		if k == maxChangeTexts {
			return append(all, fmt.Sprintf("and %d more", len(changes)-k))
		}
		all = append(all, c.Name+" "+c.What+": "+c.Why)
	}
	return all
}

// Kill ends this member's part at once and without a word, as the end of its process would; Run returns. It is for those
// who play failures with many members in one process.
func (m *Member) Kill() {
	m.wire.transport.Store(nil)
	m.wire.close()
	m.kill()
}

// contact exchanges all that is known with whoever is at an address.
func (m *Member) contact(address string) {
	ok := false
	if g := m.gossip.Load(); g != nil {
		n, err := g.Join([]string{address})
		ok = err == nil && n > 0
	}
	m.enqueue(view.Event{Kind: view.ContactDone, Address: address, OK: ok})
}

// probe asks the process at an address whether it is that member.
func (m *Member) probe(ctx context.Context, name, address string) {
	ctx, end := context.WithTimeout(ctx, time.Duration(float64(m.config.ProbeInterval)*(1+probeWait)))
	defer end()
	_, err := m.wire.probe(ctx, address, name)
	m.ReportReachability(name, err == nil)
}
