package hollow

import (
	"bufio"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-msgpack/v2/codec"

	"valveglade/logic/view"
)

// Crowd stands in for the rest of a large fleet toward a few real members: it answers their probes in the names of all others,
// and sends them the packets that those would. It keeps one table for all, so a name costs it no memory and no CPU of its own.
// What the real members send and receive is what they would in a fleet of that size.
type Crowd struct {
	size    int // of the whole fleet
	random  *rand.Rand
	sockets []*crowdSocket
	group   sync.WaitGroup
	closed  chan struct{}

	mu      sync.Mutex
	members []crowdMember
	byNode  map[string]int
	others  map[string]aliveMessage // the last words of real members on themselves, by the library's names
	targets []*Target
	fast    bool // the targets' queues are being drained
	acks    int  // since it was last looked at, and their bytes
	ackSize int

	streamBytes atomic.Int64 // sent and received on streams with targets
}

// crowdMember is one that the crowd stands in for.
type crowdMember struct {
	entry       view.Entry
	incarnation uint32
	socket      int
	down        bool
}

type crowdSocket struct {
	address netip.AddrPort
	packets *net.UDPConn
	streams *net.TCPListener
}

// Target is one real member that a crowd speaks to.
type Target struct {
	Name    string
	Address netip.AddrPort
	Pinged  string // the name that the library knows it by; empty where it is not to be probed
	due     []timedMessage
	version uint64 // of the view that it has, as the crowd tells others
	digest  uint64
}

type timedMessage struct {
	at      time.Time
	message []byte
}

// The library's figures for a probe every 0.3 s, as member sets them.
const (
	probeEvery     = 300 * time.Millisecond
	gossipEvery    = 105 * time.Millisecond
	gossipNodes    = 3
	retransmit     = 4 // times the decimal digits of the fleet's size
	suspicionTimes = 3
	exchangeEvery  = 12.0 // seconds, scaled by the fleet's size
	exchangeScaled = 32.0 // members from which it is scaled
	crowdSockets   = 16
)

// retransmits is how often a member of a fleet passes each message on; so often each member receives it, on the mean.
func retransmits(size int) int {
	return retransmit * int(math.Ceil(math.Log10(float64(size+1))))
}

// ExchangeSeconds is how often a member of a fleet exchanges all that it knows with another, in seconds.
func ExchangeSeconds(size int) float64 {
	if size <= exchangeScaled {
		return exchangeEvery
	}
	return exchangeEvery * (math.Ceil(math.Log2(float64(size))-math.Log2(exchangeScaled)) + 1)
}

// suspicionTimeout is how long a suspicion stands before it is a death, where others share it.
func suspicionTimeout(size int) time.Duration {
	return time.Duration(suspicionTimes * math.Log10(float64(max(size, 10))) * float64(probeEvery))
}

// NewCrowd stands in for a number of members, from first on by their numbers, in a fleet of a size. Its sockets are at an address.
func NewCrowd(at netip.Addr, first, count, size int, seed uint64) (*Crowd, error) {
	c := &Crowd{size: size, random: rand.New(rand.NewPCG(seed, 3)), closed: make(chan struct{}), byNode: map[string]int{},
		others: map[string]aliveMessage{}}
	for range crowdSockets {
		s, err := openCrowdSocket(at)
		if err != nil {
			c.Close()
			return nil, err
		}
		c.sockets = append(c.sockets, s)
	}
	birth := uint64(time.Now().Add(-time.Hour).UnixMilli())
	for k := range count {
		m := crowdMember{entry: entry(first+k, birth), incarnation: 1, socket: k % crowdSockets}
		m.entry.Incarnation.Nonce = uint32(first + k)
		m.entry.Address = c.sockets[m.socket].address.String()
		c.byNode[nodeName(m.entry)] = k
		c.members = append(c.members, m)
	}
	for _, s := range c.sockets {
		c.group.Go(func() { c.readPackets(s) })
		c.group.Go(func() { c.acceptStreams(s) })
	}
	c.group.Go(c.gossip)
	c.group.Go(c.probe)
	return c, nil
}

func openCrowdSocket(at netip.Addr) (*crowdSocket, error) {
	for tries := 0; ; tries++ {
		packets, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(netip.AddrPortFrom(at, 0)))
		if err != nil {
			return nil, err
		}
		packets.SetReadBuffer(4 << 20)
		address := netip.AddrPortFrom(at, packets.LocalAddr().(*net.UDPAddr).AddrPort().Port())
		streams, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
		if err == nil {
			return &crowdSocket{address, packets, streams}, nil
		}
		packets.Close()
		if tries == 20 {
			return nil, err
		}
	}
}

