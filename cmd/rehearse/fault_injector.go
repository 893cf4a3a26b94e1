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

// What can be planted in a program, between it and its routers or its kernel.
const (
	injectNothing     = "nothing"
	injectOtherBody   = "other-body"   // now and then an RPC is served with another's result
	injectSecondRun   = "second-run"   // a repeat is not known by its token and runs again
	injectLostReply   = "lost-answer"  // now and then an answer is not written
	injectIdleSpin    = "idle-spin"    // a loop that waits for nothing
	injectIgnoredStop = "ignored-stop" // SIGTERM is not heeded
)

// plantEvery is how often what happens now and then does.
const injectionInterval = 10

// plantedCommand serves as the program does, with a mistake in it: the judge of the search for faults has to find it.
func faultInjectorCommand() *cobra.Command {
	return &cobra.Command{Use: "planted KIND", Hidden: true, Args: cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error { return serveWithFault(args[0]) }}
}

func serveWithFault(kind string) error {
	if !slices.Contains([]string{injectNothing, injectOtherBody, injectSecondRun, injectLostReply, injectIdleSpin, injectIgnoredStop}, kind) {
		return fmt.Errorf("nothing called %q can be planted", kind)
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
	// Answers that are on their way through the front go out before the process ends.
	defer time.Sleep(50 * time.Millisecond)
	return server.New(cfg, log).ServeOn(ctx, serverListener)
}

// plant is what stands between the app server and the others.
type faultInjector struct {
	kind string

	mu         sync.Mutex
	count      int
	lastResult json.RawMessage // of the last result
}

// passing carries one direction until it ends.
type forwardFunc func(from, to net.Conn)

// between passes connections on to an address: back is what comes from there.
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

func forwardAll(from, to net.Conn) { io.Copy(to, from) }

// now tells whether what happens now and then happens.
func (f *faultInjector) shouldInject(kind string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.kind != kind {
		return false
	}
	f.count++
	return f.count%injectionInterval == 0
}

// passFrames carries answers, and may lose one.
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

// tokenKey begins the field of a token; its length and the token follow.
var tokenKey = []byte("\x00\x00\x00\x06dedupe")

// passRequests carries what routers say, and may have each token be another one.
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

// passNotices carries what the kernel says, and may change it or act on it.
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

// notice is what the app server reads of a notice.
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
