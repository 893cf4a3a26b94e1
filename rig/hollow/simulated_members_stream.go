package hollow

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"
)

// acceptStreams accepts and answers the streams of one socket until Close.
func (sim *SimulatedMembers) acceptStreams(s *memberSocket) {
	for {
		conn, err := s.streams.Accept()
		if err != nil {
			return
		}
		sim.goroutines.Go(func() {
			defer conn.Close()
			conn.SetDeadline(time.Now().Add(streamTimeout))
			sim.answerStream(conn)
		})
	}
}

// streamTimeout limits the duration of one stream.
const streamTimeout = 3 * time.Second

// answerStream answers a state exchange or a probe over a stream.
func (sim *SimulatedMembers) answerStream(conn net.Conn) {
	in := bufio.NewReader(conn)
	header := make([]byte, len(gossipMagic)+1)
	if _, err := io.ReadFull(in, header); err != nil || header[len(gossipMagic)] != gossipPacketKind {
		return
	}
	kind, err := in.ReadByte()
	if err != nil {
		return
	}
	switch kind {
	case msgPing:
		var ping pingMessage
		if codec.NewDecoder(in, &codec.MsgpackHandle{}).Decode(&ping) == nil && sim.isUp(ping.Node) {
			conn.Write(encodeMessage(msgAck, ackMessage{SeqNo: ping.SeqNo}))
		}
	case msgExchange:
		if _, err := sim.readExchange(&countingReader{in, &sim.streamBytes}); err == nil {
			n, _ := conn.Write(sim.encodeExchange(false))
			sim.streamBytes.Add(int64(n))
		}
	}
}

// countingReader adds the number of bytes read to a counter.
type countingReader struct {
	io.Reader
	bytes *atomic.Int64
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes.Add(int64(n))
	return n, err
}

// readExchange reads a state exchange and returns the names of its nodes. It relays the alive messages of real members.
func (sim *SimulatedMembers) readExchange(in io.Reader) (nodes []string, err error) {
	decoder := codec.NewDecoder(in, &codec.MsgpackHandle{})
	var header exchangeHeader
	if err := decoder.Decode(&header); err != nil {
		return nil, err
	}
	for range header.Nodes {
		var state exchangeState
		if err := decoder.Decode(&state); err != nil {
			return nil, err
		}
		nodes = append(nodes, state.Name)
		if state.State == 0 {
			sim.relayAlive(aliveMessage{state.Incarnation, state.Name, state.Addr, state.Port, state.Meta, state.Vsn})
		}
	}
	return nodes, nil
}

// encodeExchange returns the encoded state of all simulated members and of the known real members.
func (sim *SimulatedMembers) encodeExchange(join bool) []byte {
	sim.mu.Lock()
	defer sim.mu.Unlock()
	out := encodeMessage(msgExchange, exchangeHeader{Nodes: len(sim.members) + len(sim.realMembers), Join: join})
	for _, alive := range sim.realMembers {
		out = append(out, encodeMessage(0, exchangeState{alive.Node, alive.Addr, alive.Port, alive.Meta, alive.Incarnation, 0,
			alive.Vsn})[1:]...)
	}
	for k := range sim.members {
		m := &sim.members[k]
		state := 0
		if m.down {
			state = 2
		}
		address := sim.sockets[m.socket].address
		out = append(out, encodeMessage(0, exchangeState{nodeName(m.entry), address.Addr().AsSlice(), address.Port(),
			encodeMeta(m.entry), m.incarnation, state,
			protocolVersions})[1:]...)
	}
	return out
}

// Exchange exchanges the whole state with a target, as a member does at intervals, and returns the number of bytes sent and
// received. It sets the target's node name if that is not known yet.
func (sim *SimulatedMembers) Exchange(t *Target, join bool) (int64, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: sim.sockets[0].address.Addr().AsSlice()}, Timeout: time.Second}
	conn, err := dialer.Dial("tcp", t.Address.String())
	if err != nil {
		return 0, err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(streamTimeout))
	sent, err := conn.Write(append(append([]byte(gossipMagic), gossipPacketKind), sim.encodeExchange(join)...))
	if err != nil {
		return int64(sent), err
	}
	var received atomic.Int64
	in := bufio.NewReader(&countingReader{conn, &received})
	kind := make([]byte, 1)
	if _, err := io.ReadFull(in, kind); err != nil {
		return int64(sent), fmt.Errorf("read the answer to a state exchange: %w", err)
	}
	if kind[0] != msgExchange {
		return int64(sent), fmt.Errorf("state exchange: answer has message kind %d instead of a state", kind[0])
	}
	nodes, err := sim.readExchange(in)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	for _, node := range nodes {
		if name, _, _ := strings.Cut(node, "~"); name == t.Name && t.NodeName == "" {
			t.NodeName = node
		}
	}
	return int64(sent) + received.Load(), err
}
