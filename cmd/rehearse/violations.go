package main

import "valveglade/rig"

// shownViolations is the maximum number of violations that an experiment prints.
const shownViolations = 10

// violationLog collects the violations that the checkers of an experiment found. It is not safe for concurrent use.
type violationLog struct{ all []rig.Violation }

// collect finishes a checker and adds its violations.
func (l *violationLog) collect(c *rig.Checker) {
	c.Finish()
	l.all = append(l.all, c.Violations()...)
}

// report fails the experiment if there is any violation, and prints the first shownViolations of them.
func (l *violationLog) report(run *experimentRun) {
	run.exactly("breaches", float64(len(l.all)), 0)
	for _, violation := range l.all[:min(len(l.all), shownViolations)] {
		run.printNote("%s", violation)
	}
}
