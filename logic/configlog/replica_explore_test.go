package configlog

import (
	"fmt"
	"hash/fnv"
	"maps"
	"slices"
	"strings"
	"testing"

	"valveglade/rig/explore"
)

// logBounds limit what may happen in an exploration of replicas. Message loss needs no limit: a message
// that is never delivered is lost.
type logBounds struct {
	terms              int // elections, each under the next term
	proposals          int
	restarts           int
	duplicates         int  // messages delivered twice
	lostResponses      int  // only with immediateResponses
	immediateResponses bool // a response is delivered at once or lost
	sendBeforePersist  bool // planted fault: the driver sends messages before it persists
	disabled           Rule
	voterLists         [4][][]string // by voter; nil for the three of voterNames
}

// logState is the state of the voters, their disks and the messages in flight.
type logState struct {
	logBounds
	replicas       []*Replica
	disks          [4]Stored
	unpersisted    [4]Persist // by voter; only with sendBeforePersist
	inFlight       []Envelope
	term           uint64
	committed      []Entry  // reported as committed by any replica
	committedUnder []uint64 // term that the replica which first reported each of them had promised
	violation      string
}

func (b logBounds) config(voter int) ReplicaConfig {
	entrySize := Entry{Change: proposal(0)}.Size()
	voters := b.voterLists[voter]
	if voters == nil {
		voters = oldVoters
	}
	return ReplicaConfig{Name: fmt.Sprint("v", voter), Voters: voters, KeepEntries: 9, MaxOpen: 9,
		MessageBytes: entrySize, MaxInFlight: 2, Disabled: b.disabled}
}

func proposal(id uint64) Change { return Change{Service: "a", Payload: []byte{byte(id)}} }

func (b logBounds) initialState() *logState {
	s := &logState{logBounds: b}
	for voter, voters := range b.voterLists {
		if voter < len(voterNames) || voters != nil {
			s.replicas = append(s.replicas, NewReplica(b.config(voter), Stored{}, 0))
		}
	}
	return s
}

// clone copies a replica, so that the original state remains usable.
func (r *Replica) clone() *Replica {
	c := *r
	c.log.entries = slices.Clone(r.log.entries)
	c.log.lastOfService = maps.Clone(r.log.lastOfService)
	c.leader.promises = maps.Clone(r.leader.promises)
	c.leader.progress = slices.Clone(r.leader.progress)
	c.leader.openProposals = slices.Clone(r.leader.openProposals)
	return &c
}

// The actions. The low byte of an action is the number of its voter or message.
const (
	logActionLead = iota << 8
	logActionPropose
	logActionRestart
	logActionDeliver
	logActionDuplicate    // delivered, and stays in flight
	logActionLoseResponse // delivered, and the response is lost
)

func (s *logState) actions(all []uint16) []uint16 {
	add := func(possible bool, action uint16, target int) {
		if possible {
			all = append(all, action|uint16(target))
		}
	}
	for voter, replica := range s.replicas {
		add(s.terms > 0 && (s.term > 0 || voter == 0), logActionLead, voter)
		add(s.proposals > 0 && replica.state == ReplicaLeader, logActionPropose, voter)
		add(s.restarts > 0, logActionRestart, voter)
	}
	for message := range s.inFlight {
		add(true, logActionDeliver, message)
		add(s.duplicates > 0, logActionDuplicate, message)
		add(s.immediateResponses && s.lostResponses > 0, logActionLoseResponse, message)
	}
	return all
}

