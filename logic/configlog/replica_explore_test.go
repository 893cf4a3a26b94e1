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

// logBounds are what may happen at the most in a walk of replicas. Messages are lost freely: what is never delivered is lost.
type logBounds struct {
	terms, proposals, restarts, doubled, lost int
	atOnce                                    bool // an answer is heard at once, or lost
	answerFirst                               bool // the planted fault of a driver that writes after it has sent
	disabled                                  Rule
	lists                                     [4][][]string // that each voter knows, if not the three
}

// logState is three voters, their disks, and what is on its way.
type logState struct {
	logBounds
	replicas  []*Replica
	disks     [4]Stored
	unwritten [4]Persist // of a driver that sends first
	flight    []Envelope
	term      uint64
	committed []Entry  // as any replica has told
	under     []uint64 // the term of the leader that committed each of them
	broken    string
}

func (b logBounds) config(voter int) ReplicaConfig {
	one := Entry{Change: proposal(0)}.Size()
	lists := b.lists[voter]
	if lists == nil {
		lists = formerList
	}
	return ReplicaConfig{Name: fmt.Sprint("v", voter), Voters: lists, KeepEntries: 9, MaxOpen: 9, MessageBytes: one,
		MaxInFlight: 2, Disabled: b.disabled}
}

func proposal(id uint64) Change { return Change{Service: "a", Payload: []byte{byte(id)}} }

func (b logBounds) begin() *logState {
	s := &logState{logBounds: b}
	for voter, lists := range b.lists {
		if voter < len(voterNames) || lists != nil {
			s.replicas = append(s.replicas, NewReplica(b.config(voter), Stored{}, 0))
		}
	}
	return s
}

// clone copies a replica, so that one of them can go on.
func (r *Replica) clone() *Replica {
	c := *r
	c.log.entries = slices.Clone(r.log.entries)
	c.log.lastOfService = maps.Clone(r.log.lastOfService)
	c.leader.promises = maps.Clone(r.leader.promises)
	c.leader.progress = slices.Clone(r.leader.progress)
	c.leader.openProposals = slices.Clone(r.leader.openProposals)
	return &c
}

// What can happen, each with the number of whom or what it happens to.
const (
	actLead = iota << 8
	actPropose
	actRestart
	actDeliver
	actDouble // delivered, and still on its way
	actLose   // delivered, and the answer is lost
)

func (s *logState) acts(all []uint16) []uint16 {
	add := func(can bool, act uint16, k int) {
		if can {
			all = append(all, act|uint16(k))
		}
	}
	for voter, replica := range s.replicas {
		add(s.terms > 0 && (s.term > 0 || voter == 0), actLead, voter)
		add(s.proposals > 0 && replica.state == ReplicaLeader, actPropose, voter)
		add(s.restarts > 0, actRestart, voter)
	}
	for k := range s.flight {
		add(true, actDeliver, k)
		add(s.doubled > 0, actDouble, k)
		add(s.atOnce && s.lost > 0, actLose, k)
	}
	return all
}

func (before *logState) after(act uint16) *logState {
	next := *before
	s := &next
	s.flight, s.replicas = slices.Clone(before.flight), slices.Clone(before.replicas)
	s.committed, s.under = slices.Clip(before.committed), slices.Clip(before.under)
	k := int(act & 0xff)
	switch act &^ 0xff {
	case actLead:
		s.terms--
		s.term++
		s.replicas[k] = s.replicas[k].clone()
		_ = s.replicas[k].Lead(s.term, 0)
		s.carryOut(k, true)
	case actPropose:
		s.proposals--
		s.replicas[k] = s.replicas[k].clone()
		_ = s.replicas[k].Propose(1, proposal(1), 0)
		s.carryOut(k, true)
	case actRestart:
		s.restarts--
		s.unwritten[k] = Persist{}
		s.replicas[k] = NewReplica(s.config(k), s.disks[k], 0)
	case actDeliver, actDouble, actLose:
		envelope := s.flight[k]
		if act&^0xff == actDouble {
			s.doubled--
		} else {
			s.flight = slices.Delete(s.flight, k, k+1)
		}
		if act&^0xff == actLose {
			s.lost--
		}
		s.deliver(envelope, act&^0xff != actLose)
	}
	s.flight = slices.DeleteFunc(s.flight, s.idle)
	s.dropSubsumed()
	s.look()
	return s
}

// deliver has a message taken; answers tells whether its answer gets on its way.
func (s *logState) deliver(envelope Envelope, answers bool) {
	voter := number(envelope.To)
	s.replicas[voter] = s.replicas[voter].clone()
	s.replicas[voter].Step(envelope, 0)
	s.carryOut(voter, answers)
}

