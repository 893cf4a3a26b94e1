package member

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/netip"
	"sync"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// The gossip library believes what it reads. An incarnation at the end of its range, for one, could never be refuted by
// the member that it was made up for. So what comes in is looked at first, and what cannot be true is taken out of it.
// What goes out is looked at too while this process has been late: it then accuses nobody.

// The library's kinds of message, as its protocol numbers them.
const (
	msgPing         = 0
	msgIndirectPing = 1
	msgAck          = 2
	msgSuspect      = 3
	msgAlive        = 4
	msgDead         = 5
	msgPushPull     = 6
	msgCompound     = 7
	msgUser         = 8
	msgNack         = 11
	msgCRC          = 12
	msgError        = 13
)

// mostIncarnation is past what a member could come to: it rises by one with each word on itself and each refutation, of
// which there is one in a third of a second at the most; that is eleven years.
const mostIncarnation = 1 << 30

// mostStates is how many members one exchange may carry, several times as many as a view holds; mostExchange its bytes.
const mostStates, mostExchange = 4096, 1 << 20

// claim is what a message says of a member, as far as it is looked at.
type claim struct {
	Incarnation uint32
	Node        string
	From        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Vsn         []uint8
}

// state is a member in an exchange of all that is known, whole: it is written again.
type state struct {
	Name        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Incarnation uint32
	State       int
	Vsn         []uint8
}

type exchangeHead struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

func decode(b []byte, into any) error {
	return codec.NewDecoder(bytes.NewReader(b), &codec.MsgpackHandle{}).Decode(into)
}

// credible tells what is wrong with a member's life as another describes it, nil if nothing is.
func (w *wire) credible(node string, incarnation uint32, addr []byte, port uint16, meta []byte, versions []uint8) error {
	if incarnation > mostIncarnation {
		return errAbsurd
	}
	if len(versions) != 6 { // the library takes it for granted
		return fmt.Errorf("%.80q has %d versions of protocols", node, len(versions))
	}
	e, err := readEntry(meta)
	if err != nil {
		return fmt.Errorf("what %.80q says of itself: %v", node, err) // a lie, whatever it is
	}
	if node != handle(e.Name, e.Incarnation.Nonce) {
		return fmt.Errorf("%.80q goes by the name of %q", node, e.Name)
	}
	ip, ok := netip.AddrFromSlice(addr)
	if !ok || port == 0 || !w.allowed(ip.Unmap()) {
		return fmt.Errorf("%s is at %v:%d, which is not allowed", e.Name, net.IP(addr), port)
	}
	return nil
}

// filter keeps the messages of a gossip packet for which keep returns nil; it gives the first error, and no packet if
// nothing is left of it.
func filter(b []byte, keep func(kind byte, body []byte) error) ([]byte, error) {
	whole := b
	crc := len(b) > 5 && b[0] == msgCRC
	if crc {
		if binary.BigEndian.Uint32(b[1:]) != crc32.ChecksumIEEE(b[5:]) {
			return nil, errSpoilt
		}
		b = b[5:]
	}
	if len(b) == 0 {
		return nil, errCut
	}
	if b[0] != msgCompound {
		if err := keep(b[0], b[1:]); err != nil {
			return nil, err
		}
		return whole, nil
	}
	if len(b) < 2 || len(b) < 2+2*int(b[1]) {
		return nil, errCut
	}
	n := int(b[1])
	bodies := b[2+2*n:]
	var kept [][]byte
	var first error
	for k := range n {
		size := int(binary.BigEndian.Uint16(b[2+2*k:]))
		if size == 0 || len(bodies) < size {
			return nil, errCut
		}
		one := bodies[:size]
		bodies = bodies[size:]
		if err := keep(one[0], one[1:]); err != nil {
			if first == nil {
				first = err
			}
			continue
		}
		kept = append(kept, one)
	}
	switch {
	case len(kept) == n:
		return whole, nil
	case len(kept) == 0:
		return nil, first
	}
	out := []byte{msgCompound, byte(len(kept))}
	for _, one := range kept {
		out = binary.BigEndian.AppendUint16(out, uint16(len(one)))
	}
	for _, one := range kept {
		out = append(out, one...)
	}
	if crc {
		head := binary.BigEndian.AppendUint32([]byte{msgCRC}, crc32.ChecksumIEEE(out))
		out = append(head, out...)
	}
	return out, first
}

