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

// serveVariable is the environment variable that makes the test binary run the program.
const serveVariable = "VALVEGLADE_TEST_SERVES"

// testTimeout bounds waits for events that must happen. It is long, as a test that passes never waits for it.
const testTimeout = 20 * time.Second

func TestMain(m *testing.M) {
	if os.Getenv(serveVariable) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// program is the program in a process of its own, with a kernel that accepts connections but never answers.
type program struct {
	*exec.Cmd
	address string
	config  string // path of its configuration file
	ended   chan error
}

// startProgram starts the program with the given standard error.
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
	p := &program{address: free.Addr().String(), config: filepath.Join(t.TempDir(), "config.json"),
		ended: make(chan error, 1)}
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

// setKernel writes a configuration with the given address of the kernel.
func (p *program) setKernel(t *testing.T, address string) {
	t.Helper()
	text := fmt.Sprintf(`{"name":"n1","listen":%q,"kernel":%q,"roster":"127.0.0.1:9","stop_ms":1000,
		"settings":{"profiles":[{"name":"look","idempotency":"retryable"}]}}`, p.address, address)
	if err := os.WriteFile(p.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
}

// checkHealth makes one health check on a new connection.
func (p *program) checkHealth() error {
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

// waitHealthy waits until the program answers health checks.
func (p *program) waitHealthy(t *testing.T) {
	t.Helper()
	for end := time.Now().Add(testTimeout / 2); ; time.Sleep(10 * time.Millisecond) {
		err := p.checkHealth()
		switch {
		case err == nil:
			return
		case time.Now().After(end):
			t.Fatalf("no reply to health checks: %v", err)
		}
		select {
		case err := <-p.ended:
			t.Fatalf("the process has ended: %v", err)
		default:
		}
	}
}

// shutDown sends SIGTERM and expects a clean exit.
func (p *program) shutDown(t *testing.T) {
	t.Helper()
	p.Process.Signal(syscall.SIGTERM)
	select {
	case err := <-p.ended:
		if err != nil {
			t.Errorf("ended with %v", err)
		}
	case <-time.After(testTimeout):
		t.Error("still running after SIGTERM")
	}
}

// fullPipe returns a pipe whose buffer is full.
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

// Nobody reads the log and its pipe is full: the app server serves, reloads and exits as usual.
func TestFullLog(t *testing.T) {
	_, writer := fullPipe(t)
	p := startProgram(t, writer)
	p.waitHealthy(t)
	p.Process.Signal(syscall.SIGHUP)
	p.waitHealthy(t)
	p.shutDown(t)
}

// The reader of the log has exited: the app server serves, reloads and exits as usual.
func TestClosedLog(t *testing.T) {
	reader, writer, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	reader.Close()
	p := startProgram(t, writer)
	writer.Close()
	p.waitHealthy(t)
	p.Process.Signal(syscall.SIGHUP)
	p.waitHealthy(t)
	p.shutDown(t)
}

// A failed start exits with status 1 even if nobody reads its error.
func TestFullLogAtFailedStart(t *testing.T) {
	_, writer := fullPipe(t)
	p := startProgram(t, writer)
	p.waitHealthy(t)
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
			t.Errorf("listening on an address in use: %v, want exit status 1", err)
		}
	case <-time.After(testTimeout):
		second.Process.Kill()
		t.Error("does not exit when it cannot listen")
	}
	p.shutDown(t)
}
