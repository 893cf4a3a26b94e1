package kernel

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"go.uber.org/zap"
)

// testRun is a run that the test requested, with what the kernel and the owner have seen of it.
type testRun struct {
	uid, body string
	once      bool // must not run twice
	starts    int  // how often the kernel has started it
	running   bool // on the kernel
	ended     bool // its end was reported to the owner
	ends      int  // how often its end was reported
}

// faultyKernel is a kernel whose connections break at any point and may lose what it read in the last 50 ms, even
// if it replied to later queries. Its notices are duplicated, split, late and mixed with DMESG lines.
type faultyKernel struct {
	*testing.T
	net.Listener
	*Link[*testRun]

	mu               sync.Mutex
	rng              *rand.Rand
	testRuns         map[string]*testRun
	notices          []string
	conn             net.Conn
	discarding       bool // commands on this connection are lost
	answered         bool // the first query on this connection
	losesBeforeBreak bool // commands are discarded for a while before this connection breaks
	linesLeft        int  // to be written before this connection breaks
	pending          sync.WaitGroup
}

func (k *faultyKernel) Booted(float64, bool) {}

// Ended checks each end that the link reports to its owner.
func (k *faultyKernel) Ended(run *testRun, _ float64, result []byte, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.pending.Done()
	var runErr *RunError
	switch run.ends++; {
	case run.ends > 1:
		k.Errorf("%s ended twice", run.uid)
	case err == nil && (run.starts == 0 || string(result) != "of "+run.body):
		k.Errorf("%s, started %d times, has the result %q", run.uid, run.starts, result)
	case errors.As(err, &runErr) && runErr.Progress == NeverRan && run.starts > 0 && run.once:
		k.Errorf("%s was started, and is reported as never run: %v", run.uid, err)
	}
	run.ended = true
}

func (k *faultyKernel) serve() {
	for {
		conn, err := k.Accept()
		if err != nil {
			return
		}
		go k.serveLink(conn)
	}
}

func (k *faultyKernel) serveLink(conn net.Conn) {
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadString('\n')
		if err != nil {
			return
		}
		var m struct {
			Action, UID, Echo string
			Pos               int
			Content           []byte
		}
		k.mu.Lock()
		if json.Unmarshal([]byte(line), &m) != nil {
			k.Errorf("invalid command: %q", line)
		}
		switch m.Action {
		case "OPEN":
			if k.conn != nil {
				k.conn.Close()
			}
			k.conn, k.discarding, k.answered, k.losesBeforeBreak, k.linesLeft =
				conn, false, false, k.rng.IntN(2) == 0, 10+k.rng.IntN(300)
			k.write(`{"action":"BOOTED","code":"running","wall_ms":5}`)
			for _, n := range k.notices[min(m.Pos, len(k.notices)):] {
				k.write(n)
			}
		case "SYSINFO":
			k.write(fmt.Sprintf(`{"action":"INFO","echo":"%s","meters":[]}`, m.Echo))
			if !k.answered { // these runs end before a command that follows the reply can have arrived
				k.answered = true
				k.endAll()
			}
		case "SCHED":
			if !k.discarding {
				k.start(m.UID, string(m.Content))
			}
		case "PREEMPT":
			if run := k.testRuns[m.UID]; !k.discarding && run != nil && run.running {
				k.end(run, "broken_off")
			}
		}
		k.mu.Unlock()
	}
}

// start starts a run, or rejects it.
func (k *faultyKernel) start(uid, body string) {
	run := k.testRuns[uid]
	switch {
	case run == nil || run.body != body:
		k.write(fmt.Sprintf(`{"action":"EINVAL","code":"SCHED","uid":"%s"}`, uid))
		if run != nil {
			k.Errorf("%s came with another body: %q", uid, body)
		}
	case run.running:
	case run.ended:
		k.notice(fmt.Sprintf(`"action":"REAP","uid":"%s","code":"late","wall_ms":0`, uid))
	default:
		run.running = true
		if run.starts++; run.once && run.starts > 1 {
			k.Errorf("%s was started twice", uid)
		}
		time.AfterFunc(time.Duration(k.rng.IntN(20))*time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.end(run, "fine")
		})
	}
}

