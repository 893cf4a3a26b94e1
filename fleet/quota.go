package fleet

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/owner"
	"valveglade/logic/share"
)

// QuotaClient is the part of this process in the limits that are shared by the whole fleet: a leaseholder for each
// share, and an allocator while this process owns the role of the share. The gate asks it before it starts a run, so
// its methods do not block.
type QuotaClient struct {
	fleet         *Fleet
	shares        []*sharedLimit
	shareOfMethod []int // by method: the index of its share plus one, 0 for none
}

// sharedLimit is one share. Its mutex is taken while the gate's is held, so code that holds it must never lock the
// gate.
type sharedLimit struct {
	fleet  *Fleet
	config share.Config
	role   string

	mu              sync.Mutex
	leaseholder     *share.Leaseholder
	allocator       *share.Allocator // set while this process owns the role
	allocatorName   string           // the last known allocator
	loggedAllowance int              // the allowance in the last log line
	loggedAt        time.Time        // when that line was logged
}

// sharePrefix is the prefix of the role names of shares.
const sharePrefix = "share/"

// AddQuota adds the shares that this process takes part in. It is called once, before Run; methods is the number of
// methods.
func (f *Fleet) AddQuota(shares []share.Config, methods int) (*QuotaClient, error) {
	client := &QuotaClient{fleet: f, shareOfMethod: make([]int, methods)}
	for index, config := range shares {
		if err := config.Check(); err != nil {
			return nil, fmt.Errorf("share %s: %w", config.Name, err)
		}
		s := &sharedLimit{fleet: f, config: config, role: sharePrefix + config.Name}
		s.leaseholder = share.NewLeaseholder(f.incarnation, s.role, config, f.config.Clock())
		for _, method := range config.Methods {
			if method < 0 || method >= methods || client.shareOfMethod[method] != 0 {
				return nil, fmt.Errorf("share %s: method %d does not exist or already has a share", config.Name, method)
			}
			client.shareOfMethod[method] = index + 1
		}
		client.shares = append(client.shares, s)
		if err := f.Campaign(s.role, s.allocate); err != nil {
			return nil, err
		}
	}
	f.quotaClient.Store(client)
	return client, nil
}

// BlockingLimit returns the number of the share, counted from one, that has no permit left for a method, or 0 if a
// run of the method may start.
func (c *QuotaClient) BlockingLimit(method int) int {
	number := c.shareOfMethod[method]
	if number == 0 {
		return 0
	}
	s := c.shares[number-1]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseholder.CanStart(s.fleet.config.Clock()) {
		return 0
	}
	return number
}

// AddWaiting adds n to the number of RPCs of a method and a criticality that wait: 1 for one that begins to wait, -1
// for one that no longer does.
func (c *QuotaClient) AddWaiting(method, n int, criticality float64) {
	c.withShare(method, func(s *sharedLimit) { s.leaseholder.AddWaiting(n, criticality, s.fleet.config.Clock()) })
}

// RunStarted records that a run of a method has started.
func (c *QuotaClient) RunStarted(method int, criticality float64) {
	c.withShare(method, func(s *sharedLimit) { s.leaseholder.Started(criticality, s.fleet.config.Clock()) })
}

// RunEnded records that a run of a method has ended after some seconds, 0 if it never ran.
func (c *QuotaClient) RunEnded(method int, criticality, seconds float64) {
	c.withShare(method, func(s *sharedLimit) { s.leaseholder.Finished(criticality, seconds, s.fleet.config.Clock()) })
}

// withShare calls do with the share of a method, if it has one, under the share's lock.
func (c *QuotaClient) withShare(method int, do func(*sharedLimit)) {
	if number := c.shareOfMethod[method]; number > 0 {
		s := c.shares[number-1]
		s.mu.Lock()
		defer s.mu.Unlock()
		do(s)
	}
}