// carryOut does what a replica wants done.
func (s *logState) carryOut(voter int, sends bool) {
	s.disks[voter] = write(s.disks[voter], s.unwritten[voter])
	ready := s.replicas[voter].Ready()
	s.unwritten[voter] = ready.Persist
	if !s.answerFirst {
		s.disks[voter] = write(s.disks[voter], ready.Persist)
		s.unwritten[voter] = Persist{}
	}
	for _, entry := range ready.Committed {
		s.commit(entry, s.replicas[voter].promised)
	}
	for _, envelope := range ready.Messages {
		switch {
		case !sends:
		case s.atOnce && isAnswer(envelope.Message):
			s.deliver(envelope, true)
		default:
			s.flight = append(s.flight, envelope)
		}
	}
}

func isAnswer(message Message) bool {
	switch message.(type) {
	case RecoverResponse, FetchResponse, AppendResponse:
		return true
	}
	return false
}

// commit checks an entry that a replica tells as committed against what any has told before.
func (s *logState) commit(entry Entry, under uint64) {
	at := int(entry.Index) - 1
	if at < len(s.committed) {
		if s.committed[at].Version != entry.Version {
			s.broken = fmt.Sprintf("entry %d is committed of terms %d and %d", entry.Index, s.committed[at].Term, entry.Term)
		}
		return
	}
	s.committed, s.under = append(s.committed, entry), append(s.under, under)
}

// look checks that the latest leader has all that is committed.
func (s *logState) look() {
	var latest *Replica
	for _, replica := range s.replicas {
		if replica.state == ReplicaLeader && (latest == nil || replica.promised > latest.promised) {
			latest = replica
		}
	}
	if latest == nil {
		return
	}
	for k, entry := range s.committed {
		if version, ok := latest.log.version(entry.Index); s.under[k] <= latest.promised && (!ok || version != entry.Version) {
			s.broken = fmt.Sprintf("the leader of term %d lacks entry %d of term %d, which is committed", latest.promised, entry.Index, entry.Term)
		}
	}
}

// idle tells of a message that changes nothing whenever it comes. That a leader hears it is over keeps nobody safe: a refusal is as good
// as lost.
func (s *logState) idle(envelope Envelope) bool {
	from, to := s.replicas[number(envelope.From)], s.replicas[number(envelope.To)]
	if to.voters.Number(envelope.From) < 0 {
		return true
	}
	term := envelope.Message.term()
	if isAnswer(envelope.Message) {
		answer, ok := envelope.Message.(AppendResponse)
		progress := to.leader.progress
		return term != to.promised || to.state == ReplicaFollower ||
			ok && progress != nil && answer.Accepted && progress[to.voters.Number(envelope.From)].matchIndex >= answer.Match
	}
	if term != to.promised {
		return term < to.promised
	}
	switch request := envelope.Message.(type) {
	case RecoverRequest:
		return from.promised != term || from.state != ReplicaPreparing
	case AppendRequest:
		return s.repeats(from, to, request)
	}
	return false
}

// dropSubsumed drops requests that are on their way a second time, with a commit index as high or higher.
func (s *logState) dropSubsumed() {
	order := [4]int{0, 1, 2, 3}
	seen := map[uint64]int{}
	kept := s.flight[:0]
	for _, envelope := range s.flight {
		commit := uint64(0)
		plain := envelope
		if request, ok := envelope.Message.(AppendRequest); ok {
			commit, request.Commit = request.Commit, 0
			plain.Message = request
		}
		hash := hashEnvelope(plain, order)
		at, again := seen[hash]
		if !again {
			seen[hash] = len(kept)
			kept = append(kept, envelope)
			continue
		}
		if request, ok := kept[at].Message.(AppendRequest); ok && request.Commit < commit {
			kept[at] = envelope
		}
	}
	s.flight = kept
}

// repeats tells whether a request brings nothing that a voter does not have, and the leader nothing that it does not know.
func (s *logState) repeats(from, to *Replica, request AppendRequest) bool {
	match := request.Previous.Index + uint64(len(request.Entries))
	last := request.Previous
	if len(request.Entries) > 0 {
		last = request.Entries[len(request.Entries)-1].Version
	}
	version, ok := to.log.version(match)
	return ok && version == last && min(request.Commit, match) <= to.committed && (from.promised != request.Term ||
		from.state != ReplicaLeader || from.leader.progress[from.voters.Number(to.cfg.Name)].matchIndex >= match)
}

// key is the same for states that differ by the names of the voters that were not the first to lead alone.
func (s *logState) key() uint64 {
	if s.lists[0] != nil {
		return s.keyInOrder([4]int{0, 1, 2, 3}) // they differ by what they know
	}
	return min(s.keyInOrder([4]int{0, 1, 2, 3}), s.keyInOrder([4]int{0, 2, 1, 3}))
}

// keyInOrder takes the voters in an order that is its own inverse.
func (s *logState) keyInOrder(order [4]int) uint64 {
	h := explore.NewHash()
	for _, voter := range order[:len(s.replicas)] {
		s.addReplica(&h, voter, order)
	}
	hashes := make([]uint64, len(s.flight))
	for k, envelope := range s.flight {
		hashes[k] = hashEnvelope(envelope, order)
	}
	slices.Sort(hashes)
	for _, hash := range hashes {
		h.Add(hash)
	}
	for _, left := range []int{s.terms, s.proposals, s.restarts, s.doubled, s.lost} {
		h.Add(uint64(left))
	}
	for k, entry := range s.committed {
		h.Add(entry.Term<<8 | s.under[k])
	}
	return uint64(h)
}

