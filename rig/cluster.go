package rig

import (
	"fmt"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"
)

// Cluster is many processes of the real program that may talk to each other, with a path between each two, and what is done
// to them by a script.
type Cluster struct {
	Checker *Checker
	History *History
	Network *Paths
	config  ClusterConfig
	dir     string
	roster  *Roster

	mu       sync.Mutex
	nodes    map[string]*Node
	names    []string
	lastSlot int
}

// ClusterConfig is what a process cluster is to be.
type ClusterConfig struct {
	Program      string   // the program's binary
	Names        []string // of the first processes
	Site         Site
	Settings     []string // further lines of each one's operators' file
	WithStateDir []string // who has a folder that lasts
	NoFleet      bool     // no fleet: the same processes, which do not talk
	Zones        int      // how many zones they are spread over, 0 for none
	Seeds        int      // how many addresses each is given to join; 3 if 0
	UnusedSeeds  int      // how many of the addresses given first belong to nobody
	Slack        time.Duration
	Seed         uint64
	Backend      *Backend // what all kernels' runs reach, nil for nothing
	// BareCommand starts another program instead, with no kernel and no callers, and is given where it listens, what it tells
	// others and whom to join.
	BareCommand func(name, listen, advertise string, join []string) *exec.Cmd
}

// Node is one process of a process cluster.
type Node struct {
	*Program
	Proxy        *Net // for callers
	slot         int
	bareProcess  *Process
	stopThrottle func() // ends a starving
}

// rpcPort is where each process takes RPCs, at its own address.
const rpcPort = 7000

// process is what signals go to.
func (n *Node) process() *Process {
	if n.bareProcess != nil {
		return n.bareProcess
	}
	return &n.Program.Process
}

// NewCluster starts one; all processes are started together.
func NewCluster(plan ClusterConfig) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		return nil, err
	}
	s := &Cluster{Checker: NewChecker(plan.Slack), History: NewHistory(), config: plan, dir: dir, nodes: map[string]*Node{}}
	if s.Network, err = NewPaths(plan.Seed); err != nil {
		return nil, err
	}
	if s.roster, err = NewRoster(); err != nil {
		return nil, err
	}
	s.lastSlot = plan.UnusedSeeds
	for _, name := range plan.Names {
		if _, err := s.addNode(name, name, s.nextSlot()); err != nil {
			s.Close()
			return nil, err
		}
	}
	if err := s.forEach(plan.Names, func(n *Node) error { return s.start(n) }); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

// forEach does something to some at the same time.
func (s *Cluster) forEach(names []string, f func(*Node) error) error {
	errs := make([]error, len(names))
	var all sync.WaitGroup
	for k, name := range names {
		all.Go(func() { errs[k] = f(s.Node(name)) })
	}
	all.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Node is the process of that name in the rig, nil if there is none.
func (s *Cluster) Node(name string) *Node {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.nodes[name]
}

// Names are all processes so far, in the order in which they were added.
func (s *Cluster) Names() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.names)
}

// Running are those that have not ended.
func (s *Cluster) Running() []string {
	return slices.DeleteFunc(s.Names(), func(name string) bool { return !s.Node(name).process().Running() })
}

// joinAddresses are the addresses that a process is given: the first slots, of which some may belong to nobody.
func (s *Cluster) joinAddresses() []string {
	n := s.config.Seeds
	if n == 0 {
		n = 3
	}
	var all []string
	for k := range n + s.config.UnusedSeeds {
		all = append(all, s.Network.Via(k+1).String())
	}
	return all
}

// nextSlot is the next address that nobody has had.
func (s *Cluster) nextSlot() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastSlot++
	return s.lastSlot
}

