package main

import "valveglade/rig"

// shownViolations is the maximum number of violations that an experiment prints.
const shownViolations = 10

// violationLog collects the violations that the checkers of an experiment found. It is not safe for concurrent use.
type violationLog struct{ violations []rig.Violation }

// collect finishes the checker and adds its violations.
func (l *violationLog) collect(c *rig.Checker) {
	c.Finish()
	l.violations = append(l.violations, c.Violations()...)
}

// report checks that there are no violations, and prints the first shownViolations of them.
func (l *violationLog) report(run *experimentRun) {
	run.exactly("breaches", float64(len(l.violations)), 0)
	for _, violation := range l.violations[:min(len(l.violations), shownViolations)] {
		run.printNote("%s", violation)
	}
}
