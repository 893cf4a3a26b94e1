package view

import (
	"math"
	"slices"
)

// refreshView publishes a new view if the members or the certainty have changed.
func (m *Machine) refreshView(now float64, changes []Change) {
	membersChanged := m.membersChanged && m.updateMembers()
	m.membersChanged = false
	newDigest := m.digest
	if membersChanged {
		newDigest = digest(m.members)
	}
	switch {
	case newDigest != m.digest || m.published == nil:
		m.digest, m.digestChangedAt = newDigest, now
		m.version = max(m.version, m.highestVersion) + 1
	case m.highestVersion > m.version && m.hasAgreeingPeer():
		// Members with equal digests adopt the highest version among them.
		m.version, membersChanged = m.highestVersion, true
	}
	for _, c := range changes {
		if c.What == "went" {
			delete(m.peerDigests, c.Name)
		}
	}
	certainty := m.updateCertainty(now)
	if !membersChanged && m.published != nil && certainty == m.published.Certainty {
		return
	}
	view := &View{Version: m.version, Digest: m.digest, Certainty: certainty,
		Members: m.members, Changes: changes}
	if certainty == Partitioned {
		view.LastHealthy = m.lastHealthy
	}
	m.published = view
	m.emit(Action{Kind: Publish, View: view})
}

// hasAgreeingPeer reports whether a peer's last known digest equals ours.
func (m *Machine) hasAgreeingPeer() bool {
	for _, e := range m.peerDigests {
		if e.digest == m.digest {
			return true
		}
	}
	return false
}

// updateMembers rebuilds the list of visible members; it reports whether the list has changed.
func (m *Machine) updateMembers() bool {
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

// updateCertainty returns the certainty of the view, and updates the last healthy view.
func (m *Machine) updateCertainty(now float64) Certainty {
	m.updatePartitioned(now)
	converged := m.converged(now)
	switch {
	case !converged:
		m.convergedAt = math.Inf(1)
	case math.IsInf(m.convergedAt, 1):
		m.convergedAt = now
	}
	// A view that has grown is healthy at once, one that has shrunk only after HealthyTime: members lost in
	// one partition are not all detected at the same time, and each intermediate size would otherwise become
	// the new reference.
	if !m.partitioned && (len(m.members) >= len(m.lastHealthy) || now-m.convergedAt >= m.config.HealthyTime) {
		m.lastHealthy = m.members
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

// converged reports whether no change is pending, here or at the peers that were probed last.
func (m *Machine) converged(now float64) bool {
	if now-m.digestChangedAt < m.config.SettleTime || !m.MaySuspect(now) {
		return false
	}
	for _, r := range m.records {
		// A flapping member does not delay convergence; whether the peers agree on it shows in their digests.
		if penalty(r, now) < freePenalty &&
			(r.phase == joining || r.phase == suspect || r.phase == alive && !r.latest.sameDigest(r.shown)) {
			return false
		}
	}
	for _, e := range m.peerDigests {
		// A digest from before our last change, or an old one, is not compared.
		if e.at > m.digestChangedAt+m.config.BatchTime && now-e.at < 3*m.config.SettleTime &&
			e.digest != m.digest && m.config.enabled(ComparingDigests) {
			return false
		}
	}
	return true
}

// updatePartitioned compares the view with the last healthy one. Members that left voluntarily are not
// counted as lost.
func (m *Machine) updatePartitioned(now float64) {
	remaining := m.lastHealthy[:0:0]
	for _, e := range m.lastHealthy {
		if r := m.records[e.Name]; r == nil || r.phase != left {
			remaining = append(remaining, e)
		}
	}
	m.lastHealthy = remaining
	partitioned := 2*len(m.members) < len(m.lastHealthy) && m.config.enabled(DetectPartition)
	if partitioned && !m.partitioned {
		m.partitionedSince = now
	}
	if partitioned && now-m.partitionedSince >= m.config.ForgetTime {
		m.lastHealthy, partitioned = m.members, false // the remaining members are accepted as the whole fleet
	}
	m.partitioned = partitioned
}
