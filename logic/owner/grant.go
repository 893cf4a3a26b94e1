package owner

import (
	"fmt"
	"math"
	"slices"
)

// Loan is how parts of something that only bears so much are granted, in seconds and shares. A grant is asked for, and the
// asker counts it from when it asked: so whoever answered it while it owned the office knows when it is over at the latest,
// and so does the next owner, who never saw it.
type Loan struct {
	Length  float64 // for which a grant lasts
	Tail    float64 // for which what was begun under a grant may go on past its end
	Drift   float64 // by which two clocks may drift apart, as a share
	Without Rule    // rules that are left out, to show that their loss is noticed: none in service
}

func (l Loan) has(r Rule) bool { return l.Without&r == 0 }

// Gone is after how long, on any clock, nothing is left of a grant that was asked for before.
func (l Loan) Gone() float64 {
	if !l.has(Tails) {
		return l.Length * (1 + l.Drift)
	}
	return (l.Length + l.Tail) * (1 + l.Drift)
}

// Ask is a question for a grant. It is put to the owner under one term: nobody else may answer it.
type Ask struct {
	Office string
	From   Life
	Number uint64  // of this asker's questions, rising
	Term   uint64  // of the owner that is asked
	Holds  int     // what its grant still lets it begin, as it asks
	Uses   int     // what is under way with it, which may be more
	Left   float64 // how long its grant still lasts, in seconds
	Wants  int
}

// Answer is a grant, of nothing too.
type Answer struct {
	Office string
	To     Life
	Number uint64 // of the question
	Term   uint64
	Grants int
}

// Asker is one process's part in asking.
type Asker struct {
	loan   Loan
	self   Life
	office string
	known  uint64 // the highest term heard of
	number uint64
	asked  float64
	holds  int
	until  float64
	term   uint64 // under which it holds
}

// NewAsker holds nothing.
func NewAsker(self Life, office string, loan Loan) *Asker {
	return &Asker{loan: loan, self: self, office: office}
}

// Know takes in that there is an owner under a term; false if a higher one is known.
func (a *Asker) Know(term uint64) bool {
	if term < a.known {
		return false
	}
	a.known = term
	return true
}

// Known is the highest term heard of, 0 for none.
func (a *Asker) Known() uint64 { return a.known }

// Ask asks anew, and voids whatever may still come in answer to a question before. Uses is what is under way.
func (a *Asker) Ask(wants, uses int, now float64) Ask {
	a.number++
	a.asked = now
	holds, left := a.Holds(now)
	return Ask{Office: a.office, From: a.self, Number: a.number, Term: a.known, Holds: holds, Uses: uses, Left: left, Wants: wants}
}

// Hear takes an answer in, and tells whether it counts.
func (a *Asker) Hear(m Answer, now float64) bool {
	if m.Office != a.office || m.To != a.self || m.Number != a.number && a.loan.has(Current) || m.Number > a.number {
		return false
	}
	from := a.asked
	if !a.loan.has(FromAsked) {
		from = now
	}
	until := from + a.loan.Length
	if now >= until {
		return false // it took too long
	}
	a.holds, a.until, a.term = m.Grants, until, m.Term
	return true
}

// Holds is what it may begin under now, in all, and for how long, in seconds. Whoever acts on it later than that has to look
// again.
func (a *Asker) Holds(now float64) (n int, left float64) {
	if now >= a.until {
		return 0, 0
	}
	return a.holds, a.until - now
}

// Granter is an owner's part under one term. Of the whole it grants what is proved free: until all that former owners may have
// granted is over, that is what holders have told it, since it began, that they hold; it may be moved among them.
type Granter struct {
	loan    Loan
	office  string
	term    uint64
	whole   int
	proved  int     // what holders told of at first
	settled float64 // when nothing is left of former owners' grants
	ledger  map[Life]*holding
}

// holding is what one holder may have, at the most.
type holding struct {
	number uint64 // of its last question
	told   int    // what it had as it asked, and until when that may last
	lasts  float64
	given  int // what it was answered, and until when that may last
	until  float64
	wants  int
	uses   int
	heard  float64
}

// NewGranter begins as the office is taken: not before the former owner's lease is over.
func NewGranter(office string, term uint64, whole int, now float64, loan Loan) *Granter {
	g := &Granter{loan: loan, office: office, term: term, whole: whole, settled: now + loan.Gone(), ledger: map[Life]*holding{}}
	if !loan.has(Settled) {
		g.settled = now
	}
	return g
}