// Close ends it and waits until nothing of it is left.
func (c *Crowd) Close() {
	close(c.closed)
	for _, s := range c.sockets {
		s.packets.Close()
		s.streams.Close()
	}
	c.group.Wait()
}

// Addresses are where real members may join it.
func (c *Crowd) Addresses() []netip.AddrPort {
	var all []netip.AddrPort
	for _, s := range c.sockets[:3] {
		all = append(all, s.address)
	}
	return all
}

// Add has it speak to a real member too.
func (c *Crowd) Add(t *Target) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.targets = append(c.targets, t)
}

// Sees has members of the crowd tell of the view that a target has.
func (c *Crowd) Sees(t *Target, version, digest uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	t.version, t.digest = version, digest
}

// StreamBytes is what has passed on streams with targets.
func (c *Crowd) StreamBytes() int64 { return c.streamBytes.Load() }

func (c *Crowd) readPackets(s *crowdSocket) {
	b := make([]byte, 64<<10)
	for {
		n, from, err := s.packets.ReadFromUDPAddrPort(b)
		if err != nil {
			select {
			case <-c.closed:
				return
			default:
				continue
			}
		}
		payload, err := openGossip(b[:n])
		if err != nil {
			continue
		}
		for _, m := range messages(payload) {
			c.take(s, m, n, netip.AddrPortFrom(from.Addr().Unmap(), from.Port()))
		}
	}
}

// take answers one message of a real member.
func (c *Crowd) take(s *crowdSocket, m []byte, size int, from netip.AddrPort) {
	if len(m) == 0 {
		return
	}
	switch m[0] {
	case msgPing:
		var ping pingMessage
		if decodeMessage(m[1:], &ping) == nil && c.up(ping.Node) {
			c.acknowledge(s, ping.SeqNo, ping.Node, from)
		}
	case msgIndirectPing:
		var ping indirectPingMessage
		if decodeMessage(m[1:], &ping) == nil && c.up(ping.Node) {
			c.acknowledge(s, ping.SeqNo, ping.Node, from)
		}
	case msgAck:
		c.mu.Lock()
		c.acks++
		c.ackSize += size
		c.mu.Unlock()
	case msgAlive:
		var alive aliveMessage
		if decodeMessage(m[1:], &alive) == nil {
			c.learn(alive)
		}
	case msgSuspect, msgDead:
		var claim claimMessage
		if decodeMessage(m[1:], &claim) == nil {
			c.refute(claim)
		}
	}
}

func (c *Crowd) up(node string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, known := c.byNode[node]
	return known && !c.members[k].down
}

func (c *Crowd) acknowledge(s *crowdSocket, number uint32, node string, to netip.AddrPort) {
	c.mu.Lock()
	payload := c.echo(c.byNode[node])
	c.mu.Unlock()
	s.packets.WriteToUDPAddrPort(sealGossip(encodeMessage(msgAck, ackMessage{number, payload})), to)
}

// learn passes on what a real member says of itself, where it is new.
func (c *Crowd) learn(alive aliveMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ours := c.byNode[alive.Node]; ours {
		return
	}
	if known, there := c.others[alive.Node]; there && known.Incarnation >= alive.Incarnation {
		return
	}
	if !slices.ContainsFunc(c.targets, func(t *Target) bool { return strings.HasPrefix(alive.Node, t.Name+"~") }) {
		return // a former life of one of ours
	}
	c.others[alive.Node] = alive
	c.spread(time.Now(), encodeMessage(msgAlive, alive), retransmits(c.size))
}

// echo is what a member of the crowd says of its view, under the lock: it sees what one of the targets sees.
func (c *Crowd) echo(k int) []byte {
	for offset := range c.targets {
		if t := c.targets[(k+offset)%len(c.targets)]; t.version > 0 {
			return echoPayload(t.version, t.digest)
		}
	}
	return nil
}

// refute has a member of the crowd say that it is there.
func (c *Crowd) refute(claim claimMessage) {
	c.mu.Lock()
	defer c.mu.Unlock()
	k, known := c.byNode[claim.Node]
	if !known || c.members[k].down || c.members[k].incarnation > claim.Incarnation {
		return
	}
	c.members[k].incarnation = claim.Incarnation + 1
	c.spread(time.Now(), c.alive(k), retransmits(c.size))
}

