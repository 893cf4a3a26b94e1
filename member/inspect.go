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

// The gossip library trusts its input. An incarnation at the end of its range, for example, could never be refuted by
// the member it was forged for. So incoming messages are checked, and invalid ones are removed. While this process has
// been late, suspicions are removed from outgoing messages as well.

// The message types of the library's protocol.
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

// maxGossipIncarnation is above any incarnation that a member reaches: it increases by one with each announcement and
// each refutation, at most once in a third of a second, which takes eleven years.
const maxGossipIncarnation = 1 << 30

// Limits of a push/pull exchange. A view holds a fraction of maxExchangeMembers.
const (
	maxExchangeMembers = 4096
	maxExchangeBytes   = 1 << 20
)

// memberClaim has the checked fields of a suspect, alive or dead message. Field names are those of the msgpack
// encoding.
type memberClaim struct {
	Incarnation uint32
	Node        string
	From        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Vsn         []uint8
}

// memberState is a member in a push/pull exchange. It has all fields, as it is encoded again.
type memberState struct {
	Name        string
	Addr        []byte
	Port        uint16
	Meta        []byte
	Incarnation uint32
	State       int
	Vsn         []uint8
}

type exchangeHeader struct {
	Nodes        int
	UserStateLen int
	Join         bool
}

func decode(b []byte, into any) error {
	return codec.NewDecoder(bytes.NewReader(b), &codec.MsgpackHandle{}).Decode(into)
}

// checkMember returns what is invalid in the description of a member, nil if nothing is.
func (w *wire) checkMember(node string, incarnation uint32, addr []byte, port uint16, meta []byte,
	versions []uint8) error {
	if incarnation > maxGossipIncarnation {
		return errIncarnationRange
	}
	if len(versions) != 6 { // the library does not check the length
		return fmt.Errorf("%.80q has %d protocol versions", node, len(versions))
	}
	e, err := readEntry(meta)
	if err != nil {
		return fmt.Errorf("metadata of %.80q: %v", node, err) // not %w: counted as invalid whatever the cause
	}
	if node != nodeName(e.Name, e.Incarnation.Nonce) {
		return fmt.Errorf("node %.80q announces the name %q", node, e.Name)
	}
	ip, ok := netip.AddrFromSlice(addr)
	if !ok || port == 0 || !w.allowed(ip.Unmap()) {
		return fmt.Errorf("%s is at %v:%d, which is not allowed", e.Name, net.IP(addr), port)
	}
	return nil
}

// filterMessages keeps the messages of a gossip packet for which keep returns nil. It returns the first error, and no
// packet if no message is left.
func filterMessages(b []byte, keep func(kind byte, body []byte) error) ([]byte, error) {
	whole := b
	hasCRC := len(b) > 5 && b[0] == msgCRC
	if hasCRC {
		if binary.BigEndian.Uint32(b[1:]) != crc32.ChecksumIEEE(b[5:]) {
			return nil, errChecksum
		}
		b = b[5:]
	}
	if len(b) == 0 {
		return nil, errTruncated
	}
	if b[0] != msgCompound {
		if err := keep(b[0], b[1:]); err != nil {
			return nil, err
		}
		return whole, nil
	}
	if len(b) < 2 || len(b) < 2+2*int(b[1]) {
		return nil, errTruncated
	}
	n := int(b[1])
	messages := b[2+2*n:]
	var kept [][]byte
	var firstErr error
	for k := range n {
		size := int(binary.BigEndian.Uint16(b[2+2*k:]))
		if size == 0 || len(messages) < size {
			return nil, errTruncated
		}
		message := messages[:size]
		messages = messages[size:]
		if err := keep(message[0], message[1:]); err != nil {
			if firstErr == nil {
				firstErr = err
			}
			continue
		}
		kept = append(kept, message)
	}
	switch {
	case len(kept) == n:
		return whole, nil
	case len(kept) == 0:
		return nil, firstErr
	}
	out := []byte{msgCompound, byte(len(kept))}
	for _, message := range kept {
		out = binary.BigEndian.AppendUint16(out, uint16(len(message)))
	}
	for _, message := range kept {
		out = append(out, message...)
	}
	if hasCRC {
		header := binary.BigEndian.AppendUint32([]byte{msgCRC}, crc32.ChecksumIEEE(out))
		out = append(header, out...)
	}
	return out, firstErr
}

