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

// testRun is one run as its owner asked for it, and what has come of it.
type testRun struct {
	uid, body string
	once      bool
	starts    int  // how often the kernel has started it
	running   bool // there
	ended     bool // its owner has had its end
	ends      int
}

// faultyKernel is a kernel whose links break at any point, with what came on them in the last 50 ms lost, whatever was answered;
// whose notices come twice, in pieces, behind remarks and late.
type faultyKernel struct {
	*testing.T
	net.Listener
	*Link[*testRun]

	mu               sync.Mutex
	rng              *rand.Rand
	orders           map[string]*testRun
	notices          []string
	conn             net.Conn
	discarding       bool // what comes on the link is lost
	answered         bool // the first question on it has been answered
	losesBeforeBreak bool // it does so before it breaks
	linesLeft        int  // until the link breaks
	pending          sync.WaitGroup
}

func (k *faultyKernel) Booted(float64, bool) {}

// Ended judges what the owner is told.
func (k *faultyKernel) Ended(o *testRun, _ float64, result []byte, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.pending.Done()
	var attempt *RunError
	switch o.ends++; {
	case o.ends > 1:
		k.Errorf("%s ended twice", o.uid)
	case err == nil && (o.starts == 0 || string(result) != "of "+o.body):
		k.Errorf("%s, started %d times, has the result %q", o.uid, o.starts, result)
	case errors.As(err, &attempt) && attempt.Progress == NeverRan && o.starts > 0 && o.once:
		k.Errorf("%s was started, and is told off as never run: %v", o.uid, err)
	}
	o.ended = true
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
			k.Errorf("no command: %q", line)
		}
		switch m.Action {
		case "OPEN":
			if k.conn != nil {
				k.conn.Close()
			}
			k.conn, k.discarding, k.answered, k.losesBeforeBreak, k.linesLeft = conn, false, false, k.rng.IntN(2) == 0, 10+k.rng.IntN(300)
			k.write(`{"action":"BOOTED","code":"running","wall_ms":5}`)
			for _, n := range k.notices[min(m.Pos, len(k.notices)):] {
				k.write(n)
			}
		case "SYSINFO":
			k.write(fmt.Sprintf(`{"action":"INFO","echo":"%s","meters":[]}`, m.Echo))
			if !k.answered { // the runs end before anything that is sent on this answer can have come
				k.answered = true
				k.endAll()
			}
		case "SCHED":
			if !k.discarding {
				k.start(m.UID, string(m.Content))
			}
		case "PREEMPT":
			if o := k.orders[m.UID]; !k.discarding && o != nil && o.running {
				k.end(o, "broken_off")
			}
		}
		k.mu.Unlock()
	}
}

// start begins a run, or refuses it.
func (k *faultyKernel) start(uid, body string) {
	o := k.orders[uid]
	switch {
	case o == nil || o.body != body:
		k.write(fmt.Sprintf(`{"action":"EINVAL","code":"SCHED","uid":"%s"}`, uid))
		if o != nil {
			k.Errorf("%s came with another body: %q", uid, body)
		}
	case o.running:
	case o.ended:
		k.notice(fmt.Sprintf(`"action":"REAP","uid":"%s","code":"late","wall_ms":0`, uid))
	default:
		o.running = true
		if o.starts++; o.once && o.starts > 1 {
			k.Errorf("%s was started twice", uid)
		}
		time.AfterFunc(time.Duration(k.rng.IntN(20))*time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.end(o, "fine")
		})
	}
}

func (k *faultyKernel) end(o *testRun, code string) {
	if o.running {
		o.running = false
		content, _ := json.Marshal([]byte("of " + o.body))
		k.notice(fmt.Sprintf(`"action":"REAP","uid":"%s","code":"%s","wall_ms":2,"content":%s`, o.uid, code, content))
	}
}

func (k *faultyKernel) endAll() {
	for _, o := range k.orders {
		if k.rng.IntN(2) == 0 {
			k.end(o, "fine")
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

// write sends a line, in pieces or twice, or breaks the link at any point of it.
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
			deaf := k.conn
			time.AfterFunc(50*time.Millisecond, func() { deaf.Close() }) // then at the latest
		}
	}
	if k.rng.IntN(4) == 0 {
		line += line
	}
	cut := k.rng.IntN(len(line) + 1)
	k.conn.Write([]byte(line[:cut]))
	k.conn.Write([]byte(line[cut:]))
}

// requestRun asks for a run, and at times stops it.
func (k *faultyKernel) requestRun(n int) {
	k.mu.Lock()
	o := &testRun{uid: fmt.Sprintf("%016x", n), body: fmt.Sprintf("<body> %d", n), once: k.rng.IntN(2) == 0}
	k.orders[o.uid] = o
	stop, lane := k.rng.IntN(10) == 0, []string{"look", `<&> "é"`}[k.rng.IntN(2)]
	k.mu.Unlock()
	k.pending.Add(1)
	if err := k.Link.Run(o, o.uid, lane, []byte(o.body), !o.once); err != nil {
		k.Error(err)
	}
	if stop {
		k.Preempt(o.uid)
	}
}

// Whatever a bad kernel does, each run ends once for its owner, with its own result; what must not run twice does not, and what
// was started is never told off as never run.
func TestRandomFaults(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			k := &faultyKernel{T: t, Listener: listener, rng: rand.New(rand.NewPCG(seed, 42)), orders: map[string]*testRun{}}
			k.Link = New[*testRun](netip.MustParseAddrPort(listener.Addr().String()), k, zap.NewNop())
			k.unconfirmedTimeout = 200 * time.Millisecond
			ctx, stop := context.WithCancel(context.Background())
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
			for late := time.After(20 * time.Second); ; k.Gauges(2 * time.Millisecond) {
				select {
				case <-ended:
				case <-late:
					t.Error("some runs have no end")
				default:
					continue
				}
				break
			}
			stop()
			<-served
			listener.Close()
			k.mu.Lock()
			defer k.mu.Unlock()
			once := 0
			for _, o := range k.orders {
				if o.once && o.starts == 0 {
					once++
				}
			}
			t.Logf("%d runs that must not run twice never ran", once)
		})
	}
}
