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
	c, err := config.FromEnv()
	if err != nil {
		return err
	}
	inner, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return err
	}
	outer, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return err
	}
	link, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	plant := &faultInjector{kind: kind}
	go plant.forwardConnections(outer, inner.Addr().String(), plant.forwardReplies, plant.forwardRequests)
	go plant.forwardConnections(link, c.Kernel.String(), plant.forwardNotices, forwardAll)
	c.Kernel = link.Addr().(*net.TCPAddr).AddrPort()
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
	return server.New(c, log).ServeOn(ctx, inner)
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
func (p *faultInjector) forwardConnections(listener net.Listener, address string, back, forth forwardFunc) {
	for {
		near, err := listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer near.Close()
			far, err := net.Dial("tcp", address)
			if err != nil {
				return
			}
			defer far.Close()
			var both sync.WaitGroup
			both.Go(func() { forth(near, far); far.(*net.TCPConn).CloseWrite() })
			both.Go(func() { back(far, near); near.(*net.TCPConn).CloseWrite() })
			both.Wait()
		}()
	}
}

func forwardAll(from, to net.Conn) { io.Copy(to, from) }

// now tells whether what happens now and then happens.
func (p *faultInjector) shouldInject(kind string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.kind != kind {
		return false
	}
	p.count++
	return p.count%injectionInterval == 0
}

// passFrames carries answers, and may lose one.
func (p *faultInjector) forwardReplies(from, to net.Conn) {
	in := readbuffer.New(thrift.MaxFrame + 4)
	for {
		_, size, err := thrift.Frame(in.Bytes())
		switch {
		case err == nil && size == 0:
			err = in.Fill(from)
		case err == nil:
			if !bytes.Contains(in.Bytes()[:size], []byte("execute")) || !p.shouldInject(injectLostReply) {
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
func (p *faultInjector) forwardRequests(from, to net.Conn) {
	if p.kind != injectSecondRun {
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
				p.mu.Lock()
				p.count++
				copy(frame[at+len(tokenKey)+4:], fmt.Sprintf("%016x", p.count))
				p.mu.Unlock()
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
func (p *faultInjector) forwardNotices(from, to net.Conn) {
	lines := bufio.NewReader(from)
	for {
		line, err := lines.ReadBytes('\n')
		if err != nil {
			return
		}
		if _, err := to.Write(p.rewriteNotice(line)); err != nil {
			return
		}
	}
}

// notice is what the app server reads of a notice.
func (p *faultInjector) rewriteNotice(line []byte) []byte {
	var notice map[string]json.RawMessage
	if json.Unmarshal(line, &notice) != nil || string(notice["action"]) != `"REAP"` || string(notice["code"]) != `"fine"` {
		return line
	}
	swap := p.shouldInject(injectOtherBody)
	p.mu.Lock()
	defer p.mu.Unlock()
	last := p.lastResult
	p.lastResult = notice["content"]
	if !swap || last == nil {
		return line
	}
	notice["content"] = last
	changed, err := json.Marshal(notice)
	if err != nil {
		return line
	}
	return append(changed, '\n')
}
