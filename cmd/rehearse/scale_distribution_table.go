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

// distributionTableSizes returns the numbers of entries per service that the table is measured with.
func (run *experimentRun) distributionTableSizes() []int {
	if run.shortForm {
		return []int{2, 4, 8, 16}
	}
	return []int{5, 15, 50, 150}
}

// changesPerTableSize returns the number of changes made at each size of the table.
func (run *experimentRun) changesPerTableSize() int {
	if run.shortForm {
		return 2
	}
	return 10
}

// measureDistributionTable measures, against the size of the table, what a change costs one app server that subscribes to all
// services: receiving only the change, and fetching the whole table again.
func measureDistributionTable(run *experimentRun, result *slope.Result) error {
	measured := points{}
	for _, entriesPerService := range run.distributionTableSizes() {
		if err := run.measureTableChanges(entriesPerService, measured); err != nil {
			return fmt.Errorf("%d entries per service: %w", entriesPerService, err)
		}
	}
	for _, series := range []slope.Series{
		{Name: "config.on.change_bytes.entries", Unit: "B", Note: "one app server with all services, heartbeats of the time included"},
		{Name: "config.off.change_bytes.entries", Unit: "B", Note: "the whole table is read anew from a distributor"},
		{Name: "distribution.on.change_seconds", Unit: "s", Note: "from asking for the change until it is in force"},
		{Name: "distribution.off.change_seconds", Unit: "s",
			Note: "from asking for the change until the whole table is read, at no bound of bytes a second"},
	} {
		series.Against, series.Points = "entries", measured[series.Name]
		if err := run.addSeries(result, series); err != nil {
			return err
		}
	}
	return nil
}

// directOpener opens streams to distributors at fixed addresses.
type directOpener struct {
	local     net.Addr
	addresses map[string]netip.AddrPort // by distributor
}

// OpenStream opens a stream to the distributor of the given name.
func (o directOpener) OpenStream(ctx context.Context, to string) (*member.Stream, error) {
	return member.DialStream(ctx, o.local, o.addresses[to], "hollow", to)
}

// measureTableChanges commits changes to a table with the given number of entries per service and adds their costs to measured.
// Each change is timed until a subscriber to all services has it, and then again until the whole table has been fetched.
func (run *experimentRun) measureTableChanges(entriesPerService int, measured points) error {
	cluster, err := run.startDistribution(1, entriesPerService, "1000MB")
	if err != nil {
		return err
	}
	defer cluster.Close()
	addresses, local := cluster.addresses()
	opener := directOpener{&net.TCPAddr{IP: local.AsSlice()}, addresses}
	ctx, cancel := context.WithCancel(context.Background())
	var subscriberRun sync.WaitGroup
	defer subscriberRun.Wait()
	defer cancel()
	subscriber := fleet.NewSubscriber(fleet.DistributionConfig{Name: "hollow", Distributors: cluster.distributors, AllServices: true,
		BytesPerSecond: 1e9, StaleAfter: designInForceSeconds}, opener, zap.NewNop())
	subscriberRun.Go(func() { subscriber.Run(ctx) })
	if _, ok := cluster.WaitUntil(time.Minute, func() bool { return subscriber.Status().Age >= 0 }); !ok {
		return errors.New("the subscriber received no table within a minute")
	}
	entries, initialBytes := float64(len(cluster.services)*entriesPerService), subscriber.Status().Bytes
	var changeSeconds, fetchSeconds []float64
	fetchedBytes := int64(0)
	for k := range run.changesPerTableSize() {
		began := time.Now()
		index, err := cluster.apply(fmt.Sprintf("put tenant tenant00001 service=%s quota=%d\n", cluster.services[k], 5000+k))
		if err != nil {
			return err
		}
		if _, ok := cluster.WaitUntil(time.Minute, func() bool { return subscriber.Table().Version.Index >= index }); !ok {
			return errors.New("the subscriber did not receive a change within a minute")
		}
		changeSeconds = append(changeSeconds, time.Since(began).Seconds())
		_, fetched, err := fleet.FetchTable(ctx, opener, cluster.distributors[0])
		if err != nil {
			return err
		}
		fetchedBytes += fetched
		fetchSeconds = append(fetchSeconds, time.Since(began).Seconds())
		time.Sleep(time.Until(began.Add(time.Second)))
	}
	changes := float64(run.changesPerTableSize())
	measured.add("config.on.change_bytes.entries", entries, float64(subscriber.Status().Bytes-initialBytes)/changes)
	measured.add("config.off.change_bytes.entries", entries, float64(fetchedBytes)/changes)
	measured.add("distribution.on.change_seconds", entries, quantile(changeSeconds, 0.5))
	measured.add("distribution.off.change_seconds", entries, quantile(fetchSeconds, 0.5))
	return nil
}
