package rig

import (
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"testing"
	"time"
)

// A script must be parsed back from its text unchanged, a seed must always draw the same script, and a parse error must state
// what is wrong and in which line.
func TestScript(t *testing.T) {
	for seed := range uint64(50) {
		script := RandomScript(seed, []string{"n1", "n2", "n3", "n4", "n5"}, 12, 20*time.Second)
		again, err := ParseScript(script.String())
		if err != nil || again.String() != script.String() || len(script) < 2 {
			t.Fatalf("seed %d: %v\n%s\n%s", seed, err, script, again)
		}
		if RandomScript(seed, []string{"n1", "n2", "n3", "n4", "n5"}, 12, 20*time.Second).String() != script.String() {
			t.Fatalf("seed %d draws two different scripts", seed)
		}
	}
	if RandomScript(1, []string{"n1", "n2"}, 9, time.Second).String() ==
		RandomScript(2, []string{"n1", "n2"}, 9, time.Second).String() {
		t.Error("two seeds draw the same script")
	}
	for text, want := range map[string]string{"2 cut a>b": "line 1: invalid time \"2\"", "\n1s shake a": "line 2: unknown fault",
		"1s": "missing verb", "1s loss a>b": "takes 2 arguments", "1s cut a": "does not name two groups", "1s loss a>b 300%": "invalid share",
		"1s delay a>b x 1s": "invalid duration"} {
		if _, err := ParseScript(text); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", text, err)
		}
	}
}

// newUDPPair returns two UDP sockets, of slots 1 and 2, and the network that connects them.
func newUDPPair(t *testing.T) (network *FaultyNetwork, one, two *net.UDPConn) {
	t.Helper()
	network, err := NewFaultyNetwork(1)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(network.Close)
	for slot := 1; slot <= 2; slot++ {
		if err := network.Add(slot); err != nil {
			t.Fatal(err)
		}
	}
	open := func(slot int) *net.UDPConn {
		conn, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(network.ListenAddress(slot)))
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { conn.Close() })
		return conn
	}
	return network, open(1), open(2)
}

// sendPackets sends n packets from one socket to the other, which has the given slot. It returns how many arrived and the time
// until the last one, or -1 if a packet came from the wrong address.
func sendPackets(network *FaultyNetwork, from, to *net.UDPConn, slot, n int) (received int, last time.Duration) {
	begin := time.Now()
	for k := range n {
		from.WriteToUDPAddrPort([]byte(fmt.Sprint(k)), network.AdvertisedAddress(slot))
	}
	buffer := make([]byte, 100)
	for {
		to.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		if _, src, err := to.ReadFromUDPAddrPort(buffer); err != nil {
			return received, last
		} else if src.Addr() != network.AdvertisedAddress(3-slot).Addr() {
			return -1, 0 // not the advertised address of the sender
		}
		received, last = received+1, time.Since(begin)
	}
}

// Each fault of a path takes effect in one direction only and ends with Heal.
func TestPaths(t *testing.T) {
	network, one, two := newUDPPair(t)
	if n, _ := sendPackets(network, one, two, 2, 50); n != 50 {
		t.Errorf("%d of 50 packets arrived on a path without faults", n)
	}
	network.Change(1, 2, func(path *Path) { path.Cut = true })
	if n, _ := sendPackets(network, one, two, 2, 50); n != 0 {
		t.Errorf("%d of 50 packets arrived during a cut", n)
	}
	if n, _ := sendPackets(network, two, one, 1, 50); n != 50 {
		t.Errorf("%d of 50 packets arrived in the other direction", n)
	}
	network.Heal()
	network.Change(1, 2, func(path *Path) { path.Loss = 0.5 })
	if n, _ := sendPackets(network, one, two, 2, 200); n < 60 || n > 140 {
		t.Errorf("%d of 200 packets arrived at a loss of 50%%", n)
	}
	network.Heal()
	network.Change(1, 2, func(path *Path) { path.Duplication, path.Delay = 1, 100*time.Millisecond })
	if n, last := sendPackets(network, one, two, 2, 50); n != 100 || last < 100*time.Millisecond {
		t.Errorf("%d packets arrived of 50 duplicated ones, the last after %v", n, last)
	}
	network.Heal()
	network.Change(1, 2, func(path *Path) { path.Rate = 500 })
	if n, last := sendPackets(network, one, two, 2, 50); n != 50 || last < 150*time.Millisecond {
		t.Errorf("%d of 50 packets arrived at a limited rate, the last after %v", n, last)
	}
}

