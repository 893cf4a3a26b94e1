package rig

import (
	"net"
	"sync/atomic"
	"time"
)

// proxiedConnection is one connection of a client through the network, by which the checker knows it.
type proxiedConnection struct {
	*Net
	caller, server net.Conn
	endedLocally   atomic.Bool   // ended by the network or by the caller
	endedByServer  atomic.Bool   // the app server has ended it
	writeStarted   atomic.Int64  // since when a write to the caller has not come back, Unix nanoseconds; 0 for none
	callerStalled  atomic.Bool   // the caller has not read what was written to it
	chunkCount     atomic.Uint64 // chunks so far, from which the pieces of the next are drawn

	optionalReplies map[int32]int // answers that are not owed and do no harm, by number; under the checker's lock
	countedIn       *ledger       // where it counts as a connection; under the checker's lock
}

// watchRequest tells the checker of a message that goes to the app server; owed says that it has to be answered under seq.
func (f *proxiedConnection) watchRequest(message []byte) (seq int32, replyDue bool) {
	q, err := readRequest(message)
	return q.seq, f.check.asked(f, q, err)
}

// watchReply tells the checker of a message that has come from the app server.
func (f *proxiedConnection) watchReply(message []byte) {
	a, err := readReply(message)
	f.check.replied(f, a, err)
}

// stalledWriteTimeout is when a write that does not come back shows that the caller does not read.
const stalledWriteTimeout = 50 * time.Millisecond

// write writes to one side, and takes note of when one to the caller began.
func (f *proxiedConnection) write(to net.Conn, b []byte) error {
	if to != f.caller {
		_, err := to.Write(b)
		return err
	}
	start := time.Now()
	f.writeStarted.Store(start.UnixNano())
	_, err := to.Write(b)
	f.writeStarted.Store(0)
	if time.Since(start) > stalledWriteTimeout {
		f.callerStalled.Store(true)
	}
	return err
}

// callerNotReading reports whether the caller has not read what was written to it: what its app server says behind that comes
// late, or not at all, through no fault of the app server.
func (f *proxiedConnection) callerNotReading() bool {
	start := f.writeStarted.Load()
	return f.callerStalled.Load() || start > 0 && time.Since(time.Unix(0, start)) > stalledWriteTimeout
}
