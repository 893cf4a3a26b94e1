package drawn

import "slices"

// Reduce cuts a failing case down: it leaves out faults, methods, keys and app servers, as long as fails tells that what is
// left still fails, and plays at most so many cases.
func Reduce(c Case, plays int, fails func(Case) bool) Case {
	for plays > 0 {
		smaller := c
		progress := false
		for _, candidate := range c.smaller() {
			if plays == 0 {
				break
			}
			plays--
			if fails(candidate) {
				smaller, progress = candidate, true
				break
			}
		}
		if !progress {
			break
		}
		c = smaller
	}
	return c
}

// smaller are cases with less in them, those first that leave out most.
func (c Case) smaller() []Case {
	var all []Case
	add := func(change func(*Case)) {
		d := c
		d.Faults = slices.Clone(c.Faults)
		d.Settings.Keys = slices.Clone(c.Settings.Keys)
		d.Settings.Methods = slices.Clone(c.Settings.Methods)
		change(&d)
		all = append(all, d)
	}
	forEachChunk(len(c.Faults), func(from, to int) {
		add(func(d *Case) { d.Faults = slices.Delete(d.Faults, from, to) })
	})
	forEachChunk(len(c.Settings.Keys), func(from, to int) {
		add(func(d *Case) { d.Settings.Keys = slices.Delete(d.Settings.Keys, from, to) })
	})
	if len(c.Settings.Methods) > 1 {
		forEachChunk(len(c.Settings.Methods), func(from, to int) {
			if to-from < len(c.Settings.Methods) {
				add(func(d *Case) { d.Settings.Methods = slices.Delete(d.Settings.Methods, from, to) })
			}
		})
	}
	for k, m := range c.Settings.Methods {
		plain := PlainMethod()
		plain.Name, plain.Effect, plain.Calls = m.Name, m.Effect, m.Calls
		if m != plain {
			add(func(d *Case) { d.Settings.Methods[k] = plain })
		}
	}
	if quiet := (Load{Rate: c.Load.Rate, Routers: 1}); c.Load != quiet {
		add(func(d *Case) { d.Load = quiet })
	}
	used := 1
	for _, f := range c.Faults {
		used = max(used, f.Server+1)
	}
	if used < c.Servers {
		add(func(d *Case) { d.Servers = used })
	}
	return all
}

// forEachChunk goes through all, both forEachChunk, the quarters and so on down to one at a time.
func forEachChunk(n int, do func(from, to int)) {
	for step := n; step >= 1; step /= 2 {
		for from := 0; from < n; from += step {
			do(from, min(from+step, n))
		}
	}
}
