package rig

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"valveglade/internal/readbuffer"
	"valveglade/internal/thrift"
)

// NaiveClient is the baseline client. It picks app servers at random, ignores credit, retries any failure at once, up to three
// times, and opens a new connection whenever none is idle.
type NaiveClient struct {
	addresses []string
	source    int

	mu   sync.Mutex
	idle map[string][]*naiveConn
}

// naiveConn is one connection of a NaiveClient.
type naiveConn struct {
	net.Conn
	input *readbuffer.Buffer
	seq   int32
}

// NewNaiveClient returns a client of the app servers at the given addresses; source is its id in RPCs. The caller must Close it.
func NewNaiveClient(source int, addresses ...string) *NaiveClient {
	return &NaiveClient{addresses: addresses, source: source, idle: map[string][]*naiveConn{}}
}

// maxNaiveTries is the maximum number of tries per RPC.
const maxNaiveTries = 4

// errNotServed is returned for an RPC that was pushed back or aborted, or whose connection is draining or carried an unreadable
// reply.
var errNotServed = errors.New("the RPC was not served")

// Call makes one RPC. It tries until one is ok, the tries are used up or ctx is done.
func (n *NaiveClient) Call(ctx context.Context, method, token string, _ float64, body []byte) ([]byte, error) {
	err := errNotServed
	for range maxNaiveTries {
		if ctx.Err() != nil {
			return nil, ctx.Err()
		}
		var result []byte
		if result, err = n.try(ctx, method, token, body); err == nil {
			return result, nil
		}
	}
	return nil, err
}

// try makes one try at a random app server.
func (n *NaiveClient) try(ctx context.Context, method, token string, body []byte) ([]byte, error) {
	address := n.addresses[rand.IntN(len(n.addresses))]
	c, err := n.connection(ctx, address)
	if err != nil {
		return nil, err
	}
	deadline, _ := ctx.Deadline()
	c.SetDeadline(deadline)
	c.seq++
	now := float64(time.Now().UnixMilli()) / 1000
	frame := thrift.Execute(nil, c.seq, method, fmt.Sprintf("%016x", rand.Uint64()), n.source, now,
		time.Until(deadline).Seconds(), 2, 0, false, token, "", body)
	if _, err := c.Write(frame); err != nil {
		c.Close()
		return nil, err
	}
	for {
		replyFrame, size, err := thrift.Frame(c.input.Bytes())
		if err == nil && size == 0 {
			err = c.input.Fill(c)
		}
		if err != nil {
			c.Close()
			return nil, err
		}
		if size == 0 {
			continue
		}
		reply := naiveReply{err: errNotServed}
		err = thrift.DecodeAnswer(replyFrame, &reply)
		c.input.Discard(size)
		if err != nil || reply.draining {
			c.Close()
			return nil, errNotServed
		}
		n.mu.Lock()
		n.idle[address] = append(n.idle[address], c)
		n.mu.Unlock()
		return reply.result, reply.err
	}
}

// connection returns an idle connection to address, or a new one if none is idle.
func (n *NaiveClient) connection(ctx context.Context, address string) (*naiveConn, error) {
	n.mu.Lock()
	if idle := n.idle[address]; len(idle) > 0 {
		c := idle[len(idle)-1]
		n.idle[address] = idle[:len(idle)-1]
		n.mu.Unlock()
		return c, nil
	}
	n.mu.Unlock()
	netConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return &naiveConn{Conn: netConn, input: readbuffer.New(thrift.MaxFrame + 4)}, nil
}

// Close closes the idle connections.
func (n *NaiveClient) Close() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, idle := range n.idle {
		for _, c := range idle {
			c.Close()
		}
	}
	return nil
}

// naiveReply implements thrift.ReplyHandler and stores the reply to a try.
type naiveReply struct {
	result   []byte
	err      error
	draining bool
}

func (r *naiveReply) Served(_ int32, result []byte, _ float64) {
	r.result, r.err = append([]byte(nil), result...), nil
}
func (r *naiveReply) PushedBack(int32, bool, float64, float64) {}
func (r *naiveReply) Aborted(int32, string, float64)           {}
func (r *naiveReply) Checked(int32, bool, float64)             {}
func (r *naiveReply) Draining()                                { r.draining = true }
