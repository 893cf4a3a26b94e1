package member

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net"
	"net/netip"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"valveglade/logic/view"
)

// crew is some members in this process.
type crew struct {
	t       *testing.T
	members []*Member
	ends    []func()
}

func testConfig(name string, join ...netip.AddrPort) Config {
	return Config{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Join: join, Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")},
		ProbeInterval: 200 * time.Millisecond, View: view.Defaults()}
}

// start runs one more member; its end is the last of c.ends.
func (c *crew) start(p Config) *Member { return c.startLogged(p, zap.NewNop()) }

func (c *crew) startLogged(p Config, log *zap.Logger) *Member {
	c.t.Helper()
	m, err := New(p, log)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	var over sync.WaitGroup
	over.Go(func() {
		if err := m.Run(ctx); err != nil {
			c.t.Error(err)
		}
	})
	stop := sync.OnceFunc(func() { end(); over.Wait() })
	c.t.Cleanup(stop)
	c.members, c.ends = append(c.members, m), append(c.ends, stop)
	return m
}

// until waits for a condition.
func until(t *testing.T, what string, within time.Duration, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !holds(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, what)
		}
	}
}

// alike tells whether all have converged on one view of n members.
func alike(n int, all ...*Member) func() bool {
	return func() bool {
		first := all[0].View()
		for _, m := range all {
			v := m.View()
			if len(v.Members) != n || v.Digest != first.Digest || v.Version != first.Version || n > 1 && v.Certainty != view.Converged {
				return false
			}
		}
		return true
	}
}

// Members that know one address find each other and come to one view; one that leaves is gone at once.
func TestMeet(t *testing.T) {
	t.Parallel()
	c := &crew{t: t}
	first := c.start(testConfig("m0"))
	for k := 1; k < 5; k++ {
		c.start(testConfig(fmt.Sprintf("m%d", k), first.Address()))
	}
	until(t, "five see the same", 10*time.Second, alike(5, c.members...))
	c.members[1].UpdateState(view.Serving, false, view.Load{Open: 3})
	until(t, "its word is heard", 5*time.Second, func() bool {
		e := c.members[4].View().Find("m1")
		return e != nil && e.State == view.Serving && e.Load.Open == 3
	})
	c.members[1].UpdateState(view.Leaving, false, view.Load{})
	c.ends[1]()
	rest := append([]*Member{first}, c.members[2:]...)
	until(t, "four are left", 3*time.Second, alike(4, rest...))
}

