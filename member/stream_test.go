package member

import (
	"bytes"
	"context"
	"encoding/binary"
	"errors"
	"net"
	"net/netip"
	"testing"
	"time"
)

const streamTestTimeout = 5 * time.Second

// echoPair starts two members that know each other; the server sends each frame back, prefixed with the peer's name.
func echoPair(t *testing.T, limit int) (client, server *Member) {
	t.Helper()
	c := &testCluster{t: t}
	config := testConfig("server")
	config.MaxIncomingStreams = limit
	server = c.start(config)
	server.HandleStreams(func(_ context.Context, s *Stream) {
		for {
			frame, err := s.ReadFrame(streamTestTimeout)
			if err != nil {
				return
			}
			if s.WriteFrame(append([]byte(s.Peer()+":"), frame...), streamTestTimeout) != nil {
				return
			}
		}
	})
	client = c.start(testConfig("client", server.Address()))
	waitUntil(t, "both members have converged", streamTestTimeout, converged(2, client, server))
	return client, server
}

func openTestStream(t *testing.T, m *Member, to string) (*Stream, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), streamTestTimeout)
	defer cancel()
	return m.OpenStream(ctx, to)
}

func TestStreamCarriesFrames(t *testing.T) {
	t.Parallel()
	client, server := echoPair(t, 4)
	s, err := openTestStream(t, client, "server")
	if err != nil {
		t.Fatal(err)
	}
	for _, size := range []int{0, 1, 1000, MaxFrame - len("client:")} {
		sent := bytes.Repeat([]byte{byte(size)}, size)
		if err := s.WriteFrame(sent, streamTestTimeout); err != nil {
			t.Fatal(err)
		}
		got, err := s.ReadFrame(streamTestTimeout)
		if err != nil || !bytes.Equal(got, append([]byte("client:"), sent...)) {
			t.Fatalf("%d bytes: %d came back, %v", size, len(got), err)
		}
	}
	if err := s.WriteFrame(make([]byte, MaxFrame+1), streamTestTimeout); err == nil {
		t.Error("a frame above MaxFrame was sent")
	}
	if _, outgoing, _ := client.StreamCounts(); outgoing != 1 {
		t.Errorf("%d outgoing streams", outgoing)
	}
	s.Close()
	waitUntil(t, "both ends have closed", streamTestTimeout, func() bool {
		incoming, _, _ := server.StreamCounts()
		_, outgoing, _ := client.StreamCounts()
		return incoming+outgoing == 0
	})
}

func TestStreamRefusedBeyondLimit(t *testing.T) {
	t.Parallel()
	client, server := echoPair(t, 2)
	var open []*Stream
	for range 2 {
		s, err := openTestStream(t, client, "server")
		if err != nil {
			t.Fatal(err)
		}
		open = append(open, s)
	}
	var refused *StreamRefusedError
	if _, err := openTestStream(t, client, "server"); !errors.As(err, &refused) || refused.Reason != "2 streams are open" {
		t.Fatalf("the third: %v", err)
	}
	if _, _, n := server.StreamCounts(); n != 1 {
		t.Errorf("%d rejections counted", n)
	}
	open[0].Close()
	waitUntil(t, "a stream can be opened again", streamTestTimeout, func() bool {
		s, err := openTestStream(t, client, "server")
		if err == nil {
			s.Close()
		}
		return err == nil
	})
}

func TestStreamRefusals(t *testing.T) {
	t.Parallel()
	client, server := echoPair(t, 4)
	var refused *StreamRefusedError
	if _, err := openTestStream(t, server, "client"); !errors.As(err, &refused) {
		t.Errorf("without a handler: %v", err)
	}
	if _, err := openTestStream(t, client, "nobody"); !errors.Is(err, ErrUnknownMember) {
		t.Errorf("an unknown name: %v", err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), streamTestTimeout)
	defer cancel()
	if _, err := DialStream(ctx, nil, server.Address(), "hollow", "other"); !errors.As(err, &refused) {
		t.Errorf("a name that is not at this address: %v", err)
	}
	s, err := DialStream(ctx, nil, server.Address(), "hollow", "server")
	if err != nil {
		t.Fatal(err)
	}
	s.Close()
}

func TestOutgoingStreamsBounded(t *testing.T) {
	t.Parallel()
	client, _ := echoPair(t, 2*OutgoingStreams)
	for range OutgoingStreams {
		s, err := openTestStream(t, client, "server")
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
	}
	if _, err := openTestStream(t, client, "server"); !errors.Is(err, ErrTooManyStreams) {
		t.Errorf("above OutgoingStreams: %v", err)
	}
}

func TestStreamFromForbiddenNetwork(t *testing.T) {
	t.Parallel()
	c := &testCluster{t: t}
	config := testConfig("server")
	config.MaxIncomingStreams, config.Allow = 4, []netip.Prefix{netip.MustParsePrefix("127.0.0.1/32")}
	server := c.start(config)
	server.HandleStreams(func(context.Context, *Stream) { t.Error("a stream from a forbidden network was served") })
	ctx, cancel := context.WithTimeout(context.Background(), streamTestTimeout)
	defer cancel()
	local := &net.TCPAddr{IP: net.IPv4(127, 0, 0, 9)}
	if _, err := DialStream(ctx, local, server.Address(), "hollow", "server"); err == nil {
		t.Error("a stream from a forbidden network was accepted")
	}
	waitUntil(t, "the drop is counted", streamTestTimeout, func() bool {
		return server.Stats().Dropped["not allowed"] > 0
	})
}

// A frame that is corrupt, too long or truncated ends its own stream only.
func TestCorruptFrames(t *testing.T) {
	t.Parallel()
	client, server := echoPair(t, 4)
	for name, raw := range map[string][]byte{
		"wrong checksum": {0, 0, 0, 1, 0, 0, 0, 0, 'x'},
		"too long":       binary.BigEndian.AppendUint32(nil, MaxFrame+1),
		"cut short":      {0, 0, 0, 9, 1, 2},
	} {
		s, err := openTestStream(t, client, "server")
		if err != nil {
			t.Fatal(err)
		}
		if _, err := s.conn.Write(raw); err != nil {
			t.Fatal(err)
		}
		if name != "too long" {
			s.conn.(*net.TCPConn).CloseWrite()
		} else {
			s.conn.Write(make([]byte, 4))
		}
		if _, err := s.ReadFrame(streamTestTimeout); err == nil {
			t.Errorf("%s: answered", name)
		}
		s.Close()
	}
	s, err := openTestStream(t, client, "server")
	if err != nil {
		t.Fatalf("after corrupt frames: %v", err)
	}
	s.Close()
	waitUntil(t, "all incoming streams are closed", streamTestTimeout, func() bool {
		incoming, _, _ := server.StreamCounts()
		return incoming == 0
	})
}

// Closing a member closes its streams.
func TestStreamsEndWithMember(t *testing.T) {
	t.Parallel()
	client, server := echoPair(t, 4)
	s, err := openTestStream(t, client, "server")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	server.Kill()
	if _, err := s.ReadFrame(streamTestTimeout); err == nil {
		t.Error("read a frame from a killed member")
	}
}

func FuzzHello(f *testing.F) {
	f.Add(appendHello(nil, "n1", "n2"))
	f.Add([]byte{200})
	f.Fuzz(func(t *testing.T, b []byte) {
		from, to, err := readHello(b)
		if err == nil && !bytes.Equal(appendHello(nil, from, to), b) {
			t.Errorf("%q from %q to %q", b, from, to)
		}
	})
}
