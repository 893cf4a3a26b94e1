package configlog

// StreamMessage is what goes over one subscription. From the follower: Subscribe and Lookup. From the distributor: Welcome,
// SnapshotPart, Delta and Heartbeat, numbered by Sequence from 1 on, and LookupReply, which has no number. Stream is the number that
// the follower gave the subscription; the distributor repeats it in all it sends.
type StreamMessage interface{ stream() uint64 }

// Subscribe asks for all entries of some services, or of all, after a version.
type Subscribe struct {
	Stream         uint64
	Services       []string
	All            bool
	From           Version // zero asks for a snapshot
	BytesPerSecond float64 // most that the subscriber wants to get, on average
}

// WelcomeMode is how a subscription goes on.
type WelcomeMode uint8

// The ways on from a Welcome.
const (
	WelcomeResume   WelcomeMode = iota + 1 // deltas after the version asked for
	WelcomeSnapshot                        // snapshot parts of a version first
	WelcomeBehind                          // the distributor is behind the subscriber: ask another one
)

// Welcome answers Subscribe. Version is, by mode, where deltas go on from, the snapshot's, or the distributor's.
type Welcome struct {
	Stream   uint64
	Sequence uint64
	Mode     WelcomeMode
	Version  Version
}

// SnapshotPart brings some of the table's records, each as a change that puts it. Done marks the last part.
type SnapshotPart struct {
	Stream   uint64
	Sequence uint64
	Records  []Change
	Done     bool
}

// Delta brings one entry.
type Delta struct {
	Stream   uint64
	Sequence uint64
	Entry    Entry
}

// Heartbeat tells that all the subscriber wants up to Version has been sent, and how old the distributor's own knowledge is, in
// seconds.
type Heartbeat struct {
	Stream   uint64
	Sequence uint64
	Version  Version
	Age      float64
}

// LookupKind is what a lookup is for; its values are the caller's.
type LookupKind uint8

// Lookup asks for one record that the app server does not serve.
type Lookup struct {
	Stream uint64
	ID     uint64
	Kind   LookupKind
	Name   string
}

// LookupReply answers Lookup as of a version.
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
