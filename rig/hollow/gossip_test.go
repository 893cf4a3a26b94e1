package hollow

import (
	"bytes"
	"testing"
)

// TestCompound packs messages into packets that are not too large, and unpacks the same.
func TestCompound(t *testing.T) {
	var all, unpacked [][]byte
	for k := range 40 {
		all = append(all, bytes.Repeat([]byte{msgAlive}, 60+k))
	}
	for rest := all; len(rest) > 0; {
		var packet []byte
		before := len(rest)
		packet, rest = compound(rest)
		if len(packet) > gossipPacket || len(rest) == before {
			t.Fatalf("a packet of %d bytes, %d messages left of %d", len(packet), len(rest), before)
		}
		payload, err := openGossip(sealGossip(packet))
		if err != nil {
			t.Fatal(err)
		}
		unpacked = append(unpacked, messages(payload)...)
	}
	if len(unpacked) != len(all) {
		t.Fatalf("%d messages of %d", len(unpacked), len(all))
	}
	for k := range all {
		if !bytes.Equal(all[k], unpacked[k]) {
			t.Errorf("message %d differs", k)
		}
	}
}

// TestCutPackets has no message read past the end of a packet that was cut.
func TestCutPackets(t *testing.T) {
	packet, _ := compound([][]byte{{msgAlive, 1, 2, 3}, {msgDead, 4, 5}})
	for n := range packet {
		for _, m := range messages(packet[:n]) {
			if len(m) > n {
				t.Errorf("a message of %d bytes in %d", len(m), n)
			}
		}
	}
	if _, err := openGossip([]byte("VGF\x01n")); err == nil {
		t.Error("a packet of another kind is taken")
	}
}

// TestRates compares the rates of gossip with those that the library works out.
func TestRates(t *testing.T) {
	for size, want := range map[int]int{9: 4, 99: 8, 1000: 16, 8600: 16} {
		if got := retransmits(size); got != want {
			t.Errorf("%d members pass a message on %d times, not %d", size, got, want)
		}
	}
	for size, want := range map[int]float64{10: 12, 33: 24, 1000: 72, 8600: 120} {
		if got := ExchangeIntervalSeconds(size); got != want {
			t.Errorf("%d members exchange all every %g s, not %g", size, got, want)
		}
	}
}
