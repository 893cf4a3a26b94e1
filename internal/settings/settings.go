// Package settings reads a deployment's settings from a JSON object whose keys are named as in the simulator's
// protocol.
package settings

import (
	"valveglade/internal/jsonobject"
	"valveglade/rpc"
)

// defaultTokenWindow is the time in seconds for which tokens are remembered where the settings give neither a window
// nor a deadline. It is longer than clients keep retrying.
const defaultTokenWindow = 3600

// Parse reads all settings, in the form of the simulator's protocol.
func Parse(text []byte) (rpc.Settings, error) {
	o, err := jsonobject.Parse(text)
	if err != nil {
		return rpc.Settings{}, err
	}
	s, _ := readCommon(o)
	readDownstreamCalls(&s.Machine, o.Object("domain"))
	readTenantsAndReads(&s, o)
	return s, o.Err()
}

// Read reads the settings that apply to an app server on sockets, and the names of its methods. Invalid settings are
// reported by the object's Err. A setting that is absent or null gets the most lenient default that keeps the rules,
// either here or in the module.
//
// Routers on sockets send neither the tenant of an RPC nor the subject of a read. Invalid settings of tenants and reads
// are therefore no error; if there is one among them, all of them are ignored.
func Read(o *jsonobject.Object) (s rpc.Settings, names []string) {
	s, names = readCommon(o)
	shared, lenient := s, o.Detached()
	readTenantsAndReads(&shared, lenient)
	if lenient.Err() == nil {
		s = shared
	}
	return s, names
}

// readCommon reads the settings that apply both in the simulator and on sockets, and the names of the methods.
func readCommon(o *jsonobject.Object) (s rpc.Settings, names []string) {
	s.Methods, names = readMethods(o)
	readMachine(&s.Machine, o.Object("domain"))
	rules := o.Object("rules")
	rules.Number("overloadFactor", &s.Rules.OverloadFactor)
	rules.Number("stopSendingWithinS", &s.Rules.DrainGrace)
	rules.Number("startCapacity", &s.Rules.StartCapacity)
	rules.Number("rampTimeS", &s.Rules.RampTime)
	rules.Number("fallS", &s.Rules.OverloadWindow)
	o.ObjectOrEmpty("clients").Flag("marksRetry", &s.Clients.MarksRetry)
	ceilings := o.Object("ceilings")
	ceilings.Flag("retryAfter", &s.Ceilings.RetryAfter)
	ceilings.Number("maxRetryAfterS", &s.Ceilings.MaxRetryAfter)
	return s, names
}

// readMethods reads the methods and their names from the profiles, in the same order.
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
			m.Window = maxRetryTime(m)
		}
		methods = append(methods, m)
		names = append(names, name)
	}
	return methods, names
}

// maxRetryTime returns the longest time in seconds for which clients retry an RPC of a method.
func maxRetryTime(m rpc.Method) float64 {
	if m.Deadline > 0 {
		return m.Deadline
	}
	return max(defaultTokenWindow, m.Target)
}

// readMachine reads the settings of the machine that apply both in the simulator and on sockets.
func readMachine(m *rpc.Machine, domain *jsonobject.Object) {
	preemption, signal := string(rpc.NoPreemption), "none"
	domain.Text("preemption", &preemption)
	domain.Text("signal", &signal)
	m.Preemption, m.Signal, m.Downstream = rpc.Preemption(preemption), rpc.Signal(signal), "none"
	domain.Text("below", &m.Downstream)
	if m.Downstream != "none" {
		m.CallsDownstream = domain.Flags("callsByClass")
	}
	domain.Integer("callers", &m.Callers)
	domain.Integer("nCores", &m.Cores)
	m.Gauges = domain.Texts("ownStats")
	domain.Number("keepaliveMaxS", &m.KeepAlive)
	domain.Number("entryKb", &m.EntryKB)
	domain.Number("memoryKb", &m.MemoryKB)
	domain.Number("runFactor", &m.RunFactor)
}

// readDownstreamCalls reads the settings that matter only where calls to the layer below are made, or where the
// settings include the state in which the machine starts.
func readDownstreamCalls(m *rpc.Machine, domain *jsonobject.Object) {
	m.CallsDownstream, m.SkipWorth = domain.Flags("callsByClass"), domain.Numbers("classSkipWorth")
	domain.Number("callsOut", &m.MaxDownstreamCalls)
	domain.Number("shareSpanS", &m.DownstreamCallWindow)
	domain.Number("lingerS", &m.Linger)
	domain.Flag("justStarted", &m.Cold)
}

// readTenantsAndReads reads the settings that matter only where RPCs carry their tenant and the subject of a read.
func readTenantsAndReads(s *rpc.Settings, o *jsonobject.Object) {
	for account := range o.Objects("accounts") {
		var t rpc.Tenant
		account.Number("quotaRps", &t.Quota)
		s.Tenants = append(s.Tenants, t)
	}
	o.Number("overShareWorth", &s.OverShareWorth)
	o.Integer("replicasOfMe", &s.Replicas)
	o.Object("domain").Number("freshS", &s.Machine.ResultTTL)
}
