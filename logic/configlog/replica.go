package configlog

import (
	"maps"
	"math"

	"valveglade/logic/quorum"
)

// Replica is a voter's copy of the log, and the leader of the log while it leads.
type Replica struct {
	cfg    ReplicaConfig
	voters quorum.Voters
	self   int // its number among the voters, -1 if it is not a voter

	state      ReplicaState
	promised   uint64 // highest promised term; of a leader, its own
	log        entryLog
	committed  uint64  // commit index
	upToDateAt float64 // when it was last known to have all committed entries; -Inf for never since its start

	leader leaderState

	savedPromised uint64 // promised term on the disk after all returned Persists
	savedIndex    uint64 // last index on the disk, likewise
	truncateFrom  uint64 // of the next Persist
	reset         bool   // of the next Persist
	delivered     uint64 // committed entries up to this index were returned by Ready
	out           ReplicaReady
}

// NewReplica opens a replica from the state on its disk. Ready does not return the entries up to
// stored.Commit as committed again. The replica keeps references to the contents of stored.
func NewReplica(cfg ReplicaConfig, stored Stored, _ float64) *Replica {
	r := &Replica{cfg: cfg, voters: quorum.New(cfg.Voters), promised: stored.Promised,
		savedPromised: stored.Promised, upToDateAt: math.Inf(-1)}
	r.self = r.voters.Number(cfg.Name)
	r.log = entryLog{base: stored.Base, lastOfService: maps.Clone(stored.LastOfService)}
	if r.log.lastOfService == nil {
		r.log.lastOfService = map[string]uint64{}
	}
	for _, entry := range stored.Entries {
		r.log.append(entry)
	}
	r.savedIndex = r.log.last().Index
	r.committed = min(max(stored.Commit, stored.Base.Index), r.savedIndex)
	r.delivered = r.committed
	return r
}

// setState is the only function that changes the state.
func (r *Replica) setState(state ReplicaState) {
	if state == ReplicaFollower {
		for _, proposal := range r.leader.openProposals {
			r.out.Results = append(r.out.Results, Result{ID: proposal.id, Err: ErrOutcomeUnknown})
		}
		r.leader = leaderState{}
	}
	r.state = state
}

// StepDown gives up the leader role. Open proposals end with ErrOutcomeUnknown.
func (r *Replica) StepDown() { r.setState(ReplicaFollower) }

// promise promises to reject lower terms. A replica that leads under a lower term stops leading.
func (r *Replica) promise(term uint64) {
	if term <= r.promised {
		return
	}
	r.handleHigherTerm(term)
	r.promised = term
}

// handleHigherTerm stops leading because a higher term is known.
func (r *Replica) handleHigherTerm(known uint64) {
	if r.state == ReplicaFollower || known <= r.promised {
		return
	}
	r.out.StaleTerm = known
	r.setState(ReplicaFollower)
}

// Step handles a message of another replica.
func (r *Replica) Step(envelope Envelope, now float64) {
	from := envelope.From
	if r.voters.Number(from) < 0 || from == r.cfg.Name || envelope.To != r.cfg.Name {
		return
	}
	switch message := envelope.Message.(type) {
	case RecoverRequest:
		r.handleRecoverRequest(from, message)
	case FetchRequest:
		r.handleFetchRequest(from, message)
	case AppendRequest:
		r.handleAppendRequest(from, message, now)
	case BehindNotice:
		r.handleBehindNotice(from, message)
	case RecoverResponse:
		r.handleRecoverResponse(from, message, now)
	case FetchResponse:
		r.handleFetchResponse(from, message, now)
	case AppendResponse:
		r.handleAppendResponse(from, message, now)
	}
}

func (r *Replica) send(to string, message Message) {
	r.out.Messages = append(r.out.Messages, Envelope{From: r.cfg.Name, To: to, Message: message})
}

// InstallSnapshot makes the log continue after a committed version that the caller's table now has. It
// returns false and does nothing if the version is not above the commit index, or if this replica leads.
func (r *Replica) InstallSnapshot(version Version, lastOfService map[string]uint64, now float64) bool {
	if version.Index <= r.committed || r.state == ReplicaLeader {
		return false
	}
	if local, ok := r.log.version(version.Index); !ok || local != version {
		r.log = entryLog{base: version, lastOfService: maps.Clone(lastOfService)}
		if r.log.lastOfService == nil {
			r.log.lastOfService = map[string]uint64{}
		}
		r.reset, r.truncateFrom, r.savedIndex = true, 0, version.Index
	}
	r.committed, r.delivered = version.Index, version.Index
	if r.state == ReplicaFetching {
		r.fetch(now)
	}
	return true
}

// LastOfService returns the index of each service's last entry at or below an index, which must not be
// below the base. The caller owns the map.
func (r *Replica) LastOfService(index uint64) map[string]uint64 { return r.log.lastOfServiceAt(index) }

// Status returns a snapshot of the state of the replica.
func (r *Replica) Status(now float64) ReplicaStatus {
	committed, _ := r.log.version(r.committed)
	status := ReplicaStatus{State: r.state, Term: r.promised, Last: r.log.last(), Committed: committed,
		Base: r.log.base, Open: len(r.leader.openProposals), Age: now - r.upToDateAt}
	if r.state == ReplicaLeader {
		status.Age = 0
	}
	return status
}

// Ready returns the work for the caller since the last call.
func (r *Replica) Ready() ReplicaReady {
	out := r.out
	out.Persist = r.takePersist()
	out.Committed = r.log.entriesBetween(r.delivered, r.committed)
	r.delivered = r.committed
	r.out = ReplicaReady{}
	if r.compact() {
		out.CompactedUpTo = r.log.base
	}
	return out
}

// takePersist returns what has to be written, and records it as written.
func (r *Replica) takePersist() Persist {
	persist := Persist{Reset: r.reset, TruncateFrom: r.truncateFrom}
	if r.reset {
		persist.Base = r.log.base
	}
	if r.promised != r.savedPromised {
		persist.Promised = r.promised
	}
	if entries := r.log.entriesAfter(r.savedIndex); len(entries) > 0 {
		persist.Entries = entries
	}
	r.savedPromised, r.savedIndex, r.truncateFrom, r.reset = r.promised, r.log.last().Index, 0, false
	return persist
}

// compact removes the oldest committed entries once more than KeepEntries and a quarter are kept. The
// margin avoids a copy of the log for each entry.
func (r *Replica) compact() bool {
	keep := uint64(r.cfg.KeepEntries)
	if r.committed-r.log.base.Index <= keep+keep/4 {
		return false
	}
	r.log.compact(r.committed - keep)
	return true
}
