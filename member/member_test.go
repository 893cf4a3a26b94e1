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

// testCluster runs several members in this process.
type testCluster struct {
	t       *testing.T
	members []*Member
	stops   []func()
}

func testConfig(name string, join ...netip.AddrPort) Config {
	return Config{Name: name, Listen: netip.MustParseAddrPort("127.0.0.1:0"), Join: join,
		Allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, ProbeInterval: 200 * time.Millisecond,
		View: view.Defaults()}
}

// start runs one more member; the function that stops it is appended to c.stops.
func (c *testCluster) start(config Config) *Member { return c.startLogged(config, zap.NewNop()) }

func (c *testCluster) startLogged(config Config, log *zap.Logger) *Member {
	c.t.Helper()
	m, err := New(config, log)
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, end := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() {
		if err := m.Run(ctx); err != nil {
			c.t.Error(err)
		}
	})
	stop := sync.OnceFunc(func() { end(); running.Wait() })
	c.t.Cleanup(stop)
	c.members, c.stops = append(c.members, m), append(c.stops, stop)
	return m
}

// waitUntil polls a condition, and fails the test if it does not hold in time.
func waitUntil(t *testing.T, description string, within time.Duration, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(within); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("not within %v: %s", within, description)
		}
	}
}

// converged returns a condition: all members have converged on one view of n members.
func converged(n int, all ...*Member) func() bool {
	return func() bool {
		first := all[0].View()
		for _, m := range all {
			v := m.View()
			if len(v.Members) != n || v.Digest != first.Digest || v.Version != first.Version ||
				n > 1 && v.Certainty != view.Converged {
				return false
			}
		}
		return true
	}
}

// Members that share one seed address find each other and converge on one view; a member that leaves is removed at
// once.
func TestDiscovery(t *testing.T) {
	t.Parallel()
	c := &testCluster{t: t}
	first := c.start(testConfig("m0"))
	for k := 1; k < 5; k++ {
		c.start(testConfig(fmt.Sprintf("m%d", k), first.Address()))
	}
	waitUntil(t, "five members have converged", 10*time.Second, converged(5, c.members...))
	c.members[1].UpdateState(view.Serving, false, view.Load{Open: 3})
	waitUntil(t, "the new state is visible to others", 5*time.Second, func() bool {
		e := c.members[4].View().Find("m1")
		return e != nil && e.State == view.Serving && e.Load.Open == 3
	})
	c.members[1].UpdateState(view.Leaving, false, view.Load{})
	c.stops[1]()
	rest := append([]*Member{first}, c.members[2:]...)
	waitUntil(t, "four members have converged", 3*time.Second, converged(4, rest...))
}

