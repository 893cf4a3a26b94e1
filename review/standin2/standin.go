// Package standin2 has the stand-ins of the second review: a kernel, the roster, a proxy, and the program as a process.
package standin2

import (
	"bufio"
	"encoding/base64"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// Record writes a line for each event, with the seconds since the start. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	return &Record{file: file, start: time.Now()}, err
}

// Add writes one line.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// Run is one run that a kernel was asked for.
type Run struct {
	UID, Lane string
	Body      []byte
	Started   time.Time
}

// Kernel is a stand-in for the process that does the work. Every run takes as long as Duration says.
type Kernel struct {
	Name     string
	Record   *Record
	Duration func(Run) time.Duration
	Started  func(Run) // called at the start of each run, may be nil
	Ended    func(Run) // called at the end of each run, may be nil

	listener net.Listener
	began    time.Time
	mu       sync.Mutex
	running  map[string]Run
	link     net.Conn
	notices  []string
}

// Listen starts the kernel on a free loopback port.
func (k *Kernel) Listen() error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	k.listener, k.began, k.running = listener, time.Now().Add(-time.Minute), map[string]Run{}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return nil
}

// Address returns the address of the kernel.
func (k *Kernel) Address() string { return k.listener.Addr().String() }

// Close ends the kernel.
func (k *Kernel) Close() { k.listener.Close() }

func (k *Kernel) serve(conn net.Conn) {
	defer conn.Close()
	lines := bufio.NewReaderSize(conn, 64<<10)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		var m struct {
			Action, UID, Lane, Echo string
			Content                 []byte
			Pos                     int
		}
		if err := json.Unmarshal(line, &m); err != nil {
			return
		}
		k.mu.Lock()
		switch m.Action {
		case "OPEN":
			if k.link != nil {
				k.link.Close()
			}
			k.link = conn
			k.write(fmt.Sprintf(`{"action":"BOOTED","code":"running","wall_ms":%d}`, time.Since(k.began).Milliseconds()))
			for _, notice := range k.notices[min(m.Pos, len(k.notices)):] {
				k.write(notice)
			}
		case "SYSINFO":
			k.write(fmt.Sprintf(`{"action":"INFO","echo":%q,"meters":[0.1,%d,0.1,4]}`, m.Echo, len(k.running)))
		case "SCHED":
			k.start(Run{m.UID, m.Lane, m.Content, time.Now()})
		case "PREEMPT":
			if _, ok := k.running[m.UID]; ok {
				k.end(m.UID, "broken_off", nil)
			}
		}
		k.mu.Unlock()
	}
}

func (k *Kernel) write(line string) {
	if k.link != nil {
		k.link.SetWriteDeadline(time.Now().Add(time.Second))
		k.link.Write([]byte(line + "\n"))
	}
}

func (k *Kernel) start(r Run) {
	if _, ok := k.running[r.UID]; ok {
		return
	}
	k.running[r.UID] = r
	k.Record.Add("%s kernel: run %s %s %q begins", k.Name, r.Lane, r.UID, r.Body)
	if k.Started != nil {
		k.Started(r)
	}
	time.AfterFunc(k.Duration(r), func() {
		k.mu.Lock()
		defer k.mu.Unlock()
		if _, ok := k.running[r.UID]; ok {
			k.end(r.UID, "fine", []byte("result of "+string(r.Body)))
		}
	})
}

func (k *Kernel) end(uid, code string, result []byte) {
	r := k.running[uid]
	delete(k.running, uid)
	k.Record.Add("%s kernel: run %s %s ends %s", k.Name, r.Lane, uid, code)
	if k.Ended != nil {
		k.Ended(r)
	}
	notice := fmt.Sprintf(`{"action":"REAP","pos":%d,"uid":%q,"code":%q,"wall_ms":%d,"content":%q}`, len(k.notices)+1, uid, code,
		time.Since(r.Started).Milliseconds(), base64.StdEncoding.EncodeToString(result))
	k.notices = append(k.notices, notice)
	k.write(notice)
}

// Roster reads reports and forgets them.
type Roster struct{ conn net.PacketConn }

