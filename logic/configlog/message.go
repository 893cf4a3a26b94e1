package configlog

// Envelope is a message from one replica to another. From and To are names of voters.
type Envelope struct {
	From, To string
	Message  Message
}

// Message is a message between replicas: one of RecoverRequest, RecoverResponse, FetchRequest,
// FetchResponse, AppendRequest, AppendResponse, BehindNotice. Messages may be lost, duplicated and
// reordered.
type Message interface{ term() uint64 }

// RecoverRequest is sent by a new leader to all voters. It asks a voter to promise to reject lower terms,
// and to report the end of its log.
type RecoverRequest struct{ Term uint64 }

// RecoverResponse is the response to RecoverRequest, or a refusal of a FetchRequest. If Refused is set,
// Known is the higher term that the voter has promised.
type RecoverResponse struct {
	Term    uint64 // of the request
	Refused bool
	Known   uint64
	Last    Version // the voter's last entry
	Commit  uint64
}

// FetchRequest is sent by a recovering leader for the entries from an index on.
type FetchRequest struct {
	Term uint64
	From uint64 // index of the first requested entry
}

// FetchResponse is the response to FetchRequest. If Behind is set, the requester is behind the voter's
// log: the voter no longer keeps the requested entry, and the entries that it has follow Base.
type FetchResponse struct {
	Term    uint64
	From    uint64
	Entries []Entry
	Behind  bool
	Base    Version
}

// AppendRequest carries entries that follow Previous, and the leader's commit index. Without entries it is
// a heartbeat.
type AppendRequest struct {
	Term     uint64
	Previous Version
	Entries  []Entry
	Commit   uint64
}

// AppendResponse is the response to AppendRequest. If Accepted is set, the voter's log matches the
// leader's up to index Match. Otherwise, if Known is above the term, it is the higher term that the voter
// has promised and the leader's term is stale; if not, the voter's log does not match at index Rejected,
// and Match is a hint of an index that may match.
type AppendResponse struct {
	Term     uint64 // of the request
	Accepted bool
	Known    uint64
	Rejected uint64
	Match    uint64
}

// BehindNotice tells a voter that the leader no longer keeps the entries that the voter lacks: the voter
// needs a snapshot at Base or later.
type BehindNotice struct {
	Term uint64
	Base Version
}

func (m RecoverRequest) term() uint64  { return m.Term }
func (m RecoverResponse) term() uint64 { return m.Term }
func (m FetchRequest) term() uint64    { return m.Term }
func (m FetchResponse) term() uint64   { return m.Term }
func (m AppendRequest) term() uint64   { return m.Term }
func (m AppendResponse) term() uint64  { return m.Term }
func (m BehindNotice) term() uint64    { return m.Term }
