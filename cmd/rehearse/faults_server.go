package main

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"valveglade/rig"
	"valveglade/rig/drawn"
)

// trialServer is one app server of a trial, with its stand-ins and the state of its process.
type trialServer struct {
	*trial
	number    int
	program   *rig.Program
	proxy     *rig.FaultProxy // between the routers and the app server
	probe     *rig.HealthProbe
	peers     []*rig.Peer
	outcomes  outcomeCounts
	killCount atomic.Int64 // incremented before and after the end of each process; tokens are lost with the process

	lifecycle                 sync.Mutex // held while the process is started or ended
	mu                        sync.Mutex
	launchedAt                time.Time // zero while no process runs
	excusedUntil              time.Time // time up to which missing replies are excused, because of a pause
	paused                    bool
	shuttingDown              bool
	limitReported             bool   // a violation of its limits has been reported; others are not
	ready                     bool   // a health check has succeeded
	exitLog                   string // log of the last process that has ended
	linkFaults                rig.LinkFaults
	hadFault                  bool     // a fault was applied to it
	badClientMessagesAnswered int      // number of messages of bad clients that got a reply
	badClientMessagesIgnored  []string // kinds of messages of bad clients that got no reply
}

// newServer creates an app server and its stand-ins, and does not start its process.
func (t *trial) newServer(number int) (*trialServer, error) {
	s := &trialServer{trial: t, number: number}
	name := serverName(number)
	program, err := rig.NewProgram(rig.ProgramPlan{Name: name, Binary: t.run.Program, Args: t.run.programArgs,
		Site: t.siteSettings(), Kernel: t.kernelConfig(number), Directory: t.directory,
		Roster: t.roster.Address(), Checker: t.checker, Config: s.config})
	if err != nil {
		return nil, err
	}
	s.program = program
	s.probe = rig.NewHealthProbe(program.Address)
	if s.proxy, err = rig.NewFaultProxy(name, program.Address, t.checker); err != nil {
		return nil, err
	}
	if t.testCase.Load.FragmentBytes > 0 {
		s.proxy.FragmentWrites(t.testCase.Seed)
	}
	for k := range t.testCase.Load.Routers {
		options := t.peerOptions()
		if k > 0 {
			options.WriteSize = 0
		}
		s.peers = append(s.peers, rig.NewPeer(s.proxy.Address(), 10*number+k, options, t.catalog, t.testCase.Seed+uint64(number)<<32))
	}
	return s, nil
}

// serverName returns the name of the app server of a number, counted from 0.
func serverName(number int) string { return fmt.Sprintf("n%d", number+1) }

// siteSettings returns the part of the settings that the rig itself uses.
func (t *trial) siteSettings() rig.Site {
	return rig.Site{MemoryMB: int(t.decoded.Limits.MemoryMB), Sockets: int(t.decoded.Limits.Sockets),
		StopTimeout: secondsToDuration(t.decoded.StopMS / 1000),
		GracePeriod: secondsToDuration(t.decoded.Settings.Rules.StopSendingWithinS), OneCore: true}
}

// peerOptions returns the options of the stand-in routers under the settings.
func (t *trial) peerOptions() rig.PeerOptions {
	return rig.PeerOptions{PassesDeadline: t.decoded.PassesDeadline(), HangupSeen: t.decoded.HangupSeen(),
		MarksRetry: t.decoded.Settings.Clients.MarksRetry, Tenants: len(t.decoded.Settings.Accounts),
		WriteSize: t.testCase.Load.FragmentBytes}
}

// config returns the program's configuration file with the current address of its kernel.
func (s *trialServer) config(p *rig.Program) string { return s.configFor(p.Kernel.Address()) }

// configFor returns the configuration file with the given kernel address.
func (s *trialServer) configFor(kernel string) string {
	return s.testCase.Settings.Config(drawn.Addresses{Name: s.program.Name, Listen: s.program.Address, Kernel: kernel,
		Roster: s.program.Roster()})
}

// launch starts the process.
func (s *trialServer) launch() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.launchLocked()
}

// launchLocked starts the process, restarts the health probe and resets the per-launch state. If the start fails, it reports a
// failure of the rig to the checker and returns. The caller holds s.lifecycle, but not s.mu, which launchLocked locks.
func (s *trialServer) launchLocked() {
	if err := s.program.Launch(); err != nil {
		s.checker.RigFailed("%s cannot be started: %v", s.program.Name, err)
		return
	}
	s.probe.Restart()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.launchedAt, s.paused, s.shuttingDown, s.excusedUntil, s.ready = time.Now(), false, false, time.Time{}, false
}

// recordExit records that the process has ended, and keeps its log.
func (s *trialServer) recordExit() {
	s.killCount.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.launchedAt = time.Time{}
	s.exitLog = s.program.Log()
}

