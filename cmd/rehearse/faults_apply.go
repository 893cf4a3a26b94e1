package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"time"

	"valveglade/rig"
	"valveglade/rig/drawn"
)

// applyFault applies a fault to the app server. It returns once the fault has been undone after its duration.
func (s *trialServer) applyFault(f drawn.Fault) {
	s.mu.Lock()
	s.hadFault = true
	s.mu.Unlock()
	duration := secondsToDuration(f.For)
	forDuration := func(do, undo func()) {
		do()
		time.Sleep(duration)
		undo()
	}
	kernel := s.program.Kernel
	switch f.Kind {
	case drawn.Kill:
		s.kill(duration)
	case drawn.Pause:
		s.pause(duration)
	case drawn.Terminate:
		s.terminate(f.Size)
	case drawn.Reload:
		s.reload(s.config(s.program))
	case drawn.ReloadMoved:
		if err := kernel.Move(); err != nil {
			s.checker.RigFailed("%v", err)
		}
		s.reload(s.config(s.program))
	case drawn.ReloadFaulty:
		s.reload(s.faultyConfig(f.Size))
	case drawn.RosterSilent:
		s.stopRoster(duration)
	case drawn.KernelLate: // applied from the start by delayKernel
	case drawn.KernelDown:
		forDuration(kernel.TakeDown, func() {
			if err := kernel.BringUp(); err != nil {
				s.checker.RigFailed("%v", err)
			}
		})
	case drawn.KernelHung:
		forDuration(func() { kernel.SetHung(true) }, func() { kernel.SetHung(false) })
	case drawn.KernelSlow:
		forDuration(func() { kernel.SetSlowdown(float64(f.Size)) }, func() { kernel.SetSlowdown(1) })
	case drawn.LinkCut:
		kernel.BreakLinkInNotice()
	case drawn.LinkReset:
		kernel.ResetLink()
	case drawn.LinkCutLosingCommands:
		kernel.BreakLinkLosingCommands(lossyInterval)
	case drawn.LinkDelayed:
		forDuration(s.linkFaultSetter(func(l *rig.LinkFaults) { l.Delay = time.Duration(f.Size) * time.Millisecond }),
			s.linkFaultSetter(func(l *rig.LinkFaults) { l.Delay = 0 }))
	case drawn.LinkFragmented:
		forDuration(s.linkFaultSetter(func(l *rig.LinkFaults) { l.FragmentLines = true }),
			s.linkFaultSetter(func(l *rig.LinkFaults) { l.FragmentLines = false }))
	case drawn.LinkDuplicated:
		forDuration(s.linkFaultSetter(func(l *rig.LinkFaults) { l.DuplicateShare, l.RemarkShare = 0.5, 0.2 }),
			s.linkFaultSetter(func(l *rig.LinkFaults) { l.DuplicateShare, l.RemarkShare = 0, 0 }))
	case drawn.RouterNotReading:
		forDuration(func() { s.setRouterReadsPaused(true) }, func() { s.setRouterReadsPaused(false) })
	case drawn.RouterReset:
		for _, p := range s.peers {
			p.ResetConnections()
		}
	case drawn.RouterClose:
		for _, p := range s.peers {
			p.CloseConnections()
		}
	case drawn.Burst:
		s.burst(f.Size)
	case drawn.MisbehavingRouter:
		router := rig.NewMisbehavingRouter(s.proxy.Address(), s.testCase.Settings.Methods[0].Name, s.catalog, s.testCase.Seed)
		time.Sleep(duration)
		router.Close()
	case drawn.SilentClients:
		clients := rig.NewIdleClients(s.program.Address,
			min(int(s.decoded.Limits.Sockets)*f.Size/100, maxIdleConnections), 50*time.Millisecond, s.testCase.Seed)
		time.Sleep(duration)
		clients.Close()
	case drawn.BadClients:
		s.badClients(f, duration)
	case drawn.LogFull:
		s.fillLog(duration)
	}
}

// maxIdleConnections limits the idle connections to one app server, since this process holds their client ends.
const maxIdleConnections = 600

// lossyInterval is how long before a link failure commands may be lost, according to the protocol.
const lossyInterval = 50 * time.Millisecond

// linkFaultSetter returns a function that changes the faults of the link to the kernel.
func (s *trialServer) linkFaultSetter(change func(*rig.LinkFaults)) func() {
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		change(&s.linkFaults)
		s.program.Kernel.SetLinkFaults(s.linkFaults)
	}
}

// delayKernel withholds the kernel's notices from the start of the trial, for the fault's duration.
func (s *trialServer) delayKernel(f drawn.Fault) {
	s.program.Kernel.WithholdNotices()
	time.AfterFunc(secondsToDuration(f.For), s.program.Kernel.ReleaseNotices)
}

// kill kills the process and starts it again under the same name after delay.
func (s *trialServer) kill(delay time.Duration) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if !s.program.Running() {
		return
	}
	s.killCount.Add(1)
	s.program.Kill()
	s.recordExit()
	time.Sleep(delay)
	s.restart()
}

// terminate shuts the process down and starts it again under the same name after its exit. secondSignalNumber selects a
// second signal during the drain: 1 for SIGHUP, 2 for SIGTERM, else none.
func (s *trialServer) terminate(secondSignalNumber int) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if !s.program.Running() {
		return
	}
	s.awaitSignalHandlers()
	s.killCount.Add(1)
	if secondSignal, ok := map[int]syscall.Signal{1: syscall.SIGHUP, 2: syscall.SIGTERM}[secondSignalNumber]; ok {
		time.AfterFunc(secondSignalDelay, func() { s.program.Signal(secondSignal) })
	}
	s.shutDown()
	s.program.Kernel.Restart()
	s.restart()
}

