package configlog

// FeedConfig is what an installation sets. Times are in seconds.
type FeedConfig struct {
	HistoryEntries  int     // entries kept for subscribers that come back
	BufferBytes     int     // of entries that wait for one subscriber, above which it is closed
	PartBytes       int     // of records in one snapshot part
	BytesPerSecond  float64 // most for one subscriber, whatever it asks for
	HeartbeatEvery  float64
	LookupsInFlight int  // replies that wait for one subscriber
	Without         Rule // none in service
}

// SubscriberID is the caller's number for one subscription: one connection's.
type SubscriberID uint64

// Snapshotter is the table that a feed serves snapshots and lookups from. It has all entries that the feed was given, or more.
type Snapshotter interface {
	// Open holds the records of some services, or of all, as they are now.
	Open(services []string, all bool) Snapshot
	// Lookup finds one record.
	Lookup(kind Kind, name string) (value []byte, version Version, found bool)
}

// Snapshot reads the records of one version, in parts.
type Snapshot interface {
	Version() Version
	// Next gives the following records of at most maxBytes, or of one record that is larger; done with the last ones.
	Next(maxBytes int) (records []Change, done bool)
	Close()
}

// Outgoing is a message for one subscriber.
type Outgoing struct {
	Subscriber SubscriberID
	Message    StreamMessage
}

// CloseReason is why a subscription is ended.
type CloseReason uint8

// Why subscriptions and connections are closed.
const (
	CloseSlow            CloseReason = iota + 1 // the subscriber does not keep up with its entries
	CloseFeedReset                              // the distributor itself took a snapshot
	CloseMalformed                              // the other side does not keep the protocol
	CloseGap                                    // something is missing
	CloseSilent                                 // nothing was heard for too long
	CloseBehind                                 // the distributor is behind
	CloseStaleTerm                              // the distributor follows a leader that is over
	CloseServicesChanged                        // other services are wanted
)

// Closed ends a subscription.
type Closed struct {
	Subscriber SubscriberID
	Reason     CloseReason
}

// FeedReady is what there is to do.
type FeedReady struct {
	Messages []Outgoing
	Closed   []Closed
}

// Feed is a distributor's part: it serves subscribers from committed entries.
type Feed struct {
}

// NewFeed begins with a table of a version, and no history.
func NewFeed(cfg FeedConfig, table Snapshotter, version Version, now float64) *Feed { return &Feed{} }

// Append takes committed entries that follow what it has; it takes none of them if they do not.
func (f *Feed) Append(entries []Entry) error { return nil }

// Reset begins anew at a version, as the table was replaced: subscriptions are closed.
func (f *Feed) Reset(version Version) {}

// Subscribe begins a subscription, in place of one under the same id.
func (f *Feed) Subscribe(id SubscriberID, request Subscribe, now float64) {}

// Unsubscribe ends a subscription without a word.
func (f *Feed) Unsubscribe(id SubscriberID) {}

// Lookup answers a subscriber's question.
func (f *Feed) Lookup(id SubscriberID, lookup Lookup, now float64) {}

// Tick sends what is due; age is how old the distributor's own knowledge is, in seconds.
func (f *Feed) Tick(now, age float64) {}

// Version is the last entry that it has.
func (f *Feed) Version() Version { return Version{} }

// Ready empties what there is to do.
func (f *Feed) Ready() FeedReady { return FeedReady{} }
