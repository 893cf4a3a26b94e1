package rig

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"valveglade/rpc"
)

// programSlack extends the time limits of the rules for other load on the machine: on 8 cores at a load of 59 a process ended
// 0.36 s after its stop timeout, on an idle machine 0.4 s before it.
const programSlack = 500 * time.Millisecond

// checkedProgram is the real program behind a fault proxy, with a kernel that has the same settings and a checker.
type checkedProgram struct {
	*Program
	check  *Checker
	proxy  *FaultProxy
	roster *Roster
}

// startCheckedProgram builds and starts the program with three methods, one of each kind, and stops it at the end of the test.
func startCheckedProgram(t *testing.T, preemption Preemption, gauges []string, seed uint64) *checkedProgram {
	t.Helper()
	dir := t.TempDir()
	binary, err := Build(dir)
	if err != nil {
		t.Fatal(err)
	}
	site := Site{Cores: 2, MemoryMB: 64, Sockets: 256, StopTimeout: 2 * time.Second, GracePeriod: time.Second, Callers: 4,
		Methods: []SiteMethod{{Name: "read <&> \"x\"", Kind: "retryable", LatencyTarget: 0.5, Deadline: 1, Criticality: 1},
			{Name: "write", Kind: "dedup", LatencyTarget: 0.5, Deadline: 1, Window: 5, Criticality: 2},
			{Name: "ü", Kind: "fragile", LatencyTarget: 0.5, Deadline: 1, Criticality: 3}},
		DomainOverrides: map[string]any{"preemption": string(preemption), "ownStats": gauges, "memoryKb": 2000.0}}
	checker := NewChecker(programSlack)
	serverSettings := ServerSettings{Methods: map[string]MethodSettings{}}
	config := KernelConfig{Cores: site.Cores, Preemption: preemption, Gauges: gauges, Memory: BookedMemory{2000, 4},
		Overload: OverloadLimit{5, 1500 * time.Millisecond}, Seed: seed}
	for _, method := range site.Methods {
		config.Methods = append(config.Methods, method.Name)
		serverSettings.Methods[method.Name] = MethodSettings{rpc.Kind(method.Kind), time.Duration(method.Deadline * 1e9),
			time.Duration(method.Window * 1e9)}
	}
	checker.CheckServers(serverSettings)
	p := &checkedProgram{check: checker}
	if p.roster, err = NewRoster(); err != nil {
		t.Fatal(err)
	}
	p.roster.CheckReports(checker, "n1")
	kernel, err := NewConfiguredKernel("n1", config, checker)
	if err != nil {
		t.Fatal(err)
	}
	address, err := freeAddress()
	if err != nil {
		t.Fatal(err)
	}
	p.Program = &Program{Name: "n1", Address: address, Kernel: kernel, site: site, binary: binary, directory: dir,
		roster: p.roster.Address(), checker: checker}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	if p.proxy, err = NewFaultProxy("n1", address, checker); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		p.Kill()
		p.proxy.Close()
		kernel.Close()
		p.roster.Close()
	})
	return p
}

// runLoad makes four routers call the program for the duration, with requests drawn from the seed. It returns the numbers of
// calls that succeeded and that failed.
func (p *checkedProgram) runLoad(seed uint64, duration time.Duration) (served, failed int) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	routers := []*Router{}
	for k := range 4 {
		routers = append(routers, NewRouter(k+1, p.proxy.Address()))
	}
	rng := rand.New(rand.NewPCG(seed, 5))
	for begin := time.Now(); time.Since(begin) < duration; time.Sleep(time.Duration(rng.ExpFloat64() * 4e6)) {
		method := p.site.Methods[rng.IntN(3)]
		body := make([]byte, rng.IntN(200))
		for k := range body {
			body[k] = byte(rng.Uint32())
		}
		if rng.IntN(2) == 0 {
			body = EncodeBody(fmt.Sprint(rng.Uint64()), rng.ExpFloat64()*0.02)
		}
		token := ""
		if method.Kind == "dedup" {
			token = fmt.Sprintf("%032x", rng.Uint64())
		}
		tries := 1
		if method.Kind != "fragile" {
			tries += rng.IntN(2)
		}
		for range tries {
			router := routers[rng.IntN(len(routers))]
			calls.Go(func() {
				ctx, cancel := context.WithTimeout(context.Background(), time.Duration(method.Deadline*1e9))
				defer cancel()
				_, err := router.Call(ctx, method.Name, token, 0.5, body)
				mu.Lock()
				defer mu.Unlock()
				if err == nil {
					served++
				} else {
					failed++
				}
			})
		}
	}
	calls.Wait()
	for _, router := range routers {
		router.Close()
	}
	return served, failed
}

// The program breaks no rule under any preemption setting, with and without gauges, while faults of every kind are injected
// into the link to its kernel.
func TestProgramObeysRules(t *testing.T) {
	for name, test := range map[string]struct {
		preemption Preemption
		gauges     []string
	}{
		"none":    {PreemptNone, nil},
		"discard": {PreemptDiscard, []string{"core_use", "on_cores", "heap_share", "links"}},
		"freeze":  {PreemptFreeze, []string{"heap_share"}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			p := startCheckedProgram(t, test.preemption, test.gauges, 1)
			waitFor(t, "the kernel link", func() bool { return !p.Kernel.LinkedAt().IsZero() })
			stop := make(chan struct{})
			var faults sync.WaitGroup
			faults.Go(func() { p.injectLinkFaults(stop, 1) })
			served, failed := p.runLoad(1, 3*time.Second)
			close(stop)
			faults.Wait()
			if err := p.Stop(); err != nil {
				t.Error(err)
			}
			p.check.Finish()
			for _, v := range p.check.Violations() {
				t.Error(v)
			}
			t.Logf("%d calls succeeded, %d failed; %d tries, %d runs", served, failed, p.check.Count("tries"), p.check.Count("runs"))
			if served < 100 {
				t.Errorf("%d calls succeeded, want at least 100; %d failed: %s", served, failed, p.Log())
			}
		})
	}
}

// injectLinkFaults injects random faults into the kernel's link, one every 100 ms, until stop is closed.
func (p *checkedProgram) injectLinkFaults(stop chan struct{}, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 6))
	p.proxy.FragmentWrites(seed)
	for {
		select {
		case <-stop:
			p.Kernel.SetLinkFaults(LinkFaults{})
			return
		case <-time.After(100 * time.Millisecond):
		}
		switch rng.IntN(6) {
		case 0:
			p.Kernel.BreakLink()
		case 1:
			p.Kernel.ResetLink()
		case 2:
			p.Kernel.BreakLinkInNotice()
		case 3:
			p.Kernel.BreakLinkLosingCommands(50 * time.Millisecond)
		case 4:
			p.Kernel.SendRemark("\"<&>\n")
		default:
			p.Kernel.SetLinkFaults(LinkFaults{FragmentLines: rng.IntN(2) == 0, DuplicateShare: rng.Float64(),
				RemarkShare: rng.Float64(),
				Delay:       time.Duration(rng.IntN(20)) * time.Millisecond})
		}
	}
}
