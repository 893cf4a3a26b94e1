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

// trialServer is one app server of a trial, with its surroundings.
type trialServer struct {
	*trial
	number   int
	program  *rig.Program
	proxy    *rig.Net // between the routers and it
	probe    *rig.HealthProbe
	peers    []*rig.Peer
	outcomes callOutcomes
	kills    atomic.Int64 // processes that have ended: tokens do not outlive them

	lifecycle          sync.Mutex // held while the process is started or ended
	mu                 sync.Mutex
	launchedAt         time.Time // zero while there is no process
	excusedUntil       time.Time // until when it may be silent: it was stopped
	paused             bool
	leaving            bool // it has been told to
	limitReported      bool // it has taken more than its limits, which is said once
	ready              bool // the probe has seen it ready
	logs               string
	linkFaults         rig.LinkFaults
	hadFault           bool     // a fault was inflicted on it
	badClientsAnswered int      // bad clients that were told something
	badClientsIgnored  []string // kinds of bad clients that were told nothing
}

func (t *trial) newServer(number int) (*trialServer, error) {
	s := &trialServer{trial: t, number: number}
	name := serverName(number)
	program, err := rig.NewProgram(rig.ProgramPlan{Name: name, Binary: t.run.Program, Args: t.run.programArgs, Site: t.siteSettings(), Kernel: t.kernelConfig(number), Folder: t.directory,
		Roster: t.roster.Address(), Check: t.check, Config: s.config})
	if err != nil {
		return nil, err
	}
	s.program = program
	s.probe = rig.NewHealthProbe(program.Address)
	if s.proxy, err = rig.NewNet(name, program.Address, t.check); err != nil {
		return nil, err
	}
	if t.testCase.Load.Pieces > 0 {
		s.proxy.Pieces(t.testCase.Seed)
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

func serverName(number int) string { return fmt.Sprintf("n%d", number+1) }

// siteSettings is what the rig itself goes by.
func (t *trial) siteSettings() rig.Site {
	return rig.Site{MemoryMB: int(t.decoded.Limits.MemoryMB), Sockets: int(t.decoded.Limits.Sockets),
		Stop: secondsToDuration(t.decoded.StopMS / 1000), Grace: secondsToDuration(t.decoded.Settings.Rules.StopSendingWithinS), OneCore: true}
}

// peerOptions is how routers write under the settings.
func (t *trial) peerOptions() rig.PeerOptions {
	return rig.PeerOptions{PassesDeadline: t.decoded.PassesDeadline(), HangupSeen: t.decoded.HangupSeen(),
		MarksRetry: t.decoded.Settings.Clients.MarksRetry, Tenants: len(t.decoded.Settings.Accounts), WriteSize: t.testCase.Load.Pieces}
}

func (s *trialServer) config(p *rig.Program) string { return s.configFor(p.Kernel.Address()) }

func (s *trialServer) configFor(kernel string) string {
	return s.testCase.Settings.Config(drawn.Addresses{Name: s.program.Name, Listen: s.program.Address, Kernel: kernel, Roster: s.program.Roster()})
}

// launch starts the process.
func (s *trialServer) launch() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	s.launchLocked()
}

// begin is launch under the lock of its life.
func (s *trialServer) launchLocked() {
	if err := s.program.Launch(); err != nil {
		s.check.Failed("%s cannot be started: %v", s.program.Name, err)
		return
	}
	s.probe.Restart()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.launchedAt, s.paused, s.leaving, s.excusedUntil, s.ready = time.Now(), false, false, time.Time{}, false
}

// down notes that there is no process any more.
func (s *trialServer) recordExit() {
	s.kills.Add(1)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.launchedAt = time.Time{}
	s.logs = s.program.Log()
}

// watch looks whether the process answers health checks while it runs.
func (s *trialServer) watch(ctx context.Context) {
	var coreWaits []time.Duration // of the last second
	for ctx.Err() == nil {
		s.checkProcess()
		time.Sleep(watchInterval)
		if coreWaits = append(coreWaits, s.program.Waited()); len(coreWaits) > int(time.Second/watchInterval) {
			coreWaits = coreWaits[1:]
		}
		s.recordCoreWait(coreWaits[len(coreWaits)-1] - coreWaits[0]) // below 0 over a restart
	}
}

// watchInterval is between two looks at a process.
const watchInterval = 50 * time.Millisecond

func (s *trialServer) checkProcess() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.launchedAt.IsZero() || s.paused || s.leaving || !s.program.Running() {
		return
	}
	if healthyAt := s.probe.HealthyAt(); !s.ready && !healthyAt.IsZero() {
		s.ready = true
	}
	lastAnswer := laterOf(laterOf(s.launchedAt, s.excusedUntil), s.probe.LastAnswerAt())
	if silence := time.Since(lastAnswer); silence > maxHealthCheckGap {
		s.violate("rule 4: %s answers nobody for %.1f s", s.program.Name, silence.Seconds())
		s.excusedUntil = time.Now().Add(time.Hour) // once is enough
	}
	if memory, limit := s.program.Resident(), int64(s.decoded.Limits.MemoryMB)<<20; memory > limit && !s.limitReported {
		s.limitReported = true
		s.violate("rule 4: %s takes %d MB of %d", s.program.Name, memory>>20, limit>>20)
	}
	if descriptors := s.program.Descriptors(); descriptors > int(s.decoded.Limits.Sockets) && !s.limitReported {
		s.limitReported = true
		s.violate("rule 4: %s holds %d descriptors of %d", s.program.Name, descriptors, int(s.decoded.Limits.Sockets))
	}
}

