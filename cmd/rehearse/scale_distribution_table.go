package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"time"

	"go.uber.org/zap"

	"valveglade/fleet"
	"valveglade/member"
	"valveglade/rig/slope"
)

// distributionTables are the numbers of entries of each service that the table is measured at.
func (p *experimentRun) distributionTables() []int {
	if p.shortForm {
		return []int{2, 4, 8, 16}
	}
	return []int{5, 15, 50, 150}
}

// changesOfTable is how many changes are made at each size of the table.
func (p *experimentRun) changesOfTable() int {
	if p.shortForm {
		return 2
	}
	return 10
}

// measureDistributionTable measures what a change costs one app server that has all services against the size of the table: taken as a
// change, and by reading the whole table anew.
func measureDistributionTable(p *experimentRun, r *slope.Result) error {
	found := points{}
	for _, each := range p.distributionTables() {
		if err := p.changeTable(each, found); err != nil {
			return fmt.Errorf("%d entries a service: %w", each, err)
		}
	}
	for _, s := range []slope.Series{
		{Name: "config.on.change_bytes.entries", Unit: "B", Note: "one app server with all services, heartbeats of the time included"},
		{Name: "config.off.change_bytes.entries", Unit: "B", Note: "the whole table is read anew from a distributor"},
		{Name: "distribution.on.change_seconds", Unit: "s", Note: "from asking for the change until it is in force"},
		{Name: "distribution.off.change_seconds", Unit: "s", Note: "from asking for the change until the whole table is read, at no bound of bytes a second"},
	} {
		s.Against, s.Points = "entries", found[s.Name]
		if err := p.addSeries(r, s); err != nil {
			return err
		}
	}
	return nil
}

// directOpener opens streams to distributors at known addresses.
type directOpener struct {
	local net.Addr
	at    map[string]netip.AddrPort
}

// OpenStream opens a stream to a distributor by its name.
func (o directOpener) OpenStream(ctx context.Context, to string) (*member.Stream, error) {
	return member.DialStream(ctx, o.local, o.at[to], "hollow", to)
}

func (p *experimentRun) changeTable(each int, found points) error {
	f, err := p.startDistribution(1, each, "1000MB")
	if err != nil {
		return err
	}
	defer f.Close()
	at, local := f.addresses()
	opener := directOpener{&net.TCPAddr{IP: local.AsSlice()}, at}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	defer running.Wait()
	defer cancel()
	d := fleet.NewSubscriber(fleet.DistributionConfig{Name: "hollow", Distributors: f.distributors, AllServices: true, BytesPerSecond: 1e9,
		StaleAfter: designInForceSeconds}, opener, zap.NewNop())
	running.Go(func() { d.Run(ctx) })
	if _, ok := f.Until(time.Minute, func() bool { return d.Status().Age >= 0 }); !ok {
		return errors.New("the subscriber does not come to follow")
	}
	entries, bytes := float64(len(f.services)*each), d.Status().Bytes
	var on, off []float64
	wholeBytes := int64(0)
	for k := range p.changesOfTable() {
		began := time.Now()
		index, err := f.apply(fmt.Sprintf("put tenant tenant00001 service=%s quota=%d\n", f.services[k], 5000+k))
		if err != nil {
			return err
		}
		if _, ok := f.Until(time.Minute, func() bool { return d.Table().Version.Index >= index }); !ok {
			return errors.New("a change does not come into force")
		}
		on = append(on, time.Since(began).Seconds())
		_, read, err := fleet.FetchTable(ctx, opener, f.distributors[0])
		if err != nil {
			return err
		}
		wholeBytes += read
		off = append(off, time.Since(began).Seconds())
		time.Sleep(time.Until(began.Add(time.Second)))
	}
	changes := float64(p.changesOfTable())
	found.add("config.on.change_bytes.entries", entries, float64(d.Status().Bytes-bytes)/changes)
	found.add("config.off.change_bytes.entries", entries, float64(wholeBytes)/changes)
	found.add("distribution.on.change_seconds", entries, quantile(on, 0.5))
	found.add("distribution.off.change_seconds", entries, quantile(off, 0.5))
	return nil
}