// UpdateLimits applies changed limits. It returns an error if anything else about the shares has changed.
func (c *QuotaClient) UpdateLimits(shares []share.Config) error {
	if len(shares) != len(c.shares) {
		return errors.New("shares were added or removed, which requires a restart")
	}
	for index, config := range shares {
		current := c.shares[index].config
		if config.Name != current.Name || !slices.Equal(config.Methods, current.Methods) ||
			config.Reserved != current.Reserved ||
			!slices.Equal(config.ReservedMembers, current.ReservedMembers) ||
			(config.MinLimit > 0) != (current.MinLimit > 0) {
			return errors.New("the name, methods or reserved permits of a share changed, which requires a restart")
		}
		if err := config.Check(); err != nil {
			return fmt.Errorf("share %s: %w", config.Name, err)
		}
	}
	for index, config := range shares {
		s := c.shares[index]
		s.mu.Lock()
		if s.config.Limit != config.Limit || s.config.MinLimit != config.MinLimit {
			c.fleet.log.Info("limit of a share changed", zap.String("share", config.Name),
				zap.Int("from", s.config.Limit), zap.Int("to", config.Limit))
		}
		s.config.Limit, s.config.MinLimit, s.config.Target = config.Limit, config.MinLimit, config.Target
		if s.allocator != nil {
			s.allocator.UpdateLimits(s.config)
		}
		s.mu.Unlock()
	}
	return nil
}

// announceInterval is the period at which an allocator announces itself to all members, as single announcements may
// be lost.
const announceInterval = 250 * time.Millisecond

