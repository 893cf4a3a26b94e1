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

// Lender is this process's part in the shares of what the whole fleet may only run so much of at once: for each a holder, and a
// keeper while it owns the share's office. The gate asks it before a run starts; nothing of it waits.
type Lender struct {
	f      *Fleet
	shares []*lent
	method []int // of each method, its share's index plus one; 0 for none
}

// lent is one share. Its lock is taken under the gate's, so nothing that is called under it takes that.
type lent struct {
	f      *Fleet
	terms  share.Config
	office string

	mu     sync.Mutex
	holder *share.Leaseholder
	keeper *share.Allocator // while the office is owned here
	from   string           // who keeps it, as far as is known
	had    int
	told   time.Time
}

// lendPrefix begins the names of shares' offices.
const lendPrefix = "share/"

// Lend has this process take part in shares. It is called once, before Run. Methods is how many methods there are.
func (f *Fleet) Lend(all []share.Config, methods int) (*Lender, error) {
	l := &Lender{f: f, method: make([]int, methods)}
	for k, t := range all {
		if err := t.Check(); err != nil {
			return nil, fmt.Errorf("share %s: %w", t.Name, err)
		}
		s := &lent{f: f, terms: t, office: lendPrefix + t.Name}
		s.holder = share.NewLeaseholder(f.life, s.office, t, f.seal.Clock())
		for _, m := range t.Methods {
			if m < 0 || m >= methods || l.method[m] != 0 {
				return nil, fmt.Errorf("share %s: method %d is none, or has a share", t.Name, m)
			}
			l.method[m] = k + 1
		}
		l.shares = append(l.shares, s)
		if err := f.Stand(s.office, s.keep); err != nil {
			return nil, err
		}
	}
	f.lender.Store(l)
	return l, nil
}

// Short tells which share has no permit left for a method, from one; 0 where it may start.
func (l *Lender) Short(method int) int {
	k := l.method[method]
	if k == 0 {
		return 0
	}
	s := l.shares[k-1]
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.CanStart(s.f.seal.Clock()) {
		return 0
	}
	return k
}

// Waits takes in that an RPC of a method and a criticality waits, or with -1 that it no longer does.
func (l *Lender) Waits(method, n int, criticality float64) {
	l.with(method, func(s *lent) { s.holder.Wait(n, criticality, s.f.seal.Clock()) })
}

// Began takes in that one has started.
func (l *Lender) Began(method int, criticality float64) {
	l.with(method, func(s *lent) { s.holder.Started(criticality, s.f.seal.Clock()) })
}

// Over takes in that one is over, after so many seconds, 0 where it never ran.
func (l *Lender) Over(method int, criticality, took float64) {
	l.with(method, func(s *lent) { s.holder.Finished(criticality, took, s.f.seal.Clock()) })
}

func (l *Lender) with(method int, do func(*lent)) {
	if k := l.method[method]; k > 0 {
		s := l.shares[k-1]
		s.mu.Lock()
		defer s.mu.Unlock()
		do(s)
	}
}

// Amend takes over other limits of the same shares, or refuses what is not the same.
func (l *Lender) Amend(all []share.Config) error {
	if len(all) != len(l.shares) {
		return errors.New("other shares stay until the next start")
	}
	for k, t := range all {
		was := l.shares[k].terms
		if t.Name != was.Name || !slices.Equal(t.Methods, was.Methods) || t.Reserved != was.Reserved || !slices.Equal(t.ReservedMembers, was.ReservedMembers) ||
			(t.MinLimit > 0) != (was.MinLimit > 0) {
			return errors.New("other shares, methods or floors stay until the next start")
		}
		if err := t.Check(); err != nil {
			return fmt.Errorf("share %s: %w", t.Name, err)
		}
	}
	for k, t := range all {
		s := l.shares[k]
		s.mu.Lock()
		if s.terms.Limit != t.Limit || s.terms.MinLimit != t.MinLimit {
			l.f.log.Info("limit of a share changed", zap.String("share", t.Name), zap.Int("from", s.terms.Limit), zap.Int("to", t.Limit))
		}
		s.terms.Limit, s.terms.MinLimit, s.terms.Target = t.Limit, t.MinLimit, t.Target
		if s.keeper != nil {
			s.keeper.UpdateLimits(s.terms)
		}
		s.mu.Unlock()
	}
	return nil
}

// announceEvery is how often a keeper tells everybody that it is there; somebody who has missed it learns it then.
const announceEvery = 250 * time.Millisecond

