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

// pressureMix returns a mix of RPCs in which most are lookups and the most critical ones are recordings. work is the mean in
// seconds on a core.
func pressureMix(work float64, deadline time.Duration) []rig.Share {
	return []rig.Share{
		{Method: "lookup", Kind: rpc.Idempotent, Criticality: 1, Fraction: 0.65, Work: work, Deadline: deadline},
		{Method: "check", Kind: rpc.Idempotent, Criticality: 5, Fraction: 0.15, Work: work, Deadline: deadline},
		{Method: "record", Kind: rpc.Tokened, Criticality: 30, Fraction: 0.2, Work: work, Deadline: deadline},
	}
}

// pressureMixSite returns the settings of an app server that serves pressureMix. window is the deduplication window of tokened
// RPCs, in seconds.
func pressureMixSite(cores int, window float64) rig.Site {
	methods := []rig.SiteMethod{}
	for _, s := range pressureMix(0, time.Second) {
		m := rig.SiteMethod{Name: s.Method, Kind: string(s.Kind), LatencyTarget: 0.8, Deadline: 1, Criticality: s.Criticality}
		if s.Kind == rpc.Tokened {
			m.Window = window
		}
		methods = append(methods, m)
	}
	return rig.Site{Cores: cores, MemoryMB: 64, Sockets: 1024, StopTimeout: 1200 * time.Millisecond,
		GracePeriod: time.Second, Callers: 8, OneCore: true, MaxRetryAfterSeconds: 2, Methods: methods}
}

// writeSettings writes a settings file and returns the arguments that name it.
func writeSettings(dir, name string, lines ...string) ([]string, error) {
	path := filepath.Join(dir, name)
	return []string{"--settings", path}, os.WriteFile(path, []byte(strings.Join(lines, "\n")+"\n"), 0o600)
}

// levelChange is a log entry of the program about a change of its pressure level.
type levelChange struct {
	Msg, Level, From, Causes string
	TS                       float64
	Refused                  float64
}

// levelChanges returns the changes of the pressure level in a program's log.
func levelChanges(log string) []levelChange {
	var changes []levelChange
	for line := range strings.Lines(log) {
		var change levelChange
		if json.Unmarshal([]byte(line), &change) == nil && change.Msg == "pressure" {
			changes = append(changes, change)
		}
	}
	return changes
}

// countFlaps counts the rises of the pressure level within ten seconds of a fall.
func countFlaps(changes []levelChange) int {
	n := 0
	ranks := map[string]int{"calm": 0, "wary": 1, "pressed": 2, "strained": 3, "shut": 4}
	lastFall := math.Inf(-1)
	for _, change := range changes {
		if ranks[change.Level] < ranks[change.From] {
			lastFall = change.TS
		} else if change.TS-lastFall < 10 {
			n++
		}
	}
	return n
}

// timeHealthChecks sends a health check at each interval, on one connection, until the context ends. It returns the time to each
// reply in seconds, which is the delay of the program's event loops.
func timeHealthChecks(ctx context.Context, address string, interval time.Duration) []float64 {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil
	}
	defer conn.Close()
	reader := bufio.NewReader(conn)
	var durations []float64
	for seq := int32(1); ctx.Err() == nil; seq++ {
		start := time.Now()
		conn.SetDeadline(start.Add(10 * time.Second))
		if _, err := conn.Write(thrift.Check(nil, seq)); err != nil {
			return durations
		}
		if !readFrame(reader) {
			return append(durations, time.Since(start).Seconds())
		}
		durations = append(durations, time.Since(start).Seconds())
		time.Sleep(time.Until(start.Add(interval)))
	}
	return durations
}

// readFrame reads until a whole frame has arrived, and reports whether one did.
func readFrame(reader *bufio.Reader) bool {
	buffer := readbuffer.New(thrift.MaxFrame + 4)
	for {
		_, size, err := thrift.Frame(buffer.Bytes())
		if err != nil {
			return false
		}
		if size > 0 {
			return true
		}
		if buffer.Fill(reader) != nil {
			return false
		}
	}
}

// quantile returns a quantile of unsorted values, or +Inf without values.
func quantile(values []float64, q float64) float64 {
	if len(values) == 0 {
		return math.Inf(1)
	}
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// pressureServer is one app server with its simulated kernel, its checker and its callers.
type pressureServer struct {
	*rig.Fleet
	checker *rig.Checker
	routers []rig.Caller
}

// startPressureServer starts an app server with the given arguments and number of callers. tolerance is that of the checker. The
// caller must close the server.
func (run *experimentRun) startPressureServer(site rig.Site, args []string, tolerance time.Duration,
	callers int) (*pressureServer, error) {
	site.Args = args
	checker := rig.NewChecker(tolerance)
	fleet, err := rig.NewFleet(run.Program, 1, site, checker)
	if err != nil {
		return nil, err
	}
	s := &pressureServer{Fleet: fleet, checker: checker}
	for k := range callers {
		s.routers = append(s.routers, rig.NewRouter(k+1, fleet.Addresses()[0]))
	}
	return s, nil
}

func (s *pressureServer) close() {
	for _, r := range s.routers {
		r.Close()
	}
	s.Fleet.Close()
}

// runOnAndOff calls measure with shedding on and off, concurrently.
func runOnAndOff[T any](measure func(on bool) (T, error)) (on, off T, err error) {
	var group sync.WaitGroup
	var errOn, errOff error
	group.Go(func() { on, errOn = measure(true) })
	group.Go(func() { off, errOff = measure(false) })
	group.Wait()
	return on, off, errors.Join(errOn, errOff)
}

// quotaRun is the run time in each quotaPeriod of the CPU quota that throttles the program, so that reading requests is the
// bottleneck.
const quotaRun, quotaPeriod = 1600 * time.Microsecond, 10 * time.Millisecond
