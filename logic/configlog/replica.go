package configlog

import (
	"maps"
	"math"

	"valveglade/logic/quorum"
)

// Replica is a voter's copy of the log.
type Replica struct {
	cfg    ReplicaConfig
	voters quorum.Voters
	self   int // its number among the voters, -1 for none

	state      ReplicaState
	promised   uint64 // also the term that it leads under
	log        entryLog
	committed  uint64
	upToDateAt float64 // when it was last known to have all that is committed; -Inf for never since the start

	leader leaderState

	savedPromised uint64 // what the disk has, once all that Ready gave is carried out
	savedIndex    uint64
	truncateFrom  uint64
	reset         bool
	delivered     uint64 // committed entries up to this index were given out
	out           ReplicaReady
}

// NewReplica opens a replica on what the disk has. Entries of stored up to its Commit are not given out by Ready again. The replica
// keeps what stored refers to.
func NewReplica(cfg ReplicaConfig, stored Stored, _ float64) *Replica {
	r := &Replica{cfg: cfg, voters: quorum.New(cfg.Voters), promised: stored.Promised, savedPromised: stored.Promised, upToDateAt: math.Inf(-1)}
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

// moveTo changes the state, and nothing else does.
func (r *Replica) setState(state ReplicaState) {
	if state == ReplicaFollower {
		for _, proposal := range r.leader.openProposals {
			r.out.Results = append(r.out.Results, Result{ID: proposal.id, Err: ErrOutcomeUnknown})
		}
		r.leader = leaderState{}
	}
	r.state = state
}

// StepDown ends leading; open proposals end with ErrOutcomeUnknown.
func (r *Replica) StepDown() { r.setState(ReplicaFollower) }

// promise takes nothing from leaders below a term any more, itself among them.
func (r *Replica) promise(term uint64) {
	if term <= r.promised {
		return
	}
	r.handleHigherTerm(term)
	r.promised = term
}

// handleHigherTerm ends leading as a higher term is known.
func (r *Replica) handleHigherTerm(known uint64) {
	if r.state == ReplicaFollower || known <= r.promised {
		return
	}
	r.out.StaleTerm = known
	r.setState(ReplicaFollower)
}

// Step takes a message of another replica.
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

// InstallSnapshot has the log go on from a committed version that the table outside now has. It reports false, and does nothing, for
// one that is not above what is committed here.
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

// LastOfService tells the index of each service's last entry at or below an index that is not below the base; the caller owns it.
func (r *Replica) LastOfService(index uint64) map[string]uint64 { return r.log.lastOfServiceAt(index) }

// Status tells where the replica is.
func (r *Replica) Status(now float64) ReplicaStatus {
	committed, _ := r.log.version(r.committed)
	status := ReplicaStatus{State: r.state, Term: r.promised, Last: r.log.last(), Committed: committed, Base: r.log.base,
		Open: len(r.leader.openProposals), Age: now - r.upToDateAt}
	if r.state == ReplicaLeader {
		status.Age = 0
	}
	return status
}

// Ready empties what there is to do.
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

// unsaved tells what is to be written, and takes it as written.
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

// compact drops the oldest committed entries once there is a quarter more than is to be kept.
func (r *Replica) compact() bool {
	keep := uint64(r.cfg.KeepEntries)
	if r.committed-r.log.base.Index <= keep+keep/4 {
		return false
	}
	r.log.compact(r.committed - keep)
	return true
}
