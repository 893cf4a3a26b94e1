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

// order is one run as its owner asked for it, and what has come of it.
type order struct {
	uid, body string
	once      bool
	begun     int  // how often the kernel has started it
	running   bool // there
	over      bool // its owner has had its end
	ends      int
}

// badKernel is a kernel whose links break at any point, with what came on them in the last 50 ms lost, whatever was answered;
// whose notices come twice, in pieces, behind remarks and late.
type badKernel struct {
	*testing.T
	net.Listener
	*Link[*order]

	mu      sync.Mutex
	r       *rand.Rand
	orders  map[string]*order
	notices []string
	conn    net.Conn
	deaf    bool // what comes on the link is lost
	synced  bool // the first question on it has been answered
	loses   bool // it does so before it breaks
	lines   int  // until the link breaks
	owed    sync.WaitGroup
}

func (k *badKernel) Booted(float64, bool) {}

// Ended judges what the owner is told.
func (k *badKernel) Ended(o *order, _ float64, result []byte, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	defer k.owed.Done()
	var attempt *RunError
	switch o.ends++; {
	case o.ends > 1:
		k.Errorf("%s ended twice", o.uid)
	case err == nil && (o.begun == 0 || string(result) != "of "+o.body):
		k.Errorf("%s, started %d times, has the result %q", o.uid, o.begun, result)
	case errors.As(err, &attempt) && attempt.Progress == NeverRan && o.begun > 0 && o.once:
		k.Errorf("%s was started, and is told off as never run: %v", o.uid, err)
	}
	o.over = true
}

func (k *badKernel) serve() {
	for {
		conn, err := k.Accept()
		if err != nil {
			return
		}
		go k.talk(conn)
	}
}

func (k *badKernel) talk(conn net.Conn) {
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
			k.conn, k.deaf, k.synced, k.loses, k.lines = conn, false, false, k.r.IntN(2) == 0, 10+k.r.IntN(300)
			k.write(`{"action":"BOOTED","code":"running","wall_ms":5}`)
			for _, n := range k.notices[min(m.Pos, len(k.notices)):] {
				k.write(n)
			}
		case "SYSINFO":
			k.write(fmt.Sprintf(`{"action":"INFO","echo":"%s","meters":[]}`, m.Echo))
			if !k.synced { // the runs end before anything that is sent on this answer can have come
				k.synced = true
				k.endAll()
			}
		case "SCHED":
			if !k.deaf {
				k.start(m.UID, string(m.Content))
			}
		case "PREEMPT":
			if o := k.orders[m.UID]; !k.deaf && o != nil && o.running {
				k.end(o, "broken_off")
			}
		}
		k.mu.Unlock()
	}
}

// start begins a run, or refuses it.
func (k *badKernel) start(uid, body string) {
	o := k.orders[uid]
	switch {
	case o == nil || o.body != body:
		k.write(fmt.Sprintf(`{"action":"EINVAL","code":"SCHED","uid":"%s"}`, uid))
		if o != nil {
			k.Errorf("%s came with another body: %q", uid, body)
		}
	case o.running:
	case o.over:
		k.notice(fmt.Sprintf(`"action":"REAP","uid":"%s","code":"late","wall_ms":0`, uid))
	default:
		o.running = true
		if o.begun++; o.once && o.begun > 1 {
			k.Errorf("%s was started twice", uid)
		}
		time.AfterFunc(time.Duration(k.r.IntN(20))*time.Millisecond, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.end(o, "fine")
		})
	}
}

func (k *badKernel) end(o *order, code string) {
	if o.running {
		o.running = false
		content, _ := json.Marshal([]byte("of " + o.body))
		k.notice(fmt.Sprintf(`"action":"REAP","uid":"%s","code":"%s","wall_ms":2,"content":%s`, o.uid, code, content))
	}
}

func (k *badKernel) endAll() {
	for _, o := range k.orders {
		if k.r.IntN(2) == 0 {
			k.end(o, "fine")
		}
	}
}

func (k *badKernel) notice(text string) {
	if k.r.IntN(5) == 0 {
		k.notice(`"action":"DMESG","code":"hm"`)
	}
	n := fmt.Sprintf(`{"pos":%d,%s}`, len(k.notices)+1, text)
	k.notices = append(k.notices, n)
	k.write(n)
}

// write sends a line, in pieces or twice, or breaks the link at any point of it.
func (k *badKernel) write(line string) {
	if k.conn == nil {
		return
	}
	line += "\n"
	switch k.lines--; {
	case k.lines == 0:
		k.conn.Write([]byte(line[:k.r.IntN(len(line)+1)]))
		k.conn.Close()
		k.conn = nil
		return
	case k.lines < 20 && k.loses:
		if !k.deaf {
			k.deaf = true
			deaf := k.conn
			time.AfterFunc(50*time.Millisecond, func() { deaf.Close() }) // then at the latest
		}
	}
	if k.r.IntN(4) == 0 {
		line += line
	}
	cut := k.r.IntN(len(line) + 1)
	k.conn.Write([]byte(line[:cut]))
	k.conn.Write([]byte(line[cut:]))
}

// order asks for a run, and at times stops it.
func (k *badKernel) order(n int) {
	k.mu.Lock()
	o := &order{uid: fmt.Sprintf("%016x", n), body: fmt.Sprintf("<body> %d", n), once: k.r.IntN(2) == 0}
	k.orders[o.uid] = o
	stop, lane := k.r.IntN(10) == 0, []string{"look", `<&> "é"`}[k.r.IntN(2)]
	k.mu.Unlock()
	k.owed.Add(1)
	if err := k.Link.Run(o, o.uid, lane, []byte(o.body), !o.once); err != nil {
		k.Error(err)
	}
	if stop {
		k.Preempt(o.uid)
	}
}

// Whatever a bad kernel does, each run ends once for its owner, with its own result; what must not run twice does not, and what
// was started is never told off as never run.
func TestDrawn(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			k := &badKernel{T: t, Listener: listener, r: rand.New(rand.NewPCG(seed, 42)), orders: map[string]*order{}}
			k.Link = New[*order](netip.MustParseAddrPort(listener.Addr().String()), k, zap.NewNop())
			k.doubtFor = 200 * time.Millisecond
			ctx, stop := context.WithCancel(context.Background())
			served := make(chan error)
			go func() { served <- k.Serve(ctx) }()
			go k.serve()
			for n := range 1000 {
				k.order(n)
				if n%4 == 0 {
					k.Gauges(2 * time.Millisecond)
				}
			}
			ended := make(chan struct{})
			go func() {
				k.owed.Wait()
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
				if o.once && o.begun == 0 {
					once++
				}
			}
			t.Logf("%d runs that must not run twice never ran", once)
		})
	}
}