// incoming takes out of a packet what cannot be true.
func (w *wire) incoming(b []byte) ([]byte, error) {
	return filter(b, func(kind byte, body []byte) error {
		switch kind {
		case msgPing, msgIndirectPing, msgAck, msgUser, msgNack:
			return nil
		case msgSuspect, msgDead, msgAlive:
			var c claim
			if err := decode(body, &c); err != nil {
				return fmt.Errorf("message of kind %d: %w", kind, errCut)
			}
			if kind == msgAlive {
				return w.credible(c.Node, c.Incarnation, c.Addr, c.Port, c.Meta, c.Vsn)
			}
			if c.Incarnation > mostIncarnation {
				return errAbsurd
			}
			return nil
		}
		return fmt.Errorf("message of kind %d: %w", kind, errForeign)
	})
}

var errAccuses = errors.New("accuses")

// outgoing takes accusations out of a packet; what a member says of its own leaving is none.
func outgoing(b []byte) []byte {
	out, _ := filter(b, func(kind byte, body []byte) error {
		if kind != msgSuspect && kind != msgDead {
			return nil
		}
		var c claim
		if decode(body, &c) == nil && kind == msgDead && c.Node == c.From {
			return nil
		}
		return errAccuses
	})
	return out
}

// stream is a connection on which an exchange is read whole and looked at before the library sees it.
type stream struct {
	net.Conn
	w      *wire
	in     *bufio.Reader
	looked bool
	ready  *bytes.Reader // what is left of a checked exchange
	over   func()        // once, when it is closed
}

func newStream(nc net.Conn, w *wire, over func()) *stream {
	return &stream{Conn: nc, w: w, in: bufio.NewReader(io.LimitReader(nc, mostExchange)), over: sync.OnceFunc(over)}
}

// Close ends it.
func (s *stream) Close() error {
	defer s.over()
	return s.Conn.Close()
}

func (s *stream) Read(b []byte) (int, error) {
	if !s.looked {
		s.looked = true
		kind, err := s.in.Peek(1)
		if err != nil {
			return 0, err
		}
		switch kind[0] {
		case msgPushPull:
			text, err := s.exchange()
			if err != nil {
				s.w.countDropped(corrupt, s.RemoteAddr().String(), err)
				return 0, err
			}
			s.ready = bytes.NewReader(text)
		case msgPing, msgAck, msgUser, msgError:
		default:
			s.w.countDropped(corrupt, s.RemoteAddr().String(), errForeign)
			return 0, errForeign
		}
	}
	if s.ready != nil {
		return s.ready.Read(b)
	}
	return s.in.Read(b)
}

// exchange reads all that another knows, and writes it again without what cannot be true.
func (s *stream) exchange() ([]byte, error) {
	s.in.ReadByte()
	in := codec.NewDecoder(s.in, &codec.MsgpackHandle{})
	var head exchangeHead
	if err := in.Decode(&head); err != nil {
		return nil, errCut
	}
	if head.Nodes < 0 || head.Nodes > mostStates || head.UserStateLen < 0 || head.UserStateLen > mostExchange {
		return nil, fmt.Errorf("an exchange of %d members and %d bytes", head.Nodes, head.UserStateLen)
	}
	kept := make([]state, 0, min(head.Nodes, 64))
	for range head.Nodes {
		var one state
		if err := in.Decode(&one); err != nil {
			return nil, errCut
		}
		if err := s.w.credible(one.Name, one.Incarnation, one.Addr, one.Port, one.Meta, one.Vsn); err != nil {
			s.w.countDropped(invalid, s.RemoteAddr().String(), err)
			continue
		}
		kept = append(kept, one)
	}
	more := make([]byte, head.UserStateLen)
	if _, err := io.ReadFull(s.in, more); err != nil {
		return nil, errCut
	}
	head.Nodes = len(kept)
	var out bytes.Buffer
	out.WriteByte(msgPushPull)
	to := codec.NewEncoder(&out, &codec.MsgpackHandle{})
	if err := to.Encode(&head); err != nil {
		return nil, err
	}
	for k := range kept {
		if err := to.Encode(&kept[k]); err != nil {
			return nil, err
		}
	}
	out.Write(more)
	return out.Bytes(), nil
}
