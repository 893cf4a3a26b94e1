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

// Cluster is a group of processes of the real program that communicate over a faulty network, with a path in each direction
// between every two of them. A script injects faults into it.
type Cluster struct {
	Checker *Checker
	History *History
	Network *FaultyNetwork
	config  ClusterConfig
	dir     string
	roster  *Roster

	mu       sync.Mutex
	nodes    map[string]*Node // by name
	names    []string         // in the order in which the nodes were added
	lastSlot int              // the last slot given to a process or left unused
}

// ClusterConfig describes a cluster.
type ClusterConfig struct {
	Program      string   // the program's binary
	Names        []string // names of the first processes
	Site         Site
	Settings     []string      // further lines of each process's settings file
	WithStateDir []string      // names of the processes with a state directory
	NoFleet      bool          // start the processes without a fleet, so that they do not communicate
	Zones        int           // number of zones that the processes are spread over; 0 for none
	Seeds        int           // number of join addresses that each process is given; 3 if 0
	UnusedSeeds  int           // number of further join addresses, listed first, at which no process listens
	Slack        time.Duration // of the checker, see NewChecker
	Seed         uint64        // of the faults of the network
	Backend      *Backend      // the backend that the runs of all kernels call; nil for none
	// BareCommand, unless nil, returns the command of another program to start instead, which has no kernel and no callers. It
	// is called with the name of the process, the address to listen on, the address to advertise and the addresses to join.
	BareCommand func(name, listen, advertise string, join []string) *exec.Cmd
}

// Node is one process of a cluster.
type Node struct {
	*Program
	Proxy        *FaultProxy // between callers and the process; nil with ClusterConfig.BareCommand
	slot         int         // of the network
	bareProcess  *Process    // set with ClusterConfig.BareCommand, nil without
	stopThrottle func()      // ends the throttling of the process; nil if it is not throttled
}

// rpcPort is the port on which each process accepts RPCs, at its listen address.
const rpcPort = 7000

// process returns the process of the node, either that of the program or the bare one.
func (node *Node) process() *Process {
	if node.bareProcess != nil {
		return node.bareProcess
	}
	return &node.Program.Process
}

// NewCluster starts a cluster, all processes concurrently. The caller must Close the cluster.
func NewCluster(config ClusterConfig) (*Cluster, error) {
	dir, err := os.MkdirTemp("", "cluster")
	if err != nil {
		return nil, err
	}
	cluster := &Cluster{Checker: NewChecker(config.Slack), History: NewHistory(), config: config, dir: dir,
		nodes: map[string]*Node{}}
	if cluster.Network, err = NewFaultyNetwork(config.Seed); err != nil {
		return nil, err
	}
	if cluster.roster, err = NewRoster(); err != nil {
		return nil, err
	}
	cluster.lastSlot = config.UnusedSeeds
	for _, name := range config.Names {
		if _, err := cluster.addNode(name, name, cluster.nextSlot()); err != nil {
			cluster.Close()
			return nil, err
		}
	}
	if err := cluster.forEach(config.Names, func(node *Node) error { return cluster.start(node) }); err != nil {
		cluster.Close()
		return nil, err
	}
	return cluster, nil
}

// forEach calls f for the named nodes concurrently and returns the first error in the order of the names.
func (c *Cluster) forEach(names []string, f func(*Node) error) error {
	errs := make([]error, len(names))
	var running sync.WaitGroup
	for k, name := range names {
		running.Go(func() { errs[k] = f(c.Node(name)) })
	}
	running.Wait()
	for _, err := range errs {
		if err != nil {
			return err
		}
	}
	return nil
}

// Node returns the node of that name, or nil if there is none.
func (c *Cluster) Node(name string) *Node {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.nodes[name]
}

// Names returns the names of all nodes in the order in which they were added.
func (c *Cluster) Names() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.names)
}

// Running returns the names of the nodes whose processes are running.
func (c *Cluster) Running() []string {
	return slices.DeleteFunc(c.Names(), func(name string) bool { return !c.Node(name).process().Running() })
}

// joinAddresses returns the join addresses that each process is given: those of the unused slots and of the first processes.
func (c *Cluster) joinAddresses() []string {
	seeds := c.config.Seeds
	if seeds == 0 {
		seeds = 3
	}
	var addresses []string
	for k := range seeds + c.config.UnusedSeeds {
		addresses = append(addresses, c.Network.AdvertisedAddress(k+1).String())
	}
	return addresses
}

// nextSlot returns a slot of the network that no process has had.
func (c *Cluster) nextSlot() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lastSlot++
	return c.lastSlot
}