// rest waits until the app server owes nothing, and measures the processor time that it takes without work.
func (s *trialServer) checkAtRest() {
	if !s.program.Running() {
		return
	}
	var err error
	for range 3 { // work that is left over may take one of them
		if err = s.program.Resting(restDuration, maxRestCPUShare); err == nil {
			return
		}
	}
	s.violate("rule 4: %s: %v", s.program.Name, err)
}

// stop tells the process to leave, and waits for its end.
func (s *trialServer) stop() {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if !s.program.Running() {
		s.recordExit()
		return
	}
	s.shutDown()
}

// leave has the process leave and waits for its end. Where that would take longer than a trial it is killed on its way.
func (s *trialServer) shutDown() {
	s.mu.Lock()
	s.leaving = true
	s.mu.Unlock()
	if s.decoded.StopMS > maxStopWait.Seconds()*1000 {
		s.program.Notice()
		time.Sleep(maxStopWait / 4)
		s.program.Kill()
	} else if err := s.program.Stop(); err != nil {
		s.violate("rule 3: %v", err)
	}
	s.recordExit()
}

// maxStopWait is the longest time to the stop that a trial waits for.
const maxStopWait = 8 * time.Second

// judge looks at the log and at what was served.
func (s *trialServer) checkLogAndLoad() {
	if s.run.Logs != "" {
		name := filepath.Join(s.run.Logs, fmt.Sprintf("%d-%s.log", s.testCase.Seed, s.program.Name))
		if err := os.WriteFile(name, []byte(s.logs), 0o644); err != nil {
			s.run.printNote("%v", err)
		}
	}
	for _, marker := range []string{"panic:", "fatal error:", "DATA RACE"} {
		if at := strings.Index(s.logs, marker); at >= 0 {
			s.violate("rule 4: %s logs %q: %.600s", s.program.Name, marker, s.logs[at:])
			break
		}
	}
	s.outcomes.checkServed(s)
}

// logTail are the last lines of what the process logged, for those who look into a trial.
func (s *trialServer) logTail() string {
	lines := strings.Split(strings.TrimSpace(s.logs), "\n")
	return strings.Join(lines[max(len(lines)-logTailLines, 0):], "\n")
}

// logTailLines are shown of a log.
const logTailLines = 3

// clear ends the process and what surrounds it.
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
