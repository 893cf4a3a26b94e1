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

// encodeFrame returns the payload of a frame, or nil for a message that is not known.
func encodeFrame(message any) []byte {
	var w messageWriter
	switch m := message.(type) {
	case configlog.Subscribe:
		w.byte(frameSubscribe)
		w.number(m.Stream)
		w.flag(m.All)
		w.version(m.From)
		w.seconds(m.BytesPerSecond)
		w.count(len(m.Services))
		for _, service := range m.Services {
			w.text(service)
		}
	case configlog.Welcome:
		w.byte(frameWelcome)
		w.number(m.Stream)
		w.number(m.Sequence)
		w.byte(byte(m.Mode))
		w.version(m.Version)
	case configlog.SnapshotPart:
		w.byte(frameSnapshotPart)
		w.number(m.Stream)
		w.number(m.Sequence)
		w.flag(m.Done)
		w.count(len(m.Records))
		for _, record := range m.Records {
			w.change(record)
		}
	case configlog.Delta:
		w.byte(frameDelta)
		w.number(m.Stream)
		w.number(m.Sequence)
		w.entry(m.Entry)
	case configlog.Heartbeat:
		w.byte(frameHeartbeat)
		w.number(m.Stream)
		w.number(m.Sequence)
		w.version(m.Version)
		w.seconds(m.Age)
	case configlog.Lookup:
		w.byte(frameLookup)
		w.number(m.Stream)
		w.number(m.ID)
		w.byte(byte(m.Kind))
		w.text(m.Name)
	case configlog.LookupReply:
		w.byte(frameLookupReply)
		w.number(m.Stream)
		w.number(m.ID)
		w.version(m.Version)
		w.flag(m.Found)
		w.bytes(m.Value)
	case applyRequest:
		w.byte(frameApplyRequest)
		w.text(m.Path)
		w.flag(m.Forwarded)
		w.bytes(m.Text)
	case newTermRequest:
		w.byte(frameNewTermRequest)
		w.number(m.Term)
	case applyReply:
		w.byte(frameApplyReply)
		w.version(m.Version)
		w.text(m.Error)
	default:
		return nil
	}
	return w.out
}

// decodeFrame reads what encodeFrame wrote; anything else gives errMalformed.
func decodeFrame(payload []byte) (any, error) {
	r := messageReader{rest: payload}
	var message any
	switch kind := r.byte(); kind {
	case frameApplyRequest:
		message = applyRequest{Path: r.text(), Forwarded: r.flag(), Text: r.bytes()}
	case frameApplyReply:
		message = applyReply{Version: r.version(), Error: r.text()}
	case frameNewTermRequest:
		message = newTermRequest{Term: r.number()}
	default:
		message = r.subscription(kind)
	}
	if err := r.done(); err != nil || message == nil {
		return nil, errMalformed
	}
	return message, nil
}

// subscription reads a message of a subscription, nil for a kind that is not known.
func (r *messageReader) subscription(kind byte) any {
	stream := r.any64()
	switch kind {
	case frameSubscribe:
		m := configlog.Subscribe{Stream: stream, All: r.flag(), From: r.version(), BytesPerSecond: r.seconds()}
		for range r.count() {
			if r.failed {
				return nil
			}
			m.Services = append(m.Services, r.text())
		}
		return m
	case frameWelcome:
		m := configlog.Welcome{Stream: stream, Sequence: r.number(), Mode: configlog.WelcomeMode(r.byte()), Version: r.version()}
		if m.Mode < configlog.WelcomeResume || m.Mode > configlog.WelcomeBehind {
			return nil
		}
		return m
	case frameSnapshotPart:
		m := configlog.SnapshotPart{Stream: stream, Sequence: r.number(), Done: r.flag()}
		for range r.count() {
			if r.failed {
				return nil
			}
			m.Records = append(m.Records, r.change())
		}
		return m
	case frameDelta:
		return configlog.Delta{Stream: stream, Sequence: r.number(), Entry: r.entry()}
	case frameHeartbeat:
		return configlog.Heartbeat{Stream: stream, Sequence: r.number(), Version: r.version(), Age: r.seconds()}
	case frameLookup:
		return configlog.Lookup{Stream: stream, ID: r.any64(), Kind: configlog.Kind(r.byte()), Name: r.text()}
	case frameLookupReply:
		return configlog.LookupReply{Stream: stream, ID: r.any64(), Version: r.version(), Found: r.flag(), Value: r.bytes()}
	}
	return nil
}