// secondSignalDelay is the delay of the second signal after the first, shorter than any drain.
const secondSignalDelay = 100 * time.Millisecond

// faultyConfig returns an invalid configuration file: truncated, malformed or with an invalid value, depending on number.
func (s *trialServer) faultyConfig(number int) string {
	valid := s.config(s.program)
	switch number {
	case 0:
		return valid[:len(valid)/2]
	case 1:
		return strings.Replace(valid, `"settings":{`, `"settings":"none","of_before":{`, 1)
	case 2:
		return strings.Replace(valid, `"name":"`+s.program.Name+`",`, "", 1) + "]"
	}
	return strings.Replace(valid, `"kernel":"`, `"kernel":"nowhere`, 1)
}

// awaitSignalHandlers waits until a process that has just been started can handle signals. A signal that arrives before its
// runtime is initialized would end it.
func (s *trialServer) awaitSignalHandlers() {
	s.mu.Lock()
	launchedAt := s.launchedAt
	s.mu.Unlock()
	for s.probe.LastReplyAt().IsZero() && s.program.Log() == "" && time.Since(launchedAt) < signalReadyTimeout {
		time.Sleep(time.Millisecond)
	}
}

// signalReadyTimeout is the time after which the runtime of a process counts as initialized, even on a busy machine.
const signalReadyTimeout = 500 * time.Millisecond

// restart starts the process again, and counts the restart and whether the process is ready within readyTimeout.
func (s *trialServer) restart() {
	s.launchLocked()
	startedAt := time.Now()
	healthyAt := awaitTime(readyTimeout, s.probe.HealthyAt)
	s.trial.mu.Lock()
	defer s.trial.mu.Unlock()
	s.result.restarts++
	if !healthyAt.IsZero() && healthyAt.Sub(startedAt) <= readyTimeout {
		s.result.ready++
	}
}

// pause suspends the process for the given duration, as an overloaded machine might.
func (s *trialServer) pause(duration time.Duration) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if !s.program.Running() {
		return
	}
	setPaused := func(paused bool) {
		s.mu.Lock()
		s.paused, s.excusedUntil = paused, time.Now()
		s.mu.Unlock()
		s.checker.SetPaused(s.program.Name, paused)
		s.program.SetPaused(paused)
	}
	setPaused(true)
	time.Sleep(duration)
	setPaused(false)
}

// reload replaces the configuration file and signals the process to reload it.
func (s *trialServer) reload(text string) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if !s.program.Running() {
		return
	}
	s.awaitSignalHandlers()
	if err := s.program.WriteConfigText(text); err != nil {
		s.checker.RigFailed("%v", err)
		return
	}
	s.program.Signal(syscall.SIGHUP)
}

// stopRoster stops the roster for the given duration, unless it is stopped already.
func (s *trialServer) stopRoster(duration time.Duration) {
	if !s.rosterDown.CompareAndSwap(false, true) {
		return
	}
	defer s.rosterDown.Store(false)
	s.roster.Stop()
	time.Sleep(duration)
	if err := s.roster.Restart(); err != nil {
		s.checker.RigFailed("%v", err)
	}
}

// setRouterReadsPaused sets whether the app server's routers stop reading.
func (s *trialServer) setRouterReadsPaused(paused bool) {
	for _, p := range s.peers {
		p.SetReadPaused(paused)
	}
}

// badClients runs clients that send malformed messages for the given duration.
func (s *trialServer) badClients(f drawn.Fault, duration time.Duration) {
	clients := rig.NewBadClients(s.program.Name, s.program.Address, s.testCase.Settings.Methods[0].Name, f.Size, s.checker,
		s.testCase.Seed)
	time.Sleep(duration)
	answered, ignored := clients.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.badClientMessagesAnswered += answered
	s.badClientMessagesIgnored = append(s.badClientMessagesIgnored, ignored...)
}

// burst sends size RPCs at once and waits for their outcomes.
func (s *trialServer) burst(size int) {
	random := rand.New(rand.NewPCG(s.testCase.Seed, uint64(size)))
	methods := s.methods()
	ctx, stop := context.WithTimeout(context.Background(), burstTimeout)
	defer stop()
	var calls sync.WaitGroup
	for k := range size {
		if s.probe.HealthyAt().IsZero() || s.isPaused() {
			break
		}
		call := s.newCall(s.peers[k%len(s.peers)], randomElement(random, methods), random,
			fmt.Sprintf("%s-burst-%d", s.program.Name, k))
		calls.Go(func() { call.execute(ctx) })
	}
	calls.Wait()
}

// burstTimeout limits the wait for the outcomes of a burst.
const burstTimeout = 2 * time.Second

// fillLog fills the pipe of the process's log and resumes reading after the given duration, or never if it is 0.
func (s *trialServer) fillLog(duration time.Duration) {
	if !s.program.Running() {
		return
	}
	if err := s.program.FillLog(); err != nil {
		s.checker.RigFailed("cannot fill the pipe of the process's log: %v", err)
	}
	if duration > 0 {
		time.Sleep(duration)
		s.program.ReadLog()
	}
}
