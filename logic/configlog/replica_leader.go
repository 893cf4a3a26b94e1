package configlog

import (
	"slices"

	"valveglade/logic/quorum"
)

// progress is the leader's knowledge of one voter's log.
type progress struct {
	matchIndex uint64  // the voter's log matches the leader's up to this index
	nextIndex  uint64  // index of the next entry to send
	confirmed  bool    // the voter has accepted a message of this term; before, one is sent at a time
	inFlight   int     // unacknowledged messages with entries
	sentAt     float64 // time of the last message
}

// Propose appends a change to the log. Ready returns its Result with the same id.
func (r *Replica) Propose(id uint64, change Change, now float64) error {
	switch r.state {
	case ReplicaFollower:
		return ErrNotLeader
	case ReplicaPreparing, ReplicaFetching:
		return ErrRecovering
	}
	if change.Service == "" {
		return ErrNoService
	}
	if size := (Entry{Change: change}).Size(); size > r.cfg.MessageBytes {
		return &TooLargeError{Size: size, Limit: r.cfg.MessageBytes}
	}
	if len(r.leader.openProposals) >= r.cfg.MaxOpen {
		return &TooManyOpenError{Limit: r.cfg.MaxOpen}
	}
	r.appendAsLeader(change)
	r.leader.openProposals = append(r.leader.openProposals, openProposal{id: id, index: r.log.last().Index})
	r.replicate(now)
	return nil
}

// appendAsLeader appends an entry under the leader's term.
func (r *Replica) appendAsLeader(change Change) {
	version := Version{Term: r.promised, Index: r.log.last().Index + 1}
	r.log.append(Entry{Version: version, Previous: r.log.previousOfService(change.Service), Change: change})
}

// replicate sends each voter the entries that it lacks, within the limit of messages in flight.
func (r *Replica) replicate(now float64) {
	for voter := range r.leader.progress {
		if voter != r.self {
			r.sendEntries(voter, now)
		}
	}
}

func (r *Replica) sendEntries(voter int, now float64) {
	progress := &r.leader.progress[voter]
	limit := r.cfg.MaxInFlight
	if !progress.confirmed {
		limit = 1
	}
	for progress.inFlight < limit && progress.nextIndex <= r.log.last().Index {
		previous, ok := r.log.version(progress.nextIndex - 1)
		if !ok {
			progress.sentAt = now
			r.send(r.voters.Names()[voter], BehindNotice{Term: r.promised, Base: r.log.base})
			return
		}
		entries := firstBatch(r.log.entriesAfter(previous.Index), r.cfg.MessageBytes)
		r.sendAppend(voter, previous, entries, now)
		progress.inFlight++
		if progress.confirmed {
			progress.nextIndex += uint64(len(entries))
		}
	}
}

func (r *Replica) sendAppend(voter int, previous Version, entries []Entry, now float64) {
	r.leader.progress[voter].sentAt = now
	r.send(r.voters.Names()[voter],
		AppendRequest{Term: r.promised, Previous: previous, Entries: entries, Commit: r.committed})
}

// sendHeartbeat sends a voter the commit index without entries.
func (r *Replica) sendHeartbeat(voter int, now float64) {
	if previous, ok := r.log.version(r.leader.progress[voter].nextIndex - 1); ok {
		r.sendAppend(voter, previous, nil, now)
	}
}

func (r *Replica) handleAppendResponse(from string, response AppendResponse, now float64) {
	if r.state != ReplicaLeader || response.Term != r.promised {
		return
	}
	if response.Known > r.promised {
		r.handleHigherTerm(response.Known)
		return
	}
	voter := r.voters.Number(from)
	progress := &r.leader.progress[voter]
	if !response.Accepted {
		progress.reject(response)
		r.sendEntries(voter, now)
		return
	}
	if response.Match > r.log.last().Index {
		return
	}
	progress.accept(response.Match)
	if r.advanceCommit() {
		r.broadcastCommit(now)
	}
	r.sendEntries(voter, now)
}

