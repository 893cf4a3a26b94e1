package main

import (
	"bufio"
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
	"unsafe"
)

// fakeKernel is a kernel that is running; the test ends the runs.
type fakeKernel struct {
	net.Listener
	link chan net.Conn // accepted links
	runs chan string   // ids of the requested runs
}

func newFakeKernel(t *testing.T) *fakeKernel {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	k := &fakeKernel{Listener: listener, link: make(chan net.Conn, 100), runs: make(chan string, 100)}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go k.serve(conn)
		}
	}()
	return k
}

func (k *fakeKernel) serve(link net.Conn) {
	defer link.Close()
	lines := bufio.NewScanner(link)
	for lines.Scan() {
		var m struct{ Action, UID, Echo string }
		json.Unmarshal(lines.Bytes(), &m)
		switch m.Action {
		case "OPEN":
			fmt.Fprintln(link, `{"action":"BOOTED","code":"running","wall_ms":10}`)
			k.link <- link
		case "SYSINFO":
			fmt.Fprintf(link, `{"action":"INFO","echo":%q,"meters":[]}`+"\n", m.Echo)
		case "SCHED":
			k.runs <- m.UID
		}
	}
}

// execute sends one RPC.
func execute(to io.Writer, seq int) error {
	text := func(s string) string { return string(binary.BigEndian.AppendUint32(nil, uint32(len(s)))) + s }
	pairs := []string{"op", "look", "call", fmt.Sprintf("%016x", seq), "src", "1",
		"recv", fmt.Sprint(time.Now().UnixMilli()), "ttl", "30000", "heap", "10"}
	frame := "\x80\x01\x00\x01" + text("execute") + string(binary.BigEndian.AppendUint32(nil, uint32(seq))) +
		"\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(pairs)/2)))
	for _, s := range pairs {
		frame += text(s)
	}
	_, err := io.WriteString(to, text(frame+"\x0b\x00\x02"+text("body")+"\x00"))
	return err
}

// readReply reads one message.
func readReply(from io.Reader) (string, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(from, head); err != nil {
		return "", err
	}
	b := make([]byte, binary.BigEndian.Uint32(head))
	_, err := io.ReadFull(from, b)
	return string(b), err
}

// fillDescriptors lowers the descriptor limit of the process to the descriptors that it has open.
func (p *program) fillDescriptors(t *testing.T) {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	open := map[int]bool{}
	for _, name := range names {
		n, _ := strconv.Atoi(name.Name())
		open[n] = true
	}
	free := 0
	for open[free] {
		free++
	}
	p.limitDescriptors(t, uint64(free))
}

func (p *program) limitDescriptors(t *testing.T, to uint64) {
	t.Helper()
	limit := syscall.Rlimit{Cur: to, Max: 1 << 10}
	_, _, failed := syscall.RawSyscall6(syscall.SYS_PRLIMIT64, uintptr(p.Process.Pid), syscall.RLIMIT_NOFILE,
		uintptr(unsafe.Pointer(&limit)), 0, 0, 0)
	if failed != 0 {
		t.Skipf("the system does not allow the limit to be lowered: %v", failed)
	}
}

// processorTime returns the processor time that the process has used.
func (p *program) processorTime(t *testing.T) time.Duration {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	fields := strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))
	ticks := 0
	for _, field := range fields[11:13] {
		n, _ := strconv.Atoi(field)
		ticks += n
	}
	return time.Duration(ticks) * time.Second / 100
}

// The process is out of descriptors while an RPC of a router runs: new connections are rejected, no loop spins, the
// RPC is answered, and a new configuration with another kernel takes effect.
func TestDescriptorsFull(t *testing.T) {
	kernel := newFakeKernel(t)
	p := startProgram(t, os.Stderr)
	p.setKernel(t, kernel.Addr().String())
	p.waitHealthy(t)
	p.Process.Signal(syscall.SIGHUP)
	link := receive(t, kernel.link)
	router, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer router.Close()
	router.SetDeadline(time.Now().Add(2 * testTimeout))
	execute(router, 1)
	receive(t, kernel.runs)

	p.fillDescriptors(t)
	before := p.processorTime(t)
	began := time.Now()
	for range 5 {
		newConn, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		newConn.SetDeadline(time.Now().Add(3 * time.Second))
		execute(newConn, 1)
		// Either a reply, or a close with unread data.
		if _, err := readReply(newConn); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a new connection gets no reply: %v", err)
		}
		newConn.Close()
	}
	time.Sleep(time.Second - min(time.Second, time.Since(began)))
	if used, elapsed := p.processorTime(t)-before, time.Since(began); used > elapsed/4 {
		t.Errorf("used %v of processor time in %v", used, elapsed)
	}
	fmt.Fprintf(link, `{"action":"REAP","pos":1,"uid":"%016x","code":"fine","wall_ms":9,"content":"b25l"}`+"\n", 1)
	if got, err := readReply(router); err != nil || !strings.Contains(got, "one") {
		t.Errorf("reply to the running RPC: %q, %v", got, err)
	}

	second := newFakeKernel(t)
	p.setKernel(t, second.Addr().String())
	p.Process.Signal(syscall.SIGHUP)
	time.Sleep(3 * time.Second) // longer than the interval at which an invalid file is read again
	kernel.Close()
	receive(t, second.link)
	p.limitDescriptors(t, 1<<10)
	p.waitHealthy(t)
	p.shutDown(t)
}

func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(testTimeout):
		t.Fatal("timed out waiting for an event")
		panic("unreachable")
	}
}