// A stream must stall while a path is cut, continue after that and come from the advertised address of its sender. A stream to an
// address at which no process listens must be closed.
func TestStreams(t *testing.T) {
	network, _, _ := newUDPPair(t)
	listener, err := net.Listen("tcp", network.ListenAddress(2).String())
	if err != nil {
		t.Fatal(err)
	}
	defer listener.Close()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				buffer := make([]byte, 100)
				n, _ := conn.Read(buffer)
				host, _, _ := net.SplitHostPort(conn.RemoteAddr().String())
				fmt.Fprintf(conn, "%s from %s", buffer[:n], host)
			}()
		}
	}()
	dial := func() (net.Conn, error) {
		dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: network.ListenAddress(1).Addr().AsSlice()}}
		conn, err := dialer.Dial("tcp", network.AdvertisedAddress(2).String())
		if err != nil {
			return nil, err
		}
		t.Cleanup(func() { conn.Close() })
		conn.SetDeadline(time.Now().Add(5 * time.Second))
		return conn, nil
	}
	buffer := make([]byte, 100)
	network.Change(2, 1, func(path *Path) { path.Cut = true })
	conn, err := dial()
	if err != nil {
		t.Fatal(err)
	}
	fmt.Fprint(conn, "hello")
	conn.SetReadDeadline(time.Now().Add(200 * time.Millisecond))
	if n, err := conn.Read(buffer); err == nil {
		t.Errorf("read %q during a cut", buffer[:n])
	}
	network.Heal()
	conn.SetReadDeadline(time.Now().Add(5 * time.Second))
	if n, err := conn.Read(buffer); err != nil || string(buffer[:n]) != "hello from "+network.AdvertisedAddress(1).Addr().String() {
		t.Errorf("%q, %v", buffer[:n], err)
	}
	listener.Close()
	conn, err = dial()
	if errors.Is(err, syscall.ECONNRESET) {
		return // the network resets the stream before the dialer has noticed that it was established
	}
	if err != nil {
		t.Fatal(err)
	}
	if n, err := conn.Read(buffer); err == nil || n > 0 {
		t.Errorf("read %q from an address at which no process listens", buffer[:n])
	}
}

// A process that the rig started must end with the rig, even if the rig is killed.
func TestProcessesEndWithTheRig(t *testing.T) {
	if path := os.Getenv("RIG_CHILD"); path != "" {
		process := &Process{}
		if _, err := process.spawn(exec.Command("sleep", "60"), func(error) {}); err != nil {
			os.Exit(1)
		}
		os.WriteFile(path+".part", []byte(strconv.Itoa(process.Pid())), 0o600)
		os.Rename(path+".part", path)
		select {}
	}
	path := filepath.Join(t.TempDir(), "pid")
	rig := exec.Command(os.Args[0], "-test.run=^TestProcessesEndWithTheRig$")
	rig.Env = append(os.Environ(), "RIG_CHILD="+path)
	if err := rig.Start(); err != nil {
		t.Fatal(err)
	}
	waitUntil := func(failure string, condition func() bool) {
		for end := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
			if time.Now().After(end) {
				rig.Process.Kill()
				t.Fatal(failure)
			}
		}
	}
	pid := 0
	waitUntil("the rig started no process", func() bool {
		text, err := os.ReadFile(path)
		pid, _ = strconv.Atoi(string(text))
		return err == nil && pid > 0
	})
	rig.Process.Kill()
	rig.Wait()
	// An ended process may remain as a zombie until its parent reaps it.
	waitUntil("the process outlives the rig", func() bool {
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
		return err != nil || strings.Contains(string(text), ") Z ") || syscall.Kill(pid, 0) != nil
	})
}