// keep is the work of a share's office: to answer those who ask, which take does, and to be known.
func (s *lent) keep(ctx context.Context, term uint64) error {
	s.mu.Lock()
	s.keeper = share.NewAllocator(s.office, term, s.terms, s.f.seal.Clock())
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.keeper = nil
		s.mu.Unlock()
	}()
	tick := time.NewTicker(announceEvery)
	defer tick.Stop()
	for {
		m := encodeGrant(grantMessage{word: kept, office: s.office, from: s.f.life.Name, term: term})
		for _, name := range s.f.seal.Others() {
			s.f.carrier.Send(name, m)
		}
		s.know(s.f.life.Name, term)
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// know takes in who keeps it.
func (s *lent) know(who string, term uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.holder.ObserveTerm(term, s.f.seal.Clock()) {
		s.from = who
	}
}

// turn has what is due asked, for all shares.
func (l *Lender) turn() {
	for _, s := range l.shares {
		s.mu.Lock()
		now := s.f.seal.Clock()
		q, ok := s.holder.Tick(now)
		to := s.from
		was, changed := s.had, s.changed(now)
		is := s.had
		s.mu.Unlock()
		if changed {
			s.f.log.Info("share changed", zap.String("share", s.terms.Name), zap.Int("from", was), zap.Int("to", is))
		}
		if ok {
			s.f.carrier.Send(to, encodeGrant(grantMessage{word: asked, office: s.office, from: s.f.life.Name, term: q.Term, question: q}))
		}
	}
}

// tellEvery is how often a change of what is held may be told: one line for each change that lasts.
const tellEvery = time.Second

// changed tells whether what is held is to be told anew, under the lock.
func (s *lent) changed(now float64) bool {
	n := s.holder.Allowed(now)
	if n == s.had || time.Since(s.told) < tellEvery {
		return false
	}
	s.had, s.told = n, time.Now()
	return true
}

// take sorts what comes of shares.
func (l *Lender) take(m grantMessage) {
	for _, s := range l.shares {
		if s.office != m.office {
			continue
		}
		switch m.word {
		case kept:
			s.know(m.from, m.term)
		case asked:
			s.answer(m)
		case granted:
			s.mu.Lock()
			s.holder.HandleAnswer(m.answer, s.f.seal.Clock())
			s.mu.Unlock()
		}
	}
}

// answer is the keeper's. Its lease is checked after the question came, and what is granted is counted from that very reading of
// the clock: what comes of it may be sent however late.
func (s *lent) answer(m grantMessage) {
	now := s.f.seal.Clock()
	term, _, owns := s.f.owns(s.office, now)
	s.mu.Lock()
	var a owner.Answer
	ok := false
	if owns && s.keeper != nil && s.keeper.Term() == term {
		a, ok = s.keeper.HandleRequest(m.question, now)
	}
	s.mu.Unlock()
	switch {
	case ok:
		s.f.carrier.Send(m.from, encodeGrant(grantMessage{word: granted, office: s.office, from: s.f.life.Name, term: a.Term, answer: a}))
	case owns && m.question.Term < term:
		s.f.carrier.Send(m.from, encodeGrant(grantMessage{word: kept, office: s.office, from: s.f.life.Name, term: term}))
	}
}

// owns tells whether an office is owned here at a time.
func (f *Fleet) owns(office string, at float64) (term uint64, left float64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if o := f.offices[office]; o != nil {
		return o.candidate.Owns(at)
	}
	return 0, 0, false
}

// Share is one share as seen from here.
type Share struct {
	Name    string        `json:"name"`
	Keeper  string        `json:"keeper,omitempty"`
	Term    uint64        `json:"term"`
	Running int           `json:"running"`
	Waiting int           `json:"waiting"`
	Floor   int           `json:"floor"`
	Granted int           `json:"granted"`
	Left    float64       `json:"left_s"`
	Limit   int           `json:"limit,omitempty"` // as the keeper has it, the rest of the fields likewise
	Settled bool          `json:"settled,omitempty"`
	Holders []ShareHolder `json:"holders,omitempty"`
}

// ShareHolder is one holder as its keeper sees it.
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
func (l *Lender) Shares() []Share {
	var all []Share
	for _, s := range l.shares {
		s.mu.Lock()
		now := s.f.seal.Clock()
		h := s.holder.Status(now)
		one := Share{Name: s.terms.Name, Keeper: s.from, Term: h.Term, Running: h.Running, Waiting: h.Waiting, Floor: h.Reserved,
			Granted: h.Granted, Left: milli(h.Left)}
		if k := s.keeper; k != nil {
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