func (k *faultyKernel) end(run *testRun, code string) {
	if run.running {
		run.running = false
		content, _ := json.Marshal([]byte("of " + run.body))
		k.notice(fmt.Sprintf(`"action":"REAP","uid":"%s","code":"%s","wall_ms":2,"content":%s`, run.uid, code, content))
	}
}

func (k *faultyKernel) endAll() {
	for _, run := range k.testRuns {
		if k.rng.IntN(2) == 0 {
			k.end(run, "fine")
		}
	}
}

func (k *faultyKernel) notice(text string) {
	if k.rng.IntN(5) == 0 {
		k.notice(`"action":"DMESG","code":"hm"`)
	}
	n := fmt.Sprintf(`{"pos":%d,%s}`, len(k.notices)+1, text)
	k.notices = append(k.notices, n)
	k.write(n)
}

// write writes a line, split or twice, or breaks the connection at any point of it.
func (k *faultyKernel) write(line string) {
	if k.conn == nil {
		return
	}
	line += "\n"
	switch k.linesLeft--; {
	case k.linesLeft == 0:
		k.conn.Write([]byte(line[:k.rng.IntN(len(line)+1)]))
		k.conn.Close()
		k.conn = nil
		return
	case k.linesLeft < 20 && k.losesBeforeBreak:
		if !k.discarding {
			k.discarding = true
			failing := k.conn
			time.AfterFunc(50*time.Millisecond, func() { failing.Close() }) // at the latest, if too few lines follow
		}
	}
	if k.rng.IntN(4) == 0 {
		line += line
	}
	cut := k.rng.IntN(len(line) + 1)
	k.conn.Write([]byte(line[:cut]))
	k.conn.Write([]byte(line[cut:]))
}

// requestRun requests a run, and preempts one in ten.
func (k *faultyKernel) requestRun(n int) {
	k.mu.Lock()
	run := &testRun{uid: fmt.Sprintf("%016x", n), body: fmt.Sprintf("<body> %d", n), once: k.rng.IntN(2) == 0}
	k.testRuns[run.uid] = run
	preempted, lane := k.rng.IntN(10) == 0, []string{"look", `<&> "é"`}[k.rng.IntN(2)]
	k.mu.Unlock()
	k.pending.Add(1)
	if err := k.Link.Run(run, run.uid, lane, []byte(run.body), !run.once); err != nil {
		k.Error(err)
	}
	if preempted {
		k.Preempt(run.uid)
	}
}

// Under random kernel faults each run ends once for its owner and with its own result. A run that must not run
// twice is not started twice, and none that was started is reported as never run.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			k := &faultyKernel{T: t, Listener: listener, rng: rand.New(rand.NewPCG(seed, 42)), testRuns: map[string]*testRun{}}
			k.Link = New[*testRun](netip.MustParseAddrPort(listener.Addr().String()), k, zap.NewNop())
			k.unconfirmedTimeout = 200 * time.Millisecond
			ctx, cancel := context.WithCancel(context.Background())
			served := make(chan error)
			go func() { served <- k.Serve(ctx) }()
			go k.serve()
			for n := range 1000 {
				k.requestRun(n)
				if n%4 == 0 {
					k.Gauges(2 * time.Millisecond)
				}
			}
			ended := make(chan struct{})
			go func() {
				k.pending.Wait()
				close(ended)
			}()
			for deadline := time.After(20 * time.Second); ; k.Gauges(2 * time.Millisecond) {
				select {
				case <-ended:
				case <-deadline:
					t.Error("some runs have no end")
				default:
					continue
				}
				break
			}
			cancel()
			<-served
			listener.Close()
			k.mu.Lock()
			defer k.mu.Unlock()
			neverStarted := 0
			for _, run := range k.testRuns {
				if run.once && run.starts == 0 {
					neverStarted++
				}
			}
			t.Logf("%d runs that must not run twice never ran", neverStarted)
		})
	}
}