func (s *logState) addReplica(h *explore.Hash, voter int, order [4]int) {
	r := s.replicas[voter]
	h.Add(r.promised<<32 | r.committed<<16 | uint64(r.state)<<8 | uint64(len(r.log.entries)))
	for _, entry := range r.log.entries {
		h.Add(entry.Term)
	}
	if s.answerFirst {
		h.Add(s.disks[voter].Promised<<32 | uint64(len(s.disks[voter].Entries)))
	}
	if r.state == ReplicaFollower {
		return
	}
	h.Add(uint64(order[number(r.voters.Names()[r.leader.source])])<<32 | r.leader.fetchedIndex<<16 | uint64(len(r.leader.openProposals)))
	for _, other := range order[:len(s.replicas)] {
		voter := r.voters.Number(fmt.Sprint("v", other))
		if voter < 0 {
			continue
		}
		if answer, ok := r.leader.promises[voter]; ok && r.state != ReplicaLeader {
			h.Add(answer.Last.Term<<32 | answer.Last.Index<<16 | answer.Commit + 1)
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
	fmt.Fprintf(h, "%d %d %T %v", order[number(envelope.From)], order[number(envelope.To)], envelope.Message, envelope.Message)
	return h.Sum64()
}

func tellEnvelope(envelope Envelope) string {
	name := strings.TrimPrefix(fmt.Sprintf("%T", envelope.Message), "configlog.")
	return fmt.Sprintf("%s to %s: %s%+v", envelope.From, envelope.To, name, envelope.Message)
}

func (s *logState) tell(act uint16) string {
	k := int(act & 0xff)
	switch act &^ 0xff {
	case actLead:
		return fmt.Sprintf("v%d leads under term %d", k, s.term+1)
	case actPropose:
		return fmt.Sprintf("v%d takes a proposal", k)
	case actRestart:
		return fmt.Sprintf("v%d starts again", k)
	case actDouble:
		return tellEnvelope(s.flight[k]) + ", and again later"
	case actLose:
		return tellEnvelope(s.flight[k]) + ", and the answer is lost"
	}
	return tellEnvelope(s.flight[k])
}

func (b logBounds) walk(most int) explore.Result {
	return explore.World[*logState]{
		Begin: b.begin(),
		Acts:  func(s *logState, into []uint16) []uint16 { return s.acts(into) },
		After: func(s *logState, act uint16) *logState { return s.after(act) },
		Key:   func(s *logState) uint64 { return s.key() },
		Wrong: func(s *logState) string { return s.broken },
		Tell:  func(s *logState, act uint16) string { return s.tell(act) },
	}.Walk(most)
}

// What is committed is never lost and never differs, whatever is lost, doubled, reordered, and whoever starts again.
func TestExhaustiveReplicas(t *testing.T) {
	bounds := []named[logBounds]{
		{"each message on its way", logBounds{terms: 2}},
		{"a proposal", logBounds{terms: 2, proposals: 1, atOnce: true}},
		{"a lost answer, a restart", logBounds{terms: 2, proposals: 1, restarts: 1, lost: 1, atOnce: true}},
		{"a doubled message", logBounds{terms: 2, proposals: 1, doubled: 1, atOnce: true}},
		{"three leaders", logBounds{terms: 3, proposals: 1, atOnce: true}},
		{"each message, a proposal", logBounds{terms: 2, proposals: 1}},
		{"each message, a restart", logBounds{terms: 2, restarts: 1}},
		{"three leaders, a restart", logBounds{terms: 3, restarts: 1, lost: 1, atOnce: true}},
		{"four leaders", logBounds{terms: 4, atOnce: true}},
		{"voters changed, the first round", logBounds{terms: 3, atOnce: true, lists: [4][][]string{formerList, formerList, bothLists, bothLists}}},
		{"voters changed, the second round", logBounds{terms: 3, atOnce: true, lists: [4][][]string{bothLists, bothLists, nextList, nextList}}},
	}
	walkAll(t, bounds)
}

// Each rule of the log that is left out is found.
func TestExhaustiveReplicaFaults(t *testing.T) {
	faults := []named[logBounds]{
		{"answers before it has written", logBounds{terms: 2, restarts: 1, atOnce: true, answerFirst: true}},
		{"commits by count alone", logBounds{terms: 4, atOnce: true, disabled: CommitOwnTerm}},
		{"no promise at recovery", logBounds{terms: 2, atOnce: true, disabled: PromiseAtRecovery}},
		{"the longest log", logBounds{terms: 3, proposals: 1, atOnce: true, disabled: MostUpToDate}},
		{"voters changed in one round", logBounds{terms: 2, atOnce: true, lists: [4][][]string{formerList, formerList, nextList, nextList}}},
	}
	findAll(t, faults)
}
