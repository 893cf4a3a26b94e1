package fleet

import (
	"encoding/hex"
	"testing"

	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// The encoding of messages must not change: during an upgrade, app servers of the old and the new version run in one
// fleet.
func TestMessageBytes(t *testing.T) {
	incarnation := owner.Incarnation{Name: "n1", ID: 0x0102030405060708}
	message := owner.Message{Kind: owner.Rejected, Role: "sweep", From: incarnation, To: "n2", Term: 7,
		Round: 9, Left: 1.5, Holder: "n3"}
	request := share.Request{Request: owner.Request{Role: "share/s", From: incarnation, Number: 3, Term: 7,
		Holds: 4, Uses: 5, Wants: 6, Left: 0.25},
		Criticality: 2, RunTime: 0.125}
	answer := owner.Answer{Role: "share/s", To: incarnation, Number: 3, Term: 7, Grants: 4}
	for _, test := range []struct {
		name  string
		bytes []byte
		want  string
	}{
		{"rejected", encodeVoteMessage(message),
			"564f0206057377656570026e310102030405060708026e32000000000000000700000000000000093ff8000000000000026e33"},
		{"announced", encodeGrant(grantMessage{kind: announced, role: "share/s", from: "n1", term: 7}),
			"564701000773686172652f73026e310000000000000007"},
		{"requested", encodeGrant(grantMessage{kind: requested, role: "share/s", from: "n1", term: 7, request: request}),
			"564701010773686172652f73026e310000000000000007010203040506070800000000000000030000000400000005000000063fd000000000000040000000000000003fc0000000000000"},
		{"granted", encodeGrant(grantMessage{kind: granted, role: "share/s", from: "n1", term: 7, answer: answer}),
			"564701020773686172652f73026e3100000000000000070102030405060708000000000000000300000004"},
	} {
		if got := hex.EncodeToString(test.bytes); got != test.want {
			t.Errorf("%s: %s, not %s", test.name, got, test.want)
		}
	}
}