// raw is somebody with a socket who is no member.
func raw(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func encoded(kind byte, v any) []byte {
	var out bytes.Buffer
	out.WriteByte(kind)
	codec.NewEncoder(&out, &codec.MsgpackHandle{}).Encode(v)
	return out.Bytes()
}

// What is foreign, spoilt, cut short or cannot be true is dropped, counted by its cause, and told once a second; the view
// is as before, and those who were lied about are still there.
func TestLies(t *testing.T) {
	t.Parallel()
	c := &crew{t: t}
	lines, logged := observer.New(zap.InfoLevel)
	a := c.start(testConfig("a"))
	p := testConfig("b", a.Address())
	p.Allow = []netip.Prefix{netip.MustParsePrefix("127.0.0.1/32")}
	b := c.startLogged(p, zap.New(lines))
	until(t, "two see the same", 10*time.Second, alike(2, a, b))
	before := b.View()
	from, to := raw(t), net.UDPAddrFromAddrPort(b.Address())
	real := a.machine.Entry()
	addr, port := netip.MustParseAddrPort(real.Address).Addr().AsSlice(), netip.MustParseAddrPort(real.Address).Port()
	vsn := []uint8{1, 5, 2, 0, 0, 0}
	type alive struct {
		Incarnation uint32
		Node        string
		Addr        []byte
		Port        uint16
		Meta        []byte
		Vsn         []uint8
	}
	name := nodeName("a", real.Incarnation.Nonce)
	good := appendEntry(nil, real)
	born := real
	born.Incarnation.Number = view.MaxIncarnation
	for cause, payloads := range map[cause][][]byte{
		causeForeign: {[]byte("GET / HTTP/1.0\r\n\r\n"), nil, []byte("VGF")},
		causeCorrupt: {[]byte("VGF\x01g____spoilt"), sealPacket(nil, kindGossip, nil), sealPacket(nil, kindGossip, []byte{msgCompound, 9, 0}), sealPacket(nil, kindNewerIncarnation, []byte{1}), sealPacket(nil, kindGossip, []byte{msgDead, 0xc1}), sealPacket(nil, kindGossip, []byte{99, 1})},
		causeInvalid: {
			sealPacket(nil, kindGossip, encoded(msgDead, memberClaim{Incarnation: 1<<32 - 1, Node: name, From: "x"})),
			sealPacket(nil, kindGossip, encoded(msgAlive, alive{1<<32 - 1, name, addr, port, good, vsn})),
			sealPacket(nil, kindGossip, encoded(msgAlive, alive{3, "b~12345678", addr, port, good, vsn})),                 // another's name
			sealPacket(nil, kindGossip, encoded(msgAlive, alive{3, name, []byte{8, 8, 8, 8}, port, good, vsn})),           // outside
			sealPacket(nil, kindGossip, encoded(msgAlive, alive{3, name, addr, port, bytes.Repeat([]byte{7}, 400), vsn})), // a huge digest
			sealPacket(nil, kindGossip, encoded(msgAlive, alive{3, name, addr, port, appendEntry(nil, born), vsn})),
			sealPacket(nil, kindGossip, encoded(msgAlive, alive{3, name, addr, port, good, vsn[:1]})), // on which the library would break
		},
	} {
		for range 3 {
			for _, one := range payloads {
				from.WriteToUDP(one, to)
			}
		}
		until(t, causeNames[cause], 5*time.Second, func() bool { return b.Stats().Dropped[causeNames[cause]] >= int64(3*len(payloads)) })
	}
	other, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 9)}, to)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.Write(sealPacket(nil, kindGossip, []byte{msgPing}))
	until(t, "not allowed", 5*time.Second, func() bool { return b.Stats().Dropped["not allowed"] == 1 })
	// Streams of another kind end, and cost nothing.
	for _, text := range []string{"GET / HTTP/1.0\r\n\r\n", "VGF\x01g\x06\xff\xff\xff", "VGF\x01gzzzz", "VGF\x01k\x40short"} {
		nc, err := net.Dial("tcp", b.Address().String())
		if err != nil {
			t.Fatal(err)
		}
		nc.Write([]byte(text))
		nc.(*net.TCPConn).CloseWrite()
		nc.SetDeadline(time.Now().Add(5 * time.Second))
		if rest, err := io.ReadAll(nc); errors.Is(err, os.ErrDeadlineExceeded) || len(rest) > 0 {
			t.Errorf("%q was answered %q, %v", text, rest, err)
		}
		nc.Close()
	}
	time.Sleep(2 * time.Second) // in which a lie that was believed would show
	if v := b.View(); v.Digest != before.Digest || v.Find("a") == nil {
		t.Errorf("the view has changed: %v", v)
	}
	until(t, "still converged", 5*time.Second, alike(2, a, b))
	told := 0
	for _, e := range logged.FilterMessage("fleet packet dropped").All() {
		if e.ContextMap()["cause"] == "invalid" {
			told++
		}
	}
	if told == 0 || told > 5 {
		t.Errorf("told %d times of lies", told)
	}
}

