package configlog

import "valveglade/logic/quorum"

// maxFetchAttempts is the number of unanswered fetch requests after which a recovering leader chooses
// another voter.
const maxFetchAttempts = 3

// leaderState is the state of a leader under one term.
type leaderState struct {
	promises      map[int]RecoverResponse // by voter, including the leader's own
	source        int                     // the voter whose log is adopted
	fetchedIndex  uint64                  // last index up to which the own log equals it; 0 for none yet
	fetchAttempts int                     // fetch requests since the last usable response
	requestedAt   float64                 // time of the last request for promises or entries
	progress      []progress              // by voter
	openProposals []openProposal
}

// openProposal is a proposal that is not committed yet.
type openProposal struct {
	id    uint64
	index uint64
}

// Lead starts to lead under a term that no other replica leads under. It fails if the term is not above
// all terms that this replica has promised.
func (r *Replica) Lead(term uint64, now float64) error {
	if term <= r.promised {
		return &StaleTermError{Term: term, Known: r.promised}
	}
	r.setState(ReplicaFollower)
	r.promised = term
	r.leader.promises = map[int]RecoverResponse{}
	if r.self >= 0 {
		r.leader.promises[r.self] = RecoverResponse{Term: term, Last: r.log.last(), Commit: r.committed}
	}
	r.setState(ReplicaPreparing)
	r.requestPromises(now)
	return nil
}

// requestPromises requests the promises of the voters that have not promised yet.
func (r *Replica) requestPromises(now float64) {
	r.leader.requestedAt = now
	for voter, name := range r.voters.Names() {
		if _, promised := r.leader.promises[voter]; !promised && voter != r.self {
			r.send(name, RecoverRequest{Term: r.promised})
		}
	}
}

func (r *Replica) handleRecoverResponse(from string, response RecoverResponse, now float64) {
	if response.Term != r.promised || r.state == ReplicaFollower {
		return
	}
	if response.Refused {
		r.handleHigherTerm(response.Known)
		return
	}
	if r.state != ReplicaPreparing {
		return
	}
	r.leader.promises[r.voters.Number(from)] = response
	r.chooseLog(now)
}

// chooseLog adopts the most up-to-date log once a majority has promised and reported the end of its log.
func (r *Replica) chooseLog(now float64) {
	var promised quorum.Set
	source, sourceLast := r.self, r.log.last()
	for voter := range r.voters.Names() {
		promise, ok := r.leader.promises[voter]
		if !ok {
			continue
		}
		promised = promised.With(voter)
		if voter != r.self && r.moreUpToDate(promise.Last, sourceLast) {
			source, sourceLast = voter, promise.Last
		}
	}
	if !r.voters.Majority(promised) {
		return
	}
	if source == r.self {
		r.startLeading(now)
		return
	}
	r.leader.source, r.leader.fetchAttempts = source, 0
	r.setState(ReplicaFetching)
	r.fetch(now)
}

// moreUpToDate reports whether a log that ends with last is to be preferred to one that ends with other:
// it has all committed entries if the other has them.
func (r *Replica) moreUpToDate(last, other Version) bool {
	if !r.cfg.Disabled.enabled(MostUpToDate) {
		return last.Index > other.Index
	}
	return last.Compare(other) > 0
}

// fetch requests the entries after the last one that is known to be equal in the adopted log.
func (r *Replica) fetch(now float64) {
	if r.nextFetchIndex() > r.leader.promises[r.leader.source].Last.Index {
		r.startLeading(now)
		return
	}
	r.leader.requestedAt = now
	r.leader.fetchAttempts++
	r.send(r.voters.Names()[r.leader.source], FetchRequest{Term: r.promised, From: r.nextFetchIndex()})
}

// nextFetchIndex returns the index of the first entry that may differ from the adopted log.
func (r *Replica) nextFetchIndex() uint64 { return max(r.leader.fetchedIndex, r.committed) + 1 }

func (r *Replica) handleFetchResponse(from string, response FetchResponse, now float64) {
	if r.state != ReplicaFetching || response.Term != r.promised || r.voters.Number(from) != r.leader.source {
		return
	}
	if response.From != r.nextFetchIndex() {
		return
	}
	if response.Behind {
		r.out.NeedSnapshot = response.Base
		return
	}
	previous, _ := r.log.version(response.From - 1)
	if len(response.Entries) == 0 || !contiguous(previous, response.Entries) ||
		!r.mergeEntries(response.Entries) {
		return
	}
	r.leader.fetchAttempts = 0
	r.leader.fetchedIndex = response.Entries[len(response.Entries)-1].Index
	r.fetch(now)
}

// retryRecovery repeats a request whose response has timed out, or chooses another voter to fetch from.
func (r *Replica) retryRecovery(now float64) {
	if now-r.leader.requestedAt < r.cfg.ResendAfter {
		return
	}
	if r.state == ReplicaFetching && r.leader.fetchAttempts < maxFetchAttempts {
		r.fetch(now)
		return
	}
	if r.state == ReplicaFetching {
		delete(r.leader.promises, r.leader.source)
		r.leader.fetchedIndex = 0
		r.setState(ReplicaPreparing)
	}
	r.requestPromises(now)
	r.chooseLog(now)
}

// startLeading appends the first entry of the term. Committing it commits all entries before it.
func (r *Replica) startLeading(now float64) {
	for _, promise := range r.leader.promises {
		r.committed = max(r.committed, min(promise.Commit, r.log.last().Index))
	}
	next := r.log.last().Index + 1
	r.leader.progress = make([]progress, len(r.voters.Names()))
	for voter := range r.leader.progress {
		r.leader.progress[voter].nextIndex = next
	}
	r.setState(ReplicaLeader)
	r.appendAsLeader(Change{})
	r.replicate(now)
}
