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

// QuotaClient is this process's part in the limits common to the whole fleet: for each a leaseholder, and an
// allocator while it owns the share's role. The gate asks it before a run starts; nothing of it waits.
type QuotaClient struct {
	f      *Fleet
	shares []*quota
	method []int // of each method, its share's index plus one; 0 for none
}

// quota is one share. Its lock is taken under the gate's, so nothing that is called under it takes that.
type quota struct {
	f      *Fleet
	config share.Config
	role   string

	mu            sync.Mutex
	leaseholder   *share.Leaseholder
	allocator     *share.Allocator // while the role is owned here
	allocatorName string           // who allocates it, as far as is known
	allowed       int
	loggedAt      time.Time
}

// sharePrefix begins the names of shares' roles.
const sharePrefix = "share/"

// AddQuota has this process take part in shares. It is called once, before Run. Methods is how many methods there are.
func (f *Fleet) AddQuota(all []share.Config, methods int) (*QuotaClient, error) {
	l := &QuotaClient{f: f, method: make([]int, methods)}
	for k, t := range all {
		if err := t.Check(); err != nil {
			return nil, fmt.Errorf("share %s: %w", t.Name, err)
		}
		s := &quota{f: f, config: t, role: sharePrefix + t.Name}
		s.leaseholder = share.NewLeaseholder(f.incarnation, s.role, t, f.config.Clock())
		for _, m := range t.Methods {
			if m < 0 || m >= methods || l.method[m] != 0 {
				return nil, fmt.Errorf("share %s: method %d is none, or has a share", t.Name, m)
			}
			l.method[m] = k + 1
		}
		l.shares = append(l.shares, s)
		if err := f.Campaign(s.role, s.allocate); err != nil {
			return nil, err
		}
	}
	f.quota.Store(l)
	return l, nil
}

// BlockingLimit tells which share has no permit left for a method, from one; 0 where it may start.
func (l *QuotaClient) BlockingLimit(method int) int {
	k := l.method[method]
	if k == 0 {
		return 0
	}
	s := l.shares[k-1]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseholder.CanStart(s.f.config.Clock()) {
		return 0
	}
	return k
}

// AddWaiting takes in that an RPC of a method and a criticality waits, or with -1 that it no longer does.
func (l *QuotaClient) AddWaiting(method, n int, criticality float64) {
	l.with(method, func(s *quota) { s.leaseholder.AddWaiting(n, criticality, s.f.config.Clock()) })
}

// RunStarted takes in that one has started.
func (l *QuotaClient) RunStarted(method int, criticality float64) {
	l.with(method, func(s *quota) { s.leaseholder.Started(criticality, s.f.config.Clock()) })
}

// RunEnded takes in that one is over, after so many seconds, 0 where it never ran.
func (l *QuotaClient) RunEnded(method int, criticality, took float64) {
	l.with(method, func(s *quota) { s.leaseholder.Finished(criticality, took, s.f.config.Clock()) })
}

func (l *QuotaClient) with(method int, do func(*quota)) {
	if k := l.method[method]; k > 0 {
		s := l.shares[k-1]
		s.mu.Lock()
		defer s.mu.Unlock()
		do(s)
	}
}

// UpdateLimits takes over other limits of the same shares, or refuses what is not the same.
func (l *QuotaClient) UpdateLimits(all []share.Config) error {
	if len(all) != len(l.shares) {
		return errors.New("other shares stay until the next start")
	}
	for k, t := range all {
		was := l.shares[k].config
		if t.Name != was.Name || !slices.Equal(t.Methods, was.Methods) || t.Reserved != was.Reserved || !slices.Equal(t.ReservedMembers, was.ReservedMembers) ||
			(t.MinLimit > 0) != (was.MinLimit > 0) {
			return errors.New("other shares, methods or reserved permits stay until the next start")
		}
		if err := t.Check(); err != nil {
			return fmt.Errorf("share %s: %w", t.Name, err)
		}
	}
	for k, t := range all {
		s := l.shares[k]
		s.mu.Lock()
		if s.config.Limit != t.Limit || s.config.MinLimit != t.MinLimit {
			l.f.log.Info("limit of a share changed", zap.String("share", t.Name), zap.Int("from", s.config.Limit), zap.Int("to", t.Limit))
		}
		s.config.Limit, s.config.MinLimit, s.config.Target = t.Limit, t.MinLimit, t.Target
		if s.allocator != nil {
			s.allocator.UpdateLimits(s.config)
		}
		s.mu.Unlock()
	}
	return nil
}

// announceEvery is how often an allocator tells everybody that it is there; somebody who has missed it learns it then.
const announceEvery = 250 * time.Millisecond

// allocate is the RoleFunc of a share's role: to answer requests, which handle does, and to be known.
func (s *quota) allocate(ctx context.Context, term uint64) error {
	s.mu.Lock()
	s.allocator = share.NewAllocator(s.role, term, s.config, s.f.config.Clock())
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.allocator = nil
		s.mu.Unlock()
	}()
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		m := encodeGrant(grantMessage{kind: announced, role: s.role, from: s.f.incarnation.Name, term: term})
		for _, name := range s.f.config.Others() {
			s.f.transport.Send(name, m)
		}
		s.observeAllocator(s.f.incarnation.Name, term)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// observeAllocator takes in who allocates it.
