package configlog_test

import (
	"errors"
	"fmt"
	"slices"
	"strings"

	"valveglade/logic/configlog"
)

func entry(term, index, previous uint64, service string) configlog.Entry {
	return configlog.Entry{Version: configlog.Version{Term: term, Index: index}, Previous: previous,
		Change: configlog.Change{Service: service, Payload: []byte("12345678")}}
}

// printValue prints a value with the name of its type, without the package name and the payloads of
// entries.
func printValue(now float64, value any) {
	text := strings.ReplaceAll(fmt.Sprintf("%T%+v", value, value), "configlog.", "")
	fmt.Printf("%5.1f %s\n", now, strings.NewReplacer("Change:", "", "Version:", "",
		"Payload:[49 50 51 52 53 54 55 56]", "").Replace(text))
}

// A new leader requests promises, fetches the entries that it lacks, and appends the first entry of its
// term. A proposal ends when it is committed, or with ErrOutcomeUnknown when the leader steps down.
func ExampleReplica() {
	names := []string{"x", "y", "z"}
	replicas := map[string]*configlog.Replica{}
	for _, name := range names {
		cfg := configlog.ReplicaConfig{Name: name, Voters: [][]string{names}, KeepEntries: 9, MaxOpen: 1,
			MessageBytes: 100, MaxInFlight: 2,
			ResendAfter: 1, HeartbeatEvery: 1}
		stored := configlog.Stored{}
		if name == "y" {
			stored = configlog.Stored{Promised: 1, Entries: []configlog.Entry{entry(1, 1, 0, "a")}}
		}
		replicas[name] = configlog.NewReplica(cfg, stored, 0)
	}
	deliverAll := func() { // messages to z are lost
		for delivered := true; delivered; {
			delivered = false
			for _, name := range names[:2] {
				ready := replicas[name].Ready()
				for _, envelope := range ready.Messages {
					if envelope.To != "z" {
						delivered = true
						printValue(0, envelope)
						replicas[envelope.To].Step(envelope, 0)
					}
				}
				for _, result := range ready.Results {
					fmt.Println("result:", result.ID, result.Version, result.Err)
				}
			}
		}
	}
	x, change := replicas["x"], configlog.Change{Service: "a", Payload: []byte("12345678")}
	fmt.Println(x.Propose(1, change, 0), x.Status(0).Age)
	fmt.Println(x.Lead(2, 0), x.Propose(1, change, 0))
	deliverAll()
	fmt.Println(x.Propose(1, change, 0), x.Propose(2, change, 0))
	deliverAll()
	fmt.Println(x.Propose(3, configlog.Change{}, 0),
		x.Propose(4, configlog.Change{Service: strings.Repeat("a", 100)}, 0), x.Propose(5, change, 0))
	x.StepDown()
	deliverAll()
	fmt.Println(x.Lead(2, 0), replicas["y"].Status(1).Age)
	// Output:
	// configlog: this replica is not the leader +Inf
	// <nil> configlog: the leader is still recovering the log
	//   0.0 Envelope{From:x To:y Message:{Term:2}}
	//   0.0 Envelope{From:y To:x Message:{Term:2 Refused:false Known:0 Last:{Term:1 Index:1} Commit:0}}
	//   0.0 Envelope{From:x To:y Message:{Term:2 From:1}}
	//   0.0 Envelope{From:y To:x Message:{Term:2 From:1 Entries:[{{Term:1 Index:1} Previous:0 {Service:a }}] Behind:false Base:{Term:0 Index:0}}}
	//   0.0 Envelope{From:x To:y Message:{Term:2 Previous:{Term:1 Index:1} Entries:[{{Term:2 Index:2} Previous:0 {Service: Payload:[]}}] Commit:0}}
	//   0.0 Envelope{From:y To:x Message:{Term:2 Accepted:true Known:0 Rejected:0 Match:2}}
	//   0.0 Envelope{From:x To:y Message:{Term:2 Previous:{Term:2 Index:2} Entries:[] Commit:2}}
	//   0.0 Envelope{From:y To:x Message:{Term:2 Accepted:true Known:0 Rejected:0 Match:2}}
	// <nil> configlog: 1 requests are open, the limit is reached
	//   0.0 Envelope{From:x To:y Message:{Term:2 Previous:{Term:2 Index:2} Entries:[{{Term:2 Index:3} Previous:1 {Service:a }}] Commit:2}}
	//   0.0 Envelope{From:y To:x Message:{Term:2 Accepted:true Known:0 Rejected:0 Match:3}}
	//   0.0 Envelope{From:x To:y Message:{Term:2 Previous:{Term:2 Index:3} Entries:[] Commit:3}}
	// result: 1 {2 3} <nil>
	//   0.0 Envelope{From:y To:x Message:{Term:2 Accepted:true Known:0 Rejected:0 Match:3}}
	// configlog: only the first entry of a term has no service configlog: the change takes 132 bytes of a message, the limit is 100 <nil>
	//   0.0 Envelope{From:x To:y Message:{Term:2 Previous:{Term:2 Index:3} Entries:[{{Term:2 Index:4} Previous:3 {Service:a }}] Commit:3}}
	// result: 5 {0 0} configlog: leadership ended before the change was known to be committed
	//   0.0 Envelope{From:y To:x Message:{Term:2 Accepted:true Known:0 Rejected:0 Match:4}}
	// configlog: term 2 is stale, term 2 is known 1
}

