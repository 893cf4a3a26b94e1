package main

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"math"
	"net"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
	"valveglade/rig"
	"valveglade/rpc"
)

// pressureMix is the mix of a busy shop: most are lookups, what counts are recordings.
func pressureMix(work float64, deadline time.Duration) []rig.Share {
	return []rig.Share{
		{Method: "lookup", Kind: rpc.Idempotent, Criticality: 1, Fraction: 0.65, Work: work, Deadline: deadline},
		{Method: "check", Kind: rpc.Idempotent, Criticality: 5, Fraction: 0.15, Work: work, Deadline: deadline},
		{Method: "record", Kind: rpc.Tokened, Criticality: 30, Fraction: 0.2, Work: work, Deadline: deadline},
	}
}

func pressureMixSite(cores int, window float64) rig.Site {
	methods := []rig.SiteMethod{}
	for _, s := range pressureMix(0, time.Second) {
		m := rig.SiteMethod{Name: s.Method, Kind: string(s.Kind), Target: 0.8, Deadline: 1, Criticality: s.Criticality}
		if s.Kind == rpc.Tokened {
			m.Window = window
		}
		methods = append(methods, m)
	}
	return rig.Site{Cores: cores, MemoryMB: 64, Sockets: 1024, Stop: 1200 * time.Millisecond, Grace: time.Second, Callers: 8, OneCore: true,
		MaxAfter: 2, Methods: methods}
}

// writeSettings writes a settings file and returns the arguments that name it.
func writeSettings(dir, name string, lines ...string) ([]string, error) {
	path := filepath.Join(dir, name)
	return []string{"--settings", path}, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// levelChange is a change of the pressure level in the program's log.
type levelChange struct {
	Msg, Level, From, Causes string
	TS                       float64
	Refused                  float64
}

// levelChanges returns the changes of the pressure level in a program's log.
func levelChanges(log string) []levelChange {
	var all []levelChange
	for line := range strings.Lines(log) {
		var s levelChange
		if json.Unmarshal([]byte(line), &s) == nil && s.Msg == "pressure" {
			all = append(all, s)
		}
	}
	return all
}

// countFlaps counts the times that a level was left and entered again within ten seconds.
func countFlaps(all []levelChange) int {
	n := 0
	rank := map[string]int{"calm": 0, "wary": 1, "pressed": 2, "strained": 3, "shut": 4}
	fell := math.Inf(-1)
	for _, s := range all {
		if rank[s.Level] < rank[s.From] {
			fell = s.TS
		} else if s.TS-fell < 10 {
			n++
		}
	}
	return n
}

// timeHealthChecks sends health checks on a connection of its own and returns the seconds that each answer took, which is the delay of the
// program's event loops.
func timeHealthChecks(ctx context.Context, address string, every time.Duration) []float64 {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	defer nc.Close()
	in := bufio.NewReader(nc)
	var took []float64
	for seq := int32(1); ctx.Err() == nil; seq++ {
		began := time.Now()
		nc.SetDeadline(began.Add(10 * time.Second))
		if _, err := nc.Write(thrift.Check(nil, seq)); err != nil {
			return took
		}
		if !readFrame(in) {
			return append(took, time.Since(began).Seconds())
		}
		took = append(took, time.Since(began).Seconds())
		time.Sleep(time.Until(began.Add(every)))
	}
	return took
}

func readFrame(in *bufio.Reader) bool {
	b := readbuffer.New(thrift.MaxFrame + 4)
	for {
		_, size, err := thrift.Frame(b.Bytes())
		if err != nil {
			return false
		}
		if size > 0 {
			return true
		}
		if b.Fill(in) != nil {
			return false
		}
	}
}

func quantile(all []float64, q float64) float64 {
	if len(all) == 0 {
		return math.Inf(1)
	}
	s := slices.Sorted(slices.Values(all))
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

// pressureServer is one app server with its stand-ins, its checker and its callers.
type pressureServer struct {
	*rig.Fleet
	check   *rig.Checker
	routers []rig.Caller
}

func (p *experimentRun) startPressureServer(site rig.Site, args []string, slack time.Duration, callers int) (*pressureServer, error) {
	site.Args = args
	check := rig.NewChecker(slack)
	f, err := rig.NewFleet(p.Program, 1, site, check)
	if err != nil {
		return nil, err
	}
	s := &pressureServer{Fleet: f, check: check}
	for k := range callers {
		s.routers = append(s.routers, rig.NewRouter(k+1, f.Addresses()[0]))
	}
	return s, nil
}

func (s *pressureServer) close() {
	for _, r := range s.routers {
		r.Close()
	}
	s.Fleet.Close()
}

// runOnAndOff runs a function with the shedding on and off, at the same time.
func runOnAndOff[T any](f func(on bool) (T, error)) (on, off T, err error) {
	var all sync.WaitGroup
	var errOn, errOff error
	all.Go(func() { on, errOn = f(true) })
	all.Go(func() { off, errOff = f(false) })
	all.Wait()
	return on, off, errors.Join(errOn, errOff)
}

// The CPU quota that throttles the program below what reading needs: the run time in each period.
const quotaRun, quotaPeriod = 1600 * time.Microsecond, 10 * time.Millisecond
