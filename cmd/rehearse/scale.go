package main

import (
	"fmt"
	"os/exec"
	"runtime"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"valveglade/rig/slope"
)

// The design size: what a fleet is to have in two years.
const (
	designMembers        = 8600
	designRestartsPerDay = 81000
)

// formValues is a value that an experiment has in each of its forms, such as the sizes that it runs at.
type formValues[T any] struct{ short, standard, long T }

// valueFor returns the value in the form that is run: the shortest takes precedence over the long one.
func (f formValues[T]) valueFor(p *experimentRun) T {
	switch {
	case p.shortForm:
		return f.short
	case p.Long:
		return f.long
	}
	return f.standard
}

// scalePart measures some series of the scale run.
type scalePart struct {
	name    string
	measure func(p *experimentRun, r *slope.Result) error
}

// scaleParts are the parts of a run, in the order in which they run: the one that is named, else all. Those of the
// distribution need minutes, so that an unnamed default run leaves them out.
func (p *experimentRun) scaleParts() []scalePart {
	parts := slices.Concat(viewScaleParts, roleScaleParts, configScaleParts)
	if p.Long || p.Part != "" {
		parts = append(parts, distributionScaleParts...)
	}
	if p.Part == "" {
		return parts
	}
	return slices.DeleteFunc(parts, func(part scalePart) bool { return part.name != p.Part })
}

// playScale measures how costs grow with the size of the fleet, and fits them. A part that fails does not keep the others
// from running; the run falls short by it.
func runScale(p *experimentRun) error {
	r := &slope.Result{Commit: commit(), Go: runtime.Version(), Seed: p.Seed, Cores: runtime.NumCPU(), Long: p.Long}
	p.scale = r
	failed := 0
	parts := p.scaleParts()
	if len(parts) == 0 {
		return fmt.Errorf("the scale run has no part %q", p.Part)
	}
	for _, part := range parts {
		began := time.Now()
		if err := part.measure(p, r); err != nil {
			failed++
			p.printNote("part %s failed: %v", part.name, err)
		}
		p.printNote("part %s took %.1f s", part.name, time.Since(began).Seconds())
	}
	r.TookSeconds = time.Since(p.began).Seconds()
	p.exactly("parts.failed", float64(failed), 0)
	return nil
}

// addSeries fits the points of s with the model in s.Fit.Model, linear if none is named, appends s to the result and prints
// one line of it.
func (p *experimentRun) addSeries(r *slope.Result, s slope.Series) error {
	if s.Fit.Model == "" {
		s.Fit.Model = slope.ModelLinear
	}
	fit, err := slope.Of(s.Fit.Model, s.Points)
	if err != nil {
		return fmt.Errorf("%s: %w", s.Name, err)
	}
	s.Fit = fit
	for _, point := range s.Points {
		s.Largest = max(s.Largest, point.X)
	}
	if s.ClockFactor == 0 {
		s.ClockFactor = 1
	}
	r.Series = append(r.Series, s)
	p.printNote("%s", seriesLine(s))
	return nil
}

// seriesLine tells a series: its fit, its error, the largest size that was run and, for a series against the members of
// a fleet, its value at the design size.
func seriesLine(s slope.Series) string {
	var line strings.Builder
	fmt.Fprintf(&line, "%-36s %s slope %.4g ± %.2g %s per %s, R2 %.3f, run to %g", s.Name, s.Fit.Model, s.Fit.Slope,
		s.Fit.SlopeError, s.Unit, s.Against, s.Fit.R2, s.Largest)
	if s.ClockFactor != 1 {
		fmt.Fprintf(&line, ", clock %gx slower", s.ClockFactor)
	}
	if s.Against == "members" {
		value, deviation, measured := s.At(designMembers)
		how := "measured"
		if !measured {
			how = "worked out"
		}
		fmt.Fprintf(&line, "; at %d %.4g ± %.2g %s (%s)", designMembers, value, deviation, s.Unit, how)
	}
	return line.String()
}

// commit is the revision of the source that this program was built from.
func commit() string {
	if info, ok := debug.ReadBuildInfo(); ok {
		for _, setting := range info.Settings {
			if setting.Key == "vcs.revision" {
				return setting.Value
			}
		}
	}
	out, err := exec.Command("git", "rev-parse", "HEAD").Output()
	if err != nil {
		return "unknown"
	}
	return strings.TrimSpace(string(out))
}