// watch checks the process and records its waits for a core, until ctx ends.
func (s *trialServer) watch(ctx context.Context) {
	var coreWaits []time.Duration // samples of the last second; each is the process's total wait
	for ctx.Err() == nil {
		s.checkProcess()
		time.Sleep(watchInterval)
		if coreWaits = append(coreWaits, s.program.RunnableWait()); len(coreWaits) > int(time.Second/watchInterval) {
			coreWaits = coreWaits[1:]
		}
		s.recordCoreWait(coreWaits[len(coreWaits)-1] - coreWaits[0]) // negative across a restart
	}
}

// watchInterval is the interval between two checks of a process.
const watchInterval = 50 * time.Millisecond

// checkProcess checks that a running process replies to health checks and keeps its limits of memory and descriptors.
func (s *trialServer) checkProcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.launchedAt.IsZero() || s.paused || s.shuttingDown || !s.program.Running() {
		return
	}
	if healthyAt := s.probe.HealthyAt(); !s.ready && !healthyAt.IsZero() {
		s.ready = true
	}
	silentSince := laterOf(laterOf(s.launchedAt, s.excusedUntil), s.probe.LastReplyAt())
	if silence := time.Since(silentSince); silence > maxHealthCheckGap {
		s.violate("rule 4: %s answered no health check for %.1f s", s.program.Name, silence.Seconds())
		s.excusedUntil = time.Now().Add(time.Hour) // report it only once
	}
	if memory, limit := s.program.ResidentBytes(), int64(s.decoded.Limits.MemoryMB)<<20; memory > limit && !s.limitReported {
		s.limitReported = true
		s.violate("rule 4: %s uses %d MB of memory, more than its limit of %d MB", s.program.Name, memory>>20, limit>>20)
	}
	if descriptors := s.program.Descriptors(); descriptors > int(s.decoded.Limits.Sockets) && !s.limitReported {
		s.limitReported = true
		s.violate("rule 4: %s holds %d descriptors, more than its limit of %d", s.program.Name, descriptors,
			int(s.decoded.Limits.Sockets))
	}
}

// checkAtRest measures the processor time that the app server uses without work, and reports a violation if it is too much.
func (s *trialServer) checkAtRest() {
	if !s.program.Running() {
		return
	}
	var err error
	for range 3 { // work that is still in progress may fail an attempt
		if err = s.program.CheckIdle(restDuration, maxRestCPUShare); err == nil {
			return
		}
	}
	s.violate("rule 4: %s: %v", s.program.Name, err)
}

// stop shuts the process down, if it runs, and waits until it has ended.
func (s *trialServer) stop() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if !s.program.Running() {
		s.recordExit()
		return
	}
	s.shutDown()
}

// shutDown shuts the process down and waits until it has ended. If its stop time is longer than a trial waits, the process is
// killed during the shutdown.
func (s *trialServer) shutDown() {
	s.mu.Lock()
	s.shuttingDown = true
	s.mu.Unlock()
	if s.decoded.StopMS > maxStopWait.Seconds()*1000 {
		s.program.RequestShutdown()
		time.Sleep(maxStopWait / 4)
		s.program.Kill()
	} else if err := s.program.Stop(); err != nil {
		s.violate("rule 3: %v", err)
	}
	s.recordExit()
}

// maxStopWait is the longest stop time that a trial waits for.
const maxStopWait = 8 * time.Second

// checkLogAndLoad checks the log for crashes, and the outcomes of the load. It also writes the log to the run's directory for
// logs, if any.
func (s *trialServer) checkLogAndLoad() {
	if s.run.Logs != "" {
		name := filepath.Join(s.run.Logs, fmt.Sprintf("%d-%s.log", s.testCase.Seed, s.program.Name))
		if err := os.WriteFile(name, []byte(s.exitLog), 0o644); err != nil {
			s.run.printNote("%v", err)
		}
	}
	for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if at := strings.Index(s.exitLog, marker); at >= 0 {
			s.violate("rule 4: %s logs %q: %.600s", s.program.Name, marker, s.exitLog[at:])
			break
		}
	}
	s.outcomes.checkServed(s)
}

// logTail returns the last lines of the process's log, for the analysis of a trial.
func (s *trialServer) logTail() string {
	lines := strings.Split(strings.TrimSpace(s.exitLog), "\n")
	return strings.Join(lines[max(len(lines)-logTailLines, 0):], "\n")
}

// logTailLines is the number of log lines that logTail returns.
const logTailLines = 3

// close ends the process and its stand-ins.
func (s *trialServer) close() {
	s.probe.Close()
	for _, p := range s.peers {
		p.Close()
	}
	s.proxy.Close()
	if s.program.Running() {
		s.program.Kill()
	}
	s.program.Kernel.Close()
}
