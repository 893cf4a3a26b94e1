package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"valveglade/rig"
)

// scaledProgram is one real program with a configuration of some size, and stand-ins for its kernel and its roster. It has one
// core, as on the platform.
type scaledProgram struct {
	*rig.Process
	configuration configFile
	directory     string
	fileBytes     int // size of its configuration
	checker       *rig.Checker
	kernel        *rig.Kernel
	roster        net.PacketConn
	logLines      chan logLine
	startSeconds  float64 // from exec to the first RPC served
}

// logLine holds the fields of a log line of the program that measurements need.
type logLine struct {
	Message string `json:"msg"`
	Members int    `json:"members"`
}

const (
	maxQueuedLogLines = 4096
	startTimeout      = 60 * time.Second // for a configuration of the design size
	reloadTimeout     = 60 * time.Second
	stopTimeout       = 5 * time.Second
	checkerSlack      = time.Second
	ampleMemoryMB     = 4096 // so large that the limit does not put pressure on the garbage collector
	kernelCores       = 64   // as in the configuration; enough that no RPC waits for a core
	rosterReport      = "HERE scaled on"
)

var errTimeout = errors.New("timed out")

// startScaled starts a program with a configuration of the given size; directives are lines of its settings file. The caller
// closes the program.
func (run *experimentRun) startScaled(size configSize, memoryMB, sockets int, directives ...string) (*scaledProgram, error) {
	s := &scaledProgram{checker: rig.NewChecker(checkerSlack), logLines: make(chan logLine, maxQueuedLogLines),
		configuration: configFile{size: size, memoryMB: memoryMB, sockets: sockets, seed: run.Seed}}
	if err := s.prepare(); err != nil {
		s.close()
		return nil, err
	}
	if err := s.launch(run.Program, directives); err != nil {
		s.close()
		return nil, fmt.Errorf("%v: %w", size, err)
	}
	return s, nil
}

// prepare starts the stand-ins and writes the configuration.
func (s *scaledProgram) prepare() (err error) {
	if s.directory, err = os.MkdirTemp("", "scale"); err != nil {
		return err
	}
	if s.kernel, err = rig.NewKernel("scaled", kernelCores, s.checker); err != nil {
		return err
	}
	if s.roster, err = net.ListenPacket("udp", "127.0.0.1:0"); err != nil {
		return err
	}
	if s.configuration.listen, err = freeAddress(); err != nil {
		return err
	}
	s.configuration.kernel, s.configuration.roster = s.kernel.Address(), s.roster.LocalAddr().String()
	s.fileBytes, err = s.configuration.write(s.configPath())
	return err
}

// freeAddress returns a loopback address whose port was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (s *scaledProgram) configPath() string { return filepath.Join(s.directory, "config.json") }

// launch starts the program and waits until it is on the roster and has served an RPC.
func (s *scaledProgram) launch(binary string, directives []string) error {
	var arguments []string
	if len(directives) > 0 {
		path := filepath.Join(s.directory, "valveglade.conf")
		if err := os.WriteFile(path, []byte(strings.Join(directives, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		arguments = []string{"--settings", path}
	}
	command := exec.Command(binary, arguments...)
	command.Env = append(os.Environ(), "GW_CONFIG="+s.configPath(), "GOMAXPROCS=1")
	s.checker.ProcessStarted("scaled")
	began := time.Now()
	process, err := rig.Launch(command, s.queueLogLine)
	if err != nil {
		return err
	}
	s.Process = process
	if err := s.awaitRoster(began.Add(startTimeout)); err != nil {
		return fmt.Errorf("%w: %.500s", err, s.Log())
	}
	if err := s.executeFirstRPC(); err != nil {
		return err
	}
	s.startSeconds = time.Since(began).Seconds()
	return nil
}

// queueLogLine queues a log line. It never blocks: a line that finds the queue full is dropped.
func (s *scaledProgram) queueLogLine(line []byte) {
	var entry logLine
	if json.Unmarshal(line, &entry) != nil {
		return
	}
	select {
	case s.logLines <- entry:
	default:
	}
}

// awaitRoster waits until the program reports to the roster that it is ready.
func (s *scaledProgram) awaitRoster(deadline time.Time) error {
	if err := s.roster.SetReadDeadline(deadline); err != nil {
		return err
	}
	for buffer := make([]byte, 256); ; {
		size, _, err := s.roster.ReadFrom(buffer)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("waiting for the report to the roster: %w", errTimeout)
		case err != nil:
			return err
		case bytes.Equal(buffer[:size], []byte(rosterReport)):
			return nil
		}
	}
}

// executeFirstRPC executes one RPC on a connection of its own.
func (s *scaledProgram) executeFirstRPC() error {
	load := newFrameLoad(s.configuration.listen, s.checker, s.configuration.size.routes, "first")
	defer load.close()
	if err := load.connect(1); err != nil {
		return err
	}
	return load.executeOnEach()
}

// awaitLogLine waits for a log line that matches. It discards the lines before it.
func (s *scaledProgram) awaitLogLine(timeout time.Duration, matches func(entry logLine) bool) error {
	expired := time.After(timeout)
	for {
		select {
		case entry := <-s.logLines:
			if matches(entry) {
				return nil
			}
		case <-expired:
			return fmt.Errorf("waiting for a log line: %w: %.500s", errTimeout, s.Log())
		}
	}
}

// changeCost holds what the program spent on one change of its configuration.
type changeCost struct {
	wallSeconds, cpuSeconds float64
	peakBytes               float64 // maximum resident memory
}

// collectionWait is the time for the garbage collection that follows a change.
const collectionWait = 50 * time.Millisecond

// changeConfiguration changes one entry and waits until the program has reloaded its configuration.
func (s *scaledProgram) changeConfiguration() (cost changeCost, err error) {
	s.configuration.generation++
	if _, err := s.configuration.write(s.configPath()); err != nil {
		return cost, err
	}
	if err := s.ResetPeakResident(); err != nil {
		return cost, err
	}
	cpuBefore, began := s.CPUTime(), time.Now()
	s.Reload()
	if err := s.awaitLogLine(reloadTimeout, isConfigReloaded); err != nil {
		return cost, err
	}
	cost.wallSeconds = time.Since(began).Seconds()
	time.Sleep(collectionWait)
	cost.cpuSeconds = (s.CPUTime() - cpuBefore).Seconds()
	cost.peakBytes = float64(s.PeakResidentBytes())
	return cost, nil
}

// isConfigReloaded reports whether the line says that the program has reloaded its configuration.
func isConfigReloaded(entry logLine) bool { return entry.Message == "config reloaded" }

// violationCount returns the number of violations that the checker has recorded.
func (s *scaledProgram) violationCount() int { return len(s.checker.Violations()) }

// shutDown terminates the program, which leaves the fleet and exits by itself.
func (s *scaledProgram) shutDown() error { return s.Terminate(stopTimeout) }

// close kills the program, closes the stand-ins and removes the files.
func (s *scaledProgram) close() {
	if s.Process != nil {
		s.Kill()
	}
	if s.kernel != nil {
		s.kernel.Close()
	}
	if s.roster != nil {
		s.roster.Close()
	}
	os.RemoveAll(s.directory)
}
