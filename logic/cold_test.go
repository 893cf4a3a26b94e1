package logic_test

import (
	"math"
	"testing"

	"valveglade/rpc"
)

// A cold app server does not know which of its 40 callers will come, and each may: what all are told together stays
// within 2*sqrt(N)+2, N being the runs that end within the settings' span, whoever has been heard. Once warm it is the
// pool again, with at least 1 for each.
func TestColdCreditSum(t *testing.T) {
	const callers, span, took = 40, 1.5, 0.3
	d := open(func(c *rpc.Settings) {
		c.Machine.Cold, c.Machine.Callers, c.Machine.Cores = true, callers, 4
		c.Rules.CrowdSpan, c.Rules.ColdAt, c.Rules.WarmIn = span, 0.2, 10
	})
	d.quiet = true
	bound := 2*math.Sqrt(4*span/took) + 2
	largest := 0.0
	for i := range 60 {
		d.arriveAs(i%4, read, i%3, 0, rpc.None) // three of the forty have been heard
		d.pass(0.1)
		largest = max(largest, d.credit*callers)
		d.m.Ended(d.now, i%4, rpc.OK, took)
	}
	if largest > bound || largest < 2 {
		t.Errorf("%.1f are told to all callers together, %.1f at the most are borne", largest, bound)
	}
	d.pass(5)
	if d.credit < 1 {
		t.Errorf("credit %g once warm", d.credit)
	}
}