func (s *quota) observeAllocator(who string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaseholder.ObserveTerm(term, s.f.config.Clock()) {
		s.allocatorName = who
	}
}

// tick sends the requests that are due, for all shares.
func (l *QuotaClient) tick() {
	for _, s := range l.shares {
		s.mu.Lock()
		now := s.f.config.Clock()
		q, ok := s.leaseholder.Tick(now)
		to := s.allocatorName
		was, changed := s.allowed, s.allowanceChanged(now)
		is := s.allowed
		s.mu.Unlock()
		if changed {
			s.f.log.Info("share changed", zap.String("share", s.config.Name), zap.Int("from", was), zap.Int("to", is))
		}
		if ok {
			s.f.transport.Send(to, encodeGrant(grantMessage{kind: requested, role: s.role, from: s.f.incarnation.Name, term: q.Term, request: q}))
		}
	}
}

// logEvery is how often a change of what is held may be logged: one line for each change that lasts.
const logEvery = time.Second

// allowanceChanged reports whether what is held is to be logged anew, under the lock.
func (s *quota) allowanceChanged(now float64) bool {
	n := s.leaseholder.Allowed(now)
	if n == s.allowed || time.Since(s.loggedAt) < logEvery {
		return false
	}
	s.allowed, s.loggedAt = n, time.Now()
	return true
}

// handle passes on messages about shares.
func (l *QuotaClient) handle(m grantMessage) {
	for _, s := range l.shares {
		if s.role != m.role {
			continue
		}
		switch m.kind {
		case announced:
			s.observeAllocator(m.from, m.term)
		case requested:
			s.answer(m)
		case granted:
			s.mu.Lock()
			s.leaseholder.HandleAnswer(m.answer, s.f.config.Clock())
			s.mu.Unlock()
		}
	}
}

// answer is the allocator's. Its lease is checked after the request came, and what is granted is counted from that very reading of
// the clock: what comes of it may be sent however late.
func (s *quota) answer(m grantMessage) {
	now := s.f.config.Clock()
	term, _, owns := s.f.owns(s.role, now)
	s.mu.Lock()
	var a owner.Answer
	ok := false
	if owns && s.allocator != nil && s.allocator.Term() == term {
		a, ok = s.allocator.HandleRequest(m.request, now)
	}
	s.mu.Unlock()
	switch {
	case ok:
		s.f.transport.Send(m.from, encodeGrant(grantMessage{kind: granted, role: s.role, from: s.f.incarnation.Name, term: a.Term, answer: a}))
	case owns && m.request.Term < term:
		s.f.transport.Send(m.from, encodeGrant(grantMessage{kind: announced, role: s.role, from: s.f.incarnation.Name, term: term}))
	}
}

// owns reports whether a role is owned here at a time.
func (f *Fleet) owns(role string, at float64) (term uint64, left float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.roles[role]; o != nil {
		return o.candidate.Owns(at)
	}
	return 0, 0, false
}

// Share is one share as seen from here.
type Share struct {
	Name      string        `json:"name"`
	Allocator string        `json:"allocator,omitempty"`
	Term      uint64        `json:"term"`
	Running   int           `json:"running"`
	Waiting   int           `json:"waiting"`
	Reserved  int           `json:"reserved"`
	Granted   int           `json:"granted"`
	Left      float64       `json:"left_s"`
	Limit     int           `json:"limit,omitempty"` // as the allocator has it, the rest of the fields likewise
	Settled   bool          `json:"settled,omitempty"`
	Holders   []ShareHolder `json:"holders,omitempty"`
}

// ShareHolder is one holder as its allocator sees it.
type ShareHolder struct {
	Name  string  `json:"name"`
	Had   int     `json:"had"` // at the most, now
	Given int     `json:"given"`
	Wants int     `json:"wants"`
	Uses  int     `json:"uses"`
	Left  float64 `json:"left_s"` // until nothing is left of it
	Heard float64 `json:"heard_s"`
}

// Shares lists the shares that this process has a part in.
func (l *QuotaClient) Shares() []Share {
	var all []Share
	for _, s := range l.shares {
		s.mu.Lock()
		now := s.f.config.Clock()
		h := s.leaseholder.Status(now)
		one := Share{Name: s.config.Name, Allocator: s.allocatorName, Term: h.Term, Running: h.Running, Waiting: h.Waiting, Reserved: h.Reserved,
			Granted: h.Granted, Left: milli(h.Left)}
		if k := s.allocator; k != nil {
			one.Limit, one.Settled = k.Limit(), k.Settled(now)
			for _, x := range k.Holders(now) {
				one.Holders = append(one.Holders, ShareHolder{x.Name, x.MaxHeld, x.Granted, x.Wanted, x.InUse, milli(max(x.Left, 0)), milli(x.SinceRequest)})
			}
		}
		s.mu.Unlock()
		all = append(all, one)
	}
	return all
}

func milli(s float64) float64 { return math.Round(s*1e3) / 1e3 }
