package fleet

import (
	"errors"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
)

// propose checks changes against the table with all open proposals applied, and appends them to the log if all are
// valid.
func (l *replicaLoop) propose(p changesProposed) {
	status := l.machine.Status(clock())
	if status.State != configlog.ReplicaLeader {
		p.reply <- proposalOutcome{Err: configlog.ErrNotLeader}
		return
	}
	if status.Open+len(p.changes) > replicaMaxOpen {
		p.reply <- proposalOutcome{Err: errOverloaded}
		return
	}
	if status.Open == 0 {
		l.speculative = l.d.Table().Table
	}
	table, payloads, outcome := checkChanges(l.speculative, status.Last.Index, p.changes)
	if outcome.Err != nil {
		l.d.counts.rejectedChanges.Add(1)
		p.reply <- outcome
		return
	}
	l.speculative = table
	pending := &proposal{reply: p.reply}
	for k, change := range p.changes {
		l.lastID++
		err := l.machine.Propose(l.lastID, configlog.Change{Service: change.Service, Payload: payloads[k]}, clock())
		if err != nil {
			l.abandon(pending, k, err)
			return
		}
		l.proposals[l.lastID] = pending
		pending.uncommitted++
	}
}

// checkChanges applies changes to a table, one after the other, as the entries after index last. It returns the
// resulting table and the changes' payloads, or an outcome with the first error.
func checkChanges(table configtable.Table, last uint64,
	changes []configtable.Change) (configtable.Table, [][]byte, proposalOutcome) {
	var payloads [][]byte
	for k, change := range changes {
		if err := table.Check(change); err != nil {
			return table, nil, proposalOutcome{FaultIndex: k, Err: err}
		}
		payload, err := change.Encode()
		if err != nil {
			return table, nil, proposalOutcome{FaultIndex: k, Err: err}
		}
		next, err := table.Apply([]configtable.CommittedChange{{Index: last + 1 + uint64(k), Change: change}})
		if err != nil {
			return table, nil, proposalOutcome{FaultIndex: k, Err: err}
		}
		table, payloads = next, append(payloads, payload)
	}
	return table, payloads, proposalOutcome{}
}

// abandon fails a proposal of which one change was not accepted. If earlier changes were accepted, their outcome is
// unknown.
func (l *replicaLoop) abandon(pending *proposal, changeIndex int, err error) {
	if pending.uncommitted > 0 {
		err = configlog.ErrOutcomeUnknown
	}
	for id, other := range l.proposals {
		if other == pending {
			delete(l.proposals, id)
		}
	}
	pending.reply <- proposalOutcome{FaultIndex: changeIndex, Err: err}
}

// resolve records the outcome of one change. The last change of a proposal completes it.
func (l *replicaLoop) resolve(result configlog.Result) {
	pending := l.proposals[result.ID]
	if pending == nil {
		return
	}
	delete(l.proposals, result.ID)
	pending.uncommitted--
	if result.Err != nil {
		pending.outcome.Err = result.Err
	}
	if result.Version.Compare(pending.outcome.Version) > 0 {
		pending.outcome.Version = result.Version
	}
	if pending.uncommitted == 0 {
		pending.reply <- pending.outcome
	}
}

// failProposals fails all proposals. Whether their changes are in the log is unknown.
func (l *replicaLoop) failProposals(err error) {
	ended := map[*proposal]bool{}
	for _, pending := range l.proposals {
		if !ended[pending] {
			ended[pending] = true
			pending.reply <- proposalOutcome{Err: errors.Join(configlog.ErrOutcomeUnknown, err)}
		}
	}
	clear(l.proposals)
}
