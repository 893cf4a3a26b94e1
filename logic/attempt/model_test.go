package attempt

import (
	"slices"
	"testing"

	"pgregory.net/rapid"

	"valveglade/rpc"
)

// model tracks what a property run expects of an RPC.
type model struct {
	kind            rpc.Kind
	deadline        float64
	tries           int
	noRetry         bool    // an app server forbade further tries
	pushedBackUntil float64 // end of the retry-after delay
	mayHaveRun      bool    // some try may have run
	lastServer      int     // index of the app server of the last try
	incarnation     uint32  // of that app server
	resends         int     // tries lost with their connection that may be resent outside the budget
	ended           bool
	out             map[int]Action // tries in flight, by number
}

// Under any order of events: each RPC finishes once; nothing is sent after its deadline, during a retry-after
// delay or where it could have a second effect; the retry budget holds; at least half of the app servers stay
// in use.
func TestAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := Config{Seed: rapid.Uint64().Draw(t, "seed"),
			MaxServers: rapid.IntRange(1, 4).Draw(t, "maxServers"),
			HedgeAfter: rapid.SampledFrom([]float64{0, 0.05}).Draw(t, "hedge"),
			MaxWaiting: 5, IdleTimeout: 3, CheckPeriod: 1,
			RetryShare: rapid.SampledFrom([]float64{-1, 0.1, 0.5}).Draw(t, "share")}
		d := New(100, config)
		names := []string{"a:1", "b:1", "c:1", "d:1"}
		d.SetServers(100, names)
		now := 100.0
		requests := map[ID]*model{}
		conns := map[int]connState{}
		var submitted []*model
		firstTries, retries := 0, 0
		checkActions := func() {
			for index := 0; index < len(d.Actions); index++ {
				action := d.Actions[index]
				switch action.Kind {
				case Dial:
					if conns[action.Conn] != disconnected {
						t.Fatalf("connection %d is dialed while in use", action.Conn)
					}
					conns[action.Conn] = dialing
				case Disconnect:
					conns[action.Conn] = disconnected
				case CheckHealth:
					if conns[action.Conn] != connected {
						t.Fatalf("health check on connection %d, which is not established", action.Conn)
					}
				case Interrupt:
					if m := requests[action.RPC]; m != nil {
						delete(m.out, action.Try)
					}
				case Finish:
					m := requests[action.RPC]
					if m == nil {
						m = &model{}
						requests[action.RPC] = m
					}
					if m.ended {
						t.Fatalf("%v finishes twice", action.RPC)
					}
					m.ended = true
				case Send:
					m := requests[action.RPC]
					if m == nil { // sent before Submit returned
						m = &model{kind: d.requests[action.RPC.Index].kind, deadline: action.Deadline,
							out: map[int]Action{}}
						requests[action.RPC] = m
					}
					s := &d.servers[action.Server]
					switch {
					case conns[action.Conn] != connected:
						t.Fatalf("%v sent on a connection that is not established", action.RPC)
					case m.ended || now >= m.deadline:
						t.Fatalf("%v sent after its outcome or its deadline", action.RPC)
					case m.noRetry || now < m.pushedBackUntil:
						t.Fatalf("%v sent although a pushback forbids it", action.RPC)
					case m.kind == rpc.NonIdempotent && m.tries > 0:
						t.Fatalf("%v is non-idempotent and was retried", action.RPC)
					case m.kind == rpc.Tokened && m.mayHaveRun &&
						(m.lastServer != action.Server || m.incarnation != s.incarnation):
						t.Fatalf("%v may have run in another process", action.RPC)
					case d.conns[action.Conn].openTries > MaxOpen:
						t.Fatalf("%d RPCs in flight on one connection", d.conns[action.Conn].openTries)
					case now < s.avoidUntil:
						t.Fatalf("RPC sent during the retry-after delay of its app server")
					}
					if m.tries++; m.tries == 1 {
						firstTries++
					} else if action.Retry {
						retries++
					}
					m.lastServer, m.incarnation = action.Server, s.incarnation
					m.out[action.Try] = action
				}
			}
			d.Actions = d.Actions[:0]
			if all, out := d.Listed(); out > all/2 {
				t.Fatalf("%d of %d app servers are excluded", out, all)
			}
			crossed := 0
			for _, m := range submitted {
				crossed += m.resends
			}
			if share := max(config.RetryShare, 0); float64(retries-crossed) >
				1+share*float64(firstTries)+1e-6 {
				t.Fatalf("%d retries for %d first tries", retries, firstTries)
			}
		}
		checkActions()
		pickInFlight := func(label string) (ID, *model, int) {
			var ids []ID
			for id, m := range requests {
				if len(m.out) > 0 && !m.ended {
					ids = append(ids, id)
				}
			}
			if len(ids) == 0 {
				return ID{}, nil, 0
			}
			slices.SortFunc(ids, func(a, b ID) int { return a.Index - b.Index })
			id := rapid.SampledFrom(ids).Draw(t, label)
			m := requests[id]
			try := slices.MinFunc(slices.Collect(func(yield func(int) bool) {
				for n := range m.out {
					yield(n)
				}
			}), func(a, b int) int { return a - b })
			return id, m, try
		}
		pickConn := func(want ...connState) (int, bool) {
			var all []int
			for index := range len(d.conns) {
				if slices.Contains(want, conns[index]) {
					all = append(all, index)
				}
			}
			if len(all) == 0 {
				return 0, false
			}
			return rapid.SampledFrom(all).Draw(t, "conn"), true
		}
		// Rapid orders the events by their keys, so a changed key invalidates the failures recorded in
		// testdata.
		t.Repeat(map[string]func(*rapid.T){
			"": func(*rapid.T) { checkActions() },
			"ask": func(t *rapid.T) {
				kind := rapid.SampledFrom([]rpc.Kind{rpc.Idempotent, rpc.Tokened,
					rpc.NonIdempotent}).Draw(t, "kind")
				replyDeadline := now + rapid.Float64Range(-0.1, 3).Draw(t, "timeout")
				id := d.Submit(now, rapid.IntRange(0, 2).Draw(t, "method"), kind,
					rapid.Float64Range(0, 0.9).Draw(t, "criticality"), replyDeadline)
				if requests[id] == nil {
					requests[id] = &model{kind: kind, deadline: replyDeadline, out: map[int]Action{}}
				}
				submitted = append(submitted, requests[id])
				checkActions()
			},
			"answer": func(t *rapid.T) {
				id, m, try := pickInFlight("answered")
				if m == nil {
					t.Skip()
				}
				result := rapid.SampledFrom([]Cause{Served, Served, Refused, Aborted}).Draw(t, "result")
				noRetry := rapid.IntRange(0, 5).Draw(t, "noRetry") == 0
				retryAfter := rapid.SampledFrom([]float64{0, 0, 0.1, 1}).Draw(t, "retryAfter")
				switch result {
				case Refused:
					m.noRetry = m.noRetry || noRetry
					m.pushedBackUntil = now + retryAfter
				case Aborted:
					m.mayHaveRun = true
				}
				delete(m.out, try)
				d.Answered(now, id, try, result, noRetry, retryAfter,
					rapid.SampledFrom([]float64{-1, 0, 0.5, 1, 4}).Draw(t, "credit"))
				checkActions()
			},
			"unsent": func(t *rapid.T) {
				id, m, try := pickInFlight("unsent")
				if m == nil {
					t.Skip()
				}
				if m.out[try].Retry {
					retries--
				}
				delete(m.out, try)
				if m.tries--; m.tries == 0 {
					firstTries--
				}
				d.Unsent(now, id, try)
				checkActions()
			},
			"gone": func(t *rapid.T) {
				id, m, _ := pickInFlight("gone")
				if m == nil {
					t.Skip()
				}
				d.Abandon(now, id, rapid.Bool().Draw(t, "late"))
				checkActions()
			},
			"connected": func(t *rapid.T) {
				index, ok := pickConn(dialing)
				if !ok {
					t.Skip()
				}
				if rapid.IntRange(0, 3).Draw(t, "fails") == 0 {
					conns[index] = disconnected
					d.ConnectFailed(now, index)
				} else {
					conns[index] = connected
					d.Connected(now, index)
				}
				checkActions()
			},
			"dropped": func(t *rapid.T) {
				index, ok := pickConn(connected)
				if !ok {
					t.Skip()
				}
				conns[index] = disconnected
				for _, m := range submitted {
					for n, action := range m.out {
						if action.Conn == index {
							delete(m.out, n)
							m.mayHaveRun = true
							if m.resends == 0 && m.kind == rpc.Idempotent {
								m.resends++
							}
						}
					}
				}
				d.Dropped(now, index, rapid.Bool().Draw(t, "faulty"))
				checkActions()
			},
			"draining": func(t *rapid.T) {
				index, ok := pickConn(connected)
				if !ok {
					t.Skip()
				}
				d.Draining(now, index)
				checkActions()
			},
			"checked": func(t *rapid.T) {
				for index := range d.conns {
					if d.conns[index].state == connected && d.conns[index].healthCheck &&
						d.conns[index].checkPending {
						d.Checked(now, index, rapid.Bool().Draw(t, "healthy"), 2)
						checkActions()
						return
					}
				}
				t.Skip()
			},
			"list": func(t *rapid.T) {
				d.SetServers(now, names[:rapid.IntRange(0, 4).Draw(t, "names")])
				checkActions()
			},
			"time": func(t *rapid.T) {
				now += rapid.SampledFrom([]float64{0.001, 0.02, 0.2, 2}).Draw(t, "passes")
				for id, m := range requests {
					if !m.ended && now >= m.deadline {
						d.Abandon(now, id, true)
					}
				}
				d.Tick(now)
				checkActions()
			},
		})
		d.Close(now)
		checkActions()
		for _, m := range submitted {
			if !m.ended {
				t.Fatalf("an RPC has no outcome")
			}
		}
		for index := range d.conns {
			if d.conns[index].state != disconnected {
				t.Fatalf("connection %d is still open", index)
			}
		}
	})
}
