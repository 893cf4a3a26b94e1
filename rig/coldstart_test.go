package rig

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"
)

// Peak must stay within the budget for the load that the cores can process during a slow start, and exceed it for three
// times that load. Arrivals before the boot or after the ramp must not count.
func TestPeak(t *testing.T) {
	start := ColdStart{Capacity: 0.2, Ramp: 10 * time.Second, Window: time.Second}
	const cores, work = 2, 0.01
	boot := time.Now()
	for loadFactor, exceeded := range map[float64]bool{1: false, 3: true} {
		var arrivals Arrivals
		for range 1000 {
			arrivals.Add(boot.Add(-time.Millisecond), work)
			arrivals.Add(boot.Add(start.Ramp+time.Millisecond), work)
		}
		for age := time.Duration(0); age < start.Ramp; {
			arrivals.Add(boot.Add(age), work)
			age += time.Duration(work / cores / start.SpeedShare(age) / loadFactor * float64(time.Second))
		}
		if peak := arrivals.Peak(start, boot, cores, work); peak.ByWork > 1 != exceeded || peak.ByCount > 1 != exceeded {
			t.Errorf("load of %g times the capacity: unexpected peak %+v", loadFactor, peak)
		}
	}
}

// echoCaller is a fake Caller that returns the body of each call, and an error if the token is empty.
type echoCaller struct{}

func (echoCaller) Call(_ context.Context, _, token string, _ float64, body []byte) ([]byte, error) {
	if token == "" {
		return nil, errors.New("no token")
	}
	return body, nil
}
func (echoCaller) Close() error { return nil }

// ServeCalls must reply to each call once, with its result or its error, and return an error for a truncated call.
func TestServeCalls(t *testing.T) {
	var in, out bytes.Buffer
	calls := json.NewEncoder(&in)
	due := time.Now().Add(time.Second)
	calls.Encode(remoteCall{ID: 1, Token: "t", Deadline: due, Body: []byte("one")})
	calls.Encode(remoteCall{ID: 2, Deadline: due, Body: []byte("two")})
	if err := ServeCalls(&in, &out, echoCaller{}); err != nil {
		t.Fatal(err)
	}
	replies := map[uint64]remoteReply{}
	for lines := json.NewDecoder(&out); lines.More(); {
		var reply remoteReply
		if err := lines.Decode(&reply); err != nil {
			t.Fatal(err)
		}
		replies[reply.ID] = reply
	}
	if len(replies) != 2 || string(replies[1].Result) != "one" || replies[2].Error != "no token" {
		t.Errorf("replies %+v", replies)
	}
	if err := ServeCalls(strings.NewReader("{"), &out, echoCaller{}); err == nil {
		t.Error("ServeCalls accepts a truncated call")
	}
}
