package fleet

import (
	"errors"

	"valveglade/logic/configlog"
	"valveglade/logic/configtable"
)

// propose checks changes against the table with all open proposals applied, and appends them to the log if none is at fault.
func (l *replicaLoop) propose(p changesProposed) {
	status := l.machine.Status(clock())
	if status.State != configlog.ReplicaLeader {
		p.reply <- proposalOutcome{Err: configlog.ErrNotLeader}
		return
	}
	if status.Open+len(p.changes) > replicaMaxOpen {
		p.reply <- proposalOutcome{Err: errCrowded}
		return
	}
	if status.Open == 0 {
		l.speculative = l.d.Table().Table
	}
	table, payloads, outcome := checkChanges(l.speculative, status.Last.Index, p.changes)
	if outcome.Err != nil {
		l.d.counts.refusedChanges.Add(1)
		p.reply <- outcome
		return
	}
	l.speculative = table
	waits := &proposal{reply: p.reply}
	for k, change := range p.changes {
		l.lastID++
		err := l.machine.Propose(l.lastID, configlog.Change{Service: change.Service, Payload: payloads[k]}, clock())
		if err != nil {
			l.abandon(waits, k, err)
			return
		}
		l.proposals[l.lastID] = waits
		waits.waiting++
	}
}

// checkChanges applies changes to a table, one after the other, as entries that follow an index. It gives the table after them and
// their payloads, or the first fault.
func checkChanges(table configtable.Table, last uint64, changes []configtable.Change) (configtable.Table, [][]byte, proposalOutcome) {
	var payloads [][]byte
	for k, change := range changes {
		if err := table.Check(change); err != nil {
			return table, nil, proposalOutcome{At: k, Err: err}
		}
		payload, err := change.Encode()
		if err != nil {
			return table, nil, proposalOutcome{At: k, Err: err}
		}
		next, err := table.Apply([]configtable.CommittedChange{{Index: last + 1 + uint64(k), Change: change}})
		if err != nil {
			return table, nil, proposalOutcome{At: k, Err: err}
		}
		table, payloads = next, append(payloads, payload)
	}
	return table, payloads, proposalOutcome{}
}

// abandon ends a proposal of which a change was not taken. If others were taken before it, their outcome is not known.
func (l *replicaLoop) abandon(waits *proposal, at int, err error) {
	if waits.waiting > 0 {
		err = configlog.ErrOutcomeUnknown
	}
	for id, other := range l.proposals {
		if other == waits {
			delete(l.proposals, id)
		}
	}
	waits.reply <- proposalOutcome{At: at, Err: err}
}

// resolve takes the outcome of one change; the last one of a proposal answers it.
func (l *replicaLoop) resolve(result configlog.Result) {
	waits := l.proposals[result.ID]
	if waits == nil {
		return
	}
	delete(l.proposals, result.ID)
	waits.waiting--
	if result.Err != nil {
		waits.outcome.Err = result.Err
	}
	if result.Version.Compare(waits.outcome.Version) > 0 {
		waits.outcome.Version = result.Version
	}
	if waits.waiting == 0 {
		waits.reply <- waits.outcome
	}
}

// endProposals ends all proposals; whether they are in the log is not known.
func (l *replicaLoop) endProposals(err error) {
	ended := map[*proposal]bool{}
	for _, waits := range l.proposals {
		if !ended[waits] {
			ended[waits] = true
			waits.reply <- proposalOutcome{Err: errors.Join(configlog.ErrOutcomeUnknown, err)}
		}
	}
	clear(l.proposals)
}
