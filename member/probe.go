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

// headWait is how long a connection may take to say what it is for.
const headWait = time.Second

// handleStream reads what a connection is for. Its place is given back when it is closed, whoever closes it.
func (w *wire) handleStream(bare net.Conn) {
	release := sync.OnceFunc(func() { <-w.streams })
	nc := newStream(bare, w, release)
	kept := false
	defer func() {
		if !kept {
			nc.Close()
		}
	}()
	nc.SetDeadline(time.Now().Add(headWait))
	head := make([]byte, streamHead)
	if _, err := io.ReadFull(bare, head); err != nil {
		return
	}
	t := w.transport.Load()
	switch {
	case string(head[:len(magic)]) != magic:
		w.countDropped(foreign, nc.RemoteAddr().String(), errForeign)
	case head[len(magic)] == kindProbe:
		w.answerProbe(bare)
	case head[len(magic)] == kindStream:
		w.serveStream(bare, release)
	case head[len(magic)] == kindGossip && t != nil:
		nc.SetDeadline(time.Time{})
		select {
		case t.streams <- nc:
			kept = true
		case <-t.done:
		case <-time.After(headWait):
		}
	default:
		w.countDropped(foreign, nc.RemoteAddr().String(), fmt.Errorf("a stream of kind %q", head[len(magic)]))
	}
}

// answerProbe answers who is here.
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

// dial opens a stream from our own address, so that the other end knows who speaks.
func (w *wire) dial(ctx context.Context, address string, kind byte) (net.Conn, error) {
	d := net.Dialer{LocalAddr: &net.TCPAddr{IP: w.listen.Addr().AsSlice()}}
	if w.listen.Addr().IsUnspecified() {
		d.LocalAddr = nil
	}
	nc, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if due, ok := ctx.Deadline(); ok {
		nc.SetDeadline(due)
	}
	if _, err := nc.Write(append([]byte(magic), kind)); err != nil {
		nc.Close()
		return nil, err
	}
	return nc, nil
}

// probe asks whoever is at an address whether it is that member; it gives what it says of itself.
func (w *wire) probe(ctx context.Context, address, name string) (view.Entry, error) {
	nc, err := w.dial(ctx, address, kindProbe)
	if err != nil {
		return view.Entry{}, err
	}
	defer nc.Close()
	if _, err := nc.Write(appendText(nil, name)); err != nil {
		return view.Entry{}, err
	}
	b, err := io.ReadAll(io.LimitReader(nc, maxEntry))
	if err != nil {
		return view.Entry{}, err
	}
	e, err := readEntry(b)
	if err == nil && e.Name != name {
		err = fmt.Errorf("%s answers there", e.Name)
	}
	return e, err
}
