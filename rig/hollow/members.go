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

// MembersPlan is a process of some members: the program's own, with their sockets and goroutines, without an app server around.
type MembersPlan struct {
	First, Count  int        // by their numbers
	FleetSize     int        `json:"Fleet"` // members of the whole fleet
	ListenAddress netip.Addr `json:"At"`    // where they listen
	Join          []netip.AddrPort
}

// Observation is what one member of the process sees from now on.
type Observation struct {
	Member    int // from 0
	Version   uint64
	Digest    uint64
	Members   int
	Certainty view.Certainty `json:"Sure"`
	At        time.Time
}

// Sample is what the members of a process have cost so far.
type Sample struct {
	CPUSeconds    float64
	ResidentBytes float64
	HeapBytes     float64
	Costs         []member.Stats
}

// report is one line from the process: the addresses at first, then what is seen, and samples when asked for.
type report struct {
	Nodes   []memberNode `json:",omitempty"`
	Seen    *Observation `json:",omitempty"`
	Sample  *Sample      `json:",omitempty"`
	Problem string       `json:",omitempty"`
}

type memberNode struct {
	Name    string
	Node    string // as the library knows it
	Address netip.AddrPort
}

// ServeMembers is that process: it reads the plan from in, and then a line for each sample; it ends with in.
func ServeMembers(in io.Reader, out io.Writer) error {
	lines := bufio.NewScanner(in)
	var plan MembersPlan
	if !lines.Scan() {
		return io.ErrUnexpectedEOF
	}
	if err := json.Unmarshal(lines.Bytes(), &plan); err != nil {
		return err
	}
	s := &memberServer{to: json.NewEncoder(out)}
	ctx, stop := context.WithCancel(context.Background())
	defer s.group.Wait()
	defer stop()
	if err := s.start(ctx, plan); err != nil {
		return err
	}
	for lines.Scan() {
		s.tell(report{Sample: s.sample()})
	}
	for _, m := range s.members {
		m.Kill()
	}
	return lines.Err()
}

type memberServer struct {
	mu      sync.Mutex
	to      *json.Encoder
	members []*member.Member
	group   sync.WaitGroup
}

func (s *memberServer) tell(r report) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.to.Encode(r)
}

func (s *memberServer) start(ctx context.Context, plan MembersPlan) error {
	var nodes []memberNode
	for k := range plan.Count {
		name := memberName(plan.First + k)
		m, err := member.New(member.Config{Name: name, Zone: fmt.Sprintf("z%02d", k%zones), Listen: netip.AddrPortFrom(plan.ListenAddress, 0),
			Join: plan.Join, Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
			ProbeInterval: probeEvery, View: boundless(plan.FleetSize)}, zap.NewNop())
		if err != nil {
			return err
		}
		s.members = append(s.members, m)
		nodes = append(nodes, memberNode{Name: name, Node: nodeName(*m.View().Find(name)), Address: m.Address()})
	}
	s.tell(report{Nodes: nodes})
	for k, m := range s.members {
		s.group.Go(func() { m.Run(ctx) })
		s.group.Go(func() { s.watch(ctx, k, m) })
		m.UpdateState(view.Serving, false, view.Load{})
	}
	return nil
}

// watch reports each view of one member.
func (s *memberServer) watch(ctx context.Context, k int, m *member.Member) {
	changes, stop := m.Changes()
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-changes:
			v := m.View()
			s.tell(report{Seen: &Observation{k, v.Version, v.Digest, len(v.Members), v.Certainty, time.Now()}})
		}
	}
}