func (before *logState) apply(action uint16) *logState {
	next := *before
	s := &next
	s.inFlight, s.replicas = slices.Clone(before.inFlight), slices.Clone(before.replicas)
	s.committed, s.committedUnder = slices.Clip(before.committed), slices.Clip(before.committedUnder)
	target := int(action & 0xff)
	switch action &^ 0xff {
	case logActionLead:
		s.terms--
		s.term++
		s.replicas[target] = s.replicas[target].clone()
		_ = s.replicas[target].Lead(s.term, 0)
		s.processReady(target, true)
	case logActionPropose:
		s.proposals--
		s.replicas[target] = s.replicas[target].clone()
		_ = s.replicas[target].Propose(1, proposal(1), 0)
		s.processReady(target, true)
	case logActionRestart:
		s.restarts--
		s.unpersisted[target] = Persist{}
		s.replicas[target] = NewReplica(s.config(target), s.disks[target], 0)
	case logActionDeliver, logActionDuplicate, logActionLoseResponse:
		envelope := s.inFlight[target]
		if action&^0xff == logActionDuplicate {
			s.duplicates--
		} else {
			s.inFlight = slices.Delete(s.inFlight, target, target+1)
		}
		if action&^0xff == logActionLoseResponse {
			s.lostResponses--
		}
		s.deliver(envelope, action&^0xff != logActionLoseResponse)
	}
	s.inFlight = slices.DeleteFunc(s.inFlight, s.hasNoEffect)
	s.removeSubsumed()
	s.checkLatestLeader()
	return s
}

// deliver passes a message to its receiver. Without sendResponse, its messages are lost.
func (s *logState) deliver(envelope Envelope, sendResponse bool) {
	voter := voterNumber(envelope.To)
	s.replicas[voter] = s.replicas[voter].clone()
	s.replicas[voter].Step(envelope, 0)
	s.processReady(voter, sendResponse)
}

// processReady carries out what a replica returns from Ready.
func (s *logState) processReady(voter int, send bool) {
	s.disks[voter] = applyPersist(s.disks[voter], s.unpersisted[voter])
	ready := s.replicas[voter].Ready()
	s.unpersisted[voter] = ready.Persist
	if !s.sendBeforePersist {
		s.disks[voter] = applyPersist(s.disks[voter], ready.Persist)
		s.unpersisted[voter] = Persist{}
	}
	for _, entry := range ready.Committed {
		s.checkCommitted(entry, s.replicas[voter].promised)
	}
	for _, envelope := range ready.Messages {
		switch {
		case !send:
		case s.immediateResponses && isResponse(envelope.Message):
			s.deliver(envelope, true)
		default:
			s.inFlight = append(s.inFlight, envelope)
		}
	}
}

func isResponse(message Message) bool {
	switch message.(type) {
	case RecoverResponse, FetchResponse, AppendResponse:
		return true
	}
	return false
}

// checkCommitted checks an entry that a replica reports as committed against what any replica has reported
// before.
func (s *logState) checkCommitted(entry Entry, under uint64) {
	position := int(entry.Index) - 1
	if position < len(s.committed) {
		if s.committed[position].Version != entry.Version {
			s.violation = fmt.Sprintf("entry %d is committed with terms %d and %d", entry.Index,
				s.committed[position].Term, entry.Term)
		}
		return
	}
	s.committed, s.committedUnder = append(s.committed, entry), append(s.committedUnder, under)
}

// checkLatestLeader checks that the leader of the highest term has all committed entries.
func (s *logState) checkLatestLeader() {
	var latest *Replica
	for _, replica := range s.replicas {
		if replica.state == ReplicaLeader && (latest == nil || replica.promised > latest.promised) {
			latest = replica
		}
	}
	if latest == nil {
		return
	}
	for i, entry := range s.committed {
		if version, ok := latest.log.version(entry.Index); s.committedUnder[i] <= latest.promised &&
			(!ok || version != entry.Version) {
			s.violation = fmt.Sprintf("the leader of term %d lacks the committed entry %d of term %d",
				latest.promised, entry.Index, entry.Term)
		}
	}
}

// hasNoEffect reports whether a message changes nothing whenever it is delivered. Refusals, which only
// tell a leader of a higher term, count as such: safety does not depend on them, so a refusal may as well
// be lost.
func (s *logState) hasNoEffect(envelope Envelope) bool {
	from, to := s.replicas[voterNumber(envelope.From)], s.replicas[voterNumber(envelope.To)]
	if to.voters.Number(envelope.From) < 0 {
		return true
	}
	term := envelope.Message.term()
	if isResponse(envelope.Message) {
		response, ok := envelope.Message.(AppendResponse)
		progress := to.leader.progress
		return term != to.promised || to.state == ReplicaFollower ||
			ok && progress != nil && response.Accepted &&
				progress[to.voters.Number(envelope.From)].matchIndex >= response.Match
	}
	if term != to.promised {
		return term < to.promised
	}
	switch request := envelope.Message.(type) {
	case RecoverRequest:
		return from.promised != term || from.state != ReplicaPreparing
	case AppendRequest:
		return s.isRedundant(from, to, request)
	}
	return false
}

