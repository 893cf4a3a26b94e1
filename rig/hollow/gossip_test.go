package hollow

import (
	"bytes"
	"testing"
)

// TestPackMessages guards against oversized packets, and against messages lost or changed by packing and splitting them.
func TestPackMessages(t *testing.T) {
	var all, unpacked [][]byte
	for k := range 40 {
		all = append(all, bytes.Repeat([]byte{msgAlive}, 60+k))
	}
	for rest := all; len(rest) > 0; {
		var packet []byte
		before := len(rest)
		packet, rest = packMessages(rest)
		if len(packet) > maxGossipPayload || len(rest) == before {
			t.Fatalf("packed into %d bytes, %d of %d messages remain", len(packet), len(rest), before)
		}
		payload, err := decodeGossipPacket(encodeGossipPacket(packet))
		if err != nil {
			t.Fatal(err)
		}
		unpacked = append(unpacked, splitMessages(payload)...)
	}
	if len(unpacked) != len(all) {
		t.Fatalf("got %d messages, want %d", len(unpacked), len(all))
	}
	for k := range all {
		if !bytes.Equal(all[k], unpacked[k]) {
			t.Errorf("message %d differs after packing and splitting", k)
		}
	}
}

// TestTruncatedPackets guards against reading messages past the end of a truncated packet, and against taking a packet of
// another kind for gossip.
func TestTruncatedPackets(t *testing.T) {
	packet, _ := packMessages([][]byte{{msgAlive, 1, 2, 3}, {msgDead, 4, 5}})
	for n := range packet {
		for _, m := range splitMessages(packet[:n]) {
			if len(m) > n {
				t.Errorf("message of %d bytes in a packet of %d bytes", len(m), n)
			}
		}
	}
	if _, err := decodeGossipPacket([]byte("VGF\x01n")); err == nil {
		t.Error("accepted a packet of another kind")
	}
}

// TestGossipRates guards against gossip rates that differ from those of the library at the same fleet size.
func TestGossipRates(t *testing.T) {
	for size, want := range map[int]int{9: 4, 99: 8, 1000: 16, 8600: 16} {
		if got := retransmitCount(size); got != want {
			t.Errorf("fleet of %d members: retransmits %d times, want %d", size, got, want)
		}
	}
	for size, want := range map[int]float64{10: 12, 33: 24, 1000: 72, 8600: 120} {
		if got := ExchangeIntervalSeconds(size); got != want {
			t.Errorf("fleet of %d members: exchanges the state every %g s, want %g", size, got, want)
		}
	}
}
