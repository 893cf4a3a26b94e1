package main

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"valveglade/client"
	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
	"valveglade/rig"
)

// echoCommand returns the sub-command that is the server of the overhead measurement: a process of its own, so that its
// processor time is not counted. It ends after the first line on its standard input, or when that is closed.
func echoCommand() *cobra.Command {
	return &cobra.Command{Use: "echo", Hidden: true, Args: cobra.NoArgs, RunE: func(cmd *cobra.Command, _ []string) error {
		s, err := rig.NewStub(nil)
		if err != nil {
			return err
		}
		fmt.Fprintln(cmd.OutOrStdout(), s.Address())
		bufio.NewReader(os.Stdin).ReadString('\n')
		s.Close()
		return nil
	}}
}

// processCPUTime returns the processor time that this process has used.
func processCPUTime() time.Duration {
	var usage syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// measureOverhead compares the processor time of an RPC through the client with that of writing and reading the same
// frames directly.
func (run *experimentRun) measureOverhead() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	echo := exec.Command(self, "echo")
	in, err := echo.StdinPipe()
	if err != nil {
		return err
	}
	output, err := echo.StdoutPipe()
	if err != nil {
		return err
	}
	echo.Stderr = os.Stderr
	if err := echo.Start(); err != nil {
		return err
	}
	defer echo.Wait()
	defer in.Close()
	address, err := bufio.NewReader(output).ReadString('\n')
	if err != nil {
		return err
	}
	address = strings.TrimSpace(address)
	const workers, callsPerWorker = 8, 3000
	rounds := 3
	if run.Long {
		rounds = 12
	}
	caller, err := client.New(client.Servers(address), client.Seed(run.Seed),
		client.Methods(map[string]client.Method{"look": {Kind: client.Idempotent}}))
	if err != nil {
		return err
	}
	defer caller.Close()
	body := rig.EncodeBody("x", 0)
	clientCalls := func() error {
		return runConcurrently(workers, func() error {
			for range callsPerWorker {
				ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				_, err := caller.Call(ctx, "look", body)
				stop()
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	rawFrameCalls := func() error {
		return runConcurrently(workers, func() error { return rawCalls(address, callsPerWorker, body) })
	}
	if err := clientCalls(); err != nil { // warm-up: opens the connections and fills the caches
		return err
	}
	var cpuSeconds, mallocs [2]float64
	for range rounds { // alternate between the two, since the machine's speed drifts
		for k, measured := range []func() error{rawFrameCalls, clientCalls} {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := processCPUTime()
			if err := measured(); err != nil {
				return err
			}
			cpuSeconds[k] += (processCPUTime() - began).Seconds()
			runtime.ReadMemStats(&after)
			mallocs[k] += float64(after.Mallocs - before.Mallocs)
		}
	}
	calls := float64(workers * callsPerWorker * rounds)
	run.report("raw.cpu.us", cpuSeconds[0]/calls*1e6)
	run.report("client.cpu.us", cpuSeconds[1]/calls*1e6)
	run.atMost("overhead", cpuSeconds[1]/cpuSeconds[0], 2.0)
	run.report("client.allocations", mallocs[1]/calls)
	return nil
}

// runConcurrently runs f n times concurrently and returns the first error.
func runConcurrently(n int, f func() error) error {
	var calls sync.WaitGroup
	errs := make(chan error, n)
	for range n {
		calls.Go(func() { errs <- f() })
	}
	calls.Wait()
	for range n {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// rawCalls writes and reads the frames of n RPCs on one connection, without any other work of a client.
func rawCalls(address string, n int, body []byte) error {
	connection, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer connection.Close()
	buffer := readbuffer.New(thrift.MaxFrame + 4)
	var out []byte
	for k := range n {
		now := float64(time.Now().UnixMilli()) / 1000
		out = thrift.Execute(out[:0], int32(k+1), "look", "0123456789abcdef", 1, now, 5, 1, 0, false, "", "", body)
		if _, err := connection.Write(out); err != nil {
			return err
		}
		for {
			frame, size, err := thrift.Frame(buffer.Bytes())
			if err == nil && size == 0 {
				err = buffer.Fill(connection)
			}
			if err != nil {
				return err
			}
			if size > 0 {
				_ = frame
				buffer.Discard(size)
				break
			}
		}
	}
	return nil
}
