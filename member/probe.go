package member

import (
	"context"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"valveglade/logic/view"
)

// headerTimeout bounds how long a connection may take to send its header.
const headerTimeout = time.Second

// handleStream reads the header of a connection and dispatches on its kind. The connection's slot is released when it
// is closed, by whichever side.
func (w *wire) handleStream(conn net.Conn) {
	release := sync.OnceFunc(func() { <-w.connectionSlots })
	nc := newStream(conn, w, release)
	handedOver := false
	defer func() {
		if !handedOver {
			nc.Close()
		}
	}()
	nc.SetDeadline(time.Now().Add(headerTimeout))
	header := make([]byte, streamHeaderSize)
	if _, err := io.ReadFull(conn, header); err != nil {
		return
	}
	t := w.transport.Load()
	switch {
	case string(header[:len(magic)]) != magic:
		w.countDropped(causeForeign, nc.RemoteAddr().String(), errProtocol)
	case header[len(magic)] == kindProbe:
		w.answerProbe(conn)
	case header[len(magic)] == kindStream:
		w.serveStream(conn, release)
	case header[len(magic)] == kindGossip && t != nil:
		nc.SetDeadline(time.Time{})
		select {
		case t.streams <- nc:
			handedOver = true
		case <-t.done:
		case <-time.After(headerTimeout):
		}
	default:
		w.countDropped(causeForeign, nc.RemoteAddr().String(), fmt.Errorf("unknown stream kind %q", header[len(magic)]))
	}
}

// answerProbe answers a probe with our entry if the name is ours.
func (w *wire) answerProbe(nc net.Conn) {
	var size [1]byte
	if _, err := io.ReadFull(nc, size[:]); err != nil {
		return
	}
	name := make([]byte, size[0])
	if _, err := io.ReadFull(nc, name); err != nil {
		return
	}
	if e, ok := w.onProbe(string(name)); ok {
		nc.Write(appendEntry(nil, e))
	}
}

// dial opens a stream from our own address, by which the other end identifies us.
func (w *wire) dial(ctx context.Context, address string, kind byte) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: w.listen.Addr().AsSlice()}}
	if w.listen.Addr().IsUnspecified() {
		d.LocalAddr = nil
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if deadline, ok := ctx.Deadline(); ok {
		nc.SetDeadline(deadline)
	}
	if _, err := nc.Write(append([]byte(magic), kind)); err != nil {
		nc.Close()
		return nil, err
	}
	return nc, nil
}

// probe asks the process at an address whether it is the named member; it returns the entry that it reports.
func (w *wire) probe(ctx context.Context, address, name string) (view.Entry, error) {
	nc, err := w.dial(ctx, address, kindProbe)
	if err != nil {
		return view.Entry{}, err
	}
	defer nc.Close()
	if _, err := nc.Write(appendText(nil, name)); err != nil {
		return view.Entry{}, err
	}
	b, err := io.ReadAll(io.LimitReader(nc, maxEntrySize))
	if err != nil {
		return view.Entry{}, err
	}
	e, err := readEntry(b)
	if err == nil && e.Name != name {
		err = fmt.Errorf("member %s answers at this address", e.Name)
	}
	return e, err
}
