package standin

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// Proxy is the way to one app server. It can lose the machine behind it: then nothing gets through, in either
// direction, and no connection is answered, reset or ended. Once the machine is back, it knows nothing of the
// connections from before: what is written to one of them is answered by a reset.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	lost  chan struct{} // closed when the machine is back; nil while it is there
	pairs []*pair
}

type pair struct {
	client, server net.Conn
	old            bool // of a machine that was lost since
}

// NewProxy starts a proxy for the app server at an address.
func NewProxy(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target}
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(conn)
		}
	}()
	return p, nil
}

// Address returns where clients connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Lose loses the machine.
func (p *Proxy) Lose() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lost = make(chan struct{})
	for _, c := range p.pairs {
		c.old = true
	}
}

// Return brings the machine back, with an app server that has just started.
func (p *Proxy) Return() {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.lost)
	p.lost = nil
}

func (p *Proxy) state(c *pair) (lost <-chan struct{}, old bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost, c.old
}

func (p *Proxy) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", p.target, 2*time.Second)
	if err != nil {
		client.(*net.TCPConn).SetLinger(0)
		client.Close()
		return
	}
	c := &pair{client: client, server: server}
	p.mu.Lock()
	c.old = p.lost != nil
	p.pairs = append(p.pairs, c)
	p.mu.Unlock()
	go func() { // from the app server
		b := make([]byte, 16<<10)
		for {
			n, err := server.Read(b)
			if _, old := p.state(c); old {
				server.Close()
				return // nothing of a lost machine arrives, not even the end of the connection
			}
			if n > 0 {
				client.Write(b[:n])
			}
			if err != nil {
				client.Close()
				return
			}
		}
	}()
	b := make([]byte, 16<<10)
	for {
		n, err := client.Read(b)
		lost, old := p.state(c)
		switch {
		case err != nil:
			client.Close()
			if !old {
				server.Close()
			}
			return
		case lost != nil: // sent into the void
		case old: // the machine is back and does not know this connection
			client.(*net.TCPConn).SetLinger(0)
			client.Close()
			return
		default:
			server.Write(b[:n])
		}
	}
}

// Dialer returns a dial function under which a connect to a lost machine stays unanswered.
func Dialer(proxies ...*Proxy) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		for _, p := range proxies {
			if p.Address() != address {
				continue
			}
			p.mu.Lock()
			lost := p.lost
			p.mu.Unlock()
			if lost != nil {
				<-ctx.Done()
				return nil, errors.Join(errors.New("connect: no answer"), ctx.Err())
			}
		}
		return (&net.Dialer{}).DialContext(ctx, "tcp", address)
	}
}
