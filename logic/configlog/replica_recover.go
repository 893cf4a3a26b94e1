package configlog

import "valveglade/logic/quorum"

// fetchAttempts is after how many unanswered questions for entries a recovering leader looks for another voter to ask.
const fetchAttempts = 3

// leadership is what a leader knows, under one term.
type leadership struct {
	answers  map[int]RecoverResponse // by voter; the leader's own among them
	source   int                     // the voter whose log is taken
	fetched  uint64                  // the last index that is as in that log; 0 for none yet
	attempts int                     // questions for entries since the last answer
	askedAt  float64
	progress []progress // by voter
	open     []openProposal
}

// openProposal is a proposal that waits for its commit.
type openProposal struct {
	id    uint64
	index uint64
}

// Lead begins to lead under a term that nobody else has. It fails for a term not above all that this replica has promised.
func (r *Replica) Lead(term uint64, now float64) error {
	if term <= r.promised {
		return &StaleTermError{Term: term, Known: r.promised}
	}
	r.moveTo(ReplicaFollower)
	r.promised = term
	r.lead.answers = map[int]RecoverResponse{}
	if r.self >= 0 {
		r.lead.answers[r.self] = RecoverResponse{Term: term, Last: r.log.last(), Commit: r.committed}
	}
	r.moveTo(ReplicaPreparing)
	r.ask(now)
	return nil
}

// ask asks the voters that have not answered yet for their promises.
func (r *Replica) ask(now float64) {
	r.lead.askedAt = now
	for voter, name := range r.voters.Names() {
		if _, answered := r.lead.answers[voter]; !answered && voter != r.self {
			r.send(name, RecoverRequest{Term: r.promised})
		}
	}
}

func (r *Replica) handleRecoverResponse(from string, response RecoverResponse, now float64) {
	if response.Term != r.promised || r.state == ReplicaFollower {
		return
	}
	if response.Refused {
		r.overtaken(response.Known)
		return
	}
	if r.state != ReplicaPreparing {
		return
	}
	r.lead.answers[r.voters.Number(from)] = response
	r.chooseLog(now)
}

// chooseLog takes the most up-to-date log once a majority has promised, and told its own.
func (r *Replica) chooseLog(now float64) {
	var answered quorum.Set
	best, bestLast := r.self, r.log.last()
	for voter := range r.voters.Names() {
		answer, ok := r.lead.answers[voter]
		if !ok {
			continue
		}
		answered = answered.With(voter)
		if voter != r.self && r.moreUpToDate(answer.Last, bestLast) {
			best, bestLast = voter, answer.Last
		}
	}
	if !r.voters.Majority(answered) {
		return
	}
	if best == r.self {
		r.startLeading(now)
		return
	}
	r.lead.source, r.lead.attempts = best, 0
	r.moveTo(ReplicaFetching)
	r.fetch(now)
}

// moreUpToDate reports whether a log with one end has all that is committed if a log with another end has.
func (r *Replica) moreUpToDate(last, other Version) bool {
	if !r.cfg.Disabled.enabled(MostUpToDate) {
		return last.Index > other.Index
	}
	return last.Compare(other) > 0
}

// fetch asks for the entries after the last one that is known to be as in the log that is taken.
func (r *Replica) fetch(now float64) {
	if r.fetchFrom() > r.lead.answers[r.lead.source].Last.Index {
		r.startLeading(now)
		return
	}
	r.lead.askedAt = now
	r.lead.attempts++
	r.send(r.voters.Names()[r.lead.source], FetchRequest{Term: r.promised, From: r.fetchFrom()})
}

// fetchFrom is the first entry that may differ from the log that is taken.
func (r *Replica) fetchFrom() uint64 { return max(r.lead.fetched, r.committed) + 1 }

func (r *Replica) handleFetchResponse(from string, response FetchResponse, now float64) {
	if r.state != ReplicaFetching || response.Term != r.promised || r.voters.Number(from) != r.lead.source {
		return
	}
	if response.From != r.fetchFrom() {
		return
	}
	if response.Behind {
		r.out.NeedSnapshot = response.Base
		return
	}
	previous, _ := r.log.version(response.From - 1)
	if len(response.Entries) == 0 || !contiguous(previous, response.Entries) || !r.merge(response.Entries) {
		return
	}
	r.lead.attempts = 0
	r.lead.fetched = response.Entries[len(response.Entries)-1].Index
	r.fetch(now)
}

// recoverAgain does what is due while the log is not recovered.
func (r *Replica) recoverAgain(now float64) {
	if now-r.lead.askedAt < r.cfg.ResendAfter {
		return
	}
	if r.state == ReplicaFetching && r.lead.attempts < fetchAttempts {
		r.fetch(now)
		return
	}
	if r.state == ReplicaFetching {
		delete(r.lead.answers, r.lead.source)
		r.lead.fetched = 0
		r.moveTo(ReplicaPreparing)
	}
	r.ask(now)
	r.chooseLog(now)
}

// startLeading appends the first entry of the term, with which all before it will be committed.
func (r *Replica) startLeading(now float64) {
	for _, answer := range r.lead.answers {
		r.committed = max(r.committed, min(answer.Commit, r.log.last().Index))
	}
	next := r.log.last().Index + 1
	r.lead.progress = make([]progress, len(r.voters.Names()))
	for voter := range r.lead.progress {
		r.lead.progress[voter].next = next
	}
	r.moveTo(ReplicaLeader)
	r.appendOwn(Change{})
	r.replicate(now)
}