// addNode adds a node at a slot of the network without starting its process, which will use configName as its own name.
func (c *Cluster) addNode(name, configName string, slot int) (*Node, error) {
	if err := c.Network.Add(slot); err != nil {
		return nil, err
	}
	node := &Node{slot: slot}
	listen, advertise := c.Network.ListenAddress(slot), c.Network.AdvertisedAddress(slot)
	if c.config.BareCommand != nil {
		node.Program = &Program{Name: name, configName: configName, checker: c.Checker}
		node.bareProcess = &Process{onLogLine: func(line []byte) { c.History.AddLogLine(name, line) }}
	} else {
		kernel, err := NewKernel(name, c.config.Site.Cores, c.Checker)
		if err != nil {
			return nil, err
		}
		kernel.config.Backend = c.config.Backend
		// No other process can have taken the port in the meantime, because the address belongs to this process alone.
		address := netip.AddrPortFrom(listen.Addr(), rpcPort).String()
		node.Program = &Program{Name: name, Address: address, Kernel: kernel, site: c.config.Site,
			binary: c.config.Program, directory: c.dir, roster: c.roster.Address(), checker: c.Checker, configName: configName}
		node.Program.onLogLine = func(line []byte) { c.History.AddLogLine(name, line) }
		if node.Proxy, err = NewFaultProxy(name, address, c.Checker); err != nil {
			return nil, err
		}
		var settings []string
		if !c.config.NoFleet {
			settings = append(settings, "fleet.listen "+listen.String(), "fleet.advertise "+advertise.String(),
				"fleet.join "+strings.Join(c.joinAddresses(), " "), "fleet.allow "+c.Network.Subnet().String(),
				"fleet.socket "+c.Socket(name))
			if c.config.Zones > 0 {
				settings = append(settings, fmt.Sprintf("fleet.zone z%d", 1+slot%c.config.Zones))
			}
			if slices.Contains(c.config.WithStateDir, configName) {
				if err := os.MkdirAll(c.StateDir(name), 0o700); err != nil {
					return nil, err
				}
				settings = append(settings, "fleet.state "+c.StateDir(name))
			}
			settings = append(settings, c.config.Settings...)
		}
		path := filepath.Join(c.dir, name+".conf")
		if err := os.WriteFile(path, []byte(strings.Join(settings, "\n")+"\n"), 0o600); err != nil {
			return nil, err
		}
		node.Program.args = []string{"--settings", path}
	}
	c.mu.Lock()
	c.nodes[name] = node
	c.names = append(c.names, name)
	c.mu.Unlock()
	return node, nil
}

// EditSettings replaces the text of a process's settings file by what edit returns for it. The change applies from the next start
// of the process.
func (c *Cluster) EditSettings(name string, edit func(settings string) string) error {
	path := filepath.Join(c.dir, name+".conf")
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	return os.WriteFile(path, []byte(edit(string(text))), 0o600)
}

// Socket returns the path of the local socket of a process.
func (c *Cluster) Socket(name string) string { return filepath.Join(c.dir, name+".sock") }

// StateDir returns the state directory of a process that is listed in ClusterConfig.WithStateDir.
func (c *Cluster) StateDir(name string) string { return filepath.Join(c.dir, name+".state") }

// start starts the process of a node.
func (c *Cluster) start(node *Node) error {
	if node.bareProcess == nil {
		return node.Program.Start()
	}
	cmd := c.config.BareCommand(node.configName, c.Network.ListenAddress(node.slot).String(),
		c.Network.AdvertisedAddress(node.slot).String(), c.joinAddresses())
	_, err := node.bareProcess.spawn(cmd, func(error) {})
	return err
}

// kill kills the process of a node and drops its view from the history.
func (c *Cluster) kill(node *Node) {
	if node.stopThrottle != nil {
		node.stopThrottle()
		node.stopThrottle = nil
	}
	if node.bareProcess != nil {
		node.bareProcess.kill()
	} else {
		node.Program.Kill()
	}
	c.History.Forget(node.Name)
}

// Addresses returns the addresses at which callers reach the named nodes.
func (c *Cluster) Addresses(names ...string) []string {
	var addresses []string
	for _, name := range names {
		addresses = append(addresses, c.Node(name).Proxy.Address())
	}
	return addresses
}

// WaitUntil waits for a condition to hold. It returns the time waited, in seconds, and false if the condition did not hold within
// the timeout.
func (c *Cluster) WaitUntil(timeout time.Duration, condition func() bool) (float64, bool) {
	for begin := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		elapsed := time.Since(begin)
		if condition() {
			return elapsed.Seconds(), true
		}
		if elapsed > timeout {
			return elapsed.Seconds(), false
		}
	}
}

// CPU returns the processor time that a process has used so far.
func (c *Cluster) CPU(name string) time.Duration { return c.Node(name).process().CPUTime() }

// Close stops all processes and removes the cluster's files.
func (c *Cluster) Close() {
	var closing sync.WaitGroup
	for _, name := range c.Names() {
		node := c.Node(name)
		if node.stopThrottle != nil {
			node.stopThrottle()
		}
		closing.Go(func() {
			if node.bareProcess != nil {
				node.bareProcess.kill()
				return
			}
			if node.Program.started() {
				node.SetPaused(false)
				node.Stop()
			}
			node.Kernel.Close()
			node.Proxy.Close()
		})
	}
	closing.Wait()
	c.Network.Close()
	c.roster.Close()
	os.RemoveAll(c.dir)
}
