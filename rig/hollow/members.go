package hollow

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"net/netip"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/view"
	"valveglade/member"
)

// MembersPlan describes a process that runs several real members with their sockets and goroutines, without app servers.
type MembersPlan struct {
	First, Count  int        // number of the first member, and how many there are
	FleetSize     int        `json:"Fleet"` // members of the whole fleet
	ListenAddress netip.Addr `json:"At"`
	Join          []netip.AddrPort
}

// Observation is a new view of one member of the process.
type Observation struct {
	Member    int // index of the member in the process, from 0
	Version   uint64
	Digest    uint64
	Members   int
	Certainty view.Certainty `json:"Sure"`
	At        time.Time
}

// Sample holds the cumulative resource use of the process and its members.
type Sample struct {
	CPUSeconds    float64
	ResidentBytes float64
	HeapBytes     float64
	Costs         []member.Stats
}

// report is one line of the process's output: the nodes first, then each observation, and a sample for each request.
type report struct {
	Nodes       []memberNode `json:",omitempty"`
	Observation *Observation `json:"Seen,omitempty"`
	Sample      *Sample      `json:",omitempty"`
	Problem     string       `json:",omitempty"`
}

type memberNode struct {
	Name    string
	Node    string // node name in the gossip library
	Address netip.AddrPort
}

// ServeMembers runs the members of the plan that it reads from the first line of in. It writes a sample for each further line
// and stops at the end of in.
func ServeMembers(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	var plan MembersPlan
	if !lines.Scan() {
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(lines.Bytes(), &plan); err != nil {
		return err
	}
	s := &memberServer{encoder: json.NewEncoder(out)}
	ctx, stop := context.WithCancel(context.Background())
	defer s.goroutines.Wait()
	defer stop()
	if err := s.start(ctx, plan); err != nil {
		return err
	}
	for lines.Scan() {
		s.send(report{Sample: s.sample()})
	}
	for _, m := range s.members {
		m.Kill()
	}
	return lines.Err()
}

// memberServer runs the members of a process and reports on them.
type memberServer struct {
	mu         sync.Mutex
	encoder    *json.Encoder
	members    []*member.Member
	goroutines sync.WaitGroup
}

// send writes one line of output.
func (s *memberServer) send(r report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.encoder.Encode(r)
}

// start starts the members of the plan and reports their nodes.
func (s *memberServer) start(ctx context.Context, plan MembersPlan) error {
	var nodes []memberNode
	for k := range plan.Count {
		name := memberName(plan.First + k)
		m, err := member.New(member.Config{Name: name, Zone: fmt.Sprintf("z%02d", k%zoneCount),
			Listen: netip.AddrPortFrom(plan.ListenAddress, 0),
			Join:   plan.Join, Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
			ProbeInterval: probeInterval, View: viewConfig(plan.FleetSize)}, zap.NewNop())
		if err != nil {
			return err
		}
		s.members = append(s.members, m)
		nodes = append(nodes, memberNode{Name: name, Node: nodeName(*m.View().Find(name)), Address: m.Address()})
	}
	s.send(report{Nodes: nodes})
	for k, m := range s.members {
		s.goroutines.Go(func() { m.Run(ctx) })
		s.goroutines.Go(func() { s.reportViews(ctx, k, m) })
		m.UpdateState(view.Serving, false, view.Load{})
	}
	return nil
}

// reportViews reports each new view of one member.
func (s *memberServer) reportViews(ctx context.Context, k int, m *member.Member) {
	changes, stop := m.Changes()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
			v := m.View()
			s.send(report{Observation: &Observation{k, v.Version, v.Digest, len(v.Members), v.Certainty, time.Now()}})
		}
	}
}

