package fleet

import (
	"valveglade/logic/configlog"
)

// Kinds of frames on a distribution stream. Subscribe to LookupReply are the messages of a subscription. A stream that
// submits changes carries one applyRequest and its applyReply. A newTermRequest is the only frame of its stream.
const (
	frameSubscribe byte = iota + 1
	frameWelcome
	frameSnapshotPart
	frameDelta
	frameHeartbeat
	frameLookup
	frameLookupReply
	frameApplyRequest
	frameApplyReply
	frameNewTermRequest
)

// applyRequest requests the changes in a text to be committed; configtable.ParseChanges documents its syntax.
type applyRequest struct {
	Path      string // of the operator's file, for error messages
	Forwarded bool   // it was forwarded to the leader and must not be forwarded again
	Text      []byte
}

// applyReply is the outcome of an applyRequest: the version of the last change, or an error.
type applyReply struct {
	Version configlog.Version
	Error   string // empty when all changes are committed
}

// newTermRequest asks the leader of a term to step down. A voter that lost its files can rejoin only in a later term.
type newTermRequest struct{ Term uint64 }

// frameFormats are the formats of stream messages. The fields follow docs/configuration.md, in its order.
var frameFormats = []messageFormat{
	formatOf(frameSubscribe, func(c fieldCodec, m *configlog.Subscribe) {
		c.uint64(&m.Stream)
		c.flag(&m.All)
		versionFields(c, &m.From)
		c.seconds(&m.BytesPerSecond)
		listFields(c, &m.Services, fieldCodec.text)
	}),
	formatOf(frameWelcome, func(c fieldCodec, m *configlog.Welcome) {
		c.uint64(&m.Stream)
		c.number(&m.Sequence)
		c.byte((*byte)(&m.Mode))
		if m.Mode < configlog.WelcomeResume || m.Mode > configlog.WelcomeBehind {
			c.invalid()
		}
		versionFields(c, &m.Version)
	}),
	formatOf(frameSnapshotPart, func(c fieldCodec, m *configlog.SnapshotPart) {
		c.uint64(&m.Stream)
		c.number(&m.Sequence)
		c.flag(&m.Done)
		listFields(c, &m.Records, changeFields)
	}),
	formatOf(frameDelta, func(c fieldCodec, m *configlog.Delta) {
		c.uint64(&m.Stream)
		c.number(&m.Sequence)
		entryFields(c, &m.Entry)
	}),
	formatOf(frameHeartbeat, func(c fieldCodec, m *configlog.Heartbeat) {
		c.uint64(&m.Stream)
		c.number(&m.Sequence)
		versionFields(c, &m.Version)
		c.seconds(&m.Age)
	}),
	formatOf(frameLookup, func(c fieldCodec, m *configlog.Lookup) {
		c.uint64(&m.Stream)
		c.uint64(&m.ID)
		c.byte((*byte)(&m.Kind))
		c.text(&m.Name)
	}),
	formatOf(frameLookupReply, func(c fieldCodec, m *configlog.LookupReply) {
		c.uint64(&m.Stream)
		c.uint64(&m.ID)
		versionFields(c, &m.Version)
		c.flag(&m.Found)
		c.bytes(&m.Value)
	}),
	formatOf(frameApplyRequest, func(c fieldCodec, m *applyRequest) {
		c.text(&m.Path)
		c.flag(&m.Forwarded)
		c.bytes(&m.Text)
	}),
	formatOf(frameApplyReply, func(c fieldCodec, m *applyReply) {
		versionFields(c, &m.Version)
		c.text(&m.Error)
	}),
	formatOf(frameNewTermRequest, func(c fieldCodec, m *newTermRequest) { c.number(&m.Term) }),
}

// encodeFrame returns the payload of a frame, or nil for an unknown type of message.
func encodeFrame(message any) []byte { return encodeMessage(frameFormats, "", message) }

// decodeFrame decodes what encodeFrame wrote. It returns errMalformed for anything else.
func decodeFrame(payload []byte) (any, error) { return decodeMessage(frameFormats, payload) }
