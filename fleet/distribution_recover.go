package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configlog"
	"valveglade/store/configstore"
)

// recoverFromPeers recovers a voter that lost its files, and with them its promises and acknowledgements. It waits
// for a snapshot of a term that began after the loss, because the leader of such a term recovered the log without
// this voter. While the term stays the same, its leader is asked to step down.
func (l *replicaLoop) recoverFromPeers(ctx context.Context) error {
	observedTerm := uint64(0)
	for {
		state, err := l.d.fetchSnapshot(ctx, func(version configlog.Version) bool {
			if observedTerm == 0 {
				observedTerm = version.Term
			}
			return version.Term > observedTerm
		})
		if err == nil {
			return l.installRecovered(state)
		}
		if observedTerm > 0 {
			l.d.requestNewTerm(ctx, observedTerm)
		}
		if !l.rejectEventsFor(ctx, snapshotRetryDelay) {
			return ctx.Err()
		}
	}
}

// installRecovered writes a snapshot as the voter's files.
func (l *replicaLoop) installRecovered(state *TableState) error {
	if err := l.store.SaveVote(configstore.Vote{Term: state.Version.Term}); err != nil {
		return err
	}
	if err := l.store.InstallSnapshot(state.Table, storedVersion(state.Version)); err != nil {
		return err
	}
	l.promisedTerm, l.savedIndex = state.Version.Term, state.Version.Index
	l.d.log.Info("configuration: this voter recovered its files from another voter",
		zap.Uint64("term", state.Version.Term), zap.Uint64("version", state.Version.Index))
	return l.store.Close()
}

// requestNewTerm asks all other voters to end a term. Only its leader acts on the request.
func (d *Distribution) requestNewTerm(ctx context.Context, term uint64) {
	for _, name := range uniqueNames(d.cfg.Voters) {
		if name == d.cfg.Name {
			continue
		}
		openCtx, cancel := context.WithTimeout(ctx, connectTimeout)
		stream, err := d.opener.OpenStream(openCtx, name)
		cancel()
		if err != nil {
			continue
		}
		stream.WriteFrame(encodeFrame(newTermRequest{Term: term}), frameWriteTimeout)
		stream.Close()
	}
}

// minTermRequestInterval is the shortest interval between requests that make a leader end its term.
const minTermRequestInterval = 10 * time.Second

// endTerm makes this process step down if it leads under term and minTermRequestInterval has passed since the last
// request.
func (d *Distribution) endTerm(term uint64) {
	if d.replica == nil {
		return
	}
	status := d.replica.status.Load()
	last := d.replica.termRequestedAt.Load()
	if status.State != configlog.ReplicaLeader || status.Term != term ||
		time.Since(epoch) < time.Duration(last)+minTermRequestInterval {
		return
	}
	if d.replica.termRequestedAt.CompareAndSwap(last, int64(time.Since(epoch))) {
		d.log.Info("configuration: stepping down so that a voter that lost its files can recover", zap.Uint64("term", term))
		d.replica.loseLeadership(term + 1)
	}
}