// Held is what a holder was last answered, or told, whichever came last.
func (g *Granter) Held(life Life) int {
	h := g.ledger[life]
	if h == nil {
		return 0
	}
	return max(h.given, h.told)
}

// Clone is for those who walk through all that can happen: nothing that is done to one is done to the other.
func (g *Granter) Clone() *Granter {
	c := *g
	c.ledger = map[Life]*holding{}
	for life, h := range g.ledger {
		one := *h
		c.ledger[life] = &one
	}
	return &c
}

// String tells all of it, for the same purpose.
func (g *Granter) String() string {
	all := fmt.Sprint(g.term, g.whole, g.proved, g.settled)
	for _, h := range g.Holders(math.Inf(-1)) {
		all += fmt.Sprint(h.Life, *g.ledger[h.Life])
	}
	return all
}

// Term is the one that it grants under.
func (g *Granter) Term() uint64 { return g.term }

// Settled tells whether nothing is left of what former owners granted.
func (g *Granter) Settled(now float64) bool { return now >= g.settled }

// Whole changes what there is to grant; what has been granted stays granted until it is over.
func (g *Granter) Whole(whole int) { g.whole = whole }

// had is what a holder may have now at the most.
func (h *holding) had(now float64) int {
	n := 0
	if now < h.lasts {
		n = h.told
	}
	if now < h.until {
		n = max(n, h.given)
	}
	return n
}

// Free is what could be granted now to one holder, what it has among it.
func (g *Granter) Free(to Life, now float64) int {
	n := g.whole
	if !g.Settled(now) {
		n = min(n, g.proved)
	}
	for life, h := range g.ledger {
		if life != to {
			n -= h.had(now)
		}
	}
	return max(n, 0)
}

// mostHolders is how many holders are known at once; a fleet is smaller.
const mostHolders = 1024

// Hear takes a question in, and tells whether it is to be answered: not one that was put to another owner, nor one that is
// older than another of the same asker's, for which no answer would count.
func (g *Granter) Hear(q Ask, now float64) bool {
	if q.Office != g.office || q.Term != g.term && g.loan.has(Addressed) {
		return false
	}
	h := g.ledger[q.From]
	if h == nil {
		if g.forget(now); len(g.ledger) >= mostHolders {
			return false
		}
		h = &holding{}
		g.ledger[q.From] = h
		g.proved += q.Holds
	} else if q.Number <= h.number {
		return false
	}
	// Of all answers before this question none counts any more: what it says is what it has.
	h.number, h.wants, h.uses, h.heard = q.Number, q.Wants, q.Uses, now
	h.told, h.lasts = max(q.Holds, q.Uses), now+(q.Left+g.tail())*(1+g.loan.Drift)
	h.given, h.until = 0, 0
	return true
}

func (g *Granter) tail() float64 {
	if !g.loan.has(Tails) {
		return 0
	}
	return g.loan.Tail
}

// Grant answers a question that was heard: n at the most, less where that is not free. The owner's lease has to be checked
// after the question came and before this is called, at the same reading of the clock; what comes of it may then leave
// however late.
func (g *Granter) Grant(q Ask, n int, now float64) Answer {
	h := g.ledger[q.From]
	h.given = max(0, min(n, g.Free(q.From, now)))
	h.until = now + g.loan.Gone()
	return Answer{Office: g.office, To: q.From, Number: q.Number, Term: g.term, Grants: h.given}
}

// forget drops holders of whom nothing is left. Until it is settled all stay, as what they told counts once.
func (g *Granter) forget(now float64) {
	if !g.Settled(now) {
		return
	}
	for life, h := range g.ledger {
		if h.had(now) == 0 && now > h.heard+g.loan.Gone() {
			delete(g.ledger, life)
		}
	}
}

// Holder is one holder as the owner sees it.
type Holder struct {
	Life
	Had   int // at the most
	Given int
	Wants int
	Uses  int
	Left  float64 // until nothing is left of what it had, in seconds
	Heard float64 // how long ago it last asked, in seconds
}

// Holders lists them by name.
func (g *Granter) Holders(now float64) []Holder {
	g.forget(now)
	var all []Holder
	for life, h := range g.ledger {
		all = append(all, Holder{life, h.had(now), h.given, h.wants, h.uses, max(h.lasts, h.until) - now, now - h.heard})
	}
	slices.SortFunc(all, func(a, b Holder) int {
		if a.Name != b.Name {
			if a.Name < b.Name {
				return -1
			}
			return 1
		}
		return int(int64(a.Birth>>1) - int64(b.Birth>>1))
	})
	return all
}
