package configlog

// FeedConfig is what an installation sets. Times are in seconds.
type FeedConfig struct {
	HistoryEntries  int     // entries kept for subscribers that come back
	BufferBytes     int     // of entries that wait for one subscriber, above which it is closed
	PartBytes       int     // of records in one snapshot part
	BytesPerSecond  float64 // most for one subscriber, whatever it asks for
	HeartbeatEvery  float64
	LookupsInFlight int  // replies that wait for one subscriber; further lookups are not answered
	Disabled        Rule // none in service
}

// SubscriberID is the caller's number for one subscription: one connection's.
type SubscriberID uint64

// Snapshotter is the table that a feed serves snapshots and lookups from. It has all entries that the feed was given, or more.
type Snapshotter interface {
	// Open holds the records of some services, or of all, as they are now.
	Open(services []string, all bool) Snapshot
	// Lookup finds one record, as of a version.
	Lookup(kind LookupKind, name string) (value []byte, version Version, found bool)
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

// CloseReason is why a subscription or a connection is ended.
type CloseReason uint8

// Why subscriptions and connections are closed.
const (
	CloseSlow               CloseReason = iota + 1 // the subscriber does not keep up with its entries
	CloseFeedReset                                 // the distributor itself took a snapshot
	CloseMalformed                                 // the other side does not keep the protocol
	CloseGap                                       // something is missing
	CloseSilent                                    // nothing was heard for too long
	CloseBehind                                    // the distributor is behind
	CloseStaleTerm                                 // the distributor follows a leader that is over
	CloseDistributorRemoved                        // the distributor is not on the list any more
)

var closeReasons = [...]string{"", "slow", "feed reset", "malformed", "gap", "silent", "behind", "stale term", "distributor gone"}

func (r CloseReason) String() string { return closeReasons[r] }

// Closed ends a subscription.
type Closed struct {
	Subscriber SubscriberID
	Reason     CloseReason
}

// FeedReady is what there is to do: send Messages, then close what is Closed.
type FeedReady struct {
	Messages []Outgoing
	Closed   []Closed
}
