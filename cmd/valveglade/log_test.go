package main

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"
)

// serveVariable has the test's binary be the program.
const serveVariable = "VALVEGLADE_TEST_SERVES"

// patience is for what must come: longer than any machine takes, as a test that passes never waits for it.
const patience = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is the program as a process of its own, with a kernel that is not up.
type program struct {
	*exec.Cmd
	address string
	config  string // the path of its configuration
	ended   chan error
}

// startProgram starts the program with a standard error of the test's.
func startProgram(t *testing.T, standardError *os.File) *program {
	t.Helper()
	kernel, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { kernel.Close() })
	free, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := &program{address: free.Addr().String(), config: filepath.Join(t.TempDir(), "config.json"), ended: make(chan error, 1)}
	free.Close()
	p.setKernel(t, kernel.Addr().String())
	p.Cmd = exec.Command(os.Args[0])
	p.Env = append(os.Environ(), serveVariable+"=1", "GW_CONFIG="+p.config)
	p.Stderr = standardError
	p.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := p.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { p.ended <- p.Wait() }()
	t.Cleanup(func() { p.Process.Kill() })
	return p
}

// setKernel writes the configuration.
func (p *program) setKernel(t *testing.T, address string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"kernel":%q,"roster":"127.0.0.1:9","stop_ms":1000,
		"settings":{"profiles":[{"name":"look","idempotency":"retryable"}]}}`, p.address, address)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// check makes one health check on a connection of its own.
func (p *program) check() error {
	const call = "\x00\x00\x00\x12\x80\x01\x00\x01\x00\x00\x00\x05check\x00\x00\x00\x01\x00"
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(time.Second))
	if _, err := io.WriteString(conn, call); err != nil {
		return err
	}
	head := make([]byte, 4)
	if _, err := io.ReadFull(conn, head); err != nil {
		return err
	}
	_, err = io.ReadFull(conn, make([]byte, binary.BigEndian.Uint32(head)))
	return err
}

// answers waits until the program answers health checks.
func (p *program) answers(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(patience / 2); ; time.Sleep(10 * time.Millisecond) {
		err := p.check()
		switch {
		case err == nil:
			return
		case time.Now().After(end):
			t.Fatalf("nobody answers: %v", err)
		}
		select {
		case err := <-p.ended:
			t.Fatalf("the process has ended: %v", err)
		default:
		}
	}
}

// stops gives notice and expects a clean end.
func (p *program) stops(t *testing.T) {
	t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(patience):
		t.Error("still runs after its notice")
	}
}

// fullPipe gives a pipe that takes nothing more.
func fullPipe(t *testing.T) (reader, writer *os.File) {
	t.Helper()
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		reader.Close()
		writer.Close()
	})
	raw, err := writer.SyscallConn()
	if err != nil {
		t.Fatal(err)
	}
	raw.Control(func(fd uintptr) {
		for err == nil {
			_, err = syscall.Write(int(fd), make([]byte, 1<<10))
		}
	})
	if !errors.Is(err, syscall.EAGAIN) {
		t.Fatalf("filling a pipe: %v", err)
	}
	return reader, writer
}

// Nobody reads the log, and its pipe is full: the app server serves, reloads and ends as ever.
func TestFullLog(t *testing.T) {
	_, writer := fullPipe(t)
	p := startProgram(t, writer)
	p.answers(t)
	p.Process.Signal(syscall.SIGHUP)
	p.answers(t)
	p.stops(t)
}

// Who read the log has ended: the app server serves, reloads and ends as ever.
func TestClosedLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	p := startProgram(t, writer)
	writer.Close()
	p.answers(t)
	p.Process.Signal(syscall.SIGHUP)
	p.answers(t)
	p.stops(t)
}

// A start that fails says why and ends, also where nobody reads that.
func TestFullLogAtFailedStart(t *testing.T) {
	_, writer := fullPipe(t)
	p := startProgram(t, writer)
	p.answers(t)
	second := exec.Command(os.Args[0])
	second.Env = append(os.Environ(), serveVariable+"=1", "GW_CONFIG="+p.config)
	second.Stderr = writer
	second.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := second.Start(); err != nil {
		t.Fatal(err)
	}
	ended := make(chan error, 1)
	go func() { ended <- second.Wait() }()
	select {
	case err := <-ended:
		if second.ProcessState.ExitCode() != 1 {
			t.Errorf("an address that is taken: %v, wanted exit status 1", err)
		}
	case <-time.After(patience):
		second.Process.Kill()
		t.Error("hangs where it cannot listen")
	}
	p.stops(t)
}
