package fleet

import (
	"valveglade/logic/configlog"
)

// Kinds of frames on a stream of the distribution. Subscribe to LookupReply are the messages of a subscription; ApplyRequest is the
// only frame of a stream that brings changes to the leader, and ApplyReply its answer.
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

// applyRequest asks for the changes of a text; see configtable.ParseChanges for its form.
type applyRequest struct {
	Path      string // of the operators' file, for messages of faults
	Forwarded bool   // it has been passed on once, and is not again
	Text      []byte
}

// applyReply is the outcome: the version of the last change, or why nothing was changed.
type applyReply struct {
	Version configlog.Version
	Error   string // empty when all changes are committed
}

// newTermRequest asks the leader of a term to have another one begin: a voter that lost its files waits for it.
type newTermRequest struct{ Term uint64 }

// frameFormats are the messages of streams. Their fields are those of docs/configuration.md, in its order.
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

// encodeFrame returns the payload of a frame, or nil for a message that is not known.
func encodeFrame(message any) []byte { return encodeMessage(frameFormats, "", message) }

// decodeFrame reads what encodeFrame wrote; anything else gives errMalformed.
func decodeFrame(payload []byte) (any, error) { return decodeMessage(frameFormats, payload) }
