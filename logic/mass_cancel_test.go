package logic_test

import (
	"testing"

	"valveglade/rpc"
)

// Where callers send no deadlines, a client that cancels many RPCs at once must not cause those of others
// to be rejected on idle cores: a give-up age learnt from one client would never be corrected, as nothing
// would run any more.
func TestMassCancellation(t *testing.T) {
	h := newHarness(func(c *rpc.Settings) { c.Machine.Cores = 4 })
	h.quiet = true
	started := 0
	h.onStart = func(int) { started++ }
	for i := range 10 {
		h.arriveFrom(i, read, 0, 0, rpc.RepeatsNone)
	}
	h.now += 0.004
	for i := range 10 {
		h.m.CallerGone(h.now, i)
	}
	for i := range 4 {
		h.end(i, rpc.Cancelled)
	}
	h.advance(1)
	started = 0
	for range 10 {
		h.arriveFrom(0, read, 1, 0.01, rpc.RepeatsNone)
		h.advance(0.1)
		h.end(0, rpc.OK)
	}
	if started != 10 {
		t.Errorf("%d of 10 RPCs are started on idle cores after another client has cancelled its own", started)
	}
}
