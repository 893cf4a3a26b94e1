package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"sync"
	"time"
)

// Kernel stands in for the process that owns the cores: it takes commands on its link and carries out runs, each of
// which lasts as long as its body says, longer while more run than there are cores.
type Kernel struct {
	address string
	cores   float64
	server  string // whose kernel it is, for the checker
	check   *Checker
	backend *Backend // what its runs reach, nil for nothing

	mu        sync.Mutex
	listener  net.Listener
	link      net.Conn
	linkedAt  time.Time     // when BOOTED was last said
	withheld  chan struct{} // closed when links may be answered again; nil while they are
	notices   []string      // numbered from 1
	runs      map[string]*run
	slow      float64 // how much longer everything takes
	hung      bool
	looked    time.Time
	timer     *time.Timer
	closed    bool
	began     time.Time
	coldStart ColdStart // after a restart
	cold      bool      // it has been restarted
}

// run is one on the cores.
type run struct {
	uid, id string
	left    float64 // seconds of work
	began   time.Time
	stopped bool // it was asked to stop
	backend bool // it counts there
}

// NewKernel listens on a free port.
func NewKernel(server string, cores int, check *Checker) (*Kernel, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &Kernel{address: listener.Addr().String(), listener: listener, cores: float64(cores), server: server, check: check, runs: map[string]*run{}, slow: 1,
		looked: time.Now(), began: time.Now()}
	k.timer = time.AfterFunc(time.Hour, k.turn)
	go k.serve(listener)
	return k, nil
}

// Address is where app servers find it.
func (k *Kernel) Address() string { return k.address }

// Slow makes all work take so many times as long.
func (k *Kernel) Slow(times float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	k.slow = times
	k.set()
}

// Hang stops all work, or lets it go on.
func (k *Kernel) Hang(hung bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	k.hung = hung
	for _, r := range k.runs {
		if r.stopped && !hung {
			k.end(r, "broken_off", nil)
		}
	}
	k.set()
}

// Restart forgets all runs and notices, as with the app server's own restart.
func (k *Kernel) Restart() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	for _, r := range k.runs {
		if r.backend { // nobody takes it back there
			time.AfterFunc(time.Duration(max(r.left, 0)/max(k.rate(), 0.01)*float64(time.Second)), func() { k.backend.add(k.server, -1) })
		}
	}
	k.runs, k.notices = map[string]*run{}, nil
	k.looked, k.began = time.Now(), time.Now()
	k.cold = k.coldStart.Ramp > 0
	k.dropLink()
}

// Boot has the cold start begin now, if there is one.
func (k *Kernel) Boot() {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.cold {
		k.looked, k.began = time.Now(), time.Now()
	}
}

// Began is when it started.
func (k *Kernel) Began() time.Time {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.began
}

// warming tells whether it is cold and has not yet its full speed.
func (k *Kernel) warming() bool { return k.cold && time.Since(k.began) < k.coldStart.Ramp }

// warmth is the share of its full speed that it has now.
func (k *Kernel) warmth() float64 {
	if !k.warming() {
		return 1
	}
	return k.coldStart.Warmth(time.Since(k.began))
}

// Close ends it.
func (k *Kernel) Close() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.listener.Close()
	if k.withheld != nil {
		close(k.withheld)
		k.withheld = nil
	}
	k.closed = true
	k.timer.Stop()
	k.dropLink()
}

func (k *Kernel) serve(listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		go k.talk(nc)
	}
}

