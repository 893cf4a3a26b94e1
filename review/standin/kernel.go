// Package standin holds small stand-ins for the platform round one app server: a kernel, routers and a roster. They
// follow the protocol page and nothing else, and keep a record of what they saw.
package standin

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// run is one run that the kernel was asked for.
type run struct {
	lane  string
	at    time.Time
	timer *time.Timer
}

// Kernel is a stand-in for the process that owns the cores. Runs last as long as Duration says; they do not slow each
// other.
type Kernel struct {
	// Duration returns how long a run lasts and what it gives. It is called under the kernel's lock.
	Duration func(uid, lane string, body []byte) (time.Duration, []byte)
	// Log gets one line for each event.
	Log func(format string, args ...any)
	// Ended is called for each run that ends with its result; nil for none.
	Ended func(uid, lane string, body []byte)
	// Cold makes BOOTED say that the kernel was starting.
	Cold bool

	mu       sync.Mutex
	listener net.Listener
	link     net.Conn
	started  time.Time
	notices  []string
	runs     map[string]*run
	closed   bool
}

// Listen starts the kernel on a free loopback port.
func (k *Kernel) Listen() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.listener, k.started, k.runs = l, time.Now(), map[string]*run{}
	go k.accept(l)
	return nil
}

// Address returns where app servers connect.
func (k *Kernel) Address() string { return k.listener.Addr().String() }

// Close ends the kernel.
func (k *Kernel) Close() {
	k.listener.Close()
	k.mu.Lock()
	defer k.mu.Unlock()
	k.closed = true
	if k.link != nil {
		k.link.Close()
	}
}

// Reset forgets runs and notices, as the kernel ends and starts with its app server.
func (k *Kernel) Reset() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link != nil {
		k.link.Close()
		k.link = nil
	}
	for _, r := range k.runs {
		r.timer.Stop()
	}
	k.runs, k.notices, k.started = map[string]*run{}, nil, time.Now()
}

// Running returns how many runs of a class there are now.
func (k *Kernel) Running(lane string) (n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, r := range k.runs {
		if r.lane == lane {
			n++
		}
	}
	return n
}

type command struct {
	Action  string `json:"action"`
	Pos     int    `json:"pos"`
	UID     string `json:"uid"`
	Lane    string `json:"lane"`
	Content []byte `json:"content"`
	Echo    string `json:"echo"`
}

func (k *Kernel) serve(conn net.Conn) {
	defer conn.Close()
	in := bufio.NewReader(conn)
	for {
		line, err := in.ReadBytes('\n')
		if err != nil {
			return
		}
		var c command
		if json.Unmarshal(line, &c) != nil {
			return
		}
		k.mu.Lock()
		if k.closed {
			k.mu.Unlock()
			return
		}
		k.handle(conn, c)
		k.mu.Unlock()
	}
}

func (k *Kernel) write(conn net.Conn, v any) {
	line, _ := json.Marshal(v)
	conn.Write(append(line, '\n'))
}

type reap struct {
	Action  string `json:"action"`
	Pos     int    `json:"pos"`
	UID     string `json:"uid"`
	Code    string `json:"code"`
	WallMS  int64  `json:"wall_ms"`
	Content []byte `json:"content,omitempty"`
}

func (k *Kernel) notice(n reap) {
	n.Action, n.Pos = "REAP", len(k.notices)+1
	line, _ := json.Marshal(n)
	k.notices = append(k.notices, string(line)+"\n")
	if k.link != nil {
		k.link.Write([]byte(k.notices[len(k.notices)-1]))
	}
}

func (k *Kernel) handle(conn net.Conn, c command) {
	switch c.Action {
	case "OPEN":
		if k.link != nil && k.link != conn {
			k.link.Close()
		}
		k.link = conn
		state := "running"
		if k.Cold {
			state = "starting"
		}
		k.write(conn, map[string]any{"action": "BOOTED", "code": state, "wall_ms": time.Since(k.started).Milliseconds()})
		for _, line := range k.notices[min(c.Pos, len(k.notices)):] {
			conn.Write([]byte(line))
		}
	case "SCHED":
		k.sched(c)
	case "PREEMPT":
		if r := k.runs[c.UID]; r != nil {
			r.timer.Stop()
			delete(k.runs, c.UID)
			k.notice(reap{UID: c.UID, Code: "broken_off", WallMS: time.Since(r.at).Milliseconds()})
		}
	case "SYSINFO":
		k.write(conn, map[string]any{"action": "INFO", "echo": c.Echo, "meters": []float64{}})
	}
}

func (k *Kernel) sched(c command) {
	if k.runs[c.UID] != nil {
		return
	}
	took, result := k.Duration(c.UID, c.Lane, c.Content)
	r := &run{lane: c.Lane, at: time.Now()}
	k.runs[c.UID] = r
	if k.Log != nil {
		k.Log("kernel run %s %s %s", c.UID, c.Lane, fmt.Sprintf("%.40s", c.Content))
	}
	r.timer = time.AfterFunc(took, func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if k.runs[c.UID] != r {
			return
		}
		delete(k.runs, c.UID)
		if k.Ended != nil {
			k.Ended(c.UID, c.Lane, c.Content)
		}
		k.notice(reap{UID: c.UID, Code: "fine", WallMS: time.Since(r.at).Milliseconds(), Content: result})
	})
}
func (k *Kernel) accept(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go k.serve(conn)
	}
}