func (s *memberServer) sample() *Sample {
	out := &Sample{CPUSeconds: ProcessCPUTime().Seconds(), ResidentBytes: resident("self")}
	for _, m := range s.members {
		out.Costs = append(out.Costs, m.Stats())
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	out.HeapBytes = float64(stats.HeapInuse + stats.StackInuse)
	return out
}

// resident is a process's resident memory in bytes, 0 if it cannot be read.
func resident(process string) float64 {
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

// MemberProcess is such a process, as whoever started it sees it.
type MemberProcess struct {
	Nodes []memberNode
	cmd   *exec.Cmd
	in    io.WriteCloser
	over  chan struct{}
	onSee func(Observation)

	samples chan Sample
	mu      sync.Mutex
	latest  []Observation
	history []Observation
}

// StartMemberProcess starts one. OnSee hears of every view.
func StartMemberProcess(cmd *exec.Cmd, plan MembersPlan, onSee func(Observation)) (*MemberProcess, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	m := &MemberProcess{cmd: cmd, in: in, over: make(chan struct{}), onSee: onSee, samples: make(chan Sample, 1), latest: make([]Observation, plan.Count)}
	if err := json.NewEncoder(in).Encode(plan); err != nil {
		m.Close()
		return nil, err
	}
	from := json.NewDecoder(out)
	var first report
	if err := from.Decode(&first); err != nil {
		in.Close()
		cmd.Wait()
		return nil, fmt.Errorf("members: %w", err)
	}
	m.Nodes = first.Nodes
	go m.read(from)
	return m, nil
}

func (m *MemberProcess) read(from *json.Decoder) {
	defer close(m.over)
	for {
		var r report
		if from.Decode(&r) != nil {
			return
		}
		if r.Sample != nil {
			m.samples <- *r.Sample
		}
		if r.Seen == nil {
			continue
		}
		m.mu.Lock()
		m.latest[r.Seen.Member] = *r.Seen
		m.history = append(m.history, *r.Seen)
		m.mu.Unlock()
		m.onSee(*r.Seen)
	}
}

// Sample asks what they have cost so far.
func (m *MemberProcess) Sample() (Sample, error) {
	if _, err := io.WriteString(m.in, "sample\n"); err != nil {
		return Sample{}, err
	}
	select {
	case s := <-m.samples:
		return s, nil
	case <-m.over:
		return Sample{}, io.ErrUnexpectedEOF
	}
}

// Latest is what each of them sees.
func (m *MemberProcess) Latest() []Observation {
	m.mu.Lock()
	defer m.mu.Unlock()
	return append([]Observation(nil), m.latest...)
}

// Converged reports whether all see that many members, alike and converged.
func (m *MemberProcess) Converged(members int) bool {
	all := m.Latest()
	for _, s := range all {
		if s.Members != members || s.Certainty != view.Converged || s.Digest != all[0].Digest {
			return false
		}
	}
	return true
}

// SecondsUntilConverged waits for that, and gives how many seconds it took; +Inf where it did not come within a time.
func (m *MemberProcess) SecondsUntilConverged(members int, within time.Duration) float64 {
	for began := time.Now(); time.Since(began) < within; time.Sleep(20 * time.Millisecond) {
		if m.Converged(members) {
			return time.Since(began).Seconds()
		}
	}
	return math.Inf(1)
}

// ConvergedShare is in what share of a span they called themselves converged, on the mean.
func (m *MemberProcess) ConvergedShare(from, to time.Time) float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	converged := time.Duration(0)
	for k := range m.latest {
		last := Observation{Certainty: view.Converging}
		since := from
		for _, s := range append(m.of(k), Observation{Certainty: view.Converging, At: to}) {
			at := s.At
			if at.After(to) {
				at = to
			}
			if at.After(since) {
				if last.Certainty == view.Converged {
					converged += at.Sub(since)
				}
				since = at
			}
			last = s
		}
	}
	return converged.Seconds() / (to.Sub(from).Seconds() * float64(len(m.latest)))
}

// of is the history of one member, under the lock.
func (m *MemberProcess) of(k int) []Observation {
	var all []Observation
	for _, s := range m.history {
		if s.Member == k {
			all = append(all, s)
		}
	}
	return all
}

// Close ends the process and waits for it.
func (m *MemberProcess) Close() error {
	m.in.Close()
	<-m.over
	return m.cmd.Wait()
}
