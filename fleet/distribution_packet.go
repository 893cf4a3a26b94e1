package fleet

import (
	"bytes"

	"valveglade/logic/configlog"
)

// replicationMagic begins each packet between replicas of the log: "VC", format 1. The kind follows, then the term,
// then the other fields in the order of replicationFormats. docs/configuration.md documents the layout.
const replicationMagic = "VC\x01"

// maxReplicationPacket is the largest message that a packet between members carries, in bytes.
const maxReplicationPacket = 1250

// maxReplicationEntries is the size available for entries in a packet, as counted by configlog.Entry.Size. The other
// fields take at most 46 bytes.
const maxReplicationEntries = maxReplicationPacket - 46

// Kinds of replication messages.
const (
	recoverRequest byte = iota + 1
	recoverResponse
	fetchRequest
	fetchResponse
	appendRequest
	appendResponse
	behindNotice
)

// isReplication reports whether a packet has the replication prefix; it may still be malformed.
func isReplication(packet []byte) bool { return bytes.HasPrefix(packet, []byte(replicationMagic)) }

// replicationFormats are the formats of replication messages. The fields follow docs/configuration.md, in its order.
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

// encodeReplication returns the packet of a message, or nil for an unknown type of message.
func encodeReplication(message configlog.Message) []byte {
	return encodeMessage(replicationFormats, replicationMagic, message)
}

// decodeReplication decodes what encodeReplication wrote. It returns errMalformed for anything else.
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
