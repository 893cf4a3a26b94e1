package configlog

import "fmt"

// stream is where a subscription stands.
type stream struct {
	number   uint64
	sequence uint64  // of the last message taken
	snapshot Version // being taken
	parts    int     // of it, that have come
	applied  bool    // something has been applied or told by it
	lost     lostRange
}

// lostRange is what was missing when a subscription was given up for a gap: it may come late.
type lostRange struct{ number, from, to uint64 }

// Step takes a message of the distributor. An error tells why it was refused; it was not applied then.
func (f *Follower) Step(message StreamMessage, now float64) error {
	f.now = max(f.now, now)
	if f.state == FollowerDisconnected || message.stream() != f.stream.number {
		return f.refuseFormer(message)
	}
	f.connection.heardAt = f.now
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
	return f.refuseMalformed(fmt.Sprintf("%T from a distributor", message))
}

// sequenceOf is a message's number; 0 for those without.
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

// refuseFormer counts a message of a former subscription.
func (f *Follower) refuseFormer(message StreamMessage) error {
	sequence, lost := sequenceOf(message), f.stream.lost
	if message.stream() == lost.number && sequence >= lost.from && sequence < lost.to {
		f.counts.Reordered++
		return &ReorderedError{Sequence: sequence, After: lost.to}
	}
	f.counts.Stale++
	return &StaleStreamError{Stream: message.stream(), Current: f.stream.number}
}

// checkSequence takes the next message of the subscription alone.
func (f *Follower) checkSequence(message StreamMessage) error {
	sequence := sequenceOf(message)
	want := f.stream.sequence + 1
	if !f.cfg.Disabled.enabled(StreamSequence) || sequence == want {
		f.stream.sequence = sequence
		return nil
	}
	if sequence == 0 {
		return f.refuseMalformed("a message without a sequence")
	}
	if sequence < want {
		f.counts.Duplicates++
		return &DuplicateError{Sequence: sequence}
	}
	f.stream.lost = lostRange{f.stream.number, want, sequence}
	f.refuseGap()
	return &GapError{What: "sequence", Want: want, Got: sequence}
}

// refuseGap subscribes anew from the table's version: on the same connection if the subscription had come to something, so that a
// distributor which is at fault is not asked for ever.
func (f *Follower) refuseGap() {
	f.counts.Gaps++
	if f.stream.applied {
		f.subscribe()
		return
	}
	f.close(CloseGap)
}

func (f *Follower) refuseMalformed(why string) error {
	f.counts.Malformed++
	f.close(CloseMalformed)
	return &MalformedError{Why: why}
}

func (f *Follower) refuseStaleTerm(term uint64) error {
	f.counts.StaleTerms++
	f.close(CloseStaleTerm)
	return &StaleTermError{Term: term, Known: f.term}
}

func (f *Follower) refuseStaleEntry(version Version) error {
	f.counts.Stale++
	f.close(CloseBehind)
	return &StaleEntryError{Got: version, Applied: f.version}
}

func (f *Follower) handleWelcome(welcome Welcome) error {
	if f.state != FollowerSubscribing {
		return f.refuseMalformed("a second welcome")
	}
	switch welcome.Mode {
	case WelcomeBehind:
		f.close(CloseBehind)
		return nil
	case WelcomeResume:
		if !f.resumable || welcome.Version != f.version {
			return f.refuseMalformed("resumed from another version")
		}
		f.moveTo(FollowerFollowing)
		return nil
	case WelcomeSnapshot:
		if welcome.Version.Term < f.term {
			return f.refuseStaleTerm(welcome.Version.Term)
		}
		if welcome.Version.Index < f.version.Index {
			return f.refuseStaleEntry(welcome.Version)
		}
		f.stream.snapshot = welcome.Version
		f.moveTo(FollowerSnapshot)
		return nil
	}
	return f.refuseMalformed("a welcome of no known mode")
}

