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

// scaledProgram is one real program under a configuration of some size, with stand-ins for its kernel and its roster. It
// has one core, as on the platform.
type scaledProgram struct {
	*rig.Process
	configuration configFile
	directory     string
	fileBytes     int // of its configuration
	checker         *rig.Checker
	kernel        *rig.Kernel
	roster        net.PacketConn
	logLines         chan logLine
	startSeconds  float64 // from the exec to the first RPC served
}

// logLine is a line that the program has logged, as far as measurements need it.
type logLine struct {
	Message string `json:"msg"`
	Members int    `json:"members"`
}

const (
	maxQueuedLogLines = 4096             // that wait to be read
	startTimeout  = 60 * time.Second // for a configuration of the design size
	reloadTimeout = 60 * time.Second
	stopTimeout   = 5 * time.Second
	checkerSlack = time.Second
	ampleMemoryMB  = 4096 // MB: the collector is not pressed by the limit
	kernelCores  = 64   // as in the configuration: many enough that no RPC waits for one
	rosterReport = "HERE scaled on"
)

var errTimeout = errors.New("not seen in time")

// startScaled starts a program with so many entries; directives are lines of its operators' file.
func (p *experimentRun) startScaled(size configSize, memoryMB, sockets int, directives ...string) (*scaledProgram, error) {
	s := &scaledProgram{checker: rig.NewChecker(checkerSlack), logLines: make(chan logLine, maxQueuedLogLines),
		configuration: configFile{size: size, memoryMB: memoryMB, sockets: sockets, seed: p.Seed}}
	if err := s.prepare(); err != nil {
		s.close()
		return nil, err
	}
	if err := s.launch(p.Program, directives); err != nil {
		s.close()
		return nil, fmt.Errorf("%v: %w", size, err)
	}
	return s, nil
}

// prepare prepares the stand-ins and the configuration.
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

// freeAddress gives an address with a port that was free a moment ago.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	return listener.Addr().String(), listener.Close()
}

func (s *scaledProgram) configPath() string { return filepath.Join(s.directory, "config.json") }

// launch starts the program and waits until it is on the roster and has served an RPC.
func (s *scaledProgram) launch(program string, directives []string) error {
	var arguments []string
	if len(directives) > 0 {
		path := filepath.Join(s.directory, "valveglade.conf")
		if err := os.WriteFile(path, []byte(strings.Join(directives, "\n")+"\n"), 0o600); err != nil {
			return err
		}
		arguments = []string{"--settings", path}
	}
	command := exec.Command(program, arguments...)
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

// queueLogLine takes note of a line of the log. It never waits.
func (s *scaledProgram) queueLogLine(line []byte) {
	var l logLine
	if json.Unmarshal(line, &l) != nil {
		return
	}
	select {
	case s.logLines <- l:
	default:
	}
}

// awaitRoster waits until the program reports itself as ready.
func (s *scaledProgram) awaitRoster(until time.Time) error {
	if err := s.roster.SetReadDeadline(until); err != nil {
		return err
	}
	for buffer := make([]byte, 256); ; {
		n, _, err := s.roster.ReadFrom(buffer)
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			return fmt.Errorf("report to the roster: %w", errTimeout)
		case err != nil:
			return err
		case bytes.Equal(buffer[:n], []byte(rosterReport)):
			return nil
		}
	}
}

// executeFirstRPC has one RPC served on a connection of its own.
func (s *scaledProgram) executeFirstRPC() error {
	load := newFrameLoad(s.configuration.listen, s.checker, s.configuration.size.routes, "first")
	defer load.close()
	if err := load.connect(1); err != nil {
		return err
	}
	return load.executeOnEach()
}

// awaitLogLine waits for a line of the log.
func (s *scaledProgram) awaitLogLine(within time.Duration, wanted func(l logLine) bool) error {
	timeout := time.After(within)
	for {
		select {
		case l := <-s.logLines:
			if wanted(l) {
				return nil
			}
		case <-timeout:
			return fmt.Errorf("line of the log: %w: %.500s", errTimeout, s.Log())
		}
	}
}

// changeCost is what the program spent on one change of its configuration.
type changeCost struct {
	wallSeconds, cpuSeconds float64
	peakBytes               float64 // resident, at the most
}

// collectionWait is for what the collector still does after a change has been taken in.
const collectionWait = 50 * time.Millisecond

// changeConfiguration has one entry changed, and waits until the program has taken it in.
func (s *scaledProgram) changeConfiguration() (cost changeCost, err error) {
	s.configuration.generation++
	if _, err := s.configuration.write(s.configPath()); err != nil {
		return cost, err
	}
	if err := s.ResetPeakResident(); err != nil {
		return cost, err
	}
	cpu, began := s.CPUTime(), time.Now()
	s.Reload()
	if err := s.awaitLogLine(reloadTimeout, isConfigReloaded); err != nil {
		return cost, err
	}
	cost.wallSeconds = time.Since(began).Seconds()
	time.Sleep(collectionWait)
	cost.cpuSeconds = (s.CPUTime() - cpu).Seconds()
	cost.peakBytes = float64(s.PeakResidentBytes())
	return cost, nil
}

// isConfigReloaded tells whether a line says that a configuration has been taken in.
func isConfigReloaded(l logLine) bool { return l.Message == "config reloaded" }

// violationCount are the rules that the program has broken.
func (s *scaledProgram) violationCount() int { return len(s.checker.Violations()) }

// shutDown has the program shutDown the fleet and end by itself.
func (s *scaledProgram) shutDown() error { return s.Terminate(stopTimeout) }

// close ends all of it.
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