// testFollower is a follower with its clock and the number of its current subscription.
type testFollower struct {
	*configlog.Follower
	now    float64
	stream uint64
}

func (f *testFollower) advance(seconds float64) {
	f.now += seconds
	f.Tick(f.now)
	f.show()
}

func (f *testFollower) show() {
	for _, action := range f.Ready() {
		switch action := action.(type) {
		case configlog.Send:
			if request, ok := action.Message.(configlog.Subscribe); ok {
				f.stream = request.Stream
				fmt.Printf("%5.1f subscribe from %v to %v\n", f.now, request.From, request.Services)
			}
		case configlog.StatusChanged:
			status := action.Status
			fmt.Printf("%5.1f %v, version %v, stale %v\n", f.now, status.State, status.Version, status.Stale)
		case configlog.Close:
			fmt.Printf("%5.1f close: %v\n", f.now, action.Reason)
		default:
			printValue(f.now, action)
		}
	}
}

func (f *testFollower) connect() {
	f.Connected(f.now)
	f.show()
}

func (f *testFollower) receive(message configlog.StreamMessage) {
	if err := f.Step(message, f.now); err != nil {
		fmt.Printf("%5.1f rejected: %s\n", f.now, strings.TrimPrefix(err.Error(), "configlog: "))
	}
	f.show()
}

func newTestFollower(version configlog.Version) *testFollower {
	cfg := configlog.FollowerConfig{Name: "s", Services: []string{"a"},
		Distributors: []string{"d0", "d1", "d2"}, StaleAfter: 18, SilentAfter: 5,
		BackoffMin: 1, BackoffMax: 8, Seed: 1, MaxLookups: 1}
	return &testFollower{Follower: configlog.NewFollower(cfg, version, 0)}
}

// newResumedFollower returns a follower that has resumed from a version.
func newResumedFollower(version configlog.Version) *testFollower {
	f := newTestFollower(version)
	f.Tick(0)
	f.Connected(0)
	for _, action := range f.Ready() {
		if send, ok := action.(configlog.Send); ok {
			f.stream = send.Message.(configlog.Subscribe).Stream
		}
	}
	_ = f.Step(configlog.Welcome{Stream: f.stream, Sequence: 1, Mode: configlog.WelcomeResume,
		Version: version}, 0)
	f.Ready()
	return f
}

