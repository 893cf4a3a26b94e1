package logic_test

import (
	"testing"

	"valveglade/rpc"
)

// A client that takes back many RPCs at once, where nobody tells how long they wait, does not have those of all others refused on
// free cores: patience learnt from one client would never be unlearnt, as nothing would run any more.
func TestTakenBackAtOnce(t *testing.T) {
	d := open(func(c *rpc.Settings) { c.Machine.Cores = 4 })
	d.quiet = true
	started := 0
	d.onStart = func(int) { started++ }
	for i := range 10 {
		d.arriveAs(i, read, 0, 0, rpc.None)
	}
	d.now += 0.004
	for i := range 10 {
		d.m.CallerGone(d.now, i)
	}
	for i := range 4 {
		d.ended(i, rpc.Cancelled)
	}
	d.pass(1)
	started = 0
	for range 10 {
		d.arriveAs(0, read, 1, 0.01, rpc.None)
		d.pass(0.1)
		d.ended(0, rpc.OK)
	}
	if started != 10 {
		t.Errorf("%d of 10 RPCs are started on free cores after another client has taken back its own", started)
	}
}