// newRawSocket returns a datagram socket that belongs to no member.
func newRawSocket(t *testing.T) *net.UDPConn {
	t.Helper()
	c, err := net.ListenUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

func encodeMessage(kind byte, v any) []byte {
	var out bytes.Buffer
	out.WriteByte(kind)
	codec.NewEncoder(&out, &codec.MsgpackHandle{}).Encode(v)
	return out.Bytes()
}

// Input that belongs to another protocol, is corrupt, truncated or invalid is dropped, counted by cause and logged at
// most once a second. The view does not change, and members that forged messages are about stay in it.
func TestInvalidInput(t *testing.T) {
	t.Parallel()
	c := &testCluster{t: t}
	core, logged := observer.New(zap.InfoLevel)
	a := c.start(testConfig("a"))
	config := testConfig("b", a.Address())
	config.Allow = []netip.Prefix{netip.MustParsePrefix("127.0.0.1/32")}
	b := c.startLogged(config, zap.New(core))
	waitUntil(t, "two members have converged", 10*time.Second, converged(2, a, b))
	before := b.View()
	from, to := newRawSocket(t), net.UDPAddrFromAddrPort(b.Address())
	entry := a.machine.Entry()
	addr, port := netip.MustParseAddrPort(entry.Address).Addr().AsSlice(), netip.MustParseAddrPort(entry.Address).Port()
	vsn := []uint8{1, 5, 2, 0, 0, 0}
	type alive struct {
		Incarnation uint32
		Node        string
		Addr        []byte
		Port        uint16
		Meta        []byte
		Vsn         []uint8
	}
	name := nodeName("a", entry.Incarnation.Nonce)
	meta := appendEntry(nil, entry)
	outOfRange := entry
	outOfRange.Incarnation.Number = view.MaxIncarnation
	for cause, payloads := range map[cause][][]byte{
		causeForeign: {[]byte("GET / HTTP/1.0\r\n\r\n"), nil, []byte("VGF")},
		causeCorrupt: {[]byte("VGF\x01g____spoilt"), sealPacket(nil, kindGossip, nil),
			sealPacket(nil, kindGossip, []byte{msgCompound, 9, 0}), sealPacket(nil, kindNewerIncarnation, []byte{1}),
			sealPacket(nil, kindGossip, []byte{msgDead, 0xc1}), sealPacket(nil, kindGossip, []byte{99, 1})},
		causeInvalid: {
			sealPacket(nil, kindGossip, encodeMessage(msgDead, memberClaim{Incarnation: 1<<32 - 1, Node: name, From: "x"})),
			sealPacket(nil, kindGossip, encodeMessage(msgAlive, alive{1<<32 - 1, name, addr, port, meta, vsn})),
			// Node name of another member.
			sealPacket(nil, kindGossip, encodeMessage(msgAlive, alive{3, "b~12345678", addr, port, meta, vsn})),
			// Address that is not allowed.
			sealPacket(nil, kindGossip, encodeMessage(msgAlive, alive{3, name, []byte{8, 8, 8, 8}, port, meta, vsn})),
			// Oversized metadata.
			sealPacket(nil, kindGossip, encodeMessage(msgAlive, alive{3, name, addr, port, bytes.Repeat([]byte{7}, 400), vsn})),
			sealPacket(nil, kindGossip, encodeMessage(msgAlive, alive{3, name, addr, port, appendEntry(nil, outOfRange), vsn})),
			// Would make the library panic.
			sealPacket(nil, kindGossip, encodeMessage(msgAlive, alive{3, name, addr, port, meta, vsn[:1]})),
		},
	} {
		for range 3 {
			for _, one := range payloads {
				from.WriteToUDP(one, to)
			}
		}
		waitUntil(t, causeNames[cause], 5*time.Second, func() bool {
			return b.Stats().Dropped[causeNames[cause]] >= int64(3*len(payloads))
		})
	}
	other, err := net.DialUDP("udp", &net.UDPAddr{IP: net.IPv4(127, 0, 0, 9)}, to)
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	other.Write(sealPacket(nil, kindGossip, []byte{msgPing}))
	waitUntil(t, "not allowed", 5*time.Second, func() bool { return b.Stats().Dropped["not allowed"] == 1 })
	// Streams of another kind or with invalid content are closed without an answer.
	for _, text := range []string{"GET / HTTP/1.0\r\n\r\n",
		"VGF\x01g\x06\xff\xff\xff", "VGF\x01gzzzz", "VGF\x01k\x40short"} {
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
	time.Sleep(2 * time.Second) // long enough for an accepted message to take effect
	if v := b.View(); v.Digest != before.Digest || v.Find("a") == nil {
		t.Errorf("the view changed: %v", v)
	}
	waitUntil(t, "still converged", 5*time.Second, converged(2, a, b))
	logCount := 0
	for _, e := range logged.FilterMessage("fleet packet dropped").All() {
		if e.ContextMap()["cause"] == "invalid" {
			logCount++
		}
	}
	if logCount == 0 || logCount > 5 {
		t.Errorf("logged %d times", logCount)
	}
}

// Invalid members are removed from a push/pull exchange; the rest is kept.
func TestExchange(t *testing.T) {
	w := &wire{allow: []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, log: zap.NewNop(),
		lastLogged: map[cause]time.Time{}}
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
	local, remote := net.Pipe()
	go func() { remote.Write(in.Bytes()); remote.Close() }()
	text, err := io.ReadAll(newStream(local, w, func() {}))
	if err != nil {
		t.Fatal(err)
	}
	out := codec.NewDecoder(bytes.NewReader(text[1:]), &codec.MsgpackHandle{})
	var head exchangeHeader
	var one memberState
	if err := errors.Join(out.Decode(&head), out.Decode(&one)); err != nil {
		t.Fatal(err)
	}
	if head.Nodes != 1 || !head.Join || head.UserStateLen != 4 || one.Incarnation != 3 ||
		!bytes.HasSuffix(text, []byte("user")) {
		t.Errorf("%+v %+v %q", head, one, text)
	}
	if n := w.dropCounts[causeInvalid].Load(); n != 2 {
		t.Errorf("%d invalid members counted", n)
	}
}

// Suspicions of others are removed from what a late process sends; its own leave message is kept.
func TestOutgoing(t *testing.T) {
	encode := func(kind byte, v any) []byte { return encodeMessage(kind, v) }
	leave := encode(msgDead, memberClaim{Node: "me", From: "me", Incarnation: 3})
	ack := encode(msgAck, struct{ SeqNo uint32 }{7})
	suspect := encode(msgSuspect, memberClaim{Node: "you", From: "me", Incarnation: 3})
	dead := encode(msgDead, memberClaim{Node: "you", From: "me", Incarnation: 3})
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
	for k, c := range [][2][]byte{{leave, leave}, {ack, ack}, {suspect, nil}, {dead, nil},
		{pack(false, ack, suspect, leave), pack(false, ack, leave)}, {pack(true, ack, suspect, dead), pack(true, ack)},
		{pack(true, ack, leave), pack(true, ack, leave)},
		{pack(false, suspect, dead), nil}} {
		if got := dropSuspicions(c[0]); !bytes.Equal(got, c[1]) {
			t.Errorf("%d: %q, not %q", k, got, c[1])
		}
	}
}

// Metadata of a later format is decoded, ignoring appended fields. Metadata without a name is rejected.
func TestEntry(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := view.Entry{Name: rapid.StringN(1, 20, 64).Draw(t, "name"), Zone: rapid.StringN(0, 20, 64).Draw(t, "zone"),
			Incarnation: view.Incarnation{Number: rapid.Uint64Range(0, view.MaxIncarnation-1).Draw(t, "number"),
				Nonce: rapid.Uint32().Draw(t, "nonce")},
			State:     view.State(rapid.IntRange(0, 4).Draw(t, "state")),
			Unhealthy: rapid.Bool().Draw(t, "unhealthy"), Proto: rapid.Uint8().Draw(t, "proto")}
		b := appendEntry(nil, e)
		later := append(b[:len(b):len(b)], "what a later version adds"...)
		later[2]++
		for _, text := range [][]byte{b, later} {
			if got, err := readEntry(text); err != nil || got != e {
				t.Fatalf("%v is decoded as %v, %v", e, got, err)
			}
		}
		if _, err := readEntry(b[:rapid.IntRange(0, len(b)-1).Draw(t, "cut")]); err == nil {
			t.Fatal("decoded though truncated")
		}
	})
	if _, err := readEntry(appendEntry(nil, view.Entry{})); err == nil {
		t.Error("metadata without a name is accepted")
	}
}

