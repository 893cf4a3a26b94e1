package member

import (
	"encoding/hex"
	"testing"

	"valveglade/logic/view"
)

// Guards the encodings against change: app servers of two versions run in one fleet during an upgrade.
func TestPacketBytes(t *testing.T) {
	entry := view.Entry{Name: "n1", Incarnation: view.Incarnation{Number: 1796188800000, Nonce: 0x0a0b0c0d},
		Address: "10.0.0.1:7946", Zone: "z1", State: view.Serving, Unhealthy: true, Proto: 1,
		Load: view.Load{Open: 2, Credit: 3, Level: 4}}
	for _, test := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"packet", sealPacket(nil, kindMessage, appendMessage(nil, "n1", "n2", []byte("x"))),
			"564746016e7888fe9c026e31026e3278"},
		{"entry", appendEntry(nil, entry), "564d01010201000001a2353204000a0b0c0d020304026e31027a31"},
		{"newer incarnation", sealPacket(nil, kindNewerIncarnation, appendNewerIncarnation(nil, entry)),
			"5647460174f0f855ff000001a2353204000a0b0c0d026e31"},
		{"echo", appendViewDigest(nil, &view.View{Version: 5, Digest: 0x1112131415161718}),
			"56450100000000000000051112131415161718"},
		{"handle", []byte(nodeName(entry.Name, entry.Incarnation.Nonce)), "6e317e3061306230633064"},
		{"probe", []byte{kindProbe, kindGossip}, "6b67"},
	} {
		if got := hex.EncodeToString(test.bytes); got != test.want {
			t.Errorf("%s: %s, not %s", test.name, got, test.want)
		}
	}
}