// An exchange over a stream is believed but for what cannot be true in it.
func TestExchange(t *testing.T) {
	w := &wire{allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, log: zap.NewNop(), lastLogged: map[cause]time.Time{}}
	e := view.Entry{Name: "a", Incarnation: view.Incarnation{Number: 5, Nonce: 7}, State: view.Serving, Proto: 1}
	ok := memberState{nodeName("a", 7), []byte{127, 0, 0, 1}, 7946, appendEntry(nil, e), 3, 0, []uint8{1, 5, 2, 0, 0, 0}}
	bad := ok
	bad.Incarnation = 1<<32 - 1
	var in bytes.Buffer
	in.WriteByte(msgPushPull)
	to := codec.NewEncoder(&in, &codec.MsgpackHandle{})
	to.Encode(exchangeHeader{Nodes: 3, UserStateLen: 4, Join: true})
	for _, s := range []memberState{bad, ok, bad} {
		to.Encode(s)
	}
	in.WriteString("user")
	near, far := net.Pipe()
	go func() { far.Write(in.Bytes()); far.Close() }()
	text, err := io.ReadAll(newStream(near, w, func() {}))
	if err != nil {
		t.Fatal(err)
	}
	out := codec.NewDecoder(bytes.NewReader(text[1:]), &codec.MsgpackHandle{})
	var head exchangeHeader
	var one memberState
	if err := errors.Join(out.Decode(&head), out.Decode(&one)); err != nil {
		t.Fatal(err)
	}
	if head.Nodes != 1 || !head.Join || head.UserStateLen != 4 || one.Incarnation != 3 || !bytes.HasSuffix(text, []byte("user")) {
		t.Errorf("%+v %+v %q", head, one, text)
	}
	if n := w.dropCounts[causeInvalid].Load(); n != 2 {
		t.Errorf("%d lies counted", n)
	}
}

// Accusations are taken out of what a late process sends, and its own leave message is not.
func TestOutgoing(t *testing.T) {
	part := func(kind byte, v any) []byte { return encoded(kind, v) }
	bye := part(msgDead, memberClaim{Node: "me", From: "me", Incarnation: 3})
	ack := part(msgAck, struct{ SeqNo uint32 }{7})
	accuse := part(msgSuspect, memberClaim{Node: "you", From: "me", Incarnation: 3})
	bury := part(msgDead, memberClaim{Node: "you", From: "me", Incarnation: 3})
	pack := func(crc bool, parts ...[]byte) []byte {
		out := []byte{msgCompound, byte(len(parts))}
		for _, p := range parts {
			out = binary.BigEndian.AppendUint16(out, uint16(len(p)))
		}
		for _, p := range parts {
			out = append(out, p...)
		}
		if crc {
			out = append(binary.BigEndian.AppendUint32([]byte{msgCRC}, crc32.ChecksumIEEE(out)), out...)
		}
		return out
	}
	for k, c := range [][2][]byte{{bye, bye}, {ack, ack}, {accuse, nil}, {bury, nil}, {pack(false, ack, accuse, bye), pack(false, ack, bye)},
		{pack(true, ack, accuse, bury), pack(true, ack)}, {pack(true, ack, bye), pack(true, ack, bye)}, {pack(false, accuse, bury), nil}} {
		if got := dropSuspicions(c[0]); !bytes.Equal(got, c[1]) {
			t.Errorf("%d: %q, not %q", k, got, c[1])
		}
	}
}

// One of a later version says more of itself; what is known of it is read, and the rest passed over. One without a name is
// not believed.
func TestEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := view.Entry{Name: rapid.StringN(1, 20, 64).Draw(t, "name"), Zone: rapid.StringN(0, 20, 64).Draw(t, "zone"),
			Incarnation: view.Incarnation{Number: rapid.Uint64Range(0, view.MaxIncarnation-1).Draw(t, "number"), Nonce: rapid.Uint32().Draw(t, "nonce")},
			State:       view.State(rapid.IntRange(0, 4).Draw(t, "state")), Unhealthy: rapid.Bool().Draw(t, "unhealthy"), Proto: rapid.Uint8().Draw(t, "proto")}
		b := appendEntry(nil, e)
		later := append(b[:len(b):len(b)], "what a later version adds"...)
		later[2]++
		for _, text := range [][]byte{b, later} {
			if got, err := readEntry(text); err != nil || got != e {
				t.Fatalf("%v is read as %v, %v", e, got, err)
			}
		}
		if _, err := readEntry(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("read though cut short")
		}
	})
	if _, err := readEntry(appendEntry(nil, view.Entry{})); err == nil {
		t.Error("one without a name is believed")
	}
}