// A follower without a table requests a snapshot and applies it only when it is complete. It reports when
// it becomes stale, and tries one distributor after another.
func ExampleFollower() {
	f := newTestFollower(configlog.Version{})
	f.advance(0)
	f.Disconnected(f.now)
	f.show()
	f.advance(1)
	f.connect()
	version := configlog.Version{Term: 3, Index: 7}
	records := []configlog.Change{entry(0, 0, 0, "a").Change}
	f.receive(configlog.Welcome{Stream: f.stream, Sequence: 1, Mode: configlog.WelcomeSnapshot,
		Version: version})
	f.receive(configlog.SnapshotPart{Stream: f.stream, Sequence: 2, Records: records})
	f.advance(6)
	f.advance(2)
	f.connect()
	f.receive(configlog.Welcome{Stream: f.stream, Sequence: 1, Mode: configlog.WelcomeSnapshot,
		Version: version})
	f.receive(configlog.SnapshotPart{Stream: f.stream, Sequence: 2, Records: records, Done: true})
	f.receive(configlog.Heartbeat{Stream: f.stream, Sequence: 3, Version: version, Age: 2})
	f.receive(configlog.Delta{Stream: f.stream, Sequence: 4, Entry: entry(4, 9, 7, "a")})
	f.SetServices([]string{"a", "b"}, f.now)
	f.show()
	f.SetDistributors([]string{"d3"}, f.now)
	f.show()
	f.advance(17)
	// Output:
	// 0.0 Connect{Distributor:d1}
	//   1.0 Connect{Distributor:d2}
	//   1.0 subscribe from {0 0} to [a]
	//   1.0 subscribing, version {0 0}, stale true
	//   1.0 snapshot, version {0 0}, stale true
	//   1.0 Stage{Records:[{Service:a }] First:true}
	//   7.0 close: silent
	//   7.0 Discard{}
	//   7.0 disconnected, version {0 0}, stale true
	//   9.0 Connect{Distributor:d0}
	//   9.0 subscribe from {0 0} to [a]
	//   9.0 subscribing, version {0 0}, stale true
	//   9.0 snapshot, version {0 0}, stale true
	//   9.0 Stage{Records:[{Service:a }] First:true}
	//   9.0 Replace{{Term:3 Index:7}}
	//   9.0 following, version {3 7}, stale true
	//   9.0 following, version {3 7}, stale false
	//   9.0 Apply{Entries:[{{Term:4 Index:9} Previous:7 {Service:a }}] {Term:4 Index:9}}
	//   9.0 Invalidate{}
	//   9.0 subscribe from {0 0} to [a b]
	//   9.0 subscribing, version {4 9}, stale false
	//   9.0 close: distributor removed
	//   9.0 disconnected, version {4 9}, stale false
	//  26.0 Connect{Distributor:d3}
	//  26.0 disconnected, version {4 9}, stale true
}

// A follower can resume after the snapshot of an empty log.
func ExampleFollower_emptyLog() {
	f := newTestFollower(configlog.Version{})
	f.advance(0)
	f.connect()
	f.receive(configlog.Welcome{Stream: f.stream, Sequence: 1, Mode: configlog.WelcomeSnapshot})
	f.receive(configlog.SnapshotPart{Stream: f.stream, Sequence: 2, Done: true})
	f.receive(configlog.Delta{Stream: f.stream, Sequence: 3, Entry: entry(1, 2, 0, "a")})
	f.Disconnected(f.now)
	f.advance(1)
	f.connect()
	// Output:
	// 0.0 Connect{Distributor:d1}
	//   0.0 subscribe from {0 0} to [a]
	//   0.0 subscribing, version {0 0}, stale true
	//   0.0 snapshot, version {0 0}, stale true
	//   0.0 Stage{Records:[] First:true}
	//   0.0 Replace{{Term:0 Index:0}}
	//   0.0 following, version {0 0}, stale true
	//   0.0 Apply{Entries:[{{Term:1 Index:2} Previous:0 {Service:a }}] {Term:1 Index:2}}
	//   1.0 disconnected, version {1 2}, stale true
	//   1.0 Connect{Distributor:d2}
	//   1.0 subscribe from {1 2} to [a]
	//   1.0 subscribing, version {1 2}, stale true
}

