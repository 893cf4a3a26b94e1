package configlog

import (
	"fmt"
	"testing"

	"valveglade/logic/chance"
)

// BenchmarkFeedAppend appends one change at the design size: 8,600 subscribers with 10 of 13,000 services
// each.
func BenchmarkFeedAppend(b *testing.B) {
	const subscribers, services, wanted = 8600, 13000, 10
	cfg := FeedConfig{HistoryEntries: 50_000, BufferBytes: 1 << 20, PartBytes: 1 << 10,
		BytesPerSecond: 20_000, HeartbeatEvery: 2}
	feed := NewFeed(cfg, &prefixTable{}, Version{1, 1}, 0)
	name := func(seed, n uint64) string { return fmt.Sprint("service", int(chance.At(seed, n)*services)) }
	for id := range uint64(subscribers) {
		request := Subscribe{From: Version{1, 1}}
		for n := range uint64(wanted) {
			request.Services = append(request.Services, name(id, n))
		}
		feed.Subscribe(SubscriberID(id), request, 0)
	}
	feed.Ready()
	index, last := uint64(1), map[string]uint64{}
	for b.Loop() {
		index++
		service := name(subscribers, index)
		entry := Entry{Version: Version{1, index}, Previous: last[service],
			Change: Change{Service: service, Payload: make([]byte, 60)}}
		last[service] = index
		if err := feed.Append([]Entry{entry}); err != nil {
			b.Fatal(err)
		}
		if index%2 == 0 {
			feed.now += 1.92 // two changes at 1.04 a second
			feed.Tick(feed.now, 0)
		}
		feed.Ready()
	}
}
