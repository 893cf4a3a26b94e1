package fleet

import (
	"bytes"

	"valveglade/logic/configlog"
)

// replicationMagic begins each packet between the voters' copies of the log: "VC", format 1. The kind follows, then the term, then
// the message's own fields in the order in which appendReplication has them. docs/configuration.md has the layout.
const replicationMagic = "VC\x01"

// maxReplicationPacket is the largest message that a packet between members carries, in bytes.
const maxReplicationPacket = 1250

// maxReplicationEntries is what a packet leaves for entries, by configlog.Entry.Size: its head takes at most 46 bytes.
const maxReplicationEntries = maxReplicationPacket - 46

// The kinds of replication messages.
const (
	recoverRequest byte = iota + 1
	recoverResponse
	fetchRequest
	fetchResponse
	appendRequest
	appendResponse
	behindNotice
)

// isReplication reports whether a packet is one of replication, sound or not.
func isReplication(packet []byte) bool { return bytes.HasPrefix(packet, []byte(replicationMagic)) }

// encodeReplication returns the packet of a message, or nil for a kind that is not known.
func encodeReplication(message configlog.Message) []byte {
	w := messageWriter{out: []byte(replicationMagic)}
	switch m := message.(type) {
	case configlog.RecoverRequest:
		w.byte(recoverRequest)
		w.number(m.Term)
	case configlog.RecoverResponse:
		w.byte(recoverResponse)
		w.number(m.Term)
		w.flag(m.Refused)
		w.number(m.Known)
		w.version(m.Last)
		w.number(m.Commit)
	case configlog.FetchRequest:
		w.byte(fetchRequest)
		w.number(m.Term)
		w.number(m.From)
	case configlog.FetchResponse:
		w.byte(fetchResponse)
		w.number(m.Term)
		w.number(m.From)
		w.flag(m.Behind)
		w.version(m.Base)
		w.entries(m.Entries)
	case configlog.AppendRequest:
		w.byte(appendRequest)
		w.number(m.Term)
		w.version(m.Previous)
		w.number(m.Commit)
		w.entries(m.Entries)
	case configlog.AppendResponse:
		w.byte(appendResponse)
		w.number(m.Term)
		w.flag(m.Accepted)
		w.number(m.Known)
		w.number(m.Rejected)
		w.number(m.Match)
	case configlog.BehindNotice:
		w.byte(behindNotice)
		w.number(m.Term)
		w.version(m.Base)
	default:
		return nil
	}
	return w.out
}

// decodeReplication reads what encodeReplication wrote; anything else gives errMalformed.
func decodeReplication(packet []byte) (configlog.Message, error) {
	if !isReplication(packet) || len(packet) < len(replicationMagic)+1 {
		return nil, errMalformed
	}
	kind := packet[len(replicationMagic)]
	r := messageReader{rest: packet[len(replicationMagic)+1:]}
	var message configlog.Message
	switch term := r.number(); kind {
	case recoverRequest:
		message = configlog.RecoverRequest{Term: term}
	case recoverResponse:
		message = configlog.RecoverResponse{Term: term, Refused: r.flag(), Known: r.number(), Last: r.version(), Commit: r.number()}
	case fetchRequest:
		message = configlog.FetchRequest{Term: term, From: r.number()}
	case fetchResponse:
		message = configlog.FetchResponse{Term: term, From: r.number(), Behind: r.flag(), Base: r.version(), Entries: r.entries()}
	case appendRequest:
		message = configlog.AppendRequest{Term: term, Previous: r.version(), Commit: r.number(), Entries: r.entries()}
	case appendResponse:
		message = configlog.AppendResponse{Term: term, Accepted: r.flag(), Known: r.number(), Rejected: r.number(), Match: r.number()}
	case behindNotice:
		message = configlog.BehindNotice{Term: term, Base: r.version()}
	default:
		return nil, errMalformed
	}
	if err := r.done(); err != nil {
		return nil, err
	}
	return message, nil
}
