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

// loopback contains all addresses of this machine that the measurement uses.
var loopback = netip.MustParsePrefix("127.0.0.0/8")

const (
	memberProbeInterval = 300 * time.Millisecond
	convergenceTimeout  = 60 * time.Second
	maxJoinAddresses    = 3
)

// inProcessMembers are members of the fleet that run in this process, without app servers.
type inProcessMembers struct {
	all   []*member.Member
	group sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context
}

// newInProcessMembers returns an empty set of members. The caller closes it.
func newInProcessMembers() *inProcessMembers {
	members := &inProcessMembers{}
	members.ctx, members.stop = context.WithCancel(context.Background())
	return members
}

// growTo adds members until there are count of them.
func (members *inProcessMembers) growTo(count int) error {
	for k := len(members.all); k < count; k++ {
		added, err := member.New(member.Config{Name: fmt.Sprintf("hollow-%04d", k), Listen: netip.MustParseAddrPort("127.0.0.1:0"),
			Join: members.joinAddresses(), Allow: []netip.Prefix{loopback}, ProbeInterval: memberProbeInterval,
			View: view.Defaults()}, zap.NewNop())
		if err != nil {
			return err
		}
		members.all = append(members.all, added)
		members.group.Go(func() { added.Run(members.ctx) })
		added.UpdateState(view.Serving, false, view.Load{})
	}
	return nil
}

// joinAddresses returns the addresses at which other members join.
func (members *inProcessMembers) joinAddresses() (addresses []netip.AddrPort) {
	for _, m := range members.all[:min(len(members.all), maxJoinAddresses)] {
		addresses = append(addresses, m.Address())
	}
	return addresses
}

// awaitViews waits until the view of each member has at least count members.
func (members *inProcessMembers) awaitViews(count int) error {
	for deadline := time.Now().Add(convergenceTimeout); time.Now().Before(deadline); time.Sleep(memberProbeInterval / 10) {
		converged := true
		for _, m := range members.all {
			converged = converged && len(m.View().Members) >= count
		}
		if converged {
			return nil
		}
	}
	return fmt.Errorf("waiting for the views of %d in-process members: %w", count, errTimeout)
}

// close stops all members; they do not announce that they leave.
func (members *inProcessMembers) close() {
	members.stop()
	for _, m := range members.all {
		m.Kill()
	}
	members.group.Wait()
}

// memberSizes returns the numbers of members in whose fleet a start is measured.
func (run *experimentRun) memberSizes() []int {
	return formValues[[]int]{
		short:    []int{2, 3, 4, 5},
		standard: []int{5, 10, 20, 40},
		long:     []int{10, 30, 60, 100, 200},
	}.valueFor(run)
}

// measureStartMembers measures, against the number of members, the time that a start takes: until the program serves, and until
// its view has all members.
func measureStartMembers(run *experimentRun, result *slope.Result) error {
	others := newInProcessMembers()
	defer others.close()
	var serving, completeViews []slope.Point
	for _, count := range run.memberSizes() {
		if err := others.growTo(count); err != nil {
			return err
		}
		if err := others.awaitViews(count); err != nil {
			return err
		}
		servedSeconds, completeSeconds, err := run.startInFleet(others.joinAddresses(), count)
		if err != nil {
			return err
		}
		serving = append(serving, slope.Point{X: float64(count), Y: servedSeconds})
		completeViews = append(completeViews, slope.Point{X: float64(count), Y: completeSeconds})
	}
	const othersNote = "other members are hollow, in this process"
	if err := run.addSeries(result, slope.Series{Name: "start.seconds.members", Unit: "s", Against: "members", Points: serving,
		Note: othersNote + "; from exec to the first RPC served"}); err != nil {
		return err
	}
	return run.addSeries(result, slope.Series{Name: "start.view_seconds.members", Unit: "s", Against: "members",
		Points: completeViews, Note: othersNote + "; from exec to a view with all members"})
}

// startInFleet starts the program in a fleet of the given number of others. It returns the seconds until it served and until
// its view was complete.
func (run *experimentRun) startInFleet(joinAddresses []netip.AddrPort, others int) (
	servedSeconds, completeSeconds float64, err error,
) {
	var join []string
	for _, address := range joinAddresses {
		join = append(join, address.String())
	}
	listen, err := freeAddress()
	if err != nil {
		return 0, 0, err
	}
	began := time.Now()
	program, err := run.startScaled(configSize{routes: fixedEntryCount, tenants: fixedEntryCount}, ampleMemoryMB,
		smallSocketLimit, "fleet.listen "+listen,
		"fleet.join "+strings.Join(join, " "), "fleet.allow "+loopback.String(), "fleet.probe "+memberProbeInterval.String())
	if err != nil {
		return 0, 0, err
	}
	defer program.close()
	if err := program.awaitLogLine(convergenceTimeout, func(entry logLine) bool {
		return entry.Message == "view" && entry.Members > others
	}); err != nil {
		return 0, 0, fmt.Errorf("view of a started program among %d members: %w", others, err)
	}
	completeSeconds = time.Since(began).Seconds()
	return program.startSeconds, completeSeconds, program.shutDown()
}
