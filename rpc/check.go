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

// Check names the first setting that has no meaning here. What is left out, or at zero, has the mildest one.
func (c *Settings) Check() error {
	for k, m := range c.Methods {
		switch m.Kind {
		case Idempotent, Tokened, NonIdempotent:
		default:
			return settingError(fmt.Sprintf("profiles[%d].idempotency", k), "%q is not known", string(m.Kind))
		}
		if m.Target < 0 || m.Deadline < 0 || m.Window < 0 {
			return settingError(fmt.Sprintf("profiles[%d]", k), "onTimeS, deadlineS or windowS is negative")
		}
	}
	switch c.Machine.Preemption {
	case "", Unstoppable, Discards, Freezes:
	default:
		return settingError("domain.preemption", "%q is not known", string(c.Machine.Preemption))
	}
	switch c.Machine.Signal {
	case "", "none", Floor, Allowance, Weight:
	default:
		return settingError("domain.signal", "%q is not known", string(c.Machine.Signal))
	}
	switch c.Machine.Below {
	case "", "none", "one_for_all", "tier":
	default:
		return settingError("domain.below", "%q is not known", c.Machine.Below)
	}
	for _, g := range []struct {
		key string
		v   float64
	}{{"domain.memoryKb", c.Machine.MemoryKB}, {"domain.freshS", c.Machine.Fresh}, {"domain.entryKb", c.Machine.EntryKB},
		{"domain.callsOut", c.Machine.CallsOut}, {"domain.shareSpanS", c.Machine.CallsSpan}, {"domain.lingerS", c.Machine.Linger},
		{"rules.stopSendingWithinS", c.Rules.Grace}, {"overShareWorth", c.OverShareWorth}} {
		if g.v < 0 {
			return settingError(g.key, "%g is negative", g.v)
		}
	}
	return nil
}

// MayCall reports whether RPCs of a method, by its index, may call the layer below. A method of which nothing is told does not.
func (c *Settings) MayCall(method int) bool {
	return c.Machine.Below != "" && c.Machine.Below != "none" && method < len(c.Machine.Calls) && c.Machine.Calls[method]
}

// LongestAdvice is the longest time in seconds for which callers heed the advice to stay away, 0 where they are given none.
func (c *Settings) LongestAdvice() float64 {
	if !c.Ceilings.RetryAfter {
		return 0
	}
	return c.Ceilings.MaxRetryAfter
}
