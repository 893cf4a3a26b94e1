package logic_test

import (
	"testing"

	"valveglade/rpc"
)

// What has lain unread for longer than the threshold is started by an app server whose cores are free: refused, all that
// comes would be refused for as long as reading takes that long, and nobody would be answered with a result.
func TestReadSlowlyOnFreeCores(t *testing.T) {
	d := open(func(c *rpc.Settings) {
		c.Methods[read].Target, c.Methods[read].Deadline = 0.2, 2 // the threshold is a third of the tightest target
		c.Methods[read].LateShare = 0.5
	})
	d.quiet = true
	started := 0
	d.onStart = func(int) { started++ }
	for range 20 {
		d.arriveAs(0, read, 0, 0.15, rpc.None)
		d.pass(0.1)
		d.ended(0, rpc.OK)
	}
	if started != 20 {
		t.Errorf("%d of 20 RPCs that lay unread for 150 ms are started on free cores", started)
	}
}
