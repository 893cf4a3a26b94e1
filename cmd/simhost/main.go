// Command simhost runs a decision module for each app server of the simulator and exchanges events and actions with it
// in the simulator's binary protocol.
package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"os"

	"valveglade/internal/settings"
	"valveglade/logic"
	"valveglade/rpc"
	"valveglade/wire"
)

func main() {
	if err := serve(os.Stdin, os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "simhost:", err)
		os.Exit(1)
	}
}

func serve(in io.Reader, out io.Writer) error {
	r := bufio.NewReaderSize(in, 1<<20)
	h := &host{servers: map[uint32]*appServer{}}
	var buf []byte
	for {
		frame, err := wire.ReadFrame(r, buf)
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		buf = frame
		h.now = wire.Clock(frame)
		if err := wire.Decode(frame, h); err != nil {
			return err
		}
		if _, err := h.reply.WriteTo(out); err != nil {
			return err
		}
	}
}

// host runs the app servers and handles the simulator's events.
type host struct {
	now     float64               // simulated time in seconds
	servers map[uint32]*appServer // by instance
	reply   wire.Reply

	unknownReported bool // an unknown event has been logged
}

// appServer is one app server: its module, and the small indexes under which the module knows RPCs and callers.
type appServer struct {
	*host
	instance      uint32
	module        *logic.Module
	indexByHandle map[uint64]int // of pending RPCs
	handles       []uint64       // by index
	freeIndexes   []int          // of released RPCs
	callers       map[uint16]int // index by id
}

// Hello starts an instance. Invalid settings end this instance with an error that names the key; other instances
// continue.
func (h *host) Hello(instance uint32, _ uint64, params []byte) {
	deployment, err := settings.Parse(params)
	if err == nil {
		err = deployment.Check()
	}
	if err != nil {
		delete(h.servers, instance)
		h.reply.Broken(instance, "settings: "+err.Error())
		return
	}
	s := &appServer{host: h, instance: instance, indexByHandle: map[uint64]int{}, callers: map[uint16]int{}}
	h.servers[instance] = s
	s.module = logic.New(h.now, deployment, s)
}

// Unknown ignores the event and logs the first one.
func (h *host) Unknown(instance uint32, code byte) {
	if !h.unknownReported {
		h.unknownReported = true
		fmt.Fprintf(os.Stderr, "simhost: unknown event, or one that refers to data outside its batch: code %d, instance %d\n",
			code, instance)
	}
}

func (h *host) Order(instance uint32, handle uint64, readDelay float64, isRetry, readOnly bool, repeatOf uint64,
	deadline float64, callerID uint16, tenant uint32, sizeKB float64, method uint16) {
	s := h.servers[instance]
	if s == nil {
		return
	}
	caller, ok := s.callers[callerID]
	if !ok {
		caller = len(s.callers)
		s.callers[callerID] = caller
	}
	repeatedRPC := rpc.RepeatsNone
	if repeatOf != 0 {
		if repeatedRPC, ok = s.indexByHandle[repeatOf]; !ok {
			repeatedRPC = rpc.RepeatsReleased
		}
	}
	i := len(s.handles)
	if n := len(s.freeIndexes); n > 0 {
		i, s.freeIndexes = s.freeIndexes[n-1], s.freeIndexes[:n-1]
		s.handles[i] = handle
	} else {
		s.handles = append(s.handles, handle)
	}
	s.indexByHandle[handle] = i
	s.module.Arrive(h.now, i, int(method), caller, int(tenant), readDelay, isRetry, readOnly,
		deadline, sizeKB, repeatedRPC)
}

// find looks up a pending RPC; events of RPCs that have been released are ignored.
func (h *host) find(instance uint32, handle uint64) (*appServer, int, bool) {
	s := h.servers[instance]
	if s == nil {
		return nil, 0, false
	}
	i, ok := s.indexByHandle[handle]
	return s, i, ok
}

func (h *host) WoundUp(instance uint32, handle uint64, result uint16, duration float64) {
	if s, i, ok := h.find(instance, handle); ok {
		s.module.Ended(h.now, i, rpc.Outcome(result), duration)
	}
}

func (h *host) Stalled(instance uint32, handle uint64) {
	if s, i, ok := h.find(instance, handle); ok {
		s.module.NeedsCall(h.now, i)
	}
}

func (h *host) Downstream(instance uint32, handle uint64, result uint16, _ float64) {
	if s, i, ok := h.find(instance, handle); ok {
		s.module.Called(h.now, i, rpc.Outcome(result))
	}
}

func (h *host) Notice(instance uint32, stopTime float64) {
	if s := h.servers[instance]; s != nil {
		s.module.Leave(h.now, stopTime)
	}
}

func (h *host) Lapsed(instance uint32, handle uint64) {
	if s, i, ok := h.find(instance, handle); ok {
		s.module.CallerGone(h.now, i)
	}
}

func (h *host) Elapsed(instance uint32, _ uint64, count int, gauges [4]float64) {
	if s := h.servers[instance]; s != nil {
		s.module.Tick(h.now, gauges[:count])
	}
}

func (h *host) Stop(instance uint32) { delete(h.servers, instance) }

func (s *appServer) BlockingLimit(int) int       { return 0 } // the simulator has no limits shared by app servers
func (s *appServer) Start(i int)                 { s.reply.Take(s.instance, s.handles[i]) }
func (s *appServer) Stop(i int)                  { s.reply.Interrupt(s.instance, s.handles[i]) }
func (s *appServer) Call(i int, timeout float64) { s.reply.Dial(s.instance, s.handles[i], timeout) }
func (s *appServer) Skip(i int)                  { s.reply.Skip(s.instance, s.handles[i]) }
func (s *appServer) Abort(i int)                 { s.reply.Fail(s.instance, s.handles[i]) }
func (s *appServer) Remember(i int, ttl float64) { s.reply.RecordKey(s.instance, s.handles[i], ttl) }
func (s *appServer) Forget(i int)                { s.reply.Evict(s.instance, s.handles[i]) }
func (s *appServer) Follow(i int)                { s.reply.Join(s.instance, s.handles[i]) }
func (s *appServer) Publish(value float64)       { s.reply.Publish(s.instance, value) }
func (s *appServer) Reap(idleTimeout float64)    { s.reply.ReapAfter(s.instance, idleTimeout) }
func (s *appServer) Health(healthy bool)         { s.reply.Health(s.instance, true, healthy) }
func (s *appServer) Wake(delay float64)          { s.reply.Remind(s.instance, delay, 0) }
func (s *appServer) Log(text string)             { s.reply.Debug(s.instance, text) }
func (s *appServer) PushBack(i int, final bool, retryAfter float64) {
	s.reply.Busy(s.instance, s.handles[i], final, retryAfter)
}

func (s *appServer) Release(i int) {
	delete(s.indexByHandle, s.handles[i])
	s.freeIndexes = append(s.freeIndexes, i)
}
