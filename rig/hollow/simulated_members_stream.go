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

// acceptStreams answers each stream that is opened to one socket until the crowd is closed.
func (c *SimulatedMembers) acceptStreams(s *crowdSocket) {
	for {
		nc, err := s.streams.Accept()
		if err != nil {
			return
		}
		c.group.Go(func() {
			defer nc.Close()
			nc.SetDeadline(time.Now().Add(streamLimit))
			c.answerStream(nc)
		})
	}
}

// streamLimit is how long one stream may last.
const streamLimit = 3 * time.Second

// answerStream answers an exchange, or a probe over a stream.
func (c *SimulatedMembers) answerStream(nc net.Conn) {
	in := bufio.NewReader(nc)
	head := make([]byte, len(gossipMagic)+1)
	if _, err := io.ReadFull(in, head); err != nil || head[len(gossipMagic)] != gossipKind {
		return
	}
	kind, err := in.ReadByte()
	if err != nil {
		return
	}
	switch kind {
	case msgPing:
		var ping pingMessage
		if codec.NewDecoder(in, &codec.MsgpackHandle{}).Decode(&ping) == nil && c.isUp(ping.Node) {
			nc.Write(encodeMessage(msgAck, ackMessage{SeqNo: ping.SeqNo}))
		}
	case msgExchange:
		if _, err := c.readExchange(&countingReader{in, &c.streamBytes}); err == nil {
			n, _ := nc.Write(c.exchange(false))
			c.streamBytes.Add(int64(n))
		}
	}
}

// countingReader adds what is read to a counter.
type countingReader struct {
	io.Reader
	bytes *atomic.Int64
}

func (r *countingReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes.Add(int64(n))
	return n, err
}

// readExchange returns the names in an exchange, and learns of real members.
func (c *SimulatedMembers) readExchange(in io.Reader) (nodes []string, err error) {
	decoder := codec.NewDecoder(in, &codec.MsgpackHandle{})
	var head exchangeHead
	if err := decoder.Decode(&head); err != nil {
		return nil, err
	}
	for range head.Nodes {
		var one exchangeState
		if err := decoder.Decode(&one); err != nil {
			return nil, err
		}
		nodes = append(nodes, one.Name)
		if one.State == 0 {
			c.learn(aliveMessage{one.Incarnation, one.Name, one.Addr, one.Port, one.Meta, one.Vsn})
		}
	}
	return nodes, nil
}

// exchange returns the message with all that the crowd knows.
func (c *SimulatedMembers) exchange(join bool) []byte {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := encodeMessage(msgExchange, exchangeHead{Nodes: len(c.members) + len(c.others), Join: join})
	for _, o := range c.others {
		out = append(out, encodeMessage(0, exchangeState{o.Node, o.Addr, o.Port, o.Meta, o.Incarnation, 0, o.Vsn})[1:]...)
	}
	for k := range c.members {
		m := &c.members[k]
		state := 0
		if m.down {
			state = 2
		}
		at := c.sockets[m.socket].address
		out = append(out, encodeMessage(0, exchangeState{nodeName(m.entry), at.Addr().AsSlice(), at.Port(), meta(m.entry), m.incarnation, state,
			protocolVersions})[1:]...)
	}
	return out
}

// Exchange exchanges the whole state with a target, as a member does at intervals, and returns the bytes of both directions. It
// learns the target's name in the library, if that is not known yet.
func (c *SimulatedMembers) Exchange(t *Target, join bool) (int64, error) {
	dialer := net.Dialer{LocalAddr: &net.TCPAddr{IP: c.sockets[0].address.Addr().AsSlice()}, Timeout: time.Second}
	nc, err := dialer.Dial("tcp", t.Address.String())
	if err != nil {
		return 0, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(streamLimit))
	sent, err := nc.Write(append(append([]byte(gossipMagic), gossipKind), c.exchange(join)...))
	if err != nil {
		return int64(sent), err
	}
	var got atomic.Int64
	in := bufio.NewReader(&countingReader{nc, &got})
	kind := make([]byte, 1)
	if _, err := io.ReadFull(in, kind); err != nil {
		return int64(sent), fmt.Errorf("no answer to an exchange: %w", err)
	}
	if kind[0] != msgExchange {
		return int64(sent), fmt.Errorf("an exchange is answered by kind %d", kind[0])
	}
	nodes, err := c.readExchange(in)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, node := range nodes {
		if name, _, _ := strings.Cut(node, "~"); name == t.Name && t.NodeName == "" {
			t.NodeName = node
		}
	}
	return int64(sent) + got.Load(), err
}
