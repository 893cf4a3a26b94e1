package configlog

import (
	"math"
	"slices"

	"valveglade/logic/chance"
)

// connection is the distributor that a follower is connected to or tries next, and the state of the
// attempts.
type connection struct {
	rankedDistributors []string // in order of preference
	rankIndex          int      // of the connected distributor, or of the next to try
	opening            bool     // Connect was requested, its outcome is pending
	lastReceivedAt     float64  // time of the last message, or of the start of the attempt
	retryAt            float64  // earliest time of the next attempt
	failures           int      // failures since the last FollowerFollowing
	jitterDraws        uint64   // random numbers drawn for the jitter of delays
}

// name returns the distributor that is connected or tried next.
func (c *connection) name() string {
	if len(c.rankedDistributors) == 0 {
		return ""
	}
	return c.rankedDistributors[c.rankIndex]
}

// SetDistributors replaces the list of distributors.
func (f *Follower) SetDistributors(names []string, now float64) {
	f.now = max(f.now, now)
	previous := f.connection.name()
	f.connection.rankedDistributors = rank(f.cfg.Name, names)
	f.connection.rankIndex = max(slices.Index(f.connection.rankedDistributors, previous), 0)
	if f.connection.name() != previous && (f.connection.opening || f.state != FollowerDisconnected) {
		f.out = append(f.out, Close{CloseDistributorRemoved})
		f.connection.rankIndex = -1
		f.switchDistributor()
	}
}

// tickConnection connects once the retry delay is over, and closes a connection without messages.
func (f *Follower) tickConnection() {
	c := &f.connection
	connected := f.state != FollowerDisconnected
	switch {
	case connected || c.opening:
		if f.now-c.lastReceivedAt > f.cfg.SilentAfter {
			f.close(CloseSilent)
		}
	case f.now >= c.retryAt && len(c.rankedDistributors) > 0:
		c.opening, c.lastReceivedAt = true, f.now
		f.counts.Connects++
		f.out = append(f.out, Connect{c.name()})
	}
}

// Connected reports that the requested connection is open.
func (f *Follower) Connected(now float64) {
	f.now = max(f.now, now)
	if !f.connection.opening {
		return
	}
	f.connection.opening, f.connection.lastReceivedAt = false, f.now
	f.subscribe()
}

// Disconnected reports that the connection has ended, or could not be opened.
func (f *Follower) Disconnected(now float64) {
	f.now = max(f.now, now)
	if f.state != FollowerDisconnected || f.connection.opening {
		f.switchDistributor()
	}
}

// close closes the connection and switches to the next distributor.
func (f *Follower) close(reason CloseReason) {
	f.out = append(f.out, Close{reason})
	f.switchDistributor()
}

// switchDistributor selects the next distributor, to be tried after an exponential delay with jitter. If
// another than the most preferred one was followed, the selection restarts with the most preferred one.
func (f *Follower) switchDistributor() {
	c := &f.connection
	f.counts.Disconnects++
	if f.state == FollowerFollowing && c.rankIndex > 0 {
		c.rankIndex = -1
	}
	if len(c.rankedDistributors) > 0 {
		c.rankIndex = (c.rankIndex + 1) % len(c.rankedDistributors)
	} else {
		c.rankIndex = 0
	}
	delay := min(f.cfg.BackoffMin*math.Pow(2, float64(c.failures)), f.cfg.BackoffMax)
	c.failures++
	c.jitterDraws++
	c.retryAt = f.now + delay*(0.5+0.5*chance.At(f.cfg.Seed, c.jitterDraws))
	c.opening = false
	f.endStream()
	f.setState(FollowerDisconnected)
}

// subscribe requests the entries after the table's version, under a new subscription number.
func (f *Follower) subscribe() {
	f.endStream()
	request := Subscribe{Stream: f.stream.number, Services: f.cfg.Services, All: f.cfg.All,
		BytesPerSecond: f.cfg.BytesPerSecond}
	if f.resumable {
		request.From = f.version
	}
	f.out = append(f.out, Send{request})
	f.setState(FollowerSubscribing)
}

// endStream ends the current subscription: its messages are rejected from now on, as the next one has
// another number.
func (f *Follower) endStream() {
	f.stream = stream{number: f.stream.number + 1, lost: f.stream.lost}
	f.failLookups()
}

// Lookup requests a record. Ready returns its LookupDone with the same id.
func (f *Follower) Lookup(id uint64, kind LookupKind, name string, now float64) error {
	f.now = max(f.now, now)
	if f.state == FollowerDisconnected {
		return &DisconnectedError{Distributor: f.connection.name()}
	}
	if len(f.lookups) >= f.cfg.MaxLookups {
		return &TooManyOpenError{Limit: f.cfg.MaxLookups}
	}
	f.lookups = append(f.lookups, id)
	f.out = append(f.out, Send{Lookup{Stream: f.stream.number, ID: id, Kind: kind, Name: name}})
	return nil
}

// failLookups ends the lookups whose replies will not arrive because their subscription has ended.
func (f *Follower) failLookups() {
	for _, id := range f.lookups {
		f.out = append(f.out, LookupDone{ID: id, Err: &DisconnectedError{Distributor: f.connection.name()}})
	}
	f.lookups = nil
}

func (f *Follower) handleLookupReply(reply LookupReply) error {
	index := slices.Index(f.lookups, reply.ID)
	if index < 0 {
		f.counts.Duplicates++
		return &DuplicateError{Sequence: reply.ID}
	}
	f.lookups = slices.Delete(f.lookups, index, index+1)
	f.out = append(f.out, LookupDone{ID: reply.ID, Reply: reply})
	return nil
}
