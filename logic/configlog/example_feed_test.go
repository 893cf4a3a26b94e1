package configlog_test

import (
	"fmt"
	"math"

	"valveglade/logic/configlog"
)

// table is a Snapshotter with three records of service a at a version.
type table struct{ version configlog.Version }

type snapshot struct {
	table
	partsLeft int
}

func (t table) Open([]string, bool) configlog.Snapshot { return &snapshot{t, 3} }
func (t table) Lookup(_ configlog.LookupKind, name string) ([]byte, configlog.Version, bool) {
	return []byte("of " + name), t.version, name != "none"
}
func (s *snapshot) Version() configlog.Version { return s.version }
func (s *snapshot) Close()                     {}
func (s *snapshot) Next(int) ([]configlog.Change, bool) {
	s.partsLeft--
	return []configlog.Change{entry(0, 0, 0, "a").Change}, s.partsLeft == 0
}

// A feed sends each subscriber its entries at the subscriber's rate, and closes a subscriber whose buffer
// is full.
func ExampleFeed() {
	now, age, version := 0.0, math.Inf(1), configlog.Version{Term: 1, Index: 4}
	cfg := configlog.FeedConfig{HistoryEntries: 4, BufferBytes: 130, PartBytes: 1, BytesPerSecond: 100,
		HeartbeatEvery: 3, LookupsInFlight: 1}
	feed := configlog.NewFeed(cfg, table{version}, version, 0)
	show := func(seconds float64) {
		now += seconds
		feed.Tick(now, age)
		ready := feed.Ready()
		for _, outgoing := range ready.Messages {
			printValue(now, outgoing.Message)
		}
		for _, closed := range ready.Closed {
			fmt.Printf("%5.1f subscriber %d closed: %v\n", now, closed.Subscriber, closed.Reason)
		}
	}
	feed.Subscribe(1, configlog.Subscribe{Stream: 11, Services: []string{"a"}}, now)
	show(1)
	show(1) // no heartbeat, as the distributor's age is unknown
	age = 0.5
	show(0)
	show(2)
	feed.Lookup(1, configlog.Lookup{Stream: 11, ID: 1, Name: "t"}, now)
	feed.Lookup(1, configlog.Lookup{Stream: 11, ID: 2, Name: "none"}, now)
	show(0)
	fmt.Println(feed.Append([]configlog.Entry{entry(1, 6, 0, "a")}),
		feed.Append([]configlog.Entry{entry(0, 5, 0, "a")}))
	fmt.Println(feed.Append([]configlog.Entry{entry(1, 5, 0, "a"), entry(2, 6, 0, "b"), entry(2, 7, 5, "a")}))
	show(1)
	show(1)
	for index := uint64(8); index < 13; index++ {
		_ = feed.Append([]configlog.Entry{entry(2, index, index-1, "a")})
	}
	show(0)
	feed.Subscribe(2, configlog.Subscribe{Stream: 21, Services: []string{"a", "b", "a"},
		From: configlog.Version{Term: 2, Index: 10}, BytesPerSecond: 1000}, now)
	feed.Subscribe(3, configlog.Subscribe{Stream: 31, All: true,
		From: configlog.Version{Term: 3, Index: 1}}, now)
	show(0)
	feed.Reset(version)
	show(0)
	// Output:
	// 1.0 Welcome{Stream:11 Sequence:1 Mode:2 {Term:1 Index:4}}
	//   1.0 SnapshotPart{Stream:11 Sequence:2 Records:[{Service:a }] Done:false}
	//   1.0 SnapshotPart{Stream:11 Sequence:3 Records:[{Service:a }] Done:false}
	//   1.0 SnapshotPart{Stream:11 Sequence:4 Records:[{Service:a }] Done:true}
	//   2.0 Heartbeat{Stream:11 Sequence:5 {Term:1 Index:4} Age:0.5}
	//   4.0 Heartbeat{Stream:11 Sequence:6 {Term:1 Index:4} Age:0.5}
	//   4.0 LookupReply{Stream:11 ID:1 {Term:1 Index:4} Found:true Value:[111 102 32 116]}
	//   4.0 LookupReply{Stream:11 ID:2 {Term:1 Index:4} Found:false Value:[111 102 32 110 111 110 101]}
	// configlog: gap in index: got 6, want 5 configlog: term 0 is stale, term 1 is known
	// <nil>
	//   5.0 Delta{Stream:11 Sequence:7 Entry:{{Term:1 Index:5} Previous:0 {Service:a }}}
	//   5.0 Delta{Stream:11 Sequence:8 Entry:{{Term:2 Index:7} Previous:5 {Service:a }}}
	//   6.0 Delta{Stream:11 Sequence:9 Entry:{{Term:2 Index:8} Previous:7 {Service:a }}}
	//   6.0 subscriber 1 closed: slow
	//   6.0 Welcome{Stream:21 Sequence:1 Mode:1 {Term:2 Index:10}}
	//   6.0 Delta{Stream:21 Sequence:2 Entry:{{Term:2 Index:11} Previous:10 {Service:a }}}
	//   6.0 Welcome{Stream:31 Sequence:1 Mode:3 {Term:2 Index:12}}
	//   6.0 subscriber 3 closed: behind
	//   6.0 subscriber 2 closed: feed reset
}
