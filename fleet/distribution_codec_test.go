package fleet

import (
	"errors"
	"math"
	"reflect"
	"testing"

	"valveglade/logic/configlog"
)

var (
	testVersion = configlog.Version{Term: 1 << 41, Index: 77}
	testEntry   = configlog.Entry{Version: testVersion, Previous: 70,
		Change: configlog.Change{Service: "billing", Payload: []byte{1, 2, 3}}}
	emptyEntry = configlog.Entry{Version: testVersion}
)

var replicationMessages = []configlog.Message{
	configlog.RecoverRequest{Term: 9},
	configlog.RecoverResponse{Term: 9, Refused: true, Known: 10, Last: testVersion, Commit: 76},
	configlog.FetchRequest{Term: 9, From: 5},
	configlog.FetchResponse{Term: 9, From: 5, Behind: true, Base: testVersion,
		Entries: []configlog.Entry{testEntry, emptyEntry}},
	configlog.AppendRequest{Term: 9, Previous: testVersion, Commit: 3, Entries: []configlog.Entry{testEntry}},
	configlog.AppendRequest{Term: 9},
	configlog.AppendResponse{Term: 9, Accepted: true, Known: 9, Rejected: 4, Match: 77},
	configlog.BehindNotice{Term: 9, Base: testVersion},
}

var frameMessages = []any{
	configlog.Subscribe{Stream: math.MaxUint64, Services: []string{"a", "b"}, From: testVersion, BytesPerSecond: 20000},
	configlog.Subscribe{Stream: 1, All: true},
	configlog.Welcome{Stream: 1, Sequence: 1, Mode: configlog.WelcomeSnapshot, Version: testVersion},
	configlog.SnapshotPart{Stream: 1, Sequence: 2, Records: []configlog.Change{testEntry.Change, {}}, Done: true},
	configlog.Delta{Stream: 1, Sequence: 3, Entry: testEntry},
	configlog.Heartbeat{Stream: 1, Sequence: 4, Version: testVersion, Age: 0.25},
	configlog.Lookup{Stream: 1, ID: 7, Kind: 2, Name: "billing\x00x"},
	configlog.LookupReply{Stream: 1, ID: 7, Version: testVersion, Found: true, Value: []byte("v")},
	applyRequest{Path: "changes", Forwarded: true, Text: []byte("put")},
	applyReply{Version: testVersion, Error: "no leader"},
	newTermRequest{Term: 9},
}

func TestReplicationPackets(t *testing.T) {
	for _, message := range replicationMessages {
		packet := encodeReplication(message)
		if decoded, err := decodeReplication(packet); err != nil || !reflect.DeepEqual(decoded, message) {
			t.Errorf("%#v was decoded as %#v, %v", message, decoded, err)
		}
		checkRejectsDamage(t, packet, func(b []byte) error { _, err := decodeReplication(b); return err })
	}
}

func TestFrames(t *testing.T) {
	for _, message := range frameMessages {
		frame := encodeFrame(message)
		if decoded, err := decodeFrame(frame); err != nil || !reflect.DeepEqual(decoded, message) {
			t.Errorf("%#v was decoded as %#v, %v", message, decoded, err)
		}
		checkRejectsDamage(t, frame, func(b []byte) error { _, err := decodeFrame(b); return err })
	}
}

// checkRejectsDamage checks that a message that is truncated anywhere or has a trailing byte is rejected.
func checkRejectsDamage(t *testing.T, message []byte, decode func([]byte) error) {
	t.Helper()
	for n := range message {
		if err := decode(message[:n]); !errors.Is(err, errMalformed) {
			t.Errorf("% x truncated to %d bytes: %v", message, n, err)
		}
	}
	if err := decode(append(message[:len(message):len(message)], 0)); !errors.Is(err, errMalformed) {
		t.Errorf("% x with a trailing byte: %v", message, err)
	}
}

// The largest replication message fits a packet between members.
func TestReplicationPacketBound(t *testing.T) {
	largest := configlog.Entry{Version: testVersion, Change: configlog.Change{Service: "s", Payload: make([]byte, 0)}}
	largest.Payload = make([]byte, maxReplicationEntries-largest.Size())
	for _, message := range []configlog.Message{
		configlog.AppendRequest{Term: 9, Entries: []configlog.Entry{largest}},
		configlog.FetchResponse{Term: 9, Entries: []configlog.Entry{largest}},
	} {
		if n := len(encodeReplication(message)); n > maxReplicationPacket {
			t.Errorf("%T takes %d bytes", message, n)
		}
	}
}

func TestUnknownAgeIsWritten(t *testing.T) {
	decoded, err := decodeFrame(encodeFrame(configlog.Heartbeat{Age: math.Inf(1)}))
	if err != nil || decoded.(configlog.Heartbeat).Age != maxSeconds {
		t.Errorf("%#v, %v", decoded, err)
	}
}

func FuzzReplicationPacket(f *testing.F) {
	for _, message := range replicationMessages {
		f.Add(encodeReplication(message))
	}
	f.Fuzz(func(t *testing.T, packet []byte) {
		message, err := decodeReplication(packet)
		if err == nil && string(encodeReplication(message)) != string(packet) {
			t.Errorf("% x is decoded as %#v, which is encoded differently", packet, message)
		}
	})
}

func FuzzFrame(f *testing.F) {
	for _, message := range frameMessages {
		f.Add(encodeFrame(message))
	}
	f.Fuzz(func(t *testing.T, frame []byte) {
		message, err := decodeFrame(frame)
		if err == nil && string(encodeFrame(message)) != string(frame) {
			t.Errorf("% x is decoded as %#v, which is encoded differently", frame, message)
		}
	})
}
