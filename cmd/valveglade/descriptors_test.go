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

// kernelStub is a kernel that is up and leaves runs to the test.
type kernelStub struct {
	net.Listener
	link chan net.Conn // each link that has been opened
	runs chan string   // ids of what is asked for
}

func newKernelStub(t *testing.T) *kernelStub {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { listener.Close() })
	k := &kernelStub{Listener: listener, link: make(chan net.Conn, 100), runs: make(chan string, 100)}
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

func (k *kernelStub) serve(link net.Conn) {
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

// execute writes one RPC.
func execute(to io.Writer, seq int) error {
	text := func(s string) string { return string(binary.BigEndian.AppendUint32(nil, uint32(len(s)))) + s }
	pairs := []string{"op", "look", "call", fmt.Sprintf("%016x", seq), "src", "1", "recv", fmt.Sprint(time.Now().UnixMilli()),
		"ttl", "30000", "heap", "10"}
	frame := "\x80\x01\x00\x01" + text("execute") + string(binary.BigEndian.AppendUint32(nil, uint32(seq))) +
		"\x0d\x00\x01\x0b\x0b" + string(binary.BigEndian.AppendUint32(nil, uint32(len(pairs)/2)))
	for _, s := range pairs {
		frame += text(s)
	}
	_, err := io.WriteString(to, text(frame+"\x0b\x00\x02"+text("body")+"\x00"))
	return err
}

// answer reads one message.
func answer(from io.Reader) (string, error) {
	head := make([]byte, 4)
	if _, err := io.ReadFull(from, head); err != nil {
		return "", err
	}
	b := make([]byte, binary.BigEndian.Uint32(head))
	_, err := io.ReadFull(from, b)
	return string(b), err
}

// fillDescriptors lowers the process's limit to what it holds.
func (p *program) fillDescriptors(t *testing.T) {
	t.Helper()
	names, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", p.Process.Pid))
	if err != nil {
		t.Fatal(err)
	}
	held := map[int]bool{}
	for _, name := range names {
		n, _ := strconv.Atoi(name.Name())
		held[n] = true
	}
	free := 0
	for held[free] {
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
		t.Skipf("the system does not let a limit be lowered: %v", failed)
	}
}

// processorTime is what the process has used of the processor.
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

// The system has no descriptor left for the process while a router's RPC runs: newcomers are told, nobody spins, the RPC is answered,
// and a new configuration with another kernel is taken over.
func TestDescriptorsFull(t *testing.T) {
	kernel := newKernelStub(t)
	p := startProgram(t, os.Stderr)
	p.setKernel(t, kernel.Addr().String())
	p.answers(t)
	p.Process.Signal(syscall.SIGHUP)
	link := receive(t, kernel.link)
	router, err := net.Dial("tcp", p.address)
	if err != nil {
		t.Fatal(err)
	}
	defer router.Close()
	router.SetDeadline(time.Now().Add(2 * patience))
	execute(router, 1)
	receive(t, kernel.runs)

	p.fillDescriptors(t)
	before := p.processorTime(t)
	began := time.Now()
	for range 5 {
		newcomer, err := net.Dial("tcp", p.address)
		if err != nil {
			t.Fatal(err)
		}
		newcomer.SetDeadline(time.Now().Add(3 * time.Second))
		execute(newcomer, 1)
		// An answer, or a close over what has not been read.
		if _, err := answer(newcomer); errors.Is(err, os.ErrDeadlineExceeded) {
			t.Errorf("a newcomer hears nothing: %v", err)
		}
		newcomer.Close()
	}
	time.Sleep(time.Second - min(time.Second, time.Since(began)))
	if used, span := p.processorTime(t)-before, time.Since(began); used > span/4 {
		t.Errorf("%v of the processor in %v", used, span)
	}
	fmt.Fprintf(link, `{"action":"REAP","pos":1,"uid":"%016x","code":"fine","wall_ms":9,"content":"b25l"}`+"\n", 1)
	if got, err := answer(router); err != nil || !strings.Contains(got, "one") {
		t.Errorf("the RPC that ran is answered %q, %v", got, err)
	}

	second := newKernelStub(t)
	p.setKernel(t, second.Addr().String())
	p.Process.Signal(syscall.SIGHUP)
	time.Sleep(3 * time.Second) // longer than a faulty file is looked at again
	kernel.Close()
	receive(t, second.link)
	p.limitDescriptors(t, 1<<10)
	p.answers(t)
	p.stops(t)
}

func receive[T any](t *testing.T, from chan T) T {
	t.Helper()
	select {
	case v := <-from:
		return v
	case <-time.After(patience):
		t.Fatal("never came")
		panic("not reached")
	}
}