// accept records that the voter acknowledged the entries up to an index.
func (p *progress) accept(match uint64) {
	p.matchIndex = max(p.matchIndex, match)
	p.nextIndex = max(p.nextIndex, p.matchIndex+1)
	if !p.confirmed {
		p.confirmed, p.nextIndex, p.inFlight = true, p.matchIndex+1, 0
		return
	}
	p.inFlight = max(p.inFlight-1, 0)
}

// reject handles a rejection: it moves nextIndex back to where the voter's log may match the leader's.
// Rejections of earlier messages are ignored.
func (p *progress) reject(response AppendResponse) {
	if response.Rejected <= p.matchIndex || response.Rejected >= p.nextIndex {
		return
	}
	p.inFlight = 0
	if p.confirmed {
		p.nextIndex = p.matchIndex + 1
		return
	}
	p.nextIndex = max(min(response.Rejected, response.Match+1), 1)
}

// advanceCommit commits what a majority of the voters has, and reports whether the commit index has
// advanced.
func (r *Replica) advanceCommit() bool {
	matches := make([]uint64, len(r.leader.progress))
	for voter, progress := range r.leader.progress {
		matches[voter] = progress.matchIndex
		if voter == r.self {
			matches[voter] = r.log.last().Index
		}
	}
	candidates := slices.Clone(matches)
	slices.Sort(candidates)
	for _, index := range slices.Backward(candidates) {
		if index <= r.committed {
			return false
		}
		if !r.voters.Majority(votersWithIndex(matches, index)) {
			continue
		}
		version, _ := r.log.version(index)
		if version.Term != r.promised && r.cfg.Disabled.enabled(CommitOwnTerm) {
			return false
		}
		r.committed = index
		r.completeProposals()
		return true
	}
	return false
}

// votersWithIndex returns the voters whose log matches the leader's up to an index.
func votersWithIndex(matches []uint64, index uint64) quorum.Set {
	var set quorum.Set
	for voter, match := range matches {
		if match >= index {
			set = set.With(voter)
		}
	}
	return set
}

// completeProposals adds the results of the proposals that are committed.
func (r *Replica) completeProposals() {
	for len(r.leader.openProposals) > 0 && r.leader.openProposals[0].index <= r.committed {
		version, _ := r.log.version(r.leader.openProposals[0].index)
		r.out.Results = append(r.out.Results, Result{ID: r.leader.openProposals[0].id, Version: version})
		r.leader.openProposals = r.leader.openProposals[1:]
	}
}

// broadcastCommit sends the new commit index at once to the voters for which no entries are to be sent or
// in flight.
func (r *Replica) broadcastCommit(now float64) {
	for voter, progress := range r.leader.progress {
		if voter != r.self && progress.confirmed && progress.inFlight == 0 &&
			progress.nextIndex > r.log.last().Index {
			r.sendHeartbeat(voter, now)
		}
	}
}

// Tick sends what is due: heartbeats, and requests and entries whose response has timed out.
func (r *Replica) Tick(now float64) {
	switch r.state {
	case ReplicaPreparing, ReplicaFetching:
		r.retryRecovery(now)
	case ReplicaLeader:
		r.upToDateAt = now
		for voter := range r.leader.progress {
			if voter != r.self {
				r.resend(voter, now)
			}
		}
	}
}

// resend sends entries again that were not acknowledged in time, or a heartbeat.
func (r *Replica) resend(voter int, now float64) {
	progress := &r.leader.progress[voter]
	elapsed := now - progress.sentAt
	switch {
	case progress.nextIndex <= r.log.last().Index || progress.inFlight > 0:
		if elapsed < r.cfg.ResendAfter {
			return
		}
		if progress.confirmed {
			progress.nextIndex = progress.matchIndex + 1
		}
		progress.inFlight = 0
		r.sendEntries(voter, now)
	case elapsed >= r.cfg.HeartbeatEvery:
		r.sendHeartbeat(voter, now)
	}
}