// dropInvalid removes invalid messages from an incoming packet.
func (w *wire) dropInvalid(b []byte) ([]byte, error) {
	return filterMessages(b, func(kind byte, body []byte) error {
		switch kind {
		case msgPing, msgIndirectPing, msgAck, msgUser, msgNack:
			return nil
		case msgSuspect, msgDead, msgAlive:
			var c memberClaim
			if err := decode(body, &c); err != nil {
				return fmt.Errorf("message of kind %d: %w", kind, errTruncated)
			}
			if kind == msgAlive {
				return w.checkMember(c.Node, c.Incarnation, c.Addr, c.Port, c.Meta, c.Vsn)
			}
			if c.Incarnation > maxGossipIncarnation {
				return errIncarnationRange
			}
			return nil
		}
		return fmt.Errorf("message of kind %d: %w", kind, errProtocol)
	})
}

var errSuspicion = errors.New("suspects another member")

// dropSuspicions removes suspicions and declarations of death from an outgoing packet. A member's message about its own
// leaving is kept.
func dropSuspicions(b []byte) []byte {
	out, _ := filterMessages(b, func(kind byte, body []byte) error {
		if kind != msgSuspect && kind != msgDead {
			return nil
		}
		var c memberClaim
		if decode(body, &c) == nil && kind == msgDead && c.Node == c.From {
			return nil
		}
		return errSuspicion
	})
	return out
}

// checkedStream is a gossip connection. A push/pull exchange is read and checked as a whole before the library reads
// it.
type checkedStream struct {
	net.Conn
	w         *wire
	in        *bufio.Reader
	checked   bool
	validated *bytes.Reader // unread rest of a checked exchange
	onClose   func()        // called once, on Close
}

func newStream(nc net.Conn, w *wire, onClose func()) *checkedStream {
	return &checkedStream{Conn: nc, w: w, in: bufio.NewReader(io.LimitReader(nc, maxExchangeBytes)),
		onClose: sync.OnceFunc(onClose)}
}

// Close closes the connection.
func (s *checkedStream) Close() error {
	defer s.onClose()
	return s.Conn.Close()
}

func (s *checkedStream) Read(b []byte) (int, error) {
	if !s.checked {
		s.checked = true
		kind, err := s.in.Peek(1)
		if err != nil {
			return 0, err
		}
		switch kind[0] {
		case msgPushPull:
			text, err := s.readExchange()
			if err != nil {
				s.w.countDropped(causeCorrupt, s.RemoteAddr().String(), err)
				return 0, err
			}
			s.validated = bytes.NewReader(text)
		case msgPing, msgAck, msgUser, msgError:
		default:
			s.w.countDropped(causeCorrupt, s.RemoteAddr().String(), errProtocol)
			return 0, errProtocol
		}
	}
	if s.validated != nil {
		return s.validated.Read(b)
	}
	return s.in.Read(b)
}

// readExchange reads a push/pull exchange, and encodes it again without the invalid members.
func (s *checkedStream) readExchange() ([]byte, error) {
	s.in.ReadByte()
	in := codec.NewDecoder(s.in, &codec.MsgpackHandle{})
	var header exchangeHeader
	if err := in.Decode(&header); err != nil {
		return nil, errTruncated
	}
	if header.Nodes < 0 || header.Nodes > maxExchangeMembers ||
		header.UserStateLen < 0 || header.UserStateLen > maxExchangeBytes {
		return nil, fmt.Errorf("exchange of %d members and %d bytes is too large", header.Nodes, header.UserStateLen)
	}
	kept := make([]memberState, 0, min(header.Nodes, 64))
	for range header.Nodes {
		var member memberState
		if err := in.Decode(&member); err != nil {
			return nil, errTruncated
		}
		if err := s.w.checkMember(member.Name, member.Incarnation, member.Addr, member.Port, member.Meta,
			member.Vsn); err != nil {
			s.w.countDropped(causeInvalid, s.RemoteAddr().String(), err)
			continue
		}
		kept = append(kept, member)
	}
	userState := make([]byte, header.UserStateLen)
	if _, err := io.ReadFull(s.in, userState); err != nil {
		return nil, errTruncated
	}
	header.Nodes = len(kept)
	var out bytes.Buffer
	out.WriteByte(msgPushPull)
	encoder := codec.NewEncoder(&out, &codec.MsgpackHandle{})
	if err := encoder.Encode(&header); err != nil {
		return nil, err
	}
	for k := range kept {
		if err := encoder.Encode(&kept[k]); err != nil {
			return nil, err
		}
	}
	out.Write(userState)
	return out.Bytes(), nil
}
