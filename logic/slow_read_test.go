package logic_test

import (
	"testing"

	"valveglade/rpc"
)

// An app server with idle cores must start RPCs even if their read delay exceeds the threshold. Otherwise
// it would reject all arrivals for as long as reading takes that long, and answer none with a result.
func TestSlowReadOnIdleCores(t *testing.T) {
	h := newHarness(func(c *rpc.Settings) {
		c.Methods[read].Target, c.Methods[read].Deadline = 0.2, 2 // the threshold is a third of the tightest target
		c.Methods[read].LateShare = 0.5
	})
	h.quiet = true
	started := 0
	h.onStart = func(int) { started++ }
	for range 20 {
		h.arriveFrom(0, read, 0, 0.15, rpc.RepeatsNone)
		h.advance(0.1)
		h.end(0, rpc.OK)
	}
	if started != 20 {
		t.Errorf("%d of 20 RPCs with a read delay of 150 ms are started on idle cores", started)
	}
}
