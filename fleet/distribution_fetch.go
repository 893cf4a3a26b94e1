package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/member"
)

// snapshotFrameTimeout bounds the wait for one part of a snapshot. The sender paces the parts by its rate limit.
const snapshotFrameTimeout = 15 * time.Second

// errNoSnapshot is returned when no other voter has an acceptable snapshot.
var errNoSnapshot = errors.New("no other voter has a snapshot of the required version")

// fetchSnapshot fetches the whole table from the first other voter whose version is accepted.
func (d *Distribution) fetchSnapshot(ctx context.Context, accept func(configlog.Version) bool) (*TableState, error) {
	err := errNoSnapshot
	for _, name := range uniqueNames(d.cfg.Voters) {
		if name == d.cfg.Name {
			continue
		}
		state, fetchErr := d.fetchSnapshotFrom(ctx, name, accept)
		if fetchErr == nil {
			return state, nil
		}
		err = errors.Join(err, fmt.Errorf("%s: %w", name, fetchErr))
	}
	return nil, err
}

// FetchTable fetches the whole table from a distributor. It also returns the bytes transferred in both directions.
func FetchTable(ctx context.Context, opener StreamOpener, from string) (state *TableState, bytes int64, err error) {
	counting := &countingOpener{StreamOpener: opener}
	d := NewSubscriber(DistributionConfig{Name: "reader", Distributors: []string{from}}, counting, zap.NewNop())
	state, err = d.fetchSnapshotFrom(ctx, from, func(configlog.Version) bool { return true })
	return state, counting.bytes(), err
}

// countingOpener keeps the last stream that it opened, to report its byte counts.
type countingOpener struct {
	StreamOpener
	lastStream *member.Stream
}

// OpenStream implements StreamOpener.
func (o *countingOpener) OpenStream(ctx context.Context, to string) (*member.Stream, error) {
	stream, err := o.StreamOpener.OpenStream(ctx, to)
	o.lastStream = stream
	return stream, err
}

func (o *countingOpener) bytes() int64 {
	if o.lastStream == nil {
		return 0
	}
	read, written := o.lastStream.Bytes()
	return read + written
}

func (d *Distribution) fetchSnapshotFrom(ctx context.Context, name string,
	accept func(configlog.Version) bool) (*TableState, error) {
	openCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	stream, err := d.opener.OpenStream(openCtx, name)
	cancel()
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	defer stop()
	const streamID = 1
	if err := stream.WriteFrame(encodeFrame(configlog.Subscribe{Stream: streamID, All: true}),
		frameWriteTimeout); err != nil {
		return nil, err
	}
	var stage stagedTable
	var version configlog.Version
	for sequence := uint64(1); ; sequence++ {
		payload, err := stream.ReadFrame(snapshotFrameTimeout)
		if err != nil {
			return nil, err
		}
		message, err := decodeFrame(payload)
		if err != nil {
			return nil, err
		}
		switch m := message.(type) {
		case configlog.Welcome:
			if sequence != 1 || m.Mode != configlog.WelcomeSnapshot || !accept(m.Version) {
				return nil, errNoSnapshot
			}
			version = m.Version
		case configlog.SnapshotPart:
			if m.Sequence != sequence || sequence == 1 {
				return nil, errMalformed
			}
			stage.add(m.Records)
			if m.Done {
				table, err := stage.table()
				return &TableState{Table: table, Version: version}, err
			}
		default:
			return nil, errMalformed
		}
	}
}