// talk carries out what comes on one link.
func (k *Kernel) talk(nc net.Conn) {
	defer nc.Close()
	lines := bufio.NewScanner(nc)
	lines.Buffer(make([]byte, 64<<10), 1<<20)
	for lines.Scan() {
		var m struct {
			Action, UID, Lane, Echo string
			Pos                     int
			Content                 []byte
		}
		if err := json.Unmarshal(lines.Bytes(), &m); err != nil {
			return
		}
		if m.Action == "OPEN" {
			k.awaitRelease()
		}
		k.mu.Lock()
		switch m.Action {
		case "OPEN":
			if k.link != nil && k.link != nc {
				k.link.Close()
			}
			k.link, k.linkedAt = nc, time.Now()
			code := "running"
			if k.cold && k.coldStart.Window > 0 {
				code = "starting"
			}
			fmt.Fprintf(nc, `{"action":"BOOTED","code":"%s","wall_ms":%d}`+"\n", code, time.Since(k.began).Milliseconds()+1)
			for _, line := range k.notices[min(m.Pos, len(k.notices)):] {
				fmt.Fprintln(nc, line)
			}
		case "SYSINFO":
			fmt.Fprintf(nc, `{"action":"INFO","echo":"%s","meters":[]}`+"\n", m.Echo)
		case "SCHED":
			k.start(m.UID, m.Lane, m.Content)
		case "PREEMPT":
			k.pass()
			if r := k.runs[m.UID]; r != nil {
				if r.stopped = true; !k.hung { // what hangs cannot be stopped either
					k.end(r, "broken_off", nil)
				}
			}
			k.set()
		}
		k.mu.Unlock()
	}
}

func (k *Kernel) start(uid, lane string, body []byte) {
	if k.runs[uid] != nil {
		return
	}
	k.pass()
	id, work, ok := ReadBody(body)
	if !ok {
		fmt.Fprintf(k.link, `{"action":"EINVAL","code":"SCHED","uid":"%s"}`+"\n", uid)
		return
	}
	k.check.Started(k.server, id)
	k.runs[uid] = &run{uid: uid, id: id, left: work, began: time.Now(), backend: k.backend.counts(lane)}
	if k.backend.counts(lane) {
		k.backend.add(k.server, 1)
	}
	k.set()
}

// rate is how fast each run goes on.
func (k *Kernel) rate() float64 {
	if k.hung {
		return 0
	}
	return min(1, k.cores/max(float64(len(k.runs)), 1)) / k.slow / k.backend.slower() * k.warmth()
}

// pass takes off the work done since the last look.
func (k *Kernel) pass() {
	now := time.Now()
	done := now.Sub(k.looked).Seconds() * k.rate()
	k.looked = now
	for _, r := range k.runs {
		r.left -= done
	}
}

// set has the timer come when the next run is over.
func (k *Kernel) set() {
	rate, first := k.rate(), 3600.0
	for _, r := range k.runs {
		if rate > 0 {
			first = min(first, r.left/rate)
		}
	}
	if k.warming() {
		first = min(first, warmingStep.Seconds()) // its speed changes meanwhile
	}
	if !k.closed {
		k.timer.Reset(time.Duration(max(first, 0) * float64(time.Second)))
	}
}

func (k *Kernel) turn() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.pass()
	for _, r := range k.runs {
		if r.left <= 0 {
			k.end(r, "fine", Answer(r.id))
		}
	}
	k.set()
}

// warmingStep is between looks while the speed rises.
const warmingStep = 10 * time.Millisecond

// mostNotices are kept: the protocol's figure.
const mostNotices = 4000

// end gives notice of a run's end.
func (k *Kernel) end(r *run, code string, result []byte) {
	delete(k.runs, r.uid)
	if r.backend {
		k.backend.add(k.server, -1)
	}
	content, _ := json.Marshal(result)
	line := fmt.Sprintf(`{"action":"REAP","pos":%d,"uid":"%s","code":"%s","wall_ms":%.3f,"content":%s}`, len(k.notices)+1,
		r.uid, code, max(time.Since(r.began).Seconds()*1000, 0.001), content)
	k.notices = append(k.notices, line)
	if old := len(k.notices) - mostNotices; old > 0 {
		k.notices[old-1] = ""
	}
	if k.link != nil {
		k.link.SetWriteDeadline(time.Now().Add(time.Second))
		fmt.Fprintln(k.link, line)
	}
}
