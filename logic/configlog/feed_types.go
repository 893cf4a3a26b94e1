package configlog

// FeedConfig is the configuration of a feed. Times are in seconds.
type FeedConfig struct {
	HistoryEntries  int     // entries kept for subscribers that resume, up to a quarter more
	BufferBytes     int     // limit of the pending entries of a subscriber, which is closed above it
	PartBytes       int     // limit of the records in one snapshot part
	BytesPerSecond  float64 // limit of the average rate to a subscriber, which may request less
	HeartbeatEvery  float64
	LookupsInFlight int  // limit of pending replies to a subscriber; further lookups are ignored
	Disabled        Rule // none in production
}

// SubscriberID is the caller's number for a subscription; there is one per connection.
type SubscriberID uint64

// Snapshotter is the table that a feed serves snapshots and lookups from. It includes at least all entries
// that were appended to the feed.
type Snapshotter interface {
	// Open returns a snapshot of the current records of some services, or of all.
	Open(services []string, all bool) Snapshot
	// Lookup returns a record, and the version of the table that it was read from.
	Lookup(kind LookupKind, name string) (value []byte, version Version, found bool)
}

// Snapshot reads the records of one version in parts.
type Snapshot interface {
	Version() Version
	// Next returns the next records, of at most maxBytes or one record that is larger. done is set with
	// the last records.
	Next(maxBytes int) (records []Change, done bool)
	Close()
}

// Outgoing is a message for one subscriber.
type Outgoing struct {
	Subscriber SubscriberID
	Message    StreamMessage
}

// CloseReason is why a subscription or a connection is closed.
type CloseReason uint8

// The reasons for closing a subscription or a connection.
const (
	CloseSlow               CloseReason = iota + 1 // the subscriber is too slow: its buffer is full
	CloseFeedReset                                 // the distributor has replaced its own table by a snapshot
	CloseMalformed                                 // the peer violates the protocol
	CloseGap                                       // a message or an entry is missing
	CloseSilent                                    // no message was received for too long
	CloseBehind                                    // the distributor is behind the subscriber
	CloseStaleTerm                                 // the distributor follows a leader of a stale term
	CloseDistributorRemoved                        // the distributor was removed from the list
)

var closeReasons = [...]string{
	"", "slow", "feed reset", "malformed", "gap", "silent", "behind", "stale term", "distributor removed",
}

func (r CloseReason) String() string { return closeReasons[r] }

// Closed reports that a subscription was ended; the caller closes its connection.
type Closed struct {
	Subscriber SubscriberID
	Reason     CloseReason
}

// FeedReady is the work for the caller: send Messages, then close the connections of Closed.
type FeedReady struct {
	Messages []Outgoing
	Closed   []Closed
}
