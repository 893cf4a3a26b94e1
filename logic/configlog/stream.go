package configlog

// StreamMessage is a message of a subscription. The follower sends Subscribe and Lookup. The distributor
// sends Welcome, SnapshotPart, Delta and Heartbeat, with sequence numbers from 1 on, and LookupReply,
// which has none. Stream is the number that the follower chose for the subscription; the distributor
// repeats it in all messages.
type StreamMessage interface{ stream() uint64 }

// Subscribe requests all entries of some services, or of all services, after a version.
type Subscribe struct {
	Stream         uint64
	Services       []string
	All            bool
	From           Version // zero requests a snapshot
	BytesPerSecond float64 // limit on the average rate; 0 for the limit of the feed
}

// WelcomeMode is how the distributor continues a subscription.
type WelcomeMode uint8

// The modes of a Welcome.
const (
	WelcomeResume   WelcomeMode = iota + 1 // deltas after the requested version follow
	WelcomeSnapshot                        // snapshot parts follow, then deltas
	WelcomeBehind                          // the subscriber is ahead and should try another distributor
)

// Welcome is the response to Subscribe. Version depends on Mode: the version that the deltas follow, the
// version of the snapshot, or the version of a distributor that is behind.
type Welcome struct {
	Stream   uint64
	Sequence uint64
	Mode     WelcomeMode
	Version  Version
}

// SnapshotPart carries some of the table's records, each as a change that puts it. Done is set in the last
// part.
type SnapshotPart struct {
	Stream   uint64
	Sequence uint64
	Records  []Change
	Done     bool
}

// Delta carries one entry.
type Delta struct {
	Stream   uint64
	Sequence uint64
	Entry    Entry
}

// Heartbeat reports that all entries up to Version that the subscriber asked for have been sent. Age is
// the time since the distributor was last known to be up to date, in seconds.
type Heartbeat struct {
	Stream   uint64
	Sequence uint64
	Version  Version
	Age      float64
}

// LookupKind is the kind of record that a lookup asks for. Its values are defined by the caller.
type LookupKind uint8

// Lookup requests one record of a service that the app server does not serve.
type Lookup struct {
	Stream uint64
	ID     uint64
	Kind   LookupKind
	Name   string
}

// LookupReply is the response to Lookup, as of a version.
type LookupReply struct {
	Stream  uint64
	ID      uint64
	Version Version
	Found   bool
	Value   []byte
}

func (m Subscribe) stream() uint64    { return m.Stream }
func (m Welcome) stream() uint64      { return m.Stream }
func (m SnapshotPart) stream() uint64 { return m.Stream }
func (m Delta) stream() uint64        { return m.Stream }
func (m Heartbeat) stream() uint64    { return m.Stream }
func (m Lookup) stream() uint64       { return m.Stream }
func (m LookupReply) stream() uint64  { return m.Stream }
