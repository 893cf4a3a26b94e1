package standin

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Record is the file record.txt of a case.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	began time.Time
}

// NewRecord creates the file.
func NewRecord(path string) (*Record, error) {
	f, err := os.Create(path)
	return &Record{file: f, began: time.Now()}, err
}

// Add writes a line with the seconds since the start.
func (r *Record) Add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%9.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// Say writes a line to the record and to standard output.
func (r *Record) Say(format string, args ...any) {
	r.Add(format, args...)
	fmt.Printf(format+"\n", args...)
}

// FreeAddress returns a loopback address with a port that is free for TCP and UDP. The port is below those that the
// system gives to outgoing connections.
func FreeAddress() (string, error) {
	for range 200 {
		address := fmt.Sprintf("127.0.0.1:%d", 15000+rand.IntN(17000))
		l, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", address)
		l.Close()
		if err == nil {
			u.Close()
			return address, nil
		}
	}
	return "", errors.New("no free port")
}

// Roster takes reports and forgets them.
type Roster struct{ conn net.PacketConn }

// NewRoster starts a roster.
func NewRoster() (*Roster, error) {
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	go func() {
		b := make([]byte, 512)
		for {
			if _, _, err := conn.ReadFrom(b); err != nil {
				return
			}
		}
	}()
	return &Roster{conn}, nil
}

// Address returns where app servers report.
func (r *Roster) Address() string { return r.conn.LocalAddr().String() }

// Server is one app server: the program as the deploy file starts it.
type Server struct {
	Name, Address, Directory string
	Config                   map[string]any
	SettingsText             string // the operators' own file; empty for none
	Sockets                  int
	cmd                      *exec.Cmd
	log                      *os.File
	done                     chan struct{}
	State                    *os.ProcessState
}

// WriteConfig writes the platform's file, in one step.
func (s *Server) WriteConfig() error {
	text, err := json.Marshal(s.Config)
	if err != nil {
		return err
	}
	path := filepath.Join(s.Directory, s.Name+".json")
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Start starts the program with the deploy file's line, from the repository's root.
func (s *Server) Start(root string) error {
	if err := s.WriteConfig(); err != nil {
		return err
	}
	run, err := RunLine(root)
	if err != nil {
		return err
	}
	if s.SettingsText != "" {
		path := filepath.Join(s.Directory, s.Name+".conf")
		if err := os.WriteFile(path, []byte(s.SettingsText), 0o600); err != nil {
			return err
		}
		run += " --settings " + path
	}
	if s.Sockets > 0 {
		run = "ulimit -n " + strconv.Itoa(s.Sockets) + " && " + run
	}
	cmd := exec.Command("/bin/sh", "-c", run)
	cmd.Dir = root
	cmd.Env = append(os.Environ(), "GW_NAME="+s.Name, "GW_LISTEN="+s.Address,
		"GW_CONFIG="+filepath.Join(s.Directory, s.Name+".json"))
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if s.log == nil {
		if s.log, err = os.Create(filepath.Join(s.Directory, s.Name+".log")); err != nil {
			return err
		}
	}
	cmd.Stdout, cmd.Stderr = s.log, s.log
	if err := cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	s.cmd, s.done = cmd, done
	go func() {
		cmd.Wait()
		s.State = cmd.ProcessState
		close(done)
	}()
	return nil
}

// RunLine returns the deploy file's line for one app server.
func RunLine(root string) (string, error) {
	text, err := os.ReadFile(filepath.Join(root, "deploy", "balancer.toml"))
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if rest, ok := strings.CutPrefix(line, "run = "); ok {
			return strconv.Unquote(strings.TrimSpace(rest))
		}
	}
	return "", fmt.Errorf("deploy/balancer.toml has no run")
}

// Ready waits until a health check says that the app server is good.
func (s *Server) Ready(within time.Duration) error { return s.await(within, "good") }

// Answers waits until the app server answers a health check, whatever it says.
func (s *Server) Answers(within time.Duration) error { return s.await(within, "good", "bad") }

func (s *Server) await(within time.Duration, answers ...string) error {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		c, err := Dial(s.Address, 1)
		if err != nil {
			continue
		}
		select {
		case a := <-c.Check():
			c.Conn.Close()
			if slices.Contains(answers, a.Kind) {
				return nil
			}
		case <-time.After(time.Second):
			c.Conn.Close()
		}
	}
	return fmt.Errorf("%s does not answer %v: %s", s.Name, answers, s.Log())
}

// Log returns the program's log.
func (s *Server) Log() string {
	text, _ := os.ReadFile(filepath.Join(s.Directory, s.Name+".log"))
	return string(bytes.TrimSpace(text))
}

// Signal sends a signal to the program.
func (s *Server) Signal(sig syscall.Signal) {
	select {
	case <-s.done:
	default:
		s.cmd.Process.Signal(sig)
	}
}

// Done is closed when the program has ended.
func (s *Server) Done() <-chan struct{} { return s.done }

// Kill ends the program at once.
func (s *Server) Kill() {
	if s.cmd == nil {
		return
	}
	s.Signal(syscall.SIGKILL)
	<-s.done
}

// Memory returns resident memory in kB: all, and what is not files.
func (s *Server) Memory() (all, anonymous int) {
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.cmd.Process.Pid))
	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) < 2 {
			continue
		}
		switch f[0] {
		case "VmRSS:":
			all, _ = strconv.Atoi(f[1])
		case "RssAnon:":
			anonymous, _ = strconv.Atoi(f[1])
		}
	}
	return all, anonymous
}
