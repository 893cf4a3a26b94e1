package main

import (
	"bytes"
	"strings"
	"testing"

	"valveglade/rig/slope"
)

// The distribution's parts fit their series; every change comes to all that serve it.
func TestScaleDistribution(t *testing.T) {
	for _, part := range distributionScaleParts {
		var out bytes.Buffer
		p := &experimentRun{Seed: 1, Program: programBinary, rehearseBinary: rehearseBinary, shortForm: true, Part: part.name, output: &out}
		if err := p.execute(experiment{name: "scale", runExperiment: runScale}, ""); err != nil {
			t.Errorf("%s: %v:\n%s", part.name, err, &out)
		}
		for _, s := range p.scale.Series {
			if len(s.Points) < slope.MinimumSizes || s.Largest == 0 {
				t.Errorf("%+v", s)
			}
		}
		if len(p.scale.Series) == 0 || strings.Contains(out.String(), "failed: ") {
			t.Errorf("%s:\n%s", part.name, &out)
		}
		t.Logf("%s", &out)
	}
}
