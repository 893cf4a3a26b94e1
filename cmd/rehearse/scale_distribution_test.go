package main

import (
	"bytes"
	"strings"
	"testing"

	"valveglade/rig/slope"
)

// TestScaleDistribution checks that the parts that measure distribution add series with enough sizes, and that every change
// reaches all app servers that serve its service.
func TestScaleDistribution(t *testing.T) {
	for _, part := range distributionScaleParts {
		var out bytes.Buffer
		run := &experimentRun{Seed: 1, Program: programBinary, rehearseBinary: rehearseBinary, shortForm: true,
			Part: part.name, output: &out}
		if err := run.execute(experiment{name: "scale", runExperiment: runScale}, ""); err != nil {
			t.Errorf("%s: %v:\n%s", part.name, err, &out)
		}
		for _, series := range run.scale.Series {
			if len(series.Points) < slope.MinimumSizes || series.Largest == 0 {
				t.Errorf("%+v", series)
			}
		}
		if len(run.scale.Series) == 0 || strings.Contains(out.String(), "failed: ") {
			t.Errorf("%s:\n%s", part.name, &out)
		}
		t.Logf("%s", &out)
	}
}
