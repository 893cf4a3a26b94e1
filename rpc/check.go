package rpc

import "fmt"

// SettingError names a setting that has no meaning here, by its path.
type SettingError struct {
	Path, Reason string
}

func (e *SettingError) Error() string { return e.Path + ": " + e.Reason }

func settingError(path, why string, args ...any) error {
	return &SettingError{path, fmt.Sprintf(why, args...)}
}

// figure is a number that has no meaning below 0.
type figure struct {
	path  string
	value float64
}

func checkFigures(figures []figure) error {
	for _, f := range figures {
		if !(f.value >= 0) {
			return settingError(f.path, "%g is negative", f.value)
		}
	}
	return nil
}

// Check names the first setting that has no meaning here. What is left out, or at zero, has the mildest one.
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
		if err := checkFigures([]figure{{path + "onTimeS", m.Target}, {path + "deadlineS", m.Deadline},
			{path + "windowS", m.Window}, {path + "worth", m.Criticality}, {path + "lateWorth", m.LateShare}}); err != nil {
			return err
		}
	}
	if err := c.Machine.checkWords(); err != nil {
		return err
	}
	return checkFigures([]figure{{"domain.callers", float64(c.Machine.Callers)}, {"domain.nCores", float64(c.Machine.Cores)},
		{"domain.memoryKb", c.Machine.MemoryKB}, {"domain.runFactor", c.Machine.RunFactor}, {"domain.entryKb", c.Machine.EntryKB},
		{"domain.keepaliveMaxS", c.Machine.KeepAlive}, {"domain.freshS", c.Machine.ResultTTL}, {"domain.callsOut", c.Machine.MaxDownstreamCalls},
		{"domain.shareSpanS", c.Machine.DownstreamCallWindow}, {"domain.lingerS", c.Machine.Linger}, {"rules.overloadFactor", c.Rules.OverloadFactor},
		{"rules.stopSendingWithinS", c.Rules.DrainGrace}, {"rules.startCapacity", c.Rules.StartCapacity}, {"rules.rampTimeS", c.Rules.RampTime},
		{"rules.fallS", c.Rules.OverloadWindow}, {"ceilings.maxRetryAfterS", c.Ceilings.MaxRetryAfter}, {"overShareWorth", c.OverShareWorth}})
}

// checkWords names the first setting whose word is not known.
func (m *Machine) checkWords() error {
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

// MayCallDownstream reports whether RPCs of a method, by its index, may call the layer below. A method of which nothing is told does not.
func (c *Settings) MayCallDownstream(method int) bool {
	return c.Machine.Downstream != "" && c.Machine.Downstream != "none" && method < len(c.Machine.CallsDownstream) && c.Machine.CallsDownstream[method]
}

// MaxRetryAfter is the longest time in seconds for which callers heed the advice to stay away, 0 where they are given none.
func (c *Settings) MaxRetryAfter() float64 {
	if !c.Ceilings.RetryAfter {
		return 0
	}
	return c.Ceilings.MaxRetryAfter
}
