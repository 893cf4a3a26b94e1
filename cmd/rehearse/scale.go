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

// The design size of a fleet: its app servers, and their restarts a day, expected in two years.
const (
	designMembers        = 8600
	designRestartsPerDay = 81000
)

// formValues holds one value for each form of an experiment, such as the sizes that it measures.
type formValues[T any] struct{ short, standard, long T }

// valueFor returns the value for the form that is run. The shortest form takes precedence over the long one.
func (f formValues[T]) valueFor(run *experimentRun) T {
	switch {
	case run.shortForm:
		return f.short
	case run.Long:
		return f.long
	}
	return f.standard
}

// scalePart is a part of the scale experiment that measures one or more series.
type scalePart struct {
	name    string
	measure func(run *experimentRun, result *slope.Result) error
}

// scaleParts returns the parts to run, in order: the part that was selected, else all. The parts that measure distribution take
// minutes, so only the long form, or selecting them by name, includes them.
func (run *experimentRun) scaleParts() []scalePart {
	parts := slices.Concat(viewScaleParts, roleScaleParts, configScaleParts)
	if run.Long || run.Part != "" {
		parts = append(parts, distributionScaleParts...)
	}
	if run.Part == "" {
		return parts
	}
	return slices.DeleteFunc(parts, func(part scalePart) bool { return part.name != run.Part })
}

// runScale measures how costs grow with the size of the fleet and fits a model to each series. After a part fails, the others
// still run; the figure parts.failed then misses its bound of 0.
func runScale(run *experimentRun) error {
	result := &slope.Result{Commit: sourceRevision(), Go: runtime.Version(), Seed: run.Seed, Cores: runtime.NumCPU(), Long: run.Long}
	run.scale = result
	failedParts := 0
	parts := run.scaleParts()
	if len(parts) == 0 {
		return fmt.Errorf("unknown part %q of the scale experiment", run.Part)
	}
	for _, part := range parts {
		began := time.Now()
		if err := part.measure(run, result); err != nil {
			failedParts++
			run.printNote("part %s failed: %v", part.name, err)
		}
		run.printNote("part %s took %.1f s", part.name, time.Since(began).Seconds())
	}
	result.TookSeconds = time.Since(run.began).Seconds()
	run.exactly("parts.failed", float64(failedParts), 0)
	return nil
}

// addSeries fits the model named in series.Fit.Model, by default the linear one, to the points of the series, appends the series
// to the result and prints a line on it.
func (run *experimentRun) addSeries(result *slope.Result, series slope.Series) error {
	if series.Fit.Model == "" {
		series.Fit.Model = slope.ModelLinear
	}
	fit, err := slope.FitModel(series.Fit.Model, series.Points)
	if err != nil {
		return fmt.Errorf("%s: %w", series.Name, err)
	}
	series.Fit = fit
	for _, point := range series.Points {
		series.Largest = max(series.Largest, point.X)
	}
	if series.ClockFactor == 0 {
		series.ClockFactor = 1
	}
	result.Series = append(result.Series, series)
	run.printNote("%s", formatSeries(series))
	return nil
}

// formatSeries returns a line on a series: its fit with the standard error of the slope, the largest size that was run and, for a
// series against the members of a fleet, its value at the design size.
func formatSeries(series slope.Series) string {
	var line strings.Builder
	fmt.Fprintf(&line, "%-36s %s slope %.4g ± %.2g %s per %s, R2 %.3f, run to %g", series.Name, series.Fit.Model, series.Fit.Slope,
		series.Fit.SlopeError, series.Unit, series.Against, series.Fit.R2, series.Largest)
	if series.ClockFactor != 1 {
		fmt.Fprintf(&line, ", clock %gx slower", series.ClockFactor)
	}
	if series.Against == "members" {
		value, deviation, measured := series.At(designMembers)
		source := "measured"
		if !measured {
			source = "worked out"
		}
		fmt.Fprintf(&line, "; at %d %.4g ± %.2g %s (%s)", designMembers, value, deviation, series.Unit, source)
	}
	return line.String()
}

// sourceRevision returns the revision of the source that this program was built from. A build without version information takes
// that of the working directory; it is "unknown" if git has none.
func sourceRevision() string {
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
