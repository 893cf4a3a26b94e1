// Command simhost hosts one decision module for each app server of the bench
// and carries events and actions between them and the wire.
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
	h := &host{guests: map[uint32]*guest{}}
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

type host struct {
	now    float64
	guests map[uint32]*guest
	reply  wire.Reply

	strange bool // an unknown event has been told of
}

// guest is one app server: its module, and small indices for the wire's ids.
type guest struct {
	*host
	who     uint32
	module  *logic.Module
	index   map[uint64]int
	handles []uint64
	spare   []int
	callers map[uint16]int
}

// Hello starts an instance. Settings that cannot be read, or that the module has no meaning for, end it with the key named; the
// others go on.
func (h *host) Hello(who uint32, _ uint64, params []byte) {
	deployment, err := settings.Parse(params)
	if err == nil {
		err = deployment.Check()
	}
	if err != nil {
		delete(h.guests, who)
		h.reply.Broken(who, "settings: "+err.Error())
		return
	}
	g := &guest{host: h, who: who, index: map[uint64]int{}, callers: map[uint16]int{}}
	h.guests[who] = g
	g.module = logic.New(h.now, deployment, g)
}

// Unknown events disturb nobody; one line tells of the first.
func (h *host) Unknown(who uint32, code byte) {
	if !h.strange {
		h.strange = true
		fmt.Fprintf(os.Stderr, "simhost: event of an unknown kind, or that points outside its batch: code %d, instance %d\n", code, who)
	}
}

func (h *host) Order(who uint32, handle uint64, lay float64, further, reads bool, repeats uint64, due float64,
	from uint16, tenant uint32, kb float64, class uint16) {
	g := h.guests[who]
	if g == nil {
		return
	}
	caller, ok := g.callers[from]
	if !ok {
		caller = len(g.callers)
		g.callers[from] = caller
	}
	earlier := rpc.RepeatsNone
	if repeats != 0 {
		if earlier, ok = g.index[repeats]; !ok {
			earlier = rpc.RepeatsReleased
		}
	}
	i := len(g.handles)
	if n := len(g.spare); n > 0 {
		i, g.spare = g.spare[n-1], g.spare[:n-1]
		g.handles[i] = handle
	} else {
		g.handles = append(g.handles, handle)
	}
	g.index[handle] = i
	g.module.Arrive(h.now, i, int(class), caller, int(tenant), lay, further, reads, due, kb, earlier)
}

// find looks up an RPC that is still in hand; what is not is passed over.
func (h *host) find(who uint32, handle uint64) (*guest, int, bool) {
	g := h.guests[who]
	if g == nil {
		return nil, 0, false
	}
	i, ok := g.index[handle]
	return g, i, ok
}

func (h *host) WoundUp(who uint32, handle uint64, result uint16, took float64) {
	if g, i, ok := h.find(who, handle); ok {
		g.module.Ended(h.now, i, rpc.Outcome(result), took)
	}
}

func (h *host) Stalled(who uint32, handle uint64) {
	if g, i, ok := h.find(who, handle); ok {
		g.module.NeedsCall(h.now, i)
	}
}

func (h *host) Downstream(who uint32, handle uint64, result uint16, _ float64) {
	if g, i, ok := h.find(who, handle); ok {
		g.module.Called(h.now, i, rpc.Outcome(result))
	}
}

func (h *host) Notice(who uint32, at float64) {
	if g := h.guests[who]; g != nil {
		g.module.Leave(h.now, at)
	}
}

func (h *host) Lapsed(who uint32, handle uint64) {
	if g, i, ok := h.find(who, handle); ok {
		g.module.CallerGone(h.now, i)
	}
}

func (h *host) Elapsed(who uint32, _ uint64, n int, stats [4]float64) {
	if g := h.guests[who]; g != nil {
		g.module.Tick(h.now, stats[:n])
	}
}

func (h *host) Stop(who uint32) { delete(h.guests, who) }

func (g *guest) BlockingLimit(int) int        { return 0 } // app servers share no limit there
func (g *guest) Start(i int)                  { g.reply.Take(g.who, g.handles[i]) }
func (g *guest) Stop(i int)                   { g.reply.Interrupt(g.who, g.handles[i]) }
func (g *guest) Call(i int, patience float64) { g.reply.Dial(g.who, g.handles[i], patience) }
func (g *guest) Skip(i int)                   { g.reply.Skip(g.who, g.handles[i]) }
func (g *guest) Abort(i int)                  { g.reply.Fail(g.who, g.handles[i]) }
func (g *guest) Remember(i int, span float64) { g.reply.RecordKey(g.who, g.handles[i], span) }
func (g *guest) Forget(i int)                 { g.reply.Evict(g.who, g.handles[i]) }
func (g *guest) Follow(i int)                 { g.reply.Join(g.who, g.handles[i]) }
func (g *guest) Publish(value float64)        { g.reply.Publish(g.who, value) }
func (g *guest) Reap(idle float64)            { g.reply.ReapAfter(g.who, idle) }
func (g *guest) Health(good bool)             { g.reply.Health(g.who, true, good) }
func (g *guest) Wake(after float64)           { g.reply.Remind(g.who, after, 0) }
func (g *guest) Log(text string)              { g.reply.Debug(g.who, text) }
func (g *guest) PushBack(i int, last bool, after float64) {
	g.reply.Busy(g.who, g.handles[i], last, after)
}

func (g *guest) Release(i int) {
	delete(g.index, g.handles[i])
	g.spare = append(g.spare, i)
}
