package rig

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// RunScript does what a script says, at its times, counted from now; it returns once all is done.
func (s *Cluster) RunScript(ctx context.Context, script Script) error {
	begin := time.Now()
	for _, f := range script {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(time.Until(begin.Add(f.At))):
		}
		if err := s.Inject(f); err != nil {
			return fmt.Errorf("%s: %w", f, err)
		}
	}
	return nil
}

// RunScriptText plays a script that is written out.
func (s *Cluster) RunScriptText(text string) error {
	script, err := ParseScript(text)
	if err != nil {
		return err
	}
	return s.RunScript(context.Background(), script)
}

// Inject does one thing now.
func (s *Cluster) Inject(f Fault) error {
	s.History.AddEvent("", "fault", strings.TrimPrefix(f.String(), f.At.String()+" "))
	if f.Groups != nil {
		return s.changePaths(f)
	}
	if f.Verb == "heal" {
		s.Network.Heal()
		return nil
	}
	n := s.Node(f.Processes[0])
	if n == nil {
		return fmt.Errorf("no process is called %q", f.Processes[0])
	}
	p := n.process()
	switch f.Verb {
	case "kill":
		s.kill(n)
	case "start":
		return s.start(n)
	case "restart":
		s.kill(n)
		return s.start(n)
	case "stop":
		s.Checker.SetPaused(n.Name, true)
		p.Pause(true)
	case "cont":
		p.Pause(false)
		s.Checker.SetPaused(n.Name, false)
	case "starve":
		period := 100 * time.Millisecond
		n.stopThrottle = p.Throttle(time.Duration(f.Share*float64(period)), period)
		s.Checker.SetPaused(n.Name, true)
	case "feed":
		if n.stopThrottle != nil {
			n.stopThrottle()
			n.stopThrottle = nil
		}
		s.Checker.SetPaused(n.Name, false)
	case "hang", "unhang":
		if n.bareProcess == nil {
			n.Kernel.Hang(f.Verb == "hang")
		}
	case "notice":
		if n.bareProcess == nil {
			n.Notice()
		}
	case "replace":
		s.kill(n)
		fresh, err := s.addNode(f.Processes[1], f.Processes[1], n.slot)
		if err != nil {
			return err
		}
		return s.start(fresh)
	case "twin":
		twin, err := s.addNode(n.Name+"-twin", n.Name, s.nextSlot())
		if err != nil {
			return err
		}
		return s.start(twin)
	}
	return nil
}

// changePaths puts a fault on paths.
func (s *Cluster) changePaths(f Fault) error {
	var groups [][]int
	for _, names := range f.Groups {
		var slots []int
		if len(names) == 1 && names[0] == "*" {
			names = s.Names()
		}
		for _, name := range names {
			n := s.Node(name)
			if n == nil {
				return fmt.Errorf("no process is called %q", name)
			}
			slots = append(slots, n.slot)
		}
		groups = append(groups, slots)
	}
	on := func(from, to []int) {
		for _, a := range from {
			for _, b := range to {
				if a != b {
					s.Network.Change(a, b, f.applyTo)
				}
			}
		}
	}
	if f.Verb != "split" {
		on(groups[0], groups[1])
		return nil
	}
	for j := range groups {
		for k := range groups {
			if j != k {
				on(groups[j], groups[k])
			}
		}
	}
	return nil
}

// applyTo is what a fault does to one path.
func (f Fault) applyTo(p *Path) {
	switch f.Verb {
	case "split", "cut":
		p.Cut = true
	case "loss":
		p.Loss = f.Share
	case "double":
		p.Double = f.Share
	case "delay":
		p.Delay, p.Jitter = f.Delay, f.Jitter
	case "mute":
		p.Mute = f.Delay
	case "rate":
		p.Rate = f.Rate
	}
}