// addNode makes a process that calls itself called, at an address, and does not start it.
func (s *Cluster) addNode(name, called string, slot int) (*Node, error) {
	if err := s.Network.Add(slot); err != nil {
		return nil, err
	}
	n := &Node{slot: slot}
	own, via := s.Network.Own(slot), s.Network.Via(slot)
	if s.config.BareCommand != nil {
		n.Program = &Program{Name: name, called: called, check: s.Checker}
		n.bareProcess = &Process{tap: func(line []byte) { s.History.AddLogLine(name, line) }}
	} else {
		kernel, err := NewKernel(name, s.config.Site.Cores, s.Checker)
		if err != nil {
			return nil, err
		}
		kernel.config.Backend = s.config.Backend
		// At its own address no other process can have taken the port meanwhile.
		address := netip.AddrPortFrom(own.Addr(), rpcPort).String()
		n.Program = &Program{Name: name, Address: address, Kernel: kernel, site: s.config.Site, bin: s.config.Program, dir: s.dir,
			roster: s.roster.Address(), check: s.Checker, called: called}
		n.Program.tap = func(line []byte) { s.History.AddLogLine(name, line) }
		if n.Proxy, err = NewNet(name, address, s.Checker); err != nil {
			return nil, err
		}
		var laws []string
		if !s.config.NoFleet {
			laws = append(laws, "fleet.listen "+own.String(), "fleet.advertise "+via.String(),
				"fleet.join "+strings.Join(s.joinAddresses(), " "), "fleet.allow "+s.Network.Network().String(), "fleet.socket "+s.Socket(name))
			if s.config.Zones > 0 {
				laws = append(laws, fmt.Sprintf("fleet.zone z%d", 1+slot%s.config.Zones))
			}
			if slices.Contains(s.config.WithStateDir, called) {
				if err := os.MkdirAll(s.StateDir(name), 0o700); err != nil {
					return nil, err
				}
				laws = append(laws, "fleet.state "+s.StateDir(name))
			}
			laws = append(laws, s.config.Settings...)
		}
		path := filepath.Join(s.dir, name+".conf")
		if err := os.WriteFile(path, []byte(strings.Join(laws, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
		n.Program.args = []string{"--settings", path}
	}
	s.mu.Lock()
	s.nodes[name] = n
	s.names = append(s.names, name)
	s.mu.Unlock()
	return n, nil
}

// EditSettings changes a process's operators' file, for its next start.
func (s *Cluster) EditSettings(name string, f func(laws string) string) error {
	path := filepath.Join(s.dir, name+".conf")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(f(string(text))), 0o600)
}

// Socket is the local socket of a process.
func (s *Cluster) Socket(name string) string { return filepath.Join(s.dir, name+".sock") }

// StateDir is where what a process keeps lasts, under a plan with folders.
func (s *Cluster) StateDir(name string) string { return filepath.Join(s.dir, name+".state") }

func (s *Cluster) start(n *Node) error {
	if n.bareProcess == nil {
		return n.Program.Start()
	}
	cmd := s.config.BareCommand(n.called, s.Network.Own(n.slot).String(), s.Network.Via(n.slot).String(), s.joinAddresses())
	_, err := n.bareProcess.run(cmd, func(error) {})
	return err
}

func (s *Cluster) kill(n *Node) {
	if n.stopThrottle != nil {
		n.stopThrottle()
		n.stopThrottle = nil
	}
	if n.bareProcess != nil {
		n.bareProcess.kill()
	} else {
		n.Program.Kill()
	}
	s.History.Forget(n.Name)
}

// Addresses is where callers reach some of them.
func (s *Cluster) Addresses(names ...string) []string {
	var all []string
	for _, name := range names {
		all = append(all, s.Node(name).Proxy.Address())
	}
	return all
}

// WaitUntil waits for something to hold, and gives how long that took, in seconds; false if it never did.
func (s *Cluster) WaitUntil(within time.Duration, holds func() bool) (float64, bool) {
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		took := time.Since(begin)
		if holds() {
			return took.Seconds(), true
		}
		if took > within {
			return took.Seconds(), false
		}
	}
}

// CPU is the processor time of one process so far.
func (s *Cluster) CPU(name string) time.Duration { return s.Node(name).process().CPU() }

// Close ends all of it.
func (s *Cluster) Close() {
	var all sync.WaitGroup
	for _, name := range s.Names() {
		n := s.Node(name)
		if n.stopThrottle != nil {
			n.stopThrottle()
		}
		all.Go(func() {
			if n.bareProcess != nil {
				n.bareProcess.kill()
				return
			}
			if n.Program.started() {
				n.Pause(false)
				n.Stop()
			}
			n.Kernel.Close()
			n.Proxy.Close()
		})
	}
	all.Wait()
	s.Network.Close()
	s.roster.Close()
	os.RemoveAll(s.dir)
}
