package main

import (
	"math"
	"testing"

	"valveglade/config"
	"valveglade/rig/slope"
)

// TestScaledConfiguration checks with the program's own parser that a rendered file holds the requested numbers of entries, and
// that two successive generations differ only in the entries that they change.
func TestScaledConfiguration(t *testing.T) {
	for _, size := range []configSize{{routes: 1}, {routes: 7, tenants: 1}, {routes: 3, tenants: 40}} {
		file := configFile{listen: "127.0.0.1:1", kernel: "127.0.0.1:2", roster: "127.0.0.1:3", memoryMB: 64, sockets: 64,
			size: size, seed: 1}
		first, err := config.Parse(file.text(), "", "")
		if err != nil {
			t.Fatal(err)
		}
		if len(first.Methods) != size.routes || len(first.Rules.Tenants) != size.tenants {
			t.Errorf("%v: %d methods, %d tenants", size, len(first.Methods), len(first.Rules.Tenants))
		}
		file.generation++
		second, err := config.Parse(file.text(), "", "")
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
		// A generation changes one entry and restores the usual value of the entry that the previous generation changed.
		if changed < 1 || changed > 2 {
			t.Errorf("%v: %d entries changed", size, changed)
		}
	}
}

// TestSizeAt checks the size at which a series passes a limit: between measured sizes, outside them by the fit, or never.
func TestSizeAt(t *testing.T) {
	points := []slope.Point{{X: 10, Y: 1}, {X: 20, Y: 2}, {X: 30, Y: 3}, {X: 40, Y: 5}}
	rising := slope.Series{Points: points, Largest: 40, Fit: slope.Fit{Slope: 0.1}}
	flat := slope.Series{Points: points, Largest: 40}
	for _, test := range []struct {
		series   slope.Series
		limit    float64
		size     float64
		measured bool
	}{{rising, 4, 35, true}, {rising, 2, 20, true}, {rising, 8, 80, false}, {flat, 8, math.Inf(1), false}, {rising, 0.5, 5, false}} {
		if size, measured := sizeAt(test.series, test.limit); size != test.size || measured != test.measured {
			t.Errorf("limit %g: %g, measured %t", test.limit, size, measured)
		}
	}
}

// TestScaleConfig runs the shortest form of the parts that measure the configuration and checks that each adds its series.
func TestScaleConfig(t *testing.T) {
	run := &experimentRun{Seed: 1, Program: programBinary, rehearseBinary: rehearseBinary, shortForm: true, output: t.Output()}
	result := &slope.Result{}
	for _, part := range configScaleParts {
		if err := part.measure(run, result); err != nil {
			t.Errorf("%s: %v", part.name, err)
		}
	}
	for _, name := range []string{"config.off.change_seconds.tenants", "config.off.change_seconds.routes",
		"config.off.change_peak_bytes.tenants", "config.off.start_bytes.routes", "start.seconds.routes", "start.seconds.tenants",
		"start.seconds.members", "start.view_seconds.members", "rpc.connection_bytes.idle", "rpc.added_p50_seconds.at_140",
		"rpc.added_p99_seconds.at_1400", "config.off.rpc_added_p99_seconds", "config.off.core_share", "rpc.cpu_seconds.at_140",
		"config.on.change_seconds.entries", "config.on.resident_bytes.entries", "config.on.load_seconds.entries"} {
		series, ok := result.Find(name)
		if !ok || len(series.Points) < slope.MinimumSizes {
			t.Errorf("%s: %d points", name, len(series.Points))
		}
	}
	for _, figure := range run.figures {
		if !figure.Holds {
			t.Errorf("%s is %g, %s", figure.Name, figure.Value, figure.Bound)
		}
	}
}
