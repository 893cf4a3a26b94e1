// Package settings reads the deployment's settings out of a JSON object, in the names of the simulator's wire.
package settings

import (
	"valveglade/internal/jsonobject"
	"valveglade/rpc"
)

// unknownWindow is for how many seconds tokens are remembered where neither a window nor a deadline is told: longer than
// clients go on asking.
const unknownWindow = 3600

// Parse reads all settings, as the simulator's wire carries them.
func Parse(text []byte) (rpc.Settings, error) {
	o, err := jsonobject.Parse(text)
	if err != nil {
		return rpc.Settings{}, err
	}
	s, _ := readServed(o)
	readCalls(&s.Machine, o.Object("domain"))
	readSharing(&s, o)
	return s, o.Err()
}

// Read reads the settings that an app server on sockets goes by, and its methods' names; the object's Err tells what is
// wrong with them. What is left out, or null, gets the mildest meaning that keeps the rules, here or in the module.
//
// Routers on sockets tell no tenant and no subject of a read: faults of the settings of both do not matter, and have none of them count.
func Read(o *jsonobject.Object) (s rpc.Settings, names []string) {
	s, names = readServed(o)
	shared, lenient := s, o.Detached()
	readSharing(&shared, lenient)
	if lenient.Err() == nil {
		s = shared
	}
	return s, names
}

func readServed(o *jsonobject.Object) (s rpc.Settings, names []string) {
	s.Methods, names = readMethods(o)
	readMachine(&s.Machine, o.Object("domain"))
	rules := o.Object("rules")
	rules.Number("overloadFactor", &s.Rules.OverloadFactor)
	rules.Number("stopSendingWithinS", &s.Rules.DrainGrace)
	rules.Number("startCapacity", &s.Rules.StartCapacity)
	rules.Number("rampTimeS", &s.Rules.RampTime)
	rules.Number("fallS", &s.Rules.OverloadWindow)
	o.ObjectIfAny("clients").Flag("marksRetry", &s.Clients.MarksRetry)
	ceilings := o.Object("ceilings")
	ceilings.Flag("retryAfter", &s.Ceilings.RetryAfter)
	ceilings.Number("maxRetryAfterS", &s.Ceilings.MaxRetryAfter)
	return s, names
}

func readMethods(o *jsonobject.Object) (methods []rpc.Method, names []string) {
	for profile := range o.Objects("profiles") {
		var m rpc.Method
		name, kind := "", ""
		profile.Text("name", &name)
		profile.Text("idempotency", &kind)
		profile.Number("onTimeS", &m.Target)
		profile.Number("deadlineS", &m.Deadline)
		profile.Number("windowS", &m.Window)
		profile.Number("worth", &m.Criticality)
		profile.Number("lateWorth", &m.LateShare)
		m.Kind = rpc.Kind(kind)
		if m.Kind == rpc.Tokened && m.Window == 0 {
			m.Window = longestWait(m)
		}
		methods = append(methods, m)
		names = append(names, name)
	}
	return methods, names
}

// longestWait is for how many seconds clients ask for one RPC of a method again, at the most.
func longestWait(m rpc.Method) float64 {
	if m.Deadline > 0 {
		return m.Deadline
	}
	return max(unknownWindow, m.Target)
}

func readMachine(m *rpc.Machine, domain *jsonobject.Object) {
	preemption, signal := string(rpc.NoPreemption), "none"
	domain.Text("preemption", &preemption)
	domain.Text("signal", &signal)
	m.Preemption, m.Signal, m.Downstream = rpc.Preemption(preemption), rpc.Signal(signal), "none"
	domain.Text("below", &m.Downstream)
	if m.Downstream != "none" {
		m.CallsDownstream = domain.Flags("callsByClass")
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
func readCalls(m *rpc.Machine, domain *jsonobject.Object) {
	m.CallsDownstream, m.SkipWorth = domain.Flags("callsByClass"), domain.Numbers("classSkipWorth")
	domain.Number("callsOut", &m.MaxDownstreamCalls)
	domain.Number("shareSpanS", &m.DownstreamCallWindow)
	domain.Number("lingerS", &m.Linger)
	domain.Flag("justStarted", &m.Cold)
}

// readSharing reads what matters only where RPCs tell their tenant and what they read about.
func readSharing(s *rpc.Settings, o *jsonobject.Object) {
	for account := range o.Objects("accounts") {
		var t rpc.Tenant
		account.Number("quotaRps", &t.Quota)
		s.Tenants = append(s.Tenants, t)
	}
	o.Number("overShareWorth", &s.OverShareWorth)
	o.Whole("replicasOfMe", &s.Replicas)
	o.Object("domain").Number("freshS", &s.Machine.ResultTTL)
}
