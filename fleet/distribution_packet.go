package fleet

import (
	"bytes"

	"valveglade/logic/configlog"
)

// replicationMagic begins each packet between the voters' copies of the log: "VC", format 1. The kind follows, then the term, then
// the message's own fields in the order of replicationFormats. docs/configuration.md has the layout.
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

// replicationFormats are the replication messages. Their fields are those of docs/configuration.md, in its order.
var replicationFormats = []messageFormat{
	formatOf(recoverRequest, func(c fieldCodec, m *configlog.RecoverRequest) { c.number(&m.Term) }),
	formatOf(recoverResponse, func(c fieldCodec, m *configlog.RecoverResponse) {
		c.number(&m.Term)
		c.flag(&m.Refused)
		c.number(&m.Known)
		versionFields(c, &m.Last)
		c.number(&m.Commit)
	}),
	formatOf(fetchRequest, func(c fieldCodec, m *configlog.FetchRequest) {
		c.number(&m.Term)
		c.number(&m.From)
	}),
	formatOf(fetchResponse, func(c fieldCodec, m *configlog.FetchResponse) {
		c.number(&m.Term)
		c.number(&m.From)
		c.flag(&m.Behind)
		versionFields(c, &m.Base)
		listFields(c, &m.Entries, entryFields)
	}),
	formatOf(appendRequest, func(c fieldCodec, m *configlog.AppendRequest) {
		c.number(&m.Term)
		versionFields(c, &m.Previous)
		c.number(&m.Commit)
		listFields(c, &m.Entries, entryFields)
	}),
	formatOf(appendResponse, func(c fieldCodec, m *configlog.AppendResponse) {
		c.number(&m.Term)
		c.flag(&m.Accepted)
		c.number(&m.Known)
		c.number(&m.Rejected)
		c.number(&m.Match)
	}),
	formatOf(behindNotice, func(c fieldCodec, m *configlog.BehindNotice) {
		c.number(&m.Term)
		versionFields(c, &m.Base)
	}),
}

// encodeReplication returns the packet of a message, or nil for a kind that is not known.
func encodeReplication(message configlog.Message) []byte {
	return encodeMessage(replicationFormats, replicationMagic, message)
}

// decodeReplication reads what encodeReplication wrote; anything else gives errMalformed.
func decodeReplication(packet []byte) (configlog.Message, error) {
	if !isReplication(packet) {
		return nil, errMalformed
	}
	message, err := decodeMessage(replicationFormats, packet[len(replicationMagic):])
	if err != nil {
		return nil, err
	}
	return message.(configlog.Message), nil
}
