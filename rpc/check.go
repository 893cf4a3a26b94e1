package rpc

import "fmt"

// SettingError reports an invalid setting by its path.
type SettingError struct {
	Path, Reason string
}

func (e *SettingError) Error() string { return e.Path + ": " + e.Reason }

func settingError(path, format string, args ...any) error {
	return &SettingError{path, fmt.Sprintf(format, args...)}
}

// setting is a number that must not be negative.
type setting struct {
	path  string
	value float64
}

func checkNonNegative(settings []setting) error {
	for _, s := range settings {
		if !(s.value >= 0) {
			return settingError(s.path, "%g is negative", s.value)
		}
	}
	return nil
}

// Check returns an error for the first invalid setting. A setting that is missing or zero is valid and has its least
// restrictive meaning.
func (c *Settings) Check() error {
	for k, m := range c.Methods {
		path := fmt.Sprintf("profiles[%d].", k)
		switch m.Kind {
		case Idempotent, Tokened, NonIdempotent:
		case "":
			return settingError(path+"idempotency", "missing")
		default:
			return settingError(path+"idempotency", "%q is not known", string(m.Kind))
		}
		if err := checkNonNegative([]setting{{path + "onTimeS", m.Target}, {path + "deadlineS", m.Deadline},
			{path + "windowS", m.Window}, {path + "worth", m.Criticality}, {path + "lateWorth", m.LateShare}}); err != nil {
			return err
		}
	}
	if err := c.Machine.checkNames(); err != nil {
		return err
	}
	return checkNonNegative([]setting{{"domain.callers", float64(c.Machine.Callers)},
		{"domain.nCores", float64(c.Machine.Cores)}, {"domain.memoryKb", c.Machine.MemoryKB},
		{"domain.runFactor", c.Machine.RunFactor}, {"domain.entryKb", c.Machine.EntryKB},
		{"domain.keepaliveMaxS", c.Machine.KeepAlive}, {"domain.freshS", c.Machine.ResultTTL},
		{"domain.callsOut", c.Machine.MaxDownstreamCalls}, {"domain.shareSpanS", c.Machine.DownstreamCallWindow},
		{"domain.lingerS", c.Machine.Linger}, {"rules.overloadFactor", c.Rules.OverloadFactor},
		{"rules.stopSendingWithinS", c.Rules.DrainGrace}, {"rules.startCapacity", c.Rules.StartCapacity},
		{"rules.rampTimeS", c.Rules.RampTime}, {"rules.fallS", c.Rules.OverloadWindow},
		{"ceilings.maxRetryAfterS", c.Ceilings.MaxRetryAfter}, {"overShareWorth", c.OverShareWorth}})
}

// checkNames returns an error for the first setting whose value is not one of the defined names.
func (m *Machine) checkNames() error {
	switch m.Preemption {
	case "", NoPreemption, DiscardOnStop, FreezeOnStop:
	default:
		return settingError("domain.preemption", "%q is not known", string(m.Preemption))
	}
	switch m.Signal {
	case "", "none", Floor, Allowance, Weight:
	default:
		return settingError("domain.signal", "%q is not known", string(m.Signal))
	}
	switch m.Downstream {
	case "", "none", "one_for_all", "tier":
	default:
		return settingError("domain.below", "%q is not known", m.Downstream)
	}
	return nil
}

// MayCallDownstream reports whether RPCs of a method, by its index, may call the downstream service. A method without
// a setting may not.
func (c *Settings) MayCallDownstream(method int) bool {
	return c.Machine.Downstream != "" && c.Machine.Downstream != "none" && method < len(c.Machine.CallsDownstream) &&
		c.Machine.CallsDownstream[method]
}

// MaxRetryAfter returns the longest retry-after delay in seconds that callers honour, or 0 if they honour none.
func (c *Settings) MaxRetryAfter() float64 {
	if !c.Ceilings.RetryAfter {
		return 0
	}
	return c.Ceilings.MaxRetryAfter
}
