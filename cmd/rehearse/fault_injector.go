package main

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"runtime"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/zap"

	"valveglade/config"
	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
	"valveglade/server"
)

// Faults that can be injected into a program, or into its connections to its routers and its kernel.
const (
	injectNothing     = "nothing"
	injectOtherBody   = "other-body"   // some RPCs are served with the result of another RPC
	injectSecondRun   = "second-run"   // a retry is not recognized by its token and runs again
	injectLostReply   = "lost-answer"  // some replies are not written
	injectIdleSpin    = "idle-spin"    // a goroutine runs a busy loop
	injectIgnoredStop = "ignored-stop" // SIGTERM is ignored
)

// injectionInterval is the number of messages of which one is changed or dropped.
const injectionInterval = 10

// faultInjectorCommand returns the sub-command that serves like the program, with an injected fault that the search for faults
// must find.
func faultInjectorCommand() *cobra.Command {
	return &cobra.Command{Use: "planted KIND", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return serveWithFault(args[0]) }}
}

// serveWithFault serves with the configuration from the environment and the given fault until SIGTERM. SIGHUP is ignored.
func serveWithFault(kind string) error {
	if !slices.Contains([]string{injectNothing, injectOtherBody, injectSecondRun, injectLostReply, injectIdleSpin,
		injectIgnoredStop}, kind) {
		return fmt.Errorf("unknown kind of injected fault: %q", kind)
	}
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	if kind == injectIgnoredStop {
		ctx = context.WithoutCancel(ctx)
	}
	cfg, err := config.FromEnv()
	if err != nil {
		return err
	}
	serverListener, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	routerListener, err := net.Listen("tcp", cfg.Listen.String())
	if err != nil {
		return err
	}
	kernelListener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	injector := &faultInjector{kind: kind}
	go injector.forwardConnections(routerListener, serverListener.Addr().String(), injector.forwardReplies, injector.forwardRequests)
	go injector.forwardConnections(kernelListener, cfg.Kernel.String(), injector.forwardNotices, forwardAll)
	cfg.Kernel = kernelListener.Addr().(*net.TCPAddr).AddrPort()
	if kind == injectIdleSpin {
		go func() {
			for {
				runtime.Gosched()
			}
		}()
	}
	log, err := zap.NewProduction()
	if err != nil {
		return err
	}
	// Leave time to forward the last replies to the routers before the process ends.
	defer time.Sleep(50 * time.Millisecond)
	return server.New(cfg, log).ServeOn(ctx, serverListener)
}

// faultInjector forwards the messages between the app server, its routers and its kernel, and injects a fault.
type faultInjector struct {
	kind string

	mu         sync.Mutex
	count      int             // messages so far that the fault could affect
	lastResult json.RawMessage // content of the last successful end notice
}

// forwardFunc forwards one direction of a connection until it ends.
type forwardFunc func(from, to net.Conn)

// forwardConnections accepts connections and forwards each to address, with toServer for what the client sends and toClient for
// the other direction.
func (f *faultInjector) forwardConnections(listener net.Listener, address string, toClient, toServer forwardFunc) {
	for {
		client, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer client.Close()
			upstream, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer upstream.Close()
			var directions sync.WaitGroup
			directions.Go(func() { toServer(client, upstream); upstream.(*net.TCPConn).CloseWrite() })
			directions.Go(func() { toClient(upstream, client); client.(*net.TCPConn).CloseWrite() })
			directions.Wait()
		}()
	}
}

// forwardAll forwards all bytes unchanged.
func forwardAll(from, to net.Conn) { io.Copy(to, from) }

// shouldInject reports whether this message is affected by a fault of the given kind: one in injectionInterval is.
func (f *faultInjector) shouldInject(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kind != kind {
		return false
	}
	f.count++
	return f.count%injectionInterval == 0
}

// forwardReplies forwards replies, and drops some if the fault is injectLostReply.
func (f *faultInjector) forwardReplies(from, to net.Conn) {
	in := readbuffer.New(thrift.MaxFrame + 4)
	for {
		_, size, err := thrift.Frame(in.Bytes())
		switch {
		case err == nil && size == 0:
			err = in.Fill(from)
		case err == nil:
			if !bytes.Contains(in.Bytes()[:size], []byte("execute")) || !f.shouldInject(injectLostReply) {
				_, err = to.Write(in.Bytes()[:size])
			}
			in.Discard(size)
		}
		if err != nil {
			return
		}
	}
}

// tokenKey is the encoded key of the token field. The token's length and the token follow it.
var tokenKey = []byte("\x00\x00\x00\x06dedupe")

// forwardRequests forwards the routers' messages, and replaces each token by a new one if the fault is injectSecondRun.
func (f *faultInjector) forwardRequests(from, to net.Conn) {
	if f.kind != injectSecondRun {
		forwardAll(from, to)
		return
	}
	in := readbuffer.New(thrift.MaxFrame + 4)
	for {
		_, size, err := thrift.Frame(in.Bytes())
		switch {
		case err == nil && size == 0:
			err = in.Fill(from)
		case err == nil:
			frame := in.Bytes()[:size]
			if at := bytes.Index(frame, tokenKey); at >= 0 {
				f.mu.Lock()
				f.count++
				copy(frame[at+len(tokenKey)+4:], fmt.Sprintf("%016x", f.count))
				f.mu.Unlock()
			}
			_, err = to.Write(frame)
			in.Discard(size)
		}
		if err != nil {
			return
		}
	}
}

// forwardNotices forwards the kernel's notices, rewritten by rewriteNotice.
func (f *faultInjector) forwardNotices(from, to net.Conn) {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		if _, err := to.Write(f.rewriteNotice(line)); err != nil {
			return
		}
	}
}

// rewriteNotice returns the notice that the app server reads: for injectOtherBody, some end notices carry the result of an
// earlier run.
func (f *faultInjector) rewriteNotice(line []byte) []byte {
	var notice map[string]json.RawMessage
	if json.Unmarshal(line, &notice) != nil || string(notice["action"]) != `"REAP"` || string(notice["code"]) != `"fine"` {
		return line
	}
	swapResult := f.shouldInject(injectOtherBody)
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.lastResult
	f.lastResult = notice["content"]
	if !swapResult || previous == nil {
		return line
	}
	notice["content"] = previous
	changed, err := json.Marshal(notice)
	if err != nil {
		return line
	}
	return append(changed, '\n')
}
