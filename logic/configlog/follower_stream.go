package configlog

import "fmt"

// stream is the state of a subscription.
type stream struct {
	number        uint64  // Stream in its messages
	sequence      uint64  // of the last accepted message
	snapshot      Version // version of the snapshot being received
	snapshotParts int     // received parts of this snapshot
	progressed    bool    // a snapshot, an entry or a heartbeat of this subscription was accepted
	lost          lostRange
}

// lostRange is the range of sequence numbers that were missing when subscription number was ended because
// of a gap: from is included, to is not. They may still arrive.
type lostRange struct{ number, from, to uint64 }

// Step handles a message of the distributor. An error is the reason why the message was rejected; it was
// not applied.
func (f *Follower) Step(message StreamMessage, now float64) error {
	f.now = max(f.now, now)
	if f.state == FollowerDisconnected || message.stream() != f.stream.number {
		return f.rejectFormerStream(message)
	}
	f.connection.lastReceivedAt = f.now
	if reply, ok := message.(LookupReply); ok {
		return f.handleLookupReply(reply)
	}
	if err := f.checkSequence(message); err != nil {
		return err
	}
	switch message := message.(type) {
	case Welcome:
		return f.handleWelcome(message)
	case SnapshotPart:
		return f.handleSnapshotPart(message)
	case Delta:
		return f.handleDelta(message.Entry)
	case Heartbeat:
		return f.handleHeartbeat(message)
	}
	return f.rejectMalformed(fmt.Sprintf("unexpected %T from a distributor", message))
}

// sequenceOf returns the sequence number of a message, 0 if it has none.
func sequenceOf(message StreamMessage) uint64 {
	switch message := message.(type) {
	case Welcome:
		return message.Sequence
	case SnapshotPart:
		return message.Sequence
	case Delta:
		return message.Sequence
	case Heartbeat:
		return message.Sequence
	}
	return 0
}

// rejectFormerStream rejects a message of an earlier subscription.
func (f *Follower) rejectFormerStream(message StreamMessage) error {
	sequence, lost := sequenceOf(message), f.stream.lost
	if message.stream() == lost.number && sequence >= lost.from && sequence < lost.to {
		f.counts.Reordered++
		return &ReorderedError{Sequence: sequence, After: lost.to}
	}
	f.counts.Stale++
	return &StaleStreamError{Stream: message.stream(), Current: f.stream.number}
}

// checkSequence accepts only the next message of the subscription.
func (f *Follower) checkSequence(message StreamMessage) error {
	sequence := sequenceOf(message)
	want := f.stream.sequence + 1
	if !f.cfg.Disabled.enabled(StreamSequence) || sequence == want {
		f.stream.sequence = sequence
		return nil
	}
	if sequence == 0 {
		return f.rejectMalformed("no sequence number")
	}
	if sequence < want {
		f.counts.Duplicates++
		return &DuplicateError{Sequence: sequence}
	}
	f.stream.lost = lostRange{f.stream.number, want, sequence}
	f.resubscribeAfterGap()
	return &GapError{Kind: "sequence", Want: want, Got: sequence}
}

// resubscribeAfterGap subscribes again from the table's version. It keeps the connection only if the
// subscription had made progress; otherwise it switches to another distributor, so that a faulty one is
// not retried forever.
func (f *Follower) resubscribeAfterGap() {
	f.counts.Gaps++
	if f.stream.progressed {
		f.subscribe()
		return
	}
	f.close(CloseGap)
}

func (f *Follower) rejectMalformed(reason string) error {
	f.counts.Malformed++
	f.close(CloseMalformed)
	return &MalformedError{Reason: reason}
}

func (f *Follower) rejectStaleTerm(term uint64) error {
	f.counts.StaleTerms++
	f.close(CloseStaleTerm)
	return &StaleTermError{Term: term, Known: f.highestTerm}
}

func (f *Follower) rejectStaleEntry(version Version) error {
	f.counts.Stale++
	f.close(CloseBehind)
	return &StaleEntryError{Got: version, Applied: f.version}
}

// handleWelcome handles a welcome, the distributor's reply to a subscription. Its mode is how the
// distributor continues:
//   - WelcomeResume: it sends the entries after the version of the follower's table.
//   - WelcomeSnapshot: it sends a snapshot in parts, then the entries after that. The snapshot must not be
//     of a lower term than the highest known one, or of a lower index than the follower's table.
//   - WelcomeBehind: it is behind the follower, as its own version is below the requested one, and sends
//     nothing more.
//
// WelcomeBehind, which is no error, and a rejected welcome both close the connection. The follower then
// keeps its table and tries the next distributor after a delay.
func (f *Follower) handleWelcome(welcome Welcome) error {
	if f.state != FollowerSubscribing {
		return f.rejectMalformed("unexpected welcome")
	}
	switch welcome.Mode {
	case WelcomeBehind:
		f.close(CloseBehind)
		return nil
	case WelcomeResume:
		if !f.resumable || welcome.Version != f.version {
			return f.rejectMalformed("resumed from a version that was not requested")
		}
		f.setState(FollowerFollowing)
		return nil
	case WelcomeSnapshot:
		if welcome.Version.Term < f.highestTerm {
			return f.rejectStaleTerm(welcome.Version.Term)
		}
		if welcome.Version.Index < f.version.Index {
			return f.rejectStaleEntry(welcome.Version)
		}
		f.stream.snapshot = welcome.Version // the table's version once all parts have arrived
		f.setState(FollowerSnapshot)
		return nil
	}
	return f.rejectMalformed("unknown mode of a welcome")
}

