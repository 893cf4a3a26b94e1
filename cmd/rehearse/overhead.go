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

// echoCommand is the other side of the overhead's measurement, in a process of its own so that its processor time
// does not count. It ends with its standard input.
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

// cpu is the processor time that this process has taken.
func cpu() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// overhead compares an RPC through the client with writing and reading the same frames raw.
func (p *play) overhead() error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	echo := exec.Command(self, "echo")
	in, err := echo.StdinPipe()
	if err != nil {
		return err
	}
	out, err := echo.StdoutPipe()
	if err != nil {
		return err
	}
	echo.Stderr = os.Stderr
	if err := echo.Start(); err != nil {
		return err
	}
	defer echo.Wait()
	defer in.Close()
	address, err := bufio.NewReader(out).ReadString('\n')
	if err != nil {
		return err
	}
	address = strings.TrimSpace(address)
	const workers, each = 8, 3000
	rounds := 3
	if p.Long {
		rounds = 12
	}
	c, err := client.New(client.Servers(address), client.Seed(p.Seed),
		client.Methods(map[string]client.Method{"look": {Kind: client.Idempotent}}))
	if err != nil {
		return err
	}
	defer c.Close()
	body := rig.EncodeBody("x", 0)
	through := func() error {
		return together(workers, func() error {
			for range each {
				ctx, stop := context.WithTimeout(context.Background(), 5*time.Second)
				_, err := c.Call(ctx, "look", body)
				stop()
				if err != nil {
					return err
				}
			}
			return nil
		})
	}
	raw := func() error {
		return together(workers, func() error { return rawCalls(address, each, body) })
	}
	if err := through(); err != nil { // connections and caches come first
		return err
	}
	var spent, mallocs [2]float64
	for range rounds { // in turn, as the machine's speed drifts
		for k, f := range []func() error{raw, through} {
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			began := cpu()
			if err := f(); err != nil {
				return err
			}
			spent[k] += (cpu() - began).Seconds()
			runtime.ReadMemStats(&after)
			mallocs[k] += float64(after.Mallocs - before.Mallocs)
		}
	}
	n := float64(workers * each * rounds)
	p.inform("raw.cpu.us", spent[0]/n*1e6)
	p.inform("client.cpu.us", spent[1]/n*1e6)
	p.atMost("overhead", spent[1]/spent[0], 2.0)
	p.inform("client.allocations", mallocs[1]/n)
	return nil
}

// together runs f so many times at once.
func together(n int, f func() error) error {
	var all sync.WaitGroup
	errs := make(chan error, n)
	for range n {
		all.Go(func() { errs <- f() })
	}
	all.Wait()
	for range n {
		if err := <-errs; err != nil {
			return err
		}
	}
	return nil
}

// rawCalls writes and reads the frames that a client would, and nothing more.
func rawCalls(address string, n int, body []byte) error {
	nc, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer nc.Close()
	buffer := readbuffer.New(thrift.MaxFrame + 4)
	var out []byte
	for k := range n {
		now := float64(time.Now().UnixMilli()) / 1000
		out = thrift.Execute(out[:0], int32(k+1), "look", "0123456789abcdef", 1, now, 5, 1, 0, false, "", "", body)
		if _, err := nc.Write(out); err != nil {
			return err
		}
		for {
			frame, size, err := thrift.Frame(buffer.Bytes())
			if err == nil && size == 0 {
				err = buffer.Fill(nc)
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
