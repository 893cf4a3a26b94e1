package attempt

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"valveglade/rpc"
)

// model is what a property run knows of an RPC.
type model struct {
	kind        rpc.Kind
	deadline    float64
	tries       int
	last        bool    // refused for good
	until       float64 // refused until
	mayHave     bool    // some try may have run
	at          int     // where it may have
	incarnation uint32
	crossings   int
	ended       bool
	out         map[int]Action
}

// Whatever happens, in any order: each RPC ends once; nothing is sent after its deadline, past the credit or
// to where it could take effect twice; the budget holds; some app servers are always left.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		terms := Config{Seed: rapid.Uint64().Draw(t, "seed"), MaxServers: rapid.IntRange(1, 4).Draw(t, "near"),
			HedgeAfter: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "hedge"), MaxWaiting: 5, IdleTimeout: 3, CheckPeriod: 1,
			RetryShare: rapid.SampledFrom([]float64{-1, 0.1, 0.5}).Draw(t, "share")}
		d := New(100, terms)
		names := []string{"a:1", "b:1", "c:1", "d:1"}
		d.SetServers(100, names)
		now := 100.0
		rpcs := map[ID]*model{}
		conns := map[int]connState{}
		var asked []*model
		first, further := 0, 0
		settle := func() {
			for k := 0; k < len(d.Actions); k++ {
				o := d.Actions[k]
				switch o.Kind {
				case Dial:
					if conns[o.Conn] != disconnected {
						t.Fatalf("connection %d is dialled while in use", o.Conn)
					}
					conns[o.Conn] = dialing
				case Disconnect:
					conns[o.Conn] = disconnected
				case CheckHealth:
					if conns[o.Conn] != established {
						t.Fatalf("a health check on connection %d, which is not up", o.Conn)
					}
				case Interrupt:
					if m := rpcs[o.RPC]; m != nil {
						delete(m.out, o.Try)
					}
				case Finish:
					m := rpcs[o.RPC]
					if m == nil {
						m = &model{}
						rpcs[o.RPC] = m
					}
					if m.ended {
						t.Fatalf("%v ends twice", o.RPC)
					}
					m.ended = true
				case Send:
					m := rpcs[o.RPC]
					if m == nil { // sent before Ask returned
						m = &model{kind: d.requests[o.RPC.Index].kind, deadline: o.Deadline, out: map[int]Action{}}
						rpcs[o.RPC] = m
					}
					s := &d.servers[o.Server]
					switch {
					case conns[o.Conn] != established:
						t.Fatalf("%v sent on a connection that is not up", o.RPC)
					case m.ended || now >= m.deadline:
						t.Fatalf("%v sent after its end or its deadline", o.RPC)
					case m.last || now < m.until:
						t.Fatalf("%v sent though refused", o.RPC)
					case m.kind == rpc.NonIdempotent && m.tries > 0:
						t.Fatalf("%v is non-idempotent and sent again", o.RPC)
					case m.kind == rpc.Tokened && m.mayHave && (m.at != o.Server || m.incarnation != s.incarnation):
						t.Fatalf("%v may have run at another", o.RPC)
					case d.conns[o.Conn].inFlight > MaxOpen:
						t.Fatalf("%d open on one connection", d.conns[o.Conn].inFlight)
					case now < s.avoidUntil:
						t.Fatalf("sent to one that is to be left alone")
					}
					if m.tries++; m.tries == 1 {
						first++
					} else if o.Retry {
						further++
					}
					m.at, m.incarnation = o.Server, s.incarnation
					m.out[o.Try] = o
				}
			}
			d.Actions = d.Actions[:0]
			if all, out := d.Listed(); out > all/2 {
				t.Fatalf("%d of %d are left out", out, all)
			}
			crossed := 0
			for _, m := range asked {
				crossed += m.crossings
			}
			if share := max(terms.RetryShare, 0); float64(further-crossed) > 1+share*float64(first)+1e-6 {
				t.Fatalf("%d further tries for %d first ones", further, first)
			}
		}
		settle()
		some := func(what string) (ID, *model, int) {
			var ids []ID
			for id, m := range rpcs {
				if len(m.out) > 0 && !m.ended {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return ID{}, nil, 0
			}
			slices.SortFunc(ids, func(a, b ID) int { return a.Index - b.Index })
			id := rapid.SampledFrom(ids).Draw(t, what)
			m := rpcs[id]
			try := slices.MinFunc(slices.Collect(func(yield func(int) bool) {
				for n := range m.out {
					yield(n)
				}
			}), func(a, b int) int { return a - b })
			return id, m, try
		}
		conn := func(want ...connState) (int, bool) {
			var all []int
			for k := range len(d.conns) {
				if slices.Contains(want, conns[k]) {
					all = append(all, k)
				}
			}
			if len(all) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(all).Draw(t, "conn"), true
		}
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { settle() },
			"ask": func(t *rapid.T) {
				kind := rapid.SampledFrom([]rpc.Kind{rpc.Idempotent, rpc.Tokened, rpc.NonIdempotent}).Draw(t, "kind")
				due := now + rapid.Float64Range(-0.1, 3).Draw(t, "within")
				id := d.Submit(now, rapid.IntRange(0, 2).Draw(t, "method"), kind, rapid.Float64Range(0, 0.9).Draw(t, "crit"), due)
				if rpcs[id] == nil {
					rpcs[id] = &model{kind: kind, deadline: due, out: map[int]Action{}}
				}
				asked = append(asked, rpcs[id])
				settle()
			},
			"answer": func(t *rapid.T) {
				id, m, try := some("answered")
				if m == nil {
					t.Skip()
				}
				how := rapid.SampledFrom([]Cause{Served, Served, Refused, Aborted}).Draw(t, "how")
				last := rapid.IntRange(0, 5).Draw(t, "last") == 0
				after := rapid.SampledFrom([]float64{0, 0, 0.1, 1}).Draw(t, "after")
				switch how {
				case Refused:
					m.last = m.last || last
					m.until = now + after
				case Aborted:
					m.mayHave = true
				}
				delete(m.out, try)
				d.Answered(now, id, try, how, last, after, rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 4}).Draw(t, "credit"))
				settle()
			},
			"unsent": func(t *rapid.T) {
				id, m, try := some("unsent")
				if m == nil {
					t.Skip()
				}
				if m.out[try].Retry {
					further--
				}
				delete(m.out, try)
				if m.tries--; m.tries == 0 {
					first--
				}
				d.Unsent(now, id, try)
				settle()
			},
			"gone": func(t *rapid.T) {
				id, m, _ := some("gone")
				if m == nil {
					t.Skip()
				}
				d.Abandon(now, id, rapid.Bool().Draw(t, "late"))
				settle()
			},
			"connected": func(t *rapid.T) {
				k, ok := conn(dialing)
				if !ok {
					t.Skip()
				}
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					conns[k] = disconnected
					d.ConnectFailed(now, k)
				} else {
					conns[k] = established
					d.Connected(now, k)
				}
				settle()
			},
			"dropped": func(t *rapid.T) {
				k, ok := conn(established)
				if !ok {
					t.Skip()
				}
				conns[k] = disconnected
				for _, m := range asked {
					for n, o := range m.out {
						if o.Conn == k {
							delete(m.out, n)
							m.mayHave = true
							if m.crossings == 0 && m.kind == rpc.Idempotent {
								m.crossings++
							}
						}
					}
				}
				d.Dropped(now, k, rapid.Bool().Draw(t, "faulty"))
				settle()
			},
			"draining": func(t *rapid.T) {
				k, ok := conn(established)
				if !ok {
					t.Skip()
				}
				d.Draining(now, k)
				settle()
			},
			"checked": func(t *rapid.T) {
				for k := range d.conns {
					if d.conns[k].state == established && d.conns[k].healthCheck && d.conns[k].checkPending {
						d.Checked(now, k, rapid.Bool().Draw(t, "well"), 2)
						settle()
						return
					}
				}
				t.Skip()
			},
			"list": func(t *rapid.T) {
				d.SetServers(now, names[:rapid.IntRange(0, 4).Draw(t, "names")])
				settle()
			},
			"time": func(t *rapid.T) {
				now += rapid.SampledFrom([]float64{0.001, 0.02, 0.2, 2}).Draw(t, "passes")
				for id, m := range rpcs {
					if !m.ended && now >= m.deadline {
						d.Abandon(now, id, true)
					}
				}
				d.Tick(now)
				settle()
			},
		})
		d.Close(now)
		settle()
		for _, m := range asked {
			if !m.ended {
				t.Fatalf("an RPC never ends")
			}
		}
		for k := range d.conns {
			if d.conns[k].state != disconnected {
				t.Fatalf("connection %d stays", k)
			}
		}
	})
}