// A process whose clock went back while it was down is told of its former incarnation, and takes a newer one.
func TestClockBack(t *testing.T) {
	t.Parallel()
	c := &crew{t: t}
	a := c.start(testConfig("a"))
	b := c.start(testConfig("b", a.Address()))
	until(t, "two see the same", 10*time.Second, alike(2, a, b))
	former := a.View().Find("b").Incarnation
	c.ends[1]() // it has announced no leaving, so it counts as dead
	until(t, "it is lost", 10*time.Second, func() bool { return a.View().Find("b") == nil })
	p := testConfig("b", a.Address())
	p.Now = func() time.Time { return time.Now().Add(-time.Hour) }
	again := c.start(p)
	until(t, "it is back, with a newer incarnation", 10*time.Second, func() bool {
		e := a.View().Find("b")
		return e != nil && former.Before(e.Incarnation)
	})
	until(t, "both see the same", 10*time.Second, alike(2, a, again))
}

// The local socket tells the view, as a table too; one that belongs to a process that runs is left to it.
func TestShown(t *testing.T) {
	t.Parallel()
	c := &crew{t: t}
	p := testConfig("a")
	p.Socket, p.Zone = t.TempDir()+"/a.sock", "hall-1"
	a := c.start(p)
	var s Status
	until(t, "it answers", 5*time.Second, func() (ok bool) {
		var err error
		s, err = ReadStatus(p.Socket)
		return err == nil
	})
	var table bytes.Buffer
	s.LastHealthy = []string{"a", "gone"}
	s.Table(&table)
	for _, want := range []string{"view 1 of a, alone: 1 members", "missing of the last healthy view: gone", "hall-1", "this one", a.Address().String()} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("%q is not in\n%s", want, &table)
		}
	}
	q := testConfig("b")
	q.Socket = p.Socket
	c.start(q)
	time.Sleep(200 * time.Millisecond)
	if s, err := ReadStatus(p.Socket); err != nil || s.Name != "a" {
		t.Errorf("%s answers, %v", s.Name, err)
	}
	if _, err := ReadStatus(p.Socket + "x"); err == nil {
		t.Error("somebody answers where nobody is")
	}
}

// Whoever reads waits for nobody, and is told once that there is something new.
func TestChanges(t *testing.T) {
	t.Parallel()
	c := &crew{t: t}
	a := c.start(testConfig("a"))
	changes, stop := a.Changes()
	<-changes // the view that there is
	c.start(testConfig("b", a.Address()))
	for a.View().Find("b") == nil {
		select {
		case <-changes:
		case <-time.After(10 * time.Second):
			t.Fatal("not told of a change")
		}
	}
	stop()
}

// Any packet: nothing breaks, and what is kept of it reads as before.
func FuzzPacket(f *testing.F) {
	f.Add(sealPacket(nil, kindGossip, encoded(msgSuspect, memberClaim{Node: "a~00000001"})))
	f.Add(sealPacket(nil, kindGossip, []byte{msgCompound, 2, 0, 1, 0, 1, 0, 1}))
	w := &wire{allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}}
	f.Fuzz(func(t *testing.T, b []byte) {
		kind, payload, err := openPacket(b)
		if err != nil || kind != kindGossip {
			kind, payload = kindGossip, b
		}
		if kept, _ := w.dropInvalid(payload); kept != nil {
			if again, err := w.dropInvalid(kept); err != nil || !bytes.Equal(again, kept) {
				t.Errorf("%q is kept as %q, then %q, %v", payload, kept, again, err)
			}
		}
		dropSuspicions(payload)
		readEntry(b)
		readNewerIncarnation(b)
	})
}