func (f *Follower) handleSnapshotPart(part SnapshotPart) error {
	if f.state != FollowerSnapshot {
		return f.refuseMalformed("a part of no snapshot")
	}
	for _, record := range part.Records {
		if !f.wants(record.Service) {
			return f.refuseMalformed("a record of a service that is not served here")
		}
	}
	f.stream.parts++
	f.out = append(f.out, Stage{Records: part.Records, First: f.stream.parts == 1})
	if part.Done {
		f.replace()
		f.moveTo(FollowerFollowing)
	}
	return nil
}

// replace has the snapshot take the table's place.
func (f *Follower) replace() {
	f.counts.Snapshots++
	f.stream.applied = true
	f.restart(f.stream.snapshot)
	f.resumable = true // also after the snapshot of an empty log
	f.out = append(f.out, Replace{Version: f.version})
}

func (f *Follower) wants(service string) bool { return f.cfg.All || f.services[service] }

func (f *Follower) handleDelta(entry Entry) error {
	if f.state != FollowerFollowing {
		return f.refuseMalformed("an entry before the welcome or the snapshot")
	}
	if entry.Term < f.term {
		return f.refuseStaleTerm(entry.Term)
	}
	if entry.Index <= f.version.Index {
		return f.refuseStaleEntry(entry.Version)
	}
	if !f.wants(entry.Service) {
		return f.refuseMalformed("an entry of a service that is not served here")
	}
	if err := f.checkChain(entry); err != nil {
		return err
	}
	if entry.Service != "" {
		f.lastApplied[entry.Service] = entry.Index
	}
	f.advance(entry.Version, entry)
	f.counts.Applied++
	return nil
}

// checkChain takes only the entry that is next of its service, and next of all if it wants all.
func (f *Follower) checkChain(entry Entry) error {
	if !f.cfg.Disabled.enabled(ServiceChain) {
		return nil
	}
	last, applied := f.lastApplied[entry.Service]
	if !applied {
		last = f.base
	}
	switch {
	case entry.Previous > last:
		return f.refuseMissing("service", last, entry.Previous)
	case applied && entry.Previous < last:
		f.distrust()
		return f.refuseMalformed("an entry that follows another one of its service")
	case f.cfg.All && entry.Index > f.version.Index+1:
		return f.refuseMissing("index", f.version.Index+1, entry.Index)
	}
	return nil
}

// refuseMissing refuses what comes after an entry that did not.
func (f *Follower) refuseMissing(what string, want, got uint64) error {
	f.counts.Gaps++
	f.distrust()
	f.close(CloseGap)
	return &GapError{What: what, Want: want, Got: got}
}

// distrust has the table come whole again: it may lack an entry below its version.
func (f *Follower) distrust() {
	f.resumable = false
	f.out = append(f.out, Invalidate{})
}

// advance takes a higher version, and has the entry applied.
func (f *Follower) advance(version Version, entries ...Entry) {
	f.stream.applied = true
	f.version, f.term = version, max(f.term, version.Term)
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
		return f.refuseMalformed("a heartbeat before the welcome or the snapshot, or of no age")
	}
	if heartbeat.Version.Term < f.term {
		return f.refuseStaleTerm(heartbeat.Version.Term)
	}
	if heartbeat.Version.Index < f.version.Index {
		return f.refuseStaleEntry(heartbeat.Version)
	}
	if f.cfg.All && heartbeat.Version.Index > f.version.Index && f.cfg.Disabled.enabled(ServiceChain) {
		return f.refuseMissing("index", f.version.Index, heartbeat.Version.Index)
	}
	if heartbeat.Version.Index == f.version.Index && heartbeat.Version != f.version {
		return f.refuseMalformed("a heartbeat of another history")
	}
	if heartbeat.Version != f.version {
		f.advance(heartbeat.Version)
	}
	f.stream.applied = true
	f.knownAt = max(f.knownAt, f.now-heartbeat.Age)
	if f.Status(f.now).Stale != f.toldStale {
		f.tellStatus()
	}
	return nil
}