// Gaps, duplicates, reordered, stale and malformed messages and those of a stale leader are reported by
// different errors, and not applied.
func ExampleFollower_Step() {
	resumedFrom := configlog.Version{Term: 3, Index: 7}
	printErrors := func(label string, messages ...func(stream uint64) configlog.StreamMessage) *testFollower {
		f := newResumedFollower(resumedFrom)
		stream := f.stream
		for _, message := range messages {
			err := f.Step(message(stream), 0)
			if err != nil {
				fmt.Printf("%s: %s\n", label, strings.TrimPrefix(err.Error(), "configlog: "))
			}
		}
		return f
	}
	delta := func(sequence uint64, e configlog.Entry) func(uint64) configlog.StreamMessage {
		return func(stream uint64) configlog.StreamMessage {
			return configlog.Delta{Stream: stream, Sequence: sequence, Entry: e}
		}
	}
	heartbeat := func(version configlog.Version, age float64) func(uint64) configlog.StreamMessage {
		return func(stream uint64) configlog.StreamMessage {
			return configlog.Heartbeat{Stream: stream, Sequence: 2, Version: version, Age: age}
		}
	}
	next := entry(3, 9, 7, "a")
	printErrors("missing message that arrives late", delta(3, next), delta(2, next), delta(4, next))
	printErrors("duplicate", delta(2, next), delta(2, next))
	printErrors("missing entry of the service", delta(2, entry(3, 9, 8, "a")))
	printErrors("another previous entry", delta(2, next), delta(3, entry(3, 10, 8, "a")))
	printErrors("stale entry", delta(2, entry(3, 7, 5, "a")))
	printErrors("entry of a stale leader", delta(2, entry(2, 9, 7, "a")))
	printErrors("entry of another service", delta(2, entry(3, 9, 7, "b")))
	printErrors("heartbeat of a stale leader", heartbeat(configlog.Version{Term: 2, Index: 9}, 0))
	printErrors("stale heartbeat", heartbeat(configlog.Version{Term: 3, Index: 6}, 0))
	printErrors("heartbeat of another log", heartbeat(configlog.Version{Term: 4, Index: 7}, 0))
	printErrors("heartbeat with a negative age", heartbeat(configlog.Version{Term: 3, Index: 7}, -1))
	printErrors("no sequence number", delta(0, next))
	printErrors("second welcome", func(stream uint64) configlog.StreamMessage {
		return configlog.Welcome{Stream: stream, Sequence: 2}
	})
	printErrors("unexpected snapshot part", func(stream uint64) configlog.StreamMessage {
		return configlog.SnapshotPart{Stream: stream, Sequence: 2}
	})
	f := printErrors("lookup sent to a follower",
		func(stream uint64) configlog.StreamMessage { return configlog.Lookup{Stream: stream} })
	fmt.Printf("%+v\n", f.Status(0).Counts)
	// Output:
	// missing message that arrives late: gap in sequence: got 3, want 2
	// missing message that arrives late: message 2 was received after message 3
	// missing message that arrives late: message of subscription 26509655619853, the current one is 26509655619854
	// duplicate: message 2 is a duplicate
	// missing entry of the service: gap in service: got 8, want 7
	// another previous entry: malformed: previous entry of the service is not the last applied one
	// stale entry: entry 7 of term 3 is not above the applied entry 7 of term 3
	// entry of a stale leader: term 2 is stale, term 3 is known
	// entry of another service: malformed: entry of a service that is not subscribed to
	// heartbeat of a stale leader: term 2 is stale, term 3 is known
	// stale heartbeat: entry 6 of term 3 is not above the applied entry 7 of term 3
	// heartbeat of another log: malformed: heartbeat with another term at the applied index
	// heartbeat with a negative age: malformed: heartbeat with an invalid age or before the end of the snapshot
	// no sequence number: malformed: no sequence number
	// second welcome: malformed: unexpected welcome
	// unexpected snapshot part: malformed: unexpected snapshot part
	// lookup sent to a follower: malformed: no sequence number
	// {Applied:0 Snapshots:0 Gaps:0 Duplicates:0 Reordered:0 Stale:0 StaleTerms:0 Malformed:1 Connects:1 Disconnects:1}
}

// Lookups are sent over the connection, and fail when it ends.
func ExampleFollower_Lookup() {
	f := newTestFollower(configlog.Version{})
	var disconnected *configlog.DisconnectedError
	fmt.Println(errors.As(f.Follower.Lookup(1, 0, "t", 0), &disconnected))
	f = newResumedFollower(configlog.Version{Term: 3, Index: 7})
	fmt.Println(f.Lookup(1, 0, "t", 0), f.Lookup(2, 0, "t", 0))
	f.receive(configlog.LookupReply{Stream: f.stream, ID: 1, Found: true, Value: []byte("v")})
	f.receive(configlog.LookupReply{Stream: f.stream, ID: 1})
	fmt.Println(f.Lookup(3, 0, "t", 0))
	f.Disconnected(0)
	f.show()
	// Output:
	// true
	// <nil> configlog: 1 requests are open, the limit is reached
	//   0.0 LookupDone{ID:1 Reply:{Stream:26509655619853 ID:1 {Term:0 Index:0} Found:true Value:[118]} Err:<nil>}
	//   0.0 rejected: message 1 is a duplicate
	// <nil>
	//   0.0 LookupDone{ID:3 Reply:{Stream:0 ID:0 {Term:0 Index:0} Found:false Value:[]} Err:configlog: no longer connected to d2}
	//   0.0 disconnected, version {3 7}, stale true
}

// App servers are spread evenly over the distributors. When one is removed, only its app servers move.
func Example_rendezvous() {
	first := func(name string, distributors []string) string {
		f := configlog.NewFollower(configlog.FollowerConfig{Name: name, Distributors: distributors},
			configlog.Version{}, 0)
		return f.Status(0).Distributor
	}
	all := []string{"d0", "d1", "d2", "d3"}
	served, moved := make([]int, len(all)), 0
	for k := range 8600 {
		name := fmt.Sprint("app", k)
		before, after := first(name, all), first(name, all[:3])
		served[slices.Index(all, before)]++
		if before != after && before != "d3" {
			moved++
		}
	}
	fmt.Println(served, moved)
	// Output:
	// [2136 2150 2156 2158] 0
}
