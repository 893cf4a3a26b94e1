package rig

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// RunScript injects the faults of a script at their times, counted from now. It returns after the last one, at the first that
// cannot be injected or once the context is done.
func (c *Cluster) RunScript(ctx context.Context, script Script) error {
	begin := time.Now()
	for _, fault := range script {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(begin.Add(fault.At))):
		}
		if err := c.Inject(fault); err != nil {
			return fmt.Errorf("%s: %w", fault, err)
		}
	}
	return nil
}

// RunScriptText parses a script and runs it to its end.
func (c *Cluster) RunScriptText(text string) error {
	script, err := ParseScript(text)
	if err != nil {
		return err
	}
	return c.RunScript(context.Background(), script)
}

// Inject injects one fault now, ignoring its time in the script.
func (c *Cluster) Inject(fault Fault) error {
	c.History.AddEvent("", "fault", strings.TrimPrefix(fault.String(), fault.At.String()+" "))
	if fault.Groups != nil {
		return c.changePaths(fault)
	}
	if fault.Verb == "heal" {
		c.Network.Heal()
		return nil
	}
	node := c.Node(fault.Processes[0])
	if node == nil {
		return fmt.Errorf("no process is named %q", fault.Processes[0])
	}
	process := node.process()
	switch fault.Verb {
	case "kill":
		c.kill(node)
	case "start":
		return c.start(node)
	case "restart":
		c.kill(node)
		return c.start(node)
	case "stop":
		c.Checker.SetPaused(node.Name, true)
		process.SetPaused(true)
	case "cont":
		process.SetPaused(false)
		c.Checker.SetPaused(node.Name, false)
	case "starve":
		period := 100 * time.Millisecond
		node.stopThrottle = process.Throttle(time.Duration(fault.Share*float64(period)), period)
		c.Checker.SetPaused(node.Name, true)
	case "feed":
		if node.stopThrottle != nil {
			node.stopThrottle()
			node.stopThrottle = nil
		}
		c.Checker.SetPaused(node.Name, false)
	case "hang", "unhang":
		if node.bareProcess == nil {
			node.Kernel.SetHung(fault.Verb == "hang")
		}
	case "notice":
		if node.bareProcess == nil {
			node.RequestShutdown()
		}
	case "replace":
		c.kill(node)
		replacement, err := c.addNode(fault.Processes[1], fault.Processes[1], node.slot)
		if err != nil {
			return err
		}
		return c.start(replacement)
	case "twin":
		twin, err := c.addNode(node.Name+"-twin", node.Name, c.nextSlot())
		if err != nil {
			return err
		}
		return c.start(twin)
	}
	return nil
}

// changePaths applies a fault to all paths from its first group to its second or, for a split, between any two of its groups.
func (c *Cluster) changePaths(fault Fault) error {
	var groups [][]int
	for _, names := range fault.Groups {
		var slots []int
		if len(names) == 1 && names[0] == "*" {
			names = c.Names()
		}
		for _, name := range names {
			node := c.Node(name)
			if node == nil {
				return fmt.Errorf("no process is named %q", name)
			}
			slots = append(slots, node.slot)
		}
		groups = append(groups, slots)
	}
	applyBetween := func(from, to []int) {
		for _, a := range from {
			for _, b := range to {
				if a != b {
					c.Network.Change(a, b, fault.applyTo)
				}
			}
		}
	}
	if fault.Verb != "split" {
		applyBetween(groups[0], groups[1])
		return nil
	}
	for j := range groups {
		for k := range groups {
			if j != k {
				applyBetween(groups[j], groups[k])
			}
		}
	}
	return nil
}

// applyTo sets the fault on one path.
func (f Fault) applyTo(path *Path) {
	switch f.Verb {
	case "split", "cut":
		path.Cut = true
	case "loss":
		path.Loss = f.Share
	case "double":
		path.Duplication = f.Share
	case "delay":
		path.Delay, path.Jitter = f.Delay, f.Jitter
	case "mute":
		path.PacketDelay = f.Delay
	case "rate":
		path.Rate = f.Rate
	}
}