// sample returns the resource use so far.
func (s *memberServer) sample() *Sample {
	out := &Sample{CPUSeconds: ProcessCPUTime().Seconds(), ResidentBytes: residentBytes("self")}
	for _, m := range s.members {
		out.Costs = append(out.Costs, m.Stats())
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	out.HeapBytes = float64(stats.HeapInuse + stats.StackInuse)
	return out
}

// residentBytes returns a process's resident memory in bytes, 0 if it cannot be read.
func residentBytes(process string) float64 {
	text, err := os.ReadFile("/proc/" + process + "/statm")
	if err != nil {
		return 0
	}
	words := strings.Fields(string(text))
	if len(words) < 2 {
		return 0
	}
	pages, err := strconv.ParseFloat(words[1], 64)
	if err != nil {
		return 0
	}
	return pages * float64(os.Getpagesize())
}

// MemberProcess is a child process that runs ServeMembers.
type MemberProcess struct {
	Nodes         []memberNode
	cmd           *exec.Cmd
	stdin         io.WriteCloser
	exited        chan struct{}
	onObservation func(Observation)

	samples chan Sample
	mu      sync.Mutex
	latest  []Observation
	history []Observation
}

// StartMemberProcess starts cmd as a child process that runs the plan. It calls onObservation for each observation, from another
// goroutine. The caller must call Close.
func StartMemberProcess(cmd *exec.Cmd, plan MembersPlan, onObservation func(Observation)) (*MemberProcess, error) {
	stdin, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	stdout, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	m := &MemberProcess{cmd: cmd, stdin: stdin, exited: make(chan struct{}), onObservation: onObservation,
		samples: make(chan Sample, 1), latest: make([]Observation, plan.Count)}
	if err := json.NewEncoder(stdin).Encode(plan); err != nil {
		m.Close()
		return nil, err
	}
	decoder := json.NewDecoder(stdout)
	var first report
	if err := decoder.Decode(&first); err != nil {
		stdin.Close()
		cmd.Wait()
		return nil, fmt.Errorf("read the nodes of the member process: %w", err)
	}
	m.Nodes = first.Nodes
	go m.read(decoder)
	return m, nil
}

// read handles the output of the process until it ends.
func (m *MemberProcess) read(decoder *json.Decoder) {
	defer close(m.exited)
	for {
		var r report
		if decoder.Decode(&r) != nil {
			return
		}
		if r.Sample != nil {
			m.samples <- *r.Sample
		}
		if r.Observation == nil {
			continue
		}
		m.mu.Lock()
		m.latest[r.Observation.Member] = *r.Observation
		m.history = append(m.history, *r.Observation)
		m.mu.Unlock()
		m.onObservation(*r.Observation)
	}
}

// Sample requests and returns the resource use so far.
func (m *MemberProcess) Sample() (Sample, error) {
	if _, err := io.WriteString(m.stdin, "sample\n"); err != nil {
		return Sample{}, err
	}
	select {
	case s := <-m.samples:
		return s, nil
	case <-m.exited:
		return Sample{}, io.ErrUnexpectedEOF
	}
}

// Latest returns the latest observation of each member.
func (m *MemberProcess) Latest() []Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Observation(nil), m.latest...)
}

// Converged reports whether all members have converged on the same view with the given number of members.
func (m *MemberProcess) Converged(members int) bool {
	all := m.Latest()
	for _, observation := range all {
		if observation.Members != members || observation.Certainty != view.Converged || observation.Digest != all[0].Digest {
			return false
		}
	}
	return true
}

// SecondsUntilConverged waits until Converged and returns how many seconds that took, +Inf after the timeout.
func (m *MemberProcess) SecondsUntilConverged(members int, timeout time.Duration) float64 {
	for began := time.Now(); time.Since(began) < timeout; time.Sleep(20 * time.Millisecond) {
		if m.Converged(members) {
			return time.Since(began).Seconds()
		}
	}
	return math.Inf(1)
}

// ConvergedShare returns the share of the time between from and to in which a member considered its view converged, as a mean
// over all members.
func (m *MemberProcess) ConvergedShare(from, to time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	converged := time.Duration(0)
	for k := range m.latest {
		last := Observation{Certainty: view.Converging}
		since := from
		for _, observation := range append(m.observationsOf(k), Observation{Certainty: view.Converging, At: to}) {
			at := observation.At
			if at.After(to) {
				at = to
			}
			if at.After(since) {
				if last.Certainty == view.Converged {
					converged += at.Sub(since)
				}
				since = at
			}
			last = observation
		}
	}
	return converged.Seconds() / (to.Sub(from).Seconds() * float64(len(m.latest)))
}

// observationsOf returns the observations of one member. The caller must hold mu.
func (m *MemberProcess) observationsOf(k int) []Observation {
	var all []Observation
	for _, observation := range m.history {
		if observation.Member == k {
			all = append(all, observation)
		}
	}
	return all
}

// Close stops the process and waits for it to exit.
func (m *MemberProcess) Close() error {
	m.stdin.Close()
	<-m.exited
	return m.cmd.Wait()
}
