package configlog

// Envelope is a message from one replica to another, by the names of the voters.
type Envelope struct {
	From, To string
	Message  Message
}

// Message is what one replica says to another: one of RecoverRequest, RecoverResponse, FetchRequest, FetchResponse,
// AppendRequest, AppendResponse, BehindNotice. Messages may be lost, doubled and reordered.
type Message interface{ term() uint64 }

// RecoverRequest is a new leader's question to all voters: take nothing from lower terms any more, and tell your log's end.
type RecoverRequest struct{ Term uint64 }

// RecoverResponse answers RecoverRequest. Of a refusal, Known is the higher term that the voter has promised.
type RecoverResponse struct {
	Term    uint64 // of the request
	Refused bool
	Known   uint64
	Last    Version // the voter's last entry
	Commit  uint64
}

// FetchRequest is a recovering leader's question for the entries from an index on.
type FetchRequest struct {
	Term uint64
	From uint64 // index of the first entry wanted
}

// FetchResponse answers FetchRequest. Behind tells that the voter does not keep that entry any more; Base is what it keeps from.
type FetchResponse struct {
	Term    uint64
	From    uint64
	Entries []Entry
	Behind  bool
	Base    Version
}

// AppendRequest brings entries that follow Previous, and the leader's commit index. Without entries it is a heartbeat.
type AppendRequest struct {
	Term     uint64
	Previous Version
	Entries  []Entry
	Commit   uint64
}

// AppendResponse answers AppendRequest. Accepted means the voter's log is the leader's up to Match. Otherwise Known above the
// term means that the leader is over; else the voter has no entry Rejected, and Match is its hint of where to go on.
type AppendResponse struct {
	Term     uint64 // of the request
	Accepted bool
	Known    uint64
	Rejected uint64
	Match    uint64
}

// BehindNotice tells a voter that the leader no longer keeps what it lacks: it needs a snapshot of at least Base.
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