// alive is a member's word on itself, under the lock.
func (c *Crowd) alive(k int) []byte {
	m := &c.members[k]
	at := c.sockets[m.socket].address
	return encodeMessage(msgAlive, aliveMessage{m.incarnation, nodeName(m.entry), at.Addr().AsSlice(), at.Port(), meta(m.entry), protocolVersions})
}

// spreadOver is how long a message goes round: each member passes it on in so many rounds after it came.
const spreadOver = time.Second

// spread has every target receive a message so often, at times of its own, under the lock.
func (c *Crowd) spread(from time.Time, message []byte, times int) {
	first := from.Add(200 * time.Millisecond)
	for _, t := range c.targets {
		for range times {
			t.due = append(t.due, timedMessage{first.Add(time.Duration(c.random.Float64() * float64(spreadOver))), message})
		}
	}
}

// gossip sends what is due, a round at a time.
func (c *Crowd) gossip() {
	tick := time.NewTicker(gossipEvery)
	defer tick.Stop()
	for {
		select {
		case <-c.closed:
			return
		case now := <-tick.C:
			c.mu.Lock()
			targets := slices.Clone(c.targets)
			c.mu.Unlock()
			for _, t := range targets {
				c.round(t, now)
			}
		}
	}
}

// round sends one target what is due, in as many packets as so many members would.
func (c *Crowd) round(t *Target, now time.Time) {
	c.mu.Lock()
	var ready [][]byte
	t.due = slices.DeleteFunc(t.due, func(m timedMessage) bool {
		if m.at.After(now) {
			return false
		}
		ready = append(ready, m.message)
		return true
	})
	c.mu.Unlock()
	part := max((len(ready)+gossipNodes-1)/gossipNodes, 1)
	for len(ready) > 0 {
		packet, rest := compound(ready[:min(part, len(ready))])
		ready = append(rest, ready[min(part, len(ready)):]...)
		c.sockets[c.pick(len(c.sockets))].packets.WriteToUDPAddrPort(sealGossip(packet), t.Address)
	}
}

func (c *Crowd) pick(n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.random.IntN(n)
}

// drainPings is how many probes a millisecond drain a target's queue: an answer takes some of what waits along.
const drainPings = 1

// probe sends each target a probe from somebody in every interval, and many while its queue is drained.
func (c *Crowd) probe() {
	next := time.Now()
	for number := uint32(1); ; number++ {
		c.mu.Lock()
		fast := c.fast
		targets := slices.Clone(c.targets)
		c.mu.Unlock()
		select {
		case <-c.closed:
			return
		case <-time.After(2 * time.Millisecond):
		}
		if !fast && time.Now().Before(next) {
			continue
		}
		next = time.Now().Add(probeEvery)
		times := 1
		if fast {
			times = 2 * drainPings
		}
		for _, t := range targets {
			for range times {
				c.ping(t, number)
			}
		}
	}
}

func (c *Crowd) ping(t *Target, number uint32) {
	c.mu.Lock()
	s, node := c.sockets[c.random.IntN(len(c.sockets))], t.Pinged
	c.mu.Unlock()
	if node == "" {
		return
	}
	message := encodeMessage(msgPing, pingMessage{SeqNo: number, Node: node, SourceAddr: s.address.Addr().AsSlice(),
		SourcePort: s.address.Port(), SourceNode: "crowd"})
	s.packets.WriteToUDPAddrPort(sealGossip(message), t.Address)
}

// drainedAck is the mean size in bytes of answers to probes of members that have nothing more to pass on, at the most.
const drainedAck = 250

// Drain has the targets pass on, in answers to many probes, what their joining left in their queues; it tells whether that was
// done within a time. It only shortens what the program does by itself at three packets a round.
func (c *Crowd) Drain(within time.Duration) bool {
	c.mu.Lock()
	c.fast = true
	c.mu.Unlock()
	defer func() {
		c.mu.Lock()
		c.fast = false
		c.mu.Unlock()
	}()
	for until := time.Now().Add(within); time.Now().Before(until); {
		c.mu.Lock()
		c.acks, c.ackSize = 0, 0
		c.mu.Unlock()
		time.Sleep(200 * time.Millisecond)
		c.mu.Lock()
		drained := c.acks > 10 && c.ackSize < drainedAck*c.acks
		c.mu.Unlock()
		if drained {
			return true
		}
	}
	return false
}