// NewRoster listens on a free loopback port.
func NewRoster() (*Roster, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		buffer := make([]byte, 512)
		for {
			if _, _, err := conn.ReadFrom(buffer); err != nil {
				return
			}
		}
	}()
	return &Roster{conn}, nil
}

// Address returns the address of the roster.
func (r *Roster) Address() string { return r.conn.LocalAddr().String() }

// Server is one app server, a process of the program.
type Server struct {
	Name, Listen, Kernel, Roster string
	Settings                     any      // the platform's settings
	Operators                    []string // lines of the operators' file
	Folder                       string   // for its files
	StopMillis                   int
	cmd                          *exec.Cmd
	exited                       chan struct{}
}

// FreeAddress returns an address of 127.0.0.1 that was free just now.
func FreeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// SettingsPath returns the path of the operators' file.
func (s *Server) SettingsPath() string { return filepath.Join(s.Folder, s.Name+".conf") }

// Start starts the process, with the command of the deploy file and the operators' file, and waits until it listens.
func (s *Server) Start() error {
	config, err := json.Marshal(map[string]any{"name": s.Name, "listen": s.Listen, "kernel": s.Kernel, "roster": s.Roster,
		"seed": "8c1f30d27a5be964", "stop_ms": s.StopMillis, "settings": s.Settings,
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 512}})
	if err != nil {
		return err
	}
	path := filepath.Join(s.Folder, s.Name+".json")
	if err := os.WriteFile(path, config, 0o600); err != nil {
		return err
	}
	command := "exec bin/valveglade"
	if len(s.Operators) > 0 {
		text := ""
		for _, line := range s.Operators {
			text += line + "\n"
		}
		if err := os.WriteFile(s.SettingsPath(), []byte(text), 0o600); err != nil {
			return err
		}
		command += " --settings " + s.SettingsPath()
	}
	log, err := os.OpenFile(filepath.Join(s.Folder, s.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	s.cmd, s.exited = exec.Command("/bin/sh", "-c", command), make(chan struct{})
	s.cmd.Env = append(os.Environ(), "GW_CONFIG="+path, "GW_NAME="+s.Name, "GW_LISTEN="+s.Listen)
	s.cmd.Stdout, s.cmd.Stderr = log, log
	s.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := s.cmd.Start(); err != nil {
		return err
	}
	go func(cmd *exec.Cmd, exited chan struct{}) {
		cmd.Wait()
		close(exited)
	}(s.cmd, s.exited)
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if conn, err := net.Dial("tcp", s.Listen); err == nil {
			conn.Close()
			return nil
		}
	}
	return fmt.Errorf("%s does not listen", s.Name)
}

// Signal sends a signal to the process.
func (s *Server) Signal(signal os.Signal) { s.cmd.Process.Signal(signal) }

// WaitExit waits until the process has ended by itself, and reports whether it did.
func (s *Server) WaitExit(limit time.Duration) bool {
	select {
	case <-s.exited:
		return true
	case <-time.After(limit):
		return false
	}
}

// Kill kills the process and waits for its end.
func (s *Server) Kill() {
	if s.cmd != nil && s.cmd.Process != nil {
		s.cmd.Process.Kill()
		<-s.exited
	}
}

// Proxy forwards connections to one app server. While it is silent, it accepts and forwards nothing, and resets nothing: what
// was written meanwhile arrives afterwards.
type Proxy struct {
	listener net.Listener
	target   string
	mu       sync.Mutex
	released chan struct{} // closed unless silent
}

// NewProxy listens on a free loopback port.
func NewProxy(target string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: listener, target: target, released: make(chan struct{})}
	close(p.released)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// Address returns the address of the proxy.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Close ends the proxy.
func (p *Proxy) Close() { p.listener.Close() }

// Silence makes the path silent for some time.
func (p *Proxy) Silence(length time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	released := make(chan struct{})
	p.released = released
	time.AfterFunc(length, func() { close(released) })
}

func (p *Proxy) wait() {
	p.mu.Lock()
	released := p.released
	p.mu.Unlock()
	<-released
}

func (p *Proxy) serve(client net.Conn) {
	defer client.Close()
	p.wait()
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer server.Close()
	done := make(chan struct{}, 2)
	forward := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			p.wait()
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go forward(server, client)
	go forward(client, server)
	<-done
}