// removeSubsumed removes a request if the same one is in flight with a commit index as high or higher.
func (s *logState) removeSubsumed() {
	order := [4]int{0, 1, 2, 3}
	seen := map[uint64]int{}
	kept := s.inFlight[:0]
	for _, envelope := range s.inFlight {
		commit := uint64(0)
		withoutCommit := envelope
		if request, ok := envelope.Message.(AppendRequest); ok {
			commit, request.Commit = request.Commit, 0
			withoutCommit.Message = request
		}
		hash := hashEnvelope(withoutCommit, order)
		position, duplicate := seen[hash]
		if !duplicate {
			seen[hash] = len(kept)
			kept = append(kept, envelope)
			continue
		}
		if request, ok := kept[position].Message.(AppendRequest); ok && request.Commit < commit {
			kept[position] = envelope
		}
	}
	s.inFlight = kept
}

// isRedundant reports whether a request brings no entries or commit index that the voter lacks, and its
// response nothing that the leader does not know.
func (s *logState) isRedundant(from, to *Replica, request AppendRequest) bool {
	match := request.Previous.Index + uint64(len(request.Entries))
	last := request.Previous
	if len(request.Entries) > 0 {
		last = request.Entries[len(request.Entries)-1].Version
	}
	version, ok := to.log.version(match)
	return ok && version == last && min(request.Commit, match) <= to.committed &&
		(from.promised != request.Term || from.state != ReplicaLeader ||
			from.leader.progress[from.voters.Number(to.cfg.Name)].matchIndex >= match)
}

// key returns a hash of the state. States that differ only by exchanging the names of v1 and v2 have the
// same key, as v0 leads first.
func (s *logState) key() uint64 {
	if s.voterLists[0] != nil {
		return s.keyInOrder([4]int{0, 1, 2, 3}) // the voters differ by their lists
	}
	return min(s.keyInOrder([4]int{0, 1, 2, 3}), s.keyInOrder([4]int{0, 2, 1, 3}))
}

// keyInOrder hashes the voters in an order, which must be its own inverse.
func (s *logState) keyInOrder(order [4]int) uint64 {
	h := explore.NewHash()
	for _, voter := range order[:len(s.replicas)] {
		s.hashReplica(&h, voter, order)
	}
	hashes := make([]uint64, len(s.inFlight))
	for i, envelope := range s.inFlight {
		hashes[i] = hashEnvelope(envelope, order)
	}
	slices.Sort(hashes)
	for _, hash := range hashes {
		h.Add(hash)
	}
	for _, left := range []int{s.terms, s.proposals, s.restarts, s.duplicates, s.lostResponses} {
		h.Add(uint64(left))
	}
	for i, entry := range s.committed {
		h.Add(entry.Term<<8 | s.committedUnder[i])
	}
	return uint64(h)
}

func (s *logState) hashReplica(h *explore.Hash, voter int, order [4]int) {
	r := s.replicas[voter]
	h.Add(r.promised<<32 | r.committed<<16 | uint64(r.state)<<8 | uint64(len(r.log.entries)))
	for _, entry := range r.log.entries {
		h.Add(entry.Term)
	}
	if s.sendBeforePersist {
		h.Add(s.disks[voter].Promised<<32 | uint64(len(s.disks[voter].Entries)))
	}
	if r.state == ReplicaFollower {
		return
	}
	h.Add(uint64(order[voterNumber(r.voters.Names()[r.leader.source])])<<32 |
		r.leader.fetchedIndex<<16 | uint64(len(r.leader.openProposals)))
	for _, otherVoter := range order[:len(s.replicas)] {
		voter := r.voters.Number(fmt.Sprint("v", otherVoter))
		if voter < 0 {
			continue
		}
		if promise, ok := r.leader.promises[voter]; ok && r.state != ReplicaLeader {
			h.Add(promise.Last.Term<<32 | promise.Last.Index<<16 | promise.Commit + 1)
		}
		h.Add(0)
		if r.leader.progress != nil {
			p := r.leader.progress[voter]
			h.Add(p.matchIndex<<32 | p.nextIndex<<16 | uint64(p.inFlight))
		}
	}
}

