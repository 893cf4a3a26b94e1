package main

import (
	"testing"

	"valveglade/charter"
	"valveglade/rig/slope"
)

// TestScaledConfiguration has the program's own parser find in a rendered file what was asked for, and two generations
// differ in one entry.
func TestScaledConfiguration(t *testing.T) {
	for _, size := range []tables{{routes: 1}, {routes: 7, tenants: 1}, {routes: 3, tenants: 40}} {
		c := configuration{listen: "127.0.0.1:1", kernel: "127.0.0.1:2", roster: "127.0.0.1:3", memoryMB: 64, sockets: 64,
			tables: size, seed: 1}
		first, err := charter.Parse(c.text(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		if len(first.Methods) != size.routes || len(first.Rules.Tenants) != size.tenants {
			t.Errorf("%v: %d methods, %d tenants", size, len(first.Methods), len(first.Rules.Tenants))
		}
		c.generation++
		second, err := charter.Parse(c.text(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		changed := 0
		for k, m := range first.Rules.Methods {
			if m != second.Rules.Methods[k] {
				changed++
			}
		}
		for k, tenant := range first.Rules.Tenants {
			if tenant != second.Rules.Tenants[k] {
				changed++
			}
		}
		// A generation changes one entry of the usual ones, and has the one of the generation before back as usual.
		if changed < 1 || changed > 2 {
			t.Errorf("%v: %d entries changed", size, changed)
		}
	}
}

// TestScaleConfig plays the shortest form of the parts, each of which has to give its series.
func TestScaleConfig(t *testing.T) {
	p := &play{Seed: 1, Program: program, rehearse: rehearse, brief: true, out: t.Output()}
	r := &slope.Result{}
	for _, part := range configScaleParts {
		if err := part.measure(p, r); err != nil {
			t.Errorf("%s: %v", part.name, err)
		}
	}
	for _, name := range []string{"config.off.change_seconds.tenants", "config.off.change_seconds.routes",
		"config.off.change_peak_bytes.tenants", "config.off.start_bytes.routes", "start.seconds.routes", "start.seconds.tenants",
		"start.seconds.members", "start.view_seconds.members", "rpc.connection_bytes.idle", "rpc.added_p50_seconds.at_140",
		"rpc.added_p99_seconds.at_1400", "config.off.rpc_added_p99_seconds", "config.off.core_share"} {
		s, ok := r.Find(name)
		if !ok || len(s.Points) < slope.MinimumSizes {
			t.Errorf("%s: %d points", name, len(s.Points))
		}
	}
	for _, f := range p.figures {
		if !f.Holds {
			t.Errorf("%s is %g, %s", f.Name, f.Value, f.Bound)
		}
	}
}
