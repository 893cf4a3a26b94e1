package view

import (
	"math"
	"slices"
)

// refresh makes a new view of what has come about, if anything has, and judges its certainty.
func (m *Machine) refresh(now float64, changes []Change) {
	fresh := m.dirty && m.gather()
	m.dirty = false
	d := m.digest
	if fresh {
		d = digest(m.members)
	}
	switch {
	case d != m.digest || m.published == nil:
		m.digest, m.changed = d, now
		m.version = max(m.version, m.highest) + 1
	case m.highest > m.version && m.agreed():
		// Members that see the same count on from the highest version among them.
		m.version, fresh = m.highest, true
	}
	for _, c := range changes {
		if c.What == "went" {
			delete(m.echoes, c.Name)
		}
	}
	sure := m.judge(now)
	if !fresh && m.published != nil && sure == m.published.Certainty {
		return
	}
	v := &View{Version: m.version, Digest: m.digest, Certainty: sure, Members: m.members, Changes: changes}
	if sure == Partitioned {
		v.LastHealthy = m.healthy
	}
	m.published = v
	m.emit(Action{Kind: Publish, View: v})
}

// agreed reports whether somebody is known to see the same.
func (m *Machine) agreed() bool {
	for _, e := range m.echoes {
		if e.digest == m.digest {
			return true
		}
	}
	return false
}

// gather lists the members as they are to be shown; it tells whether anything is new.
func (m *Machine) gather() bool {
	all := make([]Entry, 1, len(m.records)+1)
	all[0] = m.self
	for _, r := range m.records {
		if r.visible {
			e := r.shown
			e.Load, e.Unreachable = r.latest.Load, r.failures >= unreachableAfter
			all = append(all, e)
		}
	}
	slices.SortFunc(all, byName)
	if slices.Equal(all, m.members) {
		return false
	}
	m.members = all
	return true
}

// judge returns the certainty of the view, and keeps what a healthy one was.
func (m *Machine) judge(now float64) Certainty {
	m.compareWithHealthy(now)
	converged := m.converged(now)
	switch {
	case !converged:
		m.convergedAt = math.Inf(1)
	case math.IsInf(m.convergedAt, 1):
		m.convergedAt = now
	}
	// What has grown is healthy at once, what has shrunk only when it has stood: the members of one cut are not all found
	// dead at one time, and each step of a slow finding would count as the new measure otherwise.
	if !m.partitioned && (len(m.members) >= len(m.healthy) || now-m.convergedAt >= m.config.HealthyTime) {
		m.healthy = m.members
	}
	switch {
	case m.superseded:
		return Superseded
	case m.partitioned:
		return Partitioned
	case len(m.members) == 1:
		return Alone
	case !converged:
		return Converging
	}
	return Converged
}

// converged reports whether nothing is under way, here or with those who were asked last.
func (m *Machine) converged(now float64) bool {
	if now-m.changed < m.config.SettleTime || !m.MaySuspect(now) {
		return false
	}
	for _, r := range m.records {
		// One that flaps does not keep the others waiting: whether they see it alike, their digests tell.
		if penalty(r, now) < freePenalty && (r.phase == joining || r.phase == suspect || r.phase == alive && !r.latest.alike(r.shown)) {
			return false
		}
	}
	for _, e := range m.echoes {
		// What was said before our own last change, or long ago, says nothing of now.
		if e.at > m.changed+m.config.BatchTime && now-e.at < 3*m.config.SettleTime && e.digest != m.digest && m.config.enabled(ComparingDigests) {
			return false
		}
	}
	return true
}

// compareWithHealthy compares with the last healthy view. Those that have left by their own word are no loss.
func (m *Machine) compareWithHealthy(now float64) {
	kept := m.healthy[:0:0]
	for _, e := range m.healthy {
		if r := m.records[e.Name]; r == nil || r.phase != left {
			kept = append(kept, e)
		}
	}
	m.healthy = kept
	partitioned := 2*len(m.members) < len(m.healthy) && m.config.enabled(DetectPartition)
	if partitioned && !m.partitioned {
		m.partitionedSince = now
	}
	if partitioned && now-m.partitionedSince >= m.config.ForgetTime {
		m.healthy, partitioned = m.members, false // that is the fleet now
	}
	m.partitioned = partitioned
}
