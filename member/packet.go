package member

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"

	"valveglade/logic/view"
)

// Every packet and every stream of the fleet begins with these bytes, so that what belongs to something else is known at
// once. docs/fleet.md has the layout of all that is ours, byte for byte.
const (
	magic       = "VGF\x01"
	packetHead  = len(magic) + 1 + 4 // the kind, and a checksum over kind and rest
	streamHead  = len(magic) + 1
	maxPacket   = 1400 // bytes: what passes a usual network whole
	maxName     = 64   // bytes of a member's or a zone's name
	protoSpoken = 1
)

// The kinds of packet and stream.
const (
	kindGossip  = 'g' // the gossip library's own
	kindNewer   = 't' // a packet: a newer incarnation of your name is known
	kindProbe   = 'k' // a stream: are you there
	kindMessage = 'n' // a packet: a message from one member to another, by name
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// seal puts a payload into a packet: magic, kind, checksum, payload.
func seal(out []byte, kind byte, payload []byte) []byte {
	out = append(out, magic...)
	out = append(out, kind)
	out = binary.BigEndian.AppendUint32(out, sum(kind, payload))
	return append(out, payload...)
}

func sum(kind byte, payload []byte) uint32 {
	return crc32.Update(crc32.Update(0, castagnoli, []byte{kind}), castagnoli, payload)
}

var (
	errForeign = errors.New("not of a fleet's protocol")
	errSpoilt  = errors.New("spoilt on the way")
	errCut     = errors.New("cut short")
)

// open takes a packet apart; payload is part of b.
func open(b []byte) (kind byte, payload []byte, err error) {
	if len(b) < packetHead || string(b[:len(magic)]) != magic {
		return 0, nil, errForeign
	}
	kind, payload = b[len(magic)], b[packetHead:]
	if binary.BigEndian.Uint32(b[len(magic)+1:]) != sum(kind, payload) {
		return 0, nil, errSpoilt
	}
	return kind, payload, nil
}

// appendIncarnation and appendText are parts of what follows.
func appendIncarnation(out []byte, l view.Incarnation) []byte {
	return binary.BigEndian.AppendUint32(binary.BigEndian.AppendUint64(out, l.Number), l.Nonce)
}

func appendText(out []byte, s string) []byte { return append(append(out, byte(len(s))), s...) }

// reader takes fields from the front of b; once it has run short, all that it gives is zero.
type reader struct {
	b     []byte
	short bool
}

func (r *reader) take(n int) []byte {
	if len(r.b) < n {
		r.short, r.b = true, nil
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

// A member says of itself, in what gossip carries for it: "VM", the format, the protocol it speaks, state, flags (1: its
// work hangs), incarnation number and nonce, three bytes of load, name, zone. A later format only adds at the end; what is there more
// is passed over.
const (
	entryMagic  = "VM"
	entryFormat = 1
	flagIll     = 1
)

func appendEntry(out []byte, e view.Entry) []byte {
	flags := byte(0)
	if e.Unhealthy {
		flags |= flagIll
	}
	out = append(out, entryMagic...)
	out = append(out, entryFormat, e.Proto, byte(e.State), flags)
	out = appendIncarnation(out, e.Incarnation)
	out = append(out, e.Load.Open, e.Load.Credit, e.Load.Level)
	return appendText(appendText(out, e.Name), e.Zone)
}

// readEntry is its inverse, without the address.
func readEntry(b []byte) (view.Entry, error) {
	r := reader{b: b}
	if string(r.take(2)) != entryMagic {
		return view.Entry{}, errForeign
	}
	if format := r.byte(); format < entryFormat {
		return view.Entry{}, fmt.Errorf("format %d of a member's word on itself is not known", format)
	}
	e := view.Entry{Proto: r.byte(), State: view.State(r.byte())}
	e.Unhealthy = r.byte()&flagIll != 0
	e.Incarnation = r.incarnation()
	e.Load = view.Load{Open: r.byte(), Credit: r.byte(), Level: r.byte()}
	e.Name, e.Zone = r.text(), r.text()
	switch {
	case r.short:
		return view.Entry{}, errCut
	case e.Name == "" || len(e.Name) > maxName || len(e.Zone) > maxName:
		return view.Entry{}, fmt.Errorf("a name of %d bytes, or a zone's of %d", len(e.Name), len(e.Zone))
	case e.State > view.Left:
		return view.Entry{}, fmt.Errorf("state %d is not known", e.State)
	case e.Incarnation.Number >= view.MaxIncarnation:
		return view.Entry{}, errAbsurd
	}
	return e, nil
}

var errAbsurd = errors.New("an absurd incarnation")

// handle is the name under which gossip knows one incarnation: a restart is another, so that gossip never takes one for the
// other.
func handle(name string, nonce uint32) string { return fmt.Sprintf("%s~%08x", name, nonce) }

// What an answer to a probe carries: "VE", the format, version and digest of the view.
const echoMagic = "VE\x01"

func appendEcho(out []byte, v *view.View) []byte {
	out = append(out, echoMagic...)
	return binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(out, v.Version), v.Digest)
}

func readEcho(b []byte) (version, digest uint64, ok bool) {
	r := reader{b: b}
	if string(r.take(len(echoMagic))) != echoMagic {
		return 0, 0, false
	}
	version, digest = binary.BigEndian.Uint64(r.take(8)), binary.BigEndian.Uint64(r.take(8))
	return version, digest, !r.short
}

// A message is the sender's name, the receiver's, and then the message, of at most maxNote bytes.
const maxNote = maxPacket - packetHead - 2*(1+maxName)

func appendMessage(out []byte, from, to string, message []byte) []byte {
	return append(appendText(appendText(out, from), to), message...)
}

func readMessage(b []byte) (from, to string, message []byte, ok bool) {
	r := reader{b: b}
	from, to = r.text(), r.text()
	return from, to, r.b, !r.short
}

// The message to an older incarnation: the newer one, and its name.
func appendNewer(out []byte, e view.Entry) []byte {
	return appendText(appendIncarnation(out, e.Incarnation), e.Name)
}

func readNewer(b []byte) (view.Entry, bool) {
	r := reader{b: b}
	e := view.Entry{Incarnation: r.incarnation()}
	e.Name = r.text()
	return e, !r.short
}
