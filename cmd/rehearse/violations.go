package main

import "valveglade/rig"

// shownViolations is how many violations an experiment prints.
const shownViolations = 10

// violationLog collects what the checkers of an experiment found. It is not safe for concurrent use.
type violationLog struct{ all []rig.Violation }

// collect ends a checker and takes its violations in.
func (l *violationLog) collect(c *rig.Checker) {
	c.Finish()
	l.all = append(l.all, c.Violations()...)
}

// report has the experiment fail if there is any violation, and prints the first of them.
func (l *violationLog) report(p *experimentRun) {
	p.exactly("breaches", float64(len(l.all)), 0)
	for _, violation := range l.all[:min(len(l.all), shownViolations)] {
		p.printNote("%s", violation)
	}
}
