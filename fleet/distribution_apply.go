package fleet

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"time"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
)

// MaxChangeText is the largest text of one set of changes, in bytes. Together with its path it fits a frame.
const MaxChangeText = 60_000

// maxChangePath is the longest file path, in bytes, that may accompany a set of changes for its error messages.
const maxChangePath = 1024

// Timeouts of a set of changes: for its commit at the leader, and for the reply to a forwarded request.
const (
	commitTimeout  = 10 * time.Second
	forwardTimeout = commitTimeout + 2*time.Second
)

// applyText commits the changes in a text, here if this process leads the log, otherwise through a voter.
func (d *Distribution) applyText(ctx context.Context, request applyRequest) applyReply {
	version, err := d.apply(ctx, request)
	if err != nil {
		return applyReply{Error: truncate(err.Error(), MaxChangeText)}
	}
	return applyReply{Version: version}
}

func truncate(text string, maxBytes int) string { return text[:min(len(text), maxBytes)] }

func (d *Distribution) apply(ctx context.Context, request applyRequest) (configlog.Version, error) {
	if len(request.Text) > MaxChangeText || len(request.Path) > maxChangePath {
		return configlog.Version{}, fmt.Errorf("%s: %d bytes are more than the %d of one set of changes",
			request.Path, len(request.Text), MaxChangeText)
	}
	if d.replica == nil || d.replica.status.Load().State != configlog.ReplicaLeader {
		return d.forward(ctx, request)
	}
	changes, err := configtable.ParseChanges(request.Path, request.Text)
	if err != nil {
		d.counts.rejectedChanges.Add(1)
		return configlog.Version{}, err
	}
	if len(changes) == 0 {
		return configlog.Version{}, fmt.Errorf("%s: no change in the file", request.Path)
	}
	outcome, err := d.propose(ctx, changes)
	if err != nil {
		return configlog.Version{}, err
	}
	if changeErr := (*configtable.ChangeError)(nil); errors.As(outcome.Err, &changeErr) {
		return configlog.Version{}, &configtable.LineError{Path: request.Path,
			Line: changeLine(request.Text, outcome.FaultIndex), Name: changes[outcome.FaultIndex].Name,
			Reason: changeErr.Error()}
	}
	return outcome.Version, outcome.Err
}

// propose submits changes to the replica's loop and waits for their commit.
func (d *Distribution) propose(ctx context.Context, changes []configtable.Change) (proposalOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	proposed := changesProposed{changes, make(chan proposalOutcome, 1)}
	if err := d.replica.enqueue(ctx, proposed); err != nil {
		return proposalOutcome{}, err
	}
	select {
	case outcome := <-proposed.reply:
		return outcome, nil
	case <-ctx.Done():
		return proposalOutcome{}, configlog.ErrOutcomeUnknown
	}
}

// changeLine returns the line number, from 1, of the change with an index, from 0. Blank lines and comments are not
// counted as changes. It returns 0 if there is no such change.
func changeLine(text []byte, changeIndex int) int {
	for k, line := range strings.Split(string(text), "\n") {
		if line = strings.TrimSpace(line); line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		if changeIndex == 0 {
			return k + 1
		}
		changeIndex--
	}
	return 0
}

// forward sends a request on: from a voter to the leader, from any other node to a voter.
func (d *Distribution) forward(ctx context.Context, request applyRequest) (configlog.Version, error) {
	if request.Forwarded {
		return configlog.Version{}, errNotLeader
	}
	if d.replica != nil {
		leader, known := d.leader()
		if !known || leader == d.cfg.Name {
			return configlog.Version{}, errNotLeader
		}
		request.Forwarded = true
		return d.forwardTo(ctx, leader, request)
	}
	lastErr := errNotLeader
	for _, voter := range uniqueNames(d.cfg.Voters) {
		version, err := d.forwardTo(ctx, voter, request)
		if unreached := (*unreachableError)(nil); !errors.As(err, &unreached) {
			return version, err
		}
		lastErr = err
	}
	return configlog.Version{}, lastErr
}

// unreachableError reports that another app server could not be reached, so that no request was sent to it.
type unreachableError struct{ err error }

func (e *unreachableError) Error() string { return e.err.Error() }
func (e *unreachableError) Unwrap() error { return e.err }

// forwardTo requests another app server to apply a text.
func (d *Distribution) forwardTo(ctx context.Context, name string, request applyRequest) (configlog.Version, error) {
	openCtx, cancel := context.WithTimeout(ctx, connectTimeout)
	stream, err := d.opener.OpenStream(openCtx, name)
	cancel()
	if err != nil {
		return configlog.Version{}, &unreachableError{err}
	}
	defer stream.Close()
	if err := stream.WriteFrame(encodeFrame(request), frameWriteTimeout); err != nil {
		return configlog.Version{}, errors.Join(configlog.ErrOutcomeUnknown, err)
	}
	payload, err := stream.ReadFrame(forwardTimeout)
	if err != nil {
		return configlog.Version{}, errors.Join(configlog.ErrOutcomeUnknown, err)
	}
	message, err := decodeFrame(payload)
	reply, ok := message.(applyReply)
	switch {
	case err != nil || !ok:
		return configlog.Version{}, configlog.ErrOutcomeUnknown
	case reply.Error != "":
		return configlog.Version{}, errors.New(reply.Error)
	}
	return reply.Version, nil
}
