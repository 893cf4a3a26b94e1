package configlog

import (
	"math"
	"slices"

	"valveglade/logic/chance"
)

// connection is which distributor a follower is connected to, or tries to be.
type connection struct {
	rankedDistributors []string // the best first
	rankIndex          int      // of the one it is connected to, or tries next
	opening            bool     // Connect was asked for, and not answered
	lastReceivedAt     float64  // the last sign of life
	retryAt            float64
	failures           int // since it last followed
	jitterDraws        uint64
}

// name is the distributor it is connected to, or tries next.
func (c *connection) name() string {
	if len(c.rankedDistributors) == 0 {
		return ""
	}
	return c.rankedDistributors[c.rankIndex]
}

// SetDistributors takes another list.
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

// tickConnection connects, and gives up a connection on which nothing comes.
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

// Connected tells that the connection asked for is there.
func (f *Follower) Connected(now float64) {
	f.now = max(f.now, now)
	if !f.connection.opening {
		return
	}
	f.connection.opening, f.connection.lastReceivedAt = false, f.now
	f.subscribe()
}

// Disconnected tells that the connection has ended, or could not be had.
func (f *Follower) Disconnected(now float64) {
	f.now = max(f.now, now)
	if f.state != FollowerDisconnected || f.connection.opening {
		f.switchDistributor()
	}
}

// close ends the connection, and goes on with the next distributor.
func (f *Follower) close(reason CloseReason) {
	f.out = append(f.out, Close{reason})
	f.switchDistributor()
}

// nextDistributor has the one after this one be tried, after a while that grows with the failures. One that was followed begins anew with
// the best.
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

// subscribe asks for what is after the table's version, under a new number.
func (f *Follower) subscribe() {
	f.endStream()
	request := Subscribe{Stream: f.stream.number, Services: f.cfg.Services, All: f.cfg.All, BytesPerSecond: f.cfg.BytesPerSecond}
	if f.resumable {
		request.From = f.version
	}
	f.out = append(f.out, Send{request})
	f.setState(FollowerSubscribing)
}

// endStream has nothing more taken of the former subscription; the next one has another number.
func (f *Follower) endStream() {
	f.stream = stream{number: f.stream.number + 1, lost: f.stream.lost}
	f.failLookups()
}

// Lookup asks for a record on demand; LookupDone has the outcome under the id.
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

// failLookups ends the lookups that the former subscription will not answer.
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
