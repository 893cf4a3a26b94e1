package rpc

import "fmt"

// Check names the first setting that has no meaning here. What is left out, or at zero, has the mildest one.
func (c *Settings) Check() error {
	for k, m := range c.Methods {
		switch m.Kind {
		case Idempotent, Tokened, NonIdempotent:
		default:
			return fmt.Errorf("profiles[%d].idempotency: %q is not known", k, string(m.Kind))
		}
		if m.Target < 0 || m.Deadline < 0 || m.Window < 0 {
			return fmt.Errorf("profiles[%d]: onTimeS, deadlineS or windowS is negative", k)
		}
	}
	switch c.Machine.Preemption {
	case "", Unstoppable, Discards, Freezes:
	default:
		return fmt.Errorf("domain.preemption: %q is not known", string(c.Machine.Preemption))
	}
	switch c.Machine.Signal {
	case "", "none", Floor, Allowance, Weight:
	default:
		return fmt.Errorf("domain.signal: %q is not known", string(c.Machine.Signal))
	}
	switch c.Machine.Below {
	case "", "none", "one_for_all", "tier":
	default:
		return fmt.Errorf("domain.below: %q is not known", c.Machine.Below)
	}
	for _, g := range []struct {
		key string
		v   float64
	}{{"domain.memoryKb", c.Machine.MemoryKB}, {"domain.freshS", c.Machine.Fresh}, {"domain.entryKb", c.Machine.EntryKB},
		{"domain.callsOut", c.Machine.CallsOut}, {"domain.shareSpanS", c.Machine.CallsSpan}, {"domain.lingerS", c.Machine.Linger},
		{"rules.stopSendingWithinS", c.Rules.Grace}, {"overShareWorth", c.OverShareWorth}} {
		if g.v < 0 {
			return fmt.Errorf("%s: %g is negative", g.key, g.v)
		}
	}
	return nil
}