func hashEnvelope(envelope Envelope, order [4]int) uint64 {
	h := fnv.New64a()
	fmt.Fprintf(h, "%d %d %T %v", order[voterNumber(envelope.From)], order[voterNumber(envelope.To)],
		envelope.Message, envelope.Message)
	return h.Sum64()
}

func describeEnvelope(envelope Envelope) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", envelope.Message), "configlog.")
	return fmt.Sprintf("%s to %s: %s%+v", envelope.From, envelope.To, name, envelope.Message)
}

func (s *logState) describe(action uint16) string {
	target := int(action & 0xff)
	switch action &^ 0xff {
	case logActionLead:
		return fmt.Sprintf("v%d leads under term %d", target, s.term+1)
	case logActionPropose:
		return fmt.Sprintf("v%d accepts a proposal", target)
	case logActionRestart:
		return fmt.Sprintf("v%d restarts", target)
	case logActionDuplicate:
		return describeEnvelope(s.inFlight[target]) + ", and stays in flight"
	case logActionLoseResponse:
		return describeEnvelope(s.inFlight[target]) + ", and the response is lost"
	}
	return describeEnvelope(s.inFlight[target])
}

func (b logBounds) explore(maxStates int) explore.Result {
	return explore.Model[*logState]{
		Initial:   b.initialState(),
		Actions:   func(s *logState, into []uint16) []uint16 { return s.actions(into) },
		Apply:     func(s *logState, act uint16) *logState { return s.apply(act) },
		Key:       func(s *logState) uint64 { return s.key() },
		Violation: func(s *logState) string { return s.violation },
		Describe:  func(s *logState, act uint16) string { return s.describe(act) },
	}.Walk(maxStates)
}

// Committed entries are never lost and never differ, whatever messages are lost, duplicated or reordered
// and whichever replicas restart.
func TestExhaustiveReplicas(t *testing.T) {
	bounds := []namedBounds[logBounds]{
		{"all messages in any order", logBounds{terms: 2}},
		{"a proposal", logBounds{terms: 2, proposals: 1, immediateResponses: true}},
		{"a lost response, a restart", logBounds{terms: 2, proposals: 1, restarts: 1, lostResponses: 1,
			immediateResponses: true}},
		{"a duplicate message", logBounds{terms: 2, proposals: 1, duplicates: 1, immediateResponses: true}},
		{"three leaders", logBounds{terms: 3, proposals: 1, immediateResponses: true}},
		{"all messages in any order, a proposal", logBounds{terms: 2, proposals: 1}},
		{"all messages in any order, a restart", logBounds{terms: 2, restarts: 1}},
		{"three leaders, a restart", logBounds{terms: 3, restarts: 1, lostResponses: 1,
			immediateResponses: true}},
		{"four leaders", logBounds{terms: 4, immediateResponses: true}},
		{"membership change, first step", logBounds{terms: 3, immediateResponses: true,
			voterLists: [4][][]string{oldVoters, oldVoters, jointVoters, jointVoters}}},
		{"membership change, second step", logBounds{terms: 3, immediateResponses: true,
			voterLists: [4][][]string{jointVoters, jointVoters, newVoters, newVoters}}},
	}
	exploreAll(t, bounds)
}

// The exploration finds a violation for each disabled rule of the log and each planted fault.
func TestExhaustiveReplicaFaults(t *testing.T) {
	faults := []namedBounds[logBounds]{
		{"responds before it has persisted", logBounds{terms: 2, restarts: 1, immediateResponses: true,
			sendBeforePersist: true}},
		{"commits entries of older terms by majority", logBounds{terms: 4, immediateResponses: true,
			disabled: CommitOwnTerm}},
		{"no promise at recovery", logBounds{terms: 2, immediateResponses: true,
			disabled: PromiseAtRecovery}},
		{"adopts the longest log", logBounds{terms: 3, proposals: 1, immediateResponses: true,
			disabled: MostUpToDate}},
		{"membership change in one step", logBounds{terms: 2, immediateResponses: true,
			voterLists: [4][][]string{oldVoters, oldVoters, newVoters, newVoters}}},
	}
	requireViolations(t, faults)
}