// Restart plays the restart of one member, as the program tells it, and the words that its new process passes on of all that it
// has learnt: so many of them reach each target as of any message.
func (c *Crowd) Restart(k int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, times := time.Now(), retransmits(c.size)
	m := &c.members[k]
	if m.down {
		return
	}
	m.incarnation++
	m.entry.State = view.Leaving
	c.spread(now, c.alive(k), times)
	old := nodeName(m.entry)
	c.spread(now.Add(seconds(goneAfter)), encodeMessage(msgDead, claimMessage{m.incarnation, old, old}), times)
	c.reborn(k)
	m.entry.State = view.Cold
	c.spread(now.Add(seconds(backAfter)), c.alive(k), times)
	m.incarnation, m.entry.State = 2, view.Serving
	c.spread(now.Add(seconds(servingAfter)), c.alive(k), times)
	for range times {
		c.spread(now.Add(time.Duration(c.random.Float64()*float64(spreadOver))), c.alive(c.random.IntN(len(c.members))), 1)
	}
}

// reborn gives a member another incarnation, under the lock.
func (c *Crowd) reborn(k int) {
	m := &c.members[k]
	m.entry.Incarnation.Number++
	m.entry.Incarnation.Nonce += 1 << 16
	m.incarnation, m.down = 1, false
	c.byNode[nodeName(m.entry)] = k
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// Lose has some members die at one time: they answer no more, two others accuse each, and it is dead once that has stood.
func (c *Crowd) Lose(first, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now, times := time.Now(), retransmits(c.size)
	for k := first; k < first+count; k++ {
		m := &c.members[k]
		m.down = true
		node := nodeName(m.entry)
		found := now.Add(probeEvery/2 + time.Duration(c.random.Float64()*2*float64(probeEvery)))
		for accuser := range 2 {
			from := nodeName(c.members[(first+count+k+accuser)%len(c.members)].entry)
			c.spread(found, encodeMessage(msgSuspect, claimMessage{m.incarnation, node, from}), times)
		}
		from := nodeName(c.members[(first+count+k)%len(c.members)].entry)
		c.spread(found.Add(suspicionTimeout(c.size)), encodeMessage(msgDead, claimMessage{m.incarnation, node, from}), times)
	}
}

// Return has members that were lost come back with new processes, serving at once.
func (c *Crowd) Return(first, count int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for k := first; k < first+count; k++ {
		c.reborn(k)
		c.spread(time.Now().Add(time.Duration(c.random.Float64()*float64(time.Second))), c.alive(k), retransmits(c.size))
	}
}

// Len is how many members it stands in for.
func (c *Crowd) Len() int { return len(c.members) }

func (c *Crowd) acceptStreams(s *crowdSocket) {
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

// answerStream takes an exchange, or a probe over a stream.
func (c *Crowd) answerStream(nc net.Conn) {
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
		if codec.NewDecoder(in, &codec.MsgpackHandle{}).Decode(&ping) == nil && c.up(ping.Node) {
			nc.Write(encodeMessage(msgAck, ackMessage{SeqNo: ping.SeqNo}))
		}
	case msgExchange:
		if _, err := c.readExchange(&counted{in, &c.streamBytes}); err == nil {
			n, _ := nc.Write(c.exchange(false))
			c.streamBytes.Add(int64(n))
		}
	}
}

// counted counts what is read.
type counted struct {
	io.Reader
	bytes *atomic.Int64
}

func (r *counted) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b)
	r.bytes.Add(int64(n))
	return n, err
}

// readExchange gives the names in an exchange, and learns of real members.
func (c *Crowd) readExchange(in io.Reader) (nodes []string, err error) {
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

// exchange is all that the crowd knows.
func (c *Crowd) exchange(join bool) []byte {
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

// Exchange exchanges all that is known with a target, as a member does now and then; it gives the bytes of both ways. It
// learns how the library knows the target, if that is not known yet.
func (c *Crowd) Exchange(t *Target, join bool) (int64, error) {
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
	in := bufio.NewReader(&counted{nc, &got})
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
		if name, _, _ := strings.Cut(node, "~"); name == t.Name && t.Pinged == "" {
			t.Pinged = node
		}
	}
	return int64(sent) + got.Load(), err
}
