package rig

import (
	"net"
	"sync/atomic"
	"time"
)

// flow is one connection of a client through the network, by which the checker knows it.
type flow struct {
	*Net
	caller, server net.Conn
	ours           atomic.Bool   // ended by the network or by the caller
	ended          atomic.Bool   // the app server has ended it
	writing        atomic.Int64  // since when a write to the caller has not come back, Unix nanoseconds; 0 for none
	unread         atomic.Bool   // the caller has not read what was written to it
	wrote          atomic.Uint64 // chunks so far, from which the pieces of the next are drawn

	spare   map[int32]int // answers that are not owed and do no harm, by number; under the checker's lock
	counted *requestLog   // where it counts as a connection; under the checker's lock
}

// watchRequest tells the checker of a message that goes to the app server; owed says that it has to be answered under seq.
func (f *flow) watchRequest(message []byte) (seq int32, owed bool) {
	q, err := readRequest(message)
	return q.seq, f.check.observeRequest(f, q, err)
}

// watchReply tells the checker of a message that has come from the app server.
func (f *flow) watchReply(message []byte) {
	a, err := readReply(message)
	f.check.observeReply(f, a, err)
}

// unreadAfter is when a write that does not come back shows that the caller does not read.
const unreadAfter = 50 * time.Millisecond

// write writes to one side, and takes note of when one to the caller began.
func (f *flow) write(to net.Conn, b []byte) error {
	if to != f.caller {
		_, err := to.Write(b)
		return err
	}
	began := time.Now()
	f.writing.Store(began.UnixNano())
	_, err := to.Write(b)
	f.writing.Store(0)
	if time.Since(began) > unreadAfter {
		f.unread.Store(true)
	}
	return err
}

// callerUnread reports whether the caller has not read what was written to it: what its app server says behind that comes
// late, or not at all, through no fault of the app server.
func (f *flow) callerUnread() bool {
	began := f.writing.Load()
	return f.unread.Load() || began > 0 && time.Since(time.Unix(0, began)) > unreadAfter
}