// allocate is the RoleFunc of a share's role. It announces this process as the allocator; handle answers the requests.
func (s *sharedLimit) allocate(ctx context.Context, term uint64) error {
	s.mu.Lock()
	s.allocator = share.NewAllocator(s.role, term, s.config, s.fleet.config.Clock())
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.allocator = nil
		s.mu.Unlock()
	}()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for {
		announcement := encodeGrant(grantMessage{kind: announced, role: s.role, from: s.fleet.incarnation.Name,
			term: term})
		for _, name := range s.fleet.config.Peers() {
			s.fleet.transport.Send(name, announcement)
		}
		s.observeAllocator(s.fleet.incarnation.Name, term)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// observeAllocator records the allocator of a term, unless a higher term is known.
func (s *sharedLimit) observeAllocator(name string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseholder.ObserveTerm(term, s.fleet.config.Clock()) {
		s.allocatorName = name
	}
}

// sendRequests sends the requests for permits that are due, for all shares, and logs changes of the allowance.
func (c *QuotaClient) sendRequests() {
	for _, s := range c.shares {
		s.mu.Lock()
		now := s.fleet.config.Clock()
		request, due := s.leaseholder.Tick(now)
		to := s.allocatorName
		previous, changed := s.loggedAllowance, s.allowanceChanged(now)
		current := s.loggedAllowance
		s.mu.Unlock()
		if changed {
			s.fleet.log.Info("share changed", zap.String("share", s.config.Name),
				zap.Int("from", previous), zap.Int("to", current))
		}
		if due {
			s.fleet.transport.Send(to, encodeGrant(grantMessage{kind: requested, role: s.role, from: s.fleet.incarnation.Name,
				term: request.Term, request: request}))
		}
	}
}

// minLogInterval is the shortest time between two log lines about a share's allowance, so that only lasting changes
// are logged.
const minLogInterval = time.Second

// allowanceChanged reports whether a new allowance is to be logged, and records it as logged. The caller holds s.mu.
func (s *sharedLimit) allowanceChanged(now float64) bool {
	allowance := s.leaseholder.Allowed(now)
	if allowance == s.loggedAllowance || time.Since(s.loggedAt) < minLogInterval {
		return false
	}
	s.loggedAllowance, s.loggedAt = allowance, time.Now()
	return true
}

// handle dispatches a message about a share.
func (c *QuotaClient) handle(m grantMessage) {
	for _, s := range c.shares {
		if s.role != m.role {
			continue
		}
		switch m.kind {
		case announced:
			s.observeAllocator(m.from, m.term)
		case requested:
			s.handleRequest(m)
		case granted:
			s.mu.Lock()
			s.leaseholder.HandleAnswer(m.answer, s.fleet.config.Clock())
			s.mu.Unlock()
		}
	}
}

// handleRequest answers a request for permits if this process is the allocator. The lease is checked after the request
// has arrived, and the grant is dated from that same clock reading, so the answer may be sent however late.
func (s *sharedLimit) handleRequest(m grantMessage) {
	now := s.fleet.config.Clock()
	term, _, owns := s.fleet.owns(s.role, now)
	s.mu.Lock()
	var answer owner.Answer
	ok := false
	if owns && s.allocator != nil && s.allocator.Term() == term {
		answer, ok = s.allocator.HandleRequest(m.request, now)
	}
	s.mu.Unlock()
	switch {
	case ok:
		s.fleet.transport.Send(m.from, encodeGrant(grantMessage{kind: granted, role: s.role, from: s.fleet.incarnation.Name,
			term: answer.Term, answer: answer}))
	case owns && m.request.Term < term:
		s.fleet.transport.Send(m.from, encodeGrant(grantMessage{kind: announced, role: s.role, from: s.fleet.incarnation.Name,
			term: term}))
	}
}

// owns reports whether this process owns a role at a time, under which term, and how long its lease still lasts.
func (f *Fleet) owns(role string, now float64) (term uint64, left float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if r := f.roles[role]; r != nil {
		return r.candidate.Owns(now)
	}
	return 0, 0, false
}

// Share is the state of one share as this process knows it.
type Share struct {
	Name      string        `json:"name"`
	Allocator string        `json:"allocator,omitempty"`
	Term      uint64        `json:"term"`
	Running   int           `json:"running"`
	Waiting   int           `json:"waiting"`
	Reserved  int           `json:"reserved"`
	Granted   int           `json:"granted"`
	Left      float64       `json:"left_s"`          // until the granted permits expire
	Limit     int           `json:"limit,omitempty"` // this and the fields below are set on the allocator only
	Settled   bool          `json:"settled,omitempty"`
	Holders   []ShareHolder `json:"holders,omitempty"`
}

// ShareHolder is one leaseholder as the allocator knows it.
type ShareHolder struct {
	Name         string  `json:"name"`
	MaxHeld      int     `json:"had"` // the most permits that it may hold now
	Given        int     `json:"given"`
	Wants        int     `json:"wants"`
	Uses         int     `json:"uses"`
	Left         float64 `json:"left_s"` // until the last of its grants expires
	SinceRequest float64 `json:"heard_s"`
}

// Shares lists the state of the shares that this process takes part in.
func (c *QuotaClient) Shares() []Share {
	var shares []Share
	for _, s := range c.shares {
		s.mu.Lock()
		now := s.fleet.config.Clock()
		held := s.leaseholder.Status(now)
		status := Share{Name: s.config.Name, Allocator: s.allocatorName, Term: held.Term, Running: held.Running,
			Waiting: held.Waiting, Reserved: held.Reserved, Granted: held.Granted, Left: roundToMillis(held.Left)}
		if allocator := s.allocator; allocator != nil {
			status.Limit, status.Settled = allocator.Limit(), allocator.Settled(now)
			for _, holder := range allocator.Holders(now) {
				status.Holders = append(status.Holders, ShareHolder{holder.Name, holder.MaxHeld, holder.Granted,
					holder.Wanted, holder.InUse, roundToMillis(max(holder.Left, 0)), roundToMillis(holder.SinceRequest)})
			}
		}
		s.mu.Unlock()
		shares = append(shares, status)
	}
	return shares
}

// roundToMillis rounds seconds to whole milliseconds.
func roundToMillis(seconds float64) float64 { return math.Round(seconds*1e3) / 1e3 }
