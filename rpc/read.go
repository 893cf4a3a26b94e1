package rpc

import (
	"valveglade/internal/jsonobject"
)

// unknownWindow is for how many seconds tokens are remembered where neither a window nor a deadline is told: longer than
// clients go on asking.
const unknownWindow = 3600

// UnmarshalJSON reads all settings, as the simulator's wire carries them.
func (s *Settings) UnmarshalJSON(text []byte) error {
	o, err := jsonobject.Parse(text)
	if err != nil {
		return err
	}
	*s, _ = ReadServed(o)
	s.readCalls(o.Object("domain"))
	s.readSharing(o)
	return o.Err()
}

// ReadServed reads the settings that an app server on sockets goes by, and its methods' names; the object's Err tells what is
// wrong with them. What is left out, or null, gets the mildest meaning that keeps the rules, here or in the module.
func ReadServed(o *jsonobject.Object) (s Settings, names []string) {
	names = s.readMethods(o)
	s.readMachine(o.Object("domain"))
	rules := o.Object("rules")
	rules.Number("overloadFactor", &s.Rules.Crowd)
	rules.Number("stopSendingWithinS", &s.Rules.Grace)
	rules.Number("startCapacity", &s.Rules.ColdAt)
	rules.Number("rampTimeS", &s.Rules.WarmIn)
	rules.Number("fallS", &s.Rules.CrowdSpan)
	o.ObjectIfAny("clients").Flag("marksRetry", &s.Clients.MarksRetry)
	ceilings := o.Object("ceilings")
	ceilings.Flag("retryAfter", &s.Ceilings.RetryAfter)
	ceilings.Number("maxRetryAfterS", &s.Ceilings.MaxRetryAfter)
	return s, names
}

func (s *Settings) readMethods(o *jsonobject.Object) (names []string) {
	for profile := range o.Objects("profiles") {
		var m Method
		name, kind := "", ""
		profile.Text("name", &name)
		profile.Text("idempotency", &kind)
		profile.Number("onTimeS", &m.Target)
		profile.Number("deadlineS", &m.Deadline)
		profile.Number("windowS", &m.Window)
		profile.Number("worth", &m.Criticality)
		profile.Number("lateWorth", &m.LateShare)
		m.Kind = Kind(kind)
		if m.Kind == Tokened && m.Window == 0 {
			m.Window = m.longestWait()
		}
		s.Methods = append(s.Methods, m)
		names = append(names, name)
	}
	return names
}

// longestWait is for how many seconds clients ask for one RPC of the method again, at the most.
func (m *Method) longestWait() float64 {
	if m.Deadline > 0 {
		return m.Deadline
	}
	return max(unknownWindow, m.Target)
}

func (s *Settings) readMachine(domain *jsonobject.Object) {
	m := &s.Machine
	preemption, signal := string(Unstoppable), "none"
	domain.Text("preemption", &preemption)
	domain.Text("signal", &signal)
	m.Preemption, m.Signal, m.Below = Preemption(preemption), Signal(signal), "none"
	domain.Text("below", &m.Below)
	if m.Below != "none" {
		m.Calls = domain.Flags("callsByClass")
	}
	domain.Whole("callers", &m.Callers)
	domain.Whole("nCores", &m.Cores)
	m.Gauges = domain.Texts("ownStats")
	domain.Number("keepaliveMaxS", &m.KeepAlive)
	domain.Number("entryKb", &m.EntryKB)
	domain.Number("memoryKb", &m.MemoryKB)
	domain.Number("runFactor", &m.RunFactor)
}

// readCalls reads what matters only where calls to the layer below are made, or the machine's start is told with the settings.
func (s *Settings) readCalls(domain *jsonobject.Object) {
	m := &s.Machine
	m.Calls, m.SkipWorth = domain.Flags("callsByClass"), domain.Numbers("classSkipWorth")
	domain.Number("callsOut", &m.CallsOut)
	domain.Number("shareSpanS", &m.CallsSpan)
	domain.Number("lingerS", &m.Linger)
	domain.Flag("justStarted", &m.Cold)
}

// readSharing reads what matters only where RPCs tell their tenant and what they read about.
func (s *Settings) readSharing(o *jsonobject.Object) {
	for account := range o.Objects("accounts") {
		var t Tenant
		account.Number("quotaRps", &t.Quota)
		s.Tenants = append(s.Tenants, t)
	}
	o.Number("overShareWorth", &s.OverShareWorth)
	o.Whole("replicasOfMe", &s.Replicas)
	o.Object("domain").Number("freshS", &s.Machine.Fresh)
}
