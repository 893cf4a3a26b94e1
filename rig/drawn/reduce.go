package drawn

import "slices"

// Reduce returns a smaller case that still fails. It removes faults, keys, methods and app servers, and simplifies methods and
// the load, as long as fails reports that the rest still fails. It calls fails at most maxTrials times.
func Reduce(c Case, maxTrials int, fails func(Case) bool) Case {
	for maxTrials > 0 {
		smaller := c
		found := false
		for _, candidate := range c.smaller() {
			if maxTrials == 0 {
				break
			}
			maxTrials--
			if fails(candidate) {
				smaller, found = candidate, true
				break
			}
		}
		if !found {
			break
		}
		c = smaller
	}
	return c
}

// smaller returns reduced copies of the case, those with the most removed first.
func (c Case) smaller() []Case {
	var all []Case
	add := func(change func(*Case)) {
		reduced := c
		reduced.Faults = slices.Clone(c.Faults)
		reduced.Settings.Keys = slices.Clone(c.Settings.Keys)
		reduced.Settings.Methods = slices.Clone(c.Settings.Methods)
		change(&reduced)
		all = append(all, reduced)
	}
	forEachChunk(len(c.Faults), func(from, to int) {
		add(func(reduced *Case) { reduced.Faults = slices.Delete(reduced.Faults, from, to) })
	})
	forEachChunk(len(c.Settings.Keys), func(from, to int) {
		add(func(reduced *Case) { reduced.Settings.Keys = slices.Delete(reduced.Settings.Keys, from, to) })
	})
	if len(c.Settings.Methods) > 1 {
		forEachChunk(len(c.Settings.Methods), func(from, to int) {
			if to-from < len(c.Settings.Methods) {
				add(func(reduced *Case) { reduced.Settings.Methods = slices.Delete(reduced.Settings.Methods, from, to) })
			}
		})
	}
	for k, m := range c.Settings.Methods {
		plain := PlainMethod()
		plain.Name, plain.Kind, plain.Calls = m.Name, m.Kind, m.Calls
		if m != plain {
			add(func(reduced *Case) { reduced.Settings.Methods[k] = plain })
		}
	}
	if plainLoad := (Load{Rate: c.Load.Rate, Routers: 1}); c.Load != plainLoad {
		add(func(reduced *Case) { reduced.Load = plainLoad })
	}
	used := 1
	for _, f := range c.Faults {
		used = max(used, f.Server+1)
	}
	if used < c.Servers {
		add(func(reduced *Case) { reduced.Servers = used })
	}
	return all
}

// forEachChunk calls do for the range of all n elements, then for its halves, quarters and so on down to single elements.
func forEachChunk(n int, do func(from, to int)) {
	for step := n; step >= 1; step /= 2 {
		for from := 0; from < n; from += step {
			do(from, min(from+step, n))
		}
	}
}