func (f *Follower) handleSnapshotPart(part SnapshotPart) error {
	if f.state != FollowerSnapshot {
		return f.rejectMalformed("unexpected snapshot part")
	}
	for _, record := range part.Records {
		if !f.subscribesTo(record.Service) {
			return f.rejectMalformed("record of a service that is not subscribed to")
		}
	}
	f.stream.snapshotParts++
	f.out = append(f.out, Stage{Records: part.Records, First: f.stream.snapshotParts == 1})
	if part.Done {
		f.replaceTable()
		f.setState(FollowerFollowing)
	}
	return nil
}

// replaceTable replaces the table by the staged snapshot.
func (f *Follower) replaceTable() {
	f.counts.Snapshots++
	f.stream.progressed = true
	f.resetTable(f.stream.snapshot)
	f.resumable = true // also true for the snapshot of an empty log
	f.out = append(f.out, Replace{Version: f.version})
}

func (f *Follower) subscribesTo(service string) bool { return f.cfg.All || f.services[service] }

func (f *Follower) handleDelta(entry Entry) error {
	if f.state != FollowerFollowing {
		return f.rejectMalformed("entry before the welcome or the end of the snapshot")
	}
	if entry.Term < f.highestTerm {
		return f.rejectStaleTerm(entry.Term)
	}
	if entry.Index <= f.version.Index {
		return f.rejectStaleEntry(entry.Version)
	}
	if !f.subscribesTo(entry.Service) {
		return f.rejectMalformed("entry of a service that is not subscribed to")
	}
	if err := f.checkServiceChain(entry); err != nil {
		return err
	}
	if entry.Service != "" {
		f.lastApplied[entry.Service] = entry.Index
	}
	f.advance(entry.Version, entry)
	f.counts.Applied++
	return nil
}

// checkServiceChain accepts only the next entry of the service, and the next entry of the log if the
// follower subscribes to all services.
func (f *Follower) checkServiceChain(entry Entry) error {
	if !f.cfg.Disabled.enabled(ServiceChain) {
		return nil
	}
	last, applied := f.lastApplied[entry.Service]
	if !applied {
		last = f.baseIndex
	}
	switch {
	case entry.Previous > last:
		return f.rejectGap("service", last, entry.Previous)
	case applied && entry.Previous < last:
		f.invalidate()
		return f.rejectMalformed("previous entry of the service is not the last applied one")
	case f.cfg.All && entry.Index > f.version.Index+1:
		return f.rejectGap("index", f.version.Index+1, entry.Index)
	}
	return nil
}

// rejectGap rejects a message that follows a missing entry.
func (f *Follower) rejectGap(kind string, want, got uint64) error {
	f.counts.Gaps++
	f.invalidate()
	f.close(CloseGap)
	return &GapError{Kind: kind, Want: want, Got: got}
}

// invalidate makes the next subscription request a snapshot, as an entry below the version of the table
// may be missing.
func (f *Follower) invalidate() {
	f.resumable = false
	f.out = append(f.out, Invalidate{})
}

// advance moves to a higher version and has the entries applied. Consecutive Apply actions are merged.
func (f *Follower) advance(version Version, entries ...Entry) {
	f.stream.progressed = true
	f.version, f.highestTerm = version, max(f.highestTerm, version.Term)
	if len(f.out) > 0 {
		if last, ok := f.out[len(f.out)-1].(Apply); ok {
			f.out[len(f.out)-1] = Apply{Entries: append(last.Entries, entries...), Version: version}
			return
		}
	}
	f.out = append(f.out, Apply{Entries: entries, Version: version})
}

func (f *Follower) handleHeartbeat(heartbeat Heartbeat) error {
	if f.state != FollowerFollowing || !(heartbeat.Age >= 0) {
		return f.rejectMalformed("heartbeat with an invalid age or before the end of the snapshot")
	}
	if heartbeat.Version.Term < f.highestTerm {
		return f.rejectStaleTerm(heartbeat.Version.Term)
	}
	if heartbeat.Version.Index < f.version.Index {
		return f.rejectStaleEntry(heartbeat.Version)
	}
	if f.cfg.All && heartbeat.Version.Index > f.version.Index && f.cfg.Disabled.enabled(ServiceChain) {
		return f.rejectGap("index", f.version.Index, heartbeat.Version.Index)
	}
	if heartbeat.Version.Index == f.version.Index && heartbeat.Version != f.version {
		return f.rejectMalformed("heartbeat with another term at the applied index")
	}
	if heartbeat.Version != f.version {
		f.advance(heartbeat.Version)
	}
	f.stream.progressed = true
	f.upToDateAt = max(f.upToDateAt, f.now-heartbeat.Age)
	if f.Status(f.now).Stale != f.reportedStale {
		f.reportStatus()
	}
	return nil
}
