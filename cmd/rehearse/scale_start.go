package main

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/view"
	"valveglade/member"
	"valveglade/rig/slope"
)

// loopback is all of this machine.
var loopback = netip.MustParsePrefix("127.0.0.0/8")

const (
	memberProbeInterval   = 300 * time.Millisecond
	convergenceTimeout = 60 * time.Second
	maxJoinAddresses = 3
)

// inProcessMembers are members of the fleet's view in this process, without an app server round them.
type inProcessMembers struct {
	all   []*member.Member
	group sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context
}

func newInProcessMembers() *inProcessMembers {
	h := &inProcessMembers{}
	h.ctx, h.stop = context.WithCancel(context.Background())
	return h
}

// growTo adds members until there are n.
func (h *inProcessMembers) growTo(n int) error {
	for k := len(h.all); k < n; k++ {
		m, err := member.New(member.Config{Name: fmt.Sprintf("hollow-%04d", k), Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Join: h.joinAddresses(), Allow: []netip.Prefix{loopback}, ProbeInterval: memberProbeInterval, View: view.Defaults()}, zap.NewNop())
		if err != nil {
			return err
		}
		h.all = append(h.all, m)
		h.group.Go(func() { m.Run(h.ctx) })
		m.UpdateState(view.Serving, false, view.Load{})
	}
	return nil
}

// joinAddresses are the addresses that others join at.
func (h *inProcessMembers) joinAddresses() (all []netip.AddrPort) {
	for _, m := range h.all[:min(len(h.all), maxJoinAddresses)] {
		all = append(all, m.Address())
	}
	return all
}

// awaitViews waits until each member's view has n.
func (h *inProcessMembers) awaitViews(n int) error {
	for until := time.Now().Add(convergenceTimeout); time.Now().Before(until); time.Sleep(memberProbeInterval / 10) {
		converged := true
		for _, m := range h.all {
			converged = converged && len(m.View().Members) >= n
		}
		if converged {
			return nil
		}
	}
	return fmt.Errorf("views of %d hollow members: %w", n, errTimeout)
}

// close drops all members without a word.
func (h *inProcessMembers) close() {
	h.stop()
	for _, m := range h.all {
		m.Kill()
	}
	h.group.Wait()
}

// memberSizes are how many members a start is measured among.
func (p *experimentRun) memberSizes() []int {
	return formValues[[]int]{
		short:    []int{2, 3, 4, 5},
		standard: []int{5, 10, 20, 40},
		long:     []int{10, 30, 60, 100, 200},
	}.valueFor(p)
}

// measureStartMembers measures a start against the members of the fleet: until the program serves, and until its view has
// all members.
func measureStartMembers(p *experimentRun, r *slope.Result) error {
	hollow := newInProcessMembers()
	defer hollow.close()
	var ready, learned []slope.Point
	for _, n := range p.memberSizes() {
		if err := hollow.growTo(n); err != nil {
			return err
		}
		if err := hollow.awaitViews(n); err != nil {
			return err
		}
		served, complete, err := p.startInFleet(hollow.joinAddresses(), n)
		if err != nil {
			return err
		}
		ready = append(ready, slope.Point{X: float64(n), Y: served})
		learned = append(learned, slope.Point{X: float64(n), Y: complete})
	}
	const hollowNote = "other members are hollow, in this process"
	if err := p.addSeries(r, slope.Series{Name: "start.seconds.members", Unit: "s", Against: "members", Points: ready,
		Note: hollowNote + "; from exec to the first RPC served"}); err != nil {
		return err
	}
	return p.addSeries(r, slope.Series{Name: "start.view_seconds.members", Unit: "s", Against: "members", Points: learned,
		Note: hollowNote + "; from exec to a view with all members"})
}

// startInFleet starts the program in a fleet of n others, and gives the seconds until it served and until its view was
// complete.
func (p *experimentRun) startInFleet(seeds []netip.AddrPort, n int) (served, complete float64, err error) {
	var join []string
	for _, at := range seeds {
		join = append(join, at.String())
	}
	listen, err := freeAddress()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	s, err := p.startScaled(configSize{routes: fixedEntryCount, tenants: fixedEntryCount}, ampleMemoryMB, smallSocketLimit, "fleet.listen "+listen,
		"fleet.join "+strings.Join(join, " "), "fleet.allow "+loopback.String(), "fleet.probe "+memberProbeInterval.String())
	if err != nil {
		return 0, 0, err
	}
	defer s.close()
	if err := s.awaitLogLine(convergenceTimeout, func(l logLine) bool { return l.Message == "view" && l.Members > n }); err != nil {
		return 0, 0, fmt.Errorf("%d members: %w", n, err)
	}
	complete = time.Since(began).Seconds()
	return s.startSeconds, complete, s.shutDown()
}
