package member

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"valveglade/logic/view"
)

// Every datagram and every stream of the fleet begins with magic, which distinguishes it from other protocols.
// docs/fleet.md has the layout of our own messages byte by byte.
const (
	magic            = "VGF\x01"
	packetHeaderSize = len(magic) + 1 + 4 // magic, kind, and a checksum over kind and payload
	streamHeaderSize = len(magic) + 1     // magic and kind
	maxPacket        = 1400               // bytes that usual networks carry unfragmented
	maxName          = 64                 // bytes of a member's or zone's name
	protoSpoken      = 1                  // version of the fleet protocol
)

// The kinds of datagrams and streams.
const (
	kindGossip           = 'g' // datagram or stream of the gossip library
	kindNewerIncarnation = 't' // datagram: a newer incarnation of the receiver's name is known
	kindProbe            = 'k' // stream: probe of a member by name
	kindMessage          = 'n' // datagram: message from one member to another, by name
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// sealPacket appends a packet to out: magic, kind, checksum, payload.
func sealPacket(out []byte, kind byte, payload []byte) []byte {
	out = append(out, magic...)
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, checksum(kind, payload))
	return append(out, payload...)
}

func checksum(kind byte, payload []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte{kind}), castagnoli, payload)
}

var (
	errProtocol  = errors.New("not the fleet protocol")
	errChecksum  = errors.New("spoilt on the way")
	errTruncated = errors.New("truncated")
)

// openPacket returns kind and payload of a packet; payload aliases b.
func openPacket(b []byte) (kind byte, payload []byte, err error) {
	if len(b) < packetHeaderSize || string(b[:len(magic)]) != magic {
		return 0, nil, errProtocol
	}
	kind, payload = b[len(magic)], b[packetHeaderSize:]
	if binary.BigEndian.Uint32(b[len(magic)+1:]) != checksum(kind, payload) {
		return 0, nil, errChecksum
	}
	return kind, payload, nil
}

// appendIncarnation and appendText append fields of the formats below.
func appendIncarnation(out []byte, i view.Incarnation) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(out, i.Number), i.Nonce)
}

func appendText(out []byte, s string) []byte { return append(append(out, byte(len(s))), s...) }

// reader decodes fields from the front of b. After a field that is cut short, all fields are zero.
type reader struct {
	b         []byte
	truncated bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.truncated, r.b = true, nil
		return make([]byte, n)
	}
	b := r.b[:n]
	r.b = r.b[n:]
	return b
}

func (r *reader) byte() byte { return r.take(1)[0] }
func (r *reader) incarnation() view.Incarnation {
	return view.Incarnation{Number: binary.BigEndian.Uint64(r.take(8)), Nonce: binary.BigEndian.Uint32(r.take(4))}
}
func (r *reader) text() string { return string(r.take(int(r.byte()))) }

// Metadata that gossip carries of a member: "VM", format, protocol version, state, flags (1: its work is stuck),
// incarnation number and nonce, three bytes of load, name, zone. A later format only appends fields, which are ignored.
const (
	entryMagic    = "VM"
	entryFormat   = 1
	flagUnhealthy = 1
)

func appendEntry(out []byte, e view.Entry) []byte {
	flags := byte(0)
	if e.Unhealthy {
		flags |= flagUnhealthy
	}
	out = append(out, entryMagic...)
	out = append(out, entryFormat, e.Proto, byte(e.State), flags)
	out = appendIncarnation(out, e.Incarnation)
	out = append(out, e.Load.Open, e.Load.Credit, e.Load.Level)
	return appendText(appendText(out, e.Name), e.Zone)
}

// readEntry decodes what appendEntry encodes; the address is not included.
func readEntry(b []byte) (view.Entry, error) {
	r := reader{b: b}
	if string(r.take(2)) != entryMagic {
		return view.Entry{}, errProtocol
	}
	if format := r.byte(); format < entryFormat {
		return view.Entry{}, fmt.Errorf("unknown format %d of a member's metadata", format)
	}
	e := view.Entry{Proto: r.byte(), State: view.State(r.byte())}
	e.Unhealthy = r.byte()&flagUnhealthy != 0
	e.Incarnation = r.incarnation()
	e.Load = view.Load{Open: r.byte(), Credit: r.byte(), Level: r.byte()}
	e.Name, e.Zone = r.text(), r.text()
	switch {
	case r.truncated:
		return view.Entry{}, errTruncated
	case e.Name == "" || len(e.Name) > maxName || len(e.Zone) > maxName:
		return view.Entry{}, fmt.Errorf("name of %d bytes or zone of %d bytes is out of range", len(e.Name), len(e.Zone))
	case e.State > view.Left:
		return view.Entry{}, fmt.Errorf("unknown state %d", e.State)
	case e.Incarnation.Number >= view.MaxIncarnation:
		return view.Entry{}, errIncarnationRange
	}
	return e, nil
}

var errIncarnationRange = errors.New("incarnation out of range")

// nodeName returns the name by which gossip knows one incarnation. A restarted process has another, so that gossip
// never confuses the two.
func nodeName(name string, nonce uint32) string { return fmt.Sprintf("%s~%08x", name, nonce) }

// viewDigestMagic begins the payload of the answer to a gossip probe: "VE" and the format, then the version and the
// digest of the view.
const viewDigestMagic = "VE\x01"

func appendViewDigest(out []byte, v *view.View) []byte {
	out = append(out, viewDigestMagic...)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(out, v.Version), v.Digest)
}

func readViewDigest(b []byte) (version, digest uint64, ok bool) {
	r := reader{b: b}
	if string(r.take(len(viewDigestMagic))) != viewDigestMagic {
		return 0, 0, false
	}
	version, digest = binary.BigEndian.Uint64(r.take(8)), binary.BigEndian.Uint64(r.take(8))
	return version, digest, !r.truncated
}

// maxMessageSize bounds a message in bytes. Its datagram holds the sender's name, the receiver's name, and the message.
const maxMessageSize = maxPacket - packetHeaderSize - 2*(1+maxName)

func appendMessage(out []byte, from, to string, message []byte) []byte {
	return append(appendText(appendText(out, from), to), message...)
}

func readMessage(b []byte) (from, to string, message []byte, ok bool) {
	r := reader{b: b}
	from, to = r.text(), r.text()
	return from, to, r.b, !r.truncated
}

// appendNewerIncarnation encodes the notice to an older incarnation: the newer incarnation, and its name.
func appendNewerIncarnation(out []byte, e view.Entry) []byte {
	return appendText(appendIncarnation(out, e.Incarnation), e.Name)
}

func readNewerIncarnation(b []byte) (view.Entry, bool) {
	r := reader{b: b}
	e := view.Entry{Incarnation: r.incarnation()}
	e.Name = r.text()
	return e, !r.truncated
}