// A process whose clock was set back while it was down is notified of its former incarnation, and takes a newer one.
func TestClockSetBack(t *testing.T) {
	t.Parallel()
	c := &testCluster{t: t}
	a := c.start(testConfig("a"))
	b := c.start(testConfig("b", a.Address()))
	waitUntil(t, "two members have converged", 10*time.Second, converged(2, a, b))
	former := a.View().Find("b").Incarnation
	c.stops[1]() // it has not announced that it is leaving, so it counts as dead
	waitUntil(t, "b is removed", 10*time.Second, func() bool { return a.View().Find("b") == nil })
	config := testConfig("b", a.Address())
	config.Now = func() time.Time { return time.Now().Add(-time.Hour) }
	restarted := c.start(config)
	waitUntil(t, "b is back with a newer incarnation", 10*time.Second, func() bool {
		e := a.View().Find("b")
		return e != nil && former.Before(e.Incarnation)
	})
	waitUntil(t, "both members have converged", 10*time.Second, converged(2, a, restarted))
}

// The local socket serves the status, also as a table. A socket that another running process uses is left to it.
func TestStatusSocket(t *testing.T) {
	t.Parallel()
	c := &testCluster{t: t}
	config := testConfig("a")
	config.Socket, config.Zone = t.TempDir()+"/a.sock", "hall-1"
	a := c.start(config)
	var s Status
	waitUntil(t, "the socket answers", 5*time.Second, func() (ok bool) {
		var err error
		s, err = ReadStatus(config.Socket)
		return err == nil
	})
	var table bytes.Buffer
	s.LastHealthy = []string{"a", "gone"}
	s.Table(&table)
	for _, want := range []string{"view 1 of a, alone: 1 members", "missing of the last healthy view: gone",
		"hall-1", "this one", a.Address().String()} {
		if !strings.Contains(table.String(), want) {
			t.Errorf("%q is not in\n%s", want, &table)
		}
	}
	other := testConfig("b")
	other.Socket = config.Socket
	c.start(other)
	time.Sleep(200 * time.Millisecond)
	if s, err := ReadStatus(config.Socket); err != nil || s.Name != "a" {
		t.Errorf("%s answers on the socket, %v", s.Name, err)
	}
	if _, err := ReadStatus(config.Socket + "x"); err == nil {
		t.Error("status read from a path without a socket")
	}
}

// Changes signals a new view without blocking.
func TestChanges(t *testing.T) {
	t.Parallel()
	c := &testCluster{t: t}
	a := c.start(testConfig("a"))
	changes, stop := a.Changes()
	<-changes // the initial view
	c.start(testConfig("b", a.Address()))
	for a.View().Find("b") == nil {
		select {
		case <-changes:
		case <-time.After(10 * time.Second):
			t.Fatal("no change signaled")
		}
	}
	stop()
}

// Arbitrary packets cause no panic, and what is kept of one is kept unchanged when it is checked again.
func FuzzPacket(f *testing.F) {
	f.Add(sealPacket(nil, kindGossip, encodeMessage(msgSuspect, memberClaim{Node: "a~00000001"})))
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
