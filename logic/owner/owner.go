// Package owner decides who owns an office: a named kind of work that is done once for the whole fleet. A few named voters
// decide it, a majority for each term; the fleet's view only says when it is worth standing. A Voter promises and grants, a
// Candidate stands, holds and gives up. Neither does I/O, reads a clock or knows an address; fleet/ is to drive them, and the
// explorer in the tests walks them through every order, loss, doubling, stop and restart of a few messages.
//
// The rules, in short. A term is higher than all before it. A lease is counted by the voter from when it grants it, and by
// the owner from when it asked for it: so the owner's ends first, whatever the way took. Clocks only measure spans, and may
// drift apart by what the terms of the installation allow. Who cannot hear a majority does not disturb one that can: it asks
// first whether it would win, and that ask changes nothing.
package owner

import (
	"fmt"
	"math"
	"math/bits"
	"slices"

	"valveglade/logic/chance"
)

// Span is what an installation sets, in seconds and shares.
type Span struct {
	Lease   float64 // that a voter grants
	Drift   float64 // by which two clocks may drift apart, as a share: 0.01 is ten milliseconds a second
	Margin  float64 // before the end of its lease the owner stops
	Without Rule    // rules that are left out, to show that their loss is noticed: none in service
}

// MostLetters is what a name of a voter or of an office may be long, in bytes.
const MostLetters = 64

// Sound tells what is wrong with lists of voters: there is one, or two while they are changed, and each has three, five or
// seven names.
func Sound(lists [][]string) error {
	if len(lists) == 0 || len(lists) > 2 {
		return fmt.Errorf("one list of voters is wanted, or two while they are changed, not %d", len(lists))
	}
	for _, list := range lists {
		if n := len(list); n < 3 || n > 7 || n%2 == 0 {
			return fmt.Errorf("three, five or seven names are wanted, not %d", n)
		}
		for k, name := range list {
			if name == "" || len(name) > MostLetters {
				return fmt.Errorf("%q is not a name of 1 to %d bytes", name, MostLetters)
			}
			if slices.Contains(list[:k], name) {
				return fmt.Errorf("%s is named twice", name)
			}
		}
	}
	return nil
}

// Rule is a set of rules that can be left out.
type Rule uint16

// The rules whose loss the explorer finds.
const (
	Margins   Rule = 1 << iota // the owner stops before its lease ends by the voters' clocks
	Promises                   // a voter keeps to its word over a restart
	Silence                    // a voter that starts without its promises says nothing for the longest lease
	FromAsked                  // a lease counts from the question, not from the answer
	Fences                     // whoever carries out orders refuses terms that are over
	Settled                    // a new owner waits until what former ones granted is over, but for what is proved
	Addressed                  // a question is answered only under the term that it names
	Current                    // an answer counts only for the last question
	Tails                      // what was begun under a grant may go on past its end
)

func (s Span) has(r Rule) bool { return s.Without&r == 0 }

// Held is how long an owner may act on a lease, counted on its own clock from when it asked.
func (s Span) Held() float64 {
	if !s.has(Margins) {
		return s.Lease * (1 + s.Drift) // a slow owner's clock, unheeded
	}
	return s.Lease*(1-s.Drift) - s.Margin
}

// Longest is how long any lease may still be believed in by somebody, counted on one's own clock from when it can no longer
// have been renewed.
func (s Span) Longest() float64 { return s.Lease * (1 + s.Drift) }

// Life names one process's life; a restart is another.
type Life struct {
	Name  string
	Birth uint64
}

// Word is what a message says.
type Word uint8

// What candidates and voters say to each other.
const (
	Canvass Word = iota // would you grant it? changes nothing
	Claim               // grant it, under this term
	Renew               // go on granting it
	Resign              // it is given up
	Free                // an answer to Canvass: I would
	Granted             // to Claim and Renew
	Refused             // to any of them
)

// Message goes between a candidate and a voter. What it answers is told by Round, which a candidate counts up with each
// time that it asks.
type Message struct {
	Word   Word
	Office string
	From   Life
	To     string // a voter's name; of an answer, the candidate's
	Term   uint64 // of Claim, Renew, Resign: under which; of answers: the highest that the voter knows
	Round  uint64
	Left   float64 // of Refused: how long another's lease still lasts there, in seconds
	Holder string  // of Refused: whose lease that is
	Sync   bool    // the voter's promises have to be on its disk before this leaves
}

// Promise is what a voter has to remember of one office.
type Promise struct {
	Term   uint64 // highest granted
	Holder Life
	Until  float64 // its lease, on the voter's clock
}

// Voter is one voter's part in all offices.
type Voter struct {
	span    Span
	name    string
	silent  float64 // until when it says nothing
	floor   uint64  // terms are above
	kept    map[string]Promise
	refused map[string][]Message // the last candidates that were told to wait, by office: they hear when it is free
}

// mostRefused is how many candidates hear that an office is free, of those that were refused: enough that one of them takes it.
const mostRefused = 8

// NewVoter begins at a time. Kept are its promises from before, as far as there are any; whole tells that none is missing
// from them that could still hold. Where that is not sure, as nothing lasts or what was found may be older than the last
// promise, it is silent for the longest lease. Floor is a term that none before can have reached: the wall clock in
// milliseconds.
func NewVoter(name string, kept map[string]Promise, whole bool, floor uint64, now float64, span Span) *Voter {
	v := &Voter{span: span, name: name, silent: now, floor: floor, kept: map[string]Promise{}, refused: map[string][]Message{}}
	if !whole && span.has(Silence) {
		v.silent = now + span.Longest()
	}
	if span.has(Promises) {
		for office, p := range kept {
			p.Until = now + span.Lease // how long it was down nobody knows: the whole of it, then
			v.kept[office] = p
		}
	}
	return v
}

// Kept is what has to last, for the disk.
func (v *Voter) Kept() map[string]Promise { return v.kept }

// Silent tells whether it says nothing yet.
func (v *Voter) Silent(now float64) bool { return now < v.silent }

// Take gives what is to be answered to a candidate, and to others that wait; nothing while it is silent.
func (v *Voter) Take(m Message, now float64) []Message {
	if v.Silent(now) {
		return nil
	}
	p := v.kept[m.Office]
	a := Message{Word: Refused, Office: m.Office, From: Life{Name: v.name}, To: m.From.Name, Term: max(p.Term, v.floor), Round: m.Round}
	others := p.Holder != m.From && now < p.Until
	switch m.Word {
	case Canvass:
		if !others {
			a.Word = Free
		}
	case Claim:
		// Under a term that was granted once nobody else is granted anything; the same candidate's question may come twice.
		again := m.Term == p.Term && p.Holder == m.From
		if !others && (m.Term > a.Term || again) {
			v.kept[m.Office] = Promise{m.Term, m.From, now + v.span.Lease}
			a.Word, a.Term, a.Sync = Granted, m.Term, true
		}
	case Renew:
		// One that has missed the claim, as it was down or cut off, joins those that granted it.
		if m.Term == p.Term && p.Holder == m.From || !others && m.Term > a.Term {
			v.kept[m.Office] = Promise{m.Term, m.From, now + v.span.Lease}
			a.Word, a.Sync = Granted, true
		}
		a.Term = v.kept[m.Office].Term // a floor overtakes nobody
	case Resign:
		if m.Term == p.Term && p.Holder == m.From {
			p.Until = now
			v.kept[m.Office] = p
			free := v.refused[m.Office]
			delete(v.refused, m.Office)
			return free
		}
		return nil
	default:
		return nil
	}
	if a.Word == Refused && others {
		a.Left, a.Holder = p.Until-now, p.Holder.Name
		v.remember(a)
	}
	return []Message{a}
}

// remember has a candidate told when the office is free: as an answer to the question that is refused now.
func (v *Voter) remember(a Message) {
	a.Word, a.Left, a.Holder = Free, 0, ""
	all := slices.DeleteFunc(v.refused[a.Office], func(b Message) bool { return b.To == a.To })
	if len(all) == mostRefused {
		all = all[1:]
	}
	v.refused[a.Office] = append(all, a)
}

// stage is how far a candidate has come. Candidate.move changes it, and nothing else does.
type stage uint8

const (
	idle     stage = iota // does not want the office, or waits
	asking                // has asked whether it would win
	standing              // has claimed a term
	owning
)

// Candidate is one process's part in one office.
type Candidate struct {
	span   Span
	self   Life
	office string
	voters []string // of all lists, each once
	lists  []uint32 // each a set of voters, as bits, a majority of which is needed
	seed   uint64
	drawn  uint64

	stage   stage
	wants   bool
	term    uint64
	highest uint64 // known anywhere
	round   uint64
	first   uint64 // the round of the claim
	asked   [rounds]float64
	yes     uint32         // the voters that would grant it, as bits
	acked   [2 * 7]float64 // when the last question was asked that each voter granted, under this term; -Inf for none
	until   float64        // it may act, on its own clock
	due     float64        // of the next step
	other   Message        // the last refusal that named an owner
	heard   float64        // when that was
	out     []Message
}

// NewCandidate begins as one that does not want the office. Lists are the voters: one list, or two while they are changed. A
// majority of each is needed, so that whoever knows the former list alone, or the next alone, shares a voter with it.
func NewCandidate(self Life, office string, lists [][]string, seed uint64, now float64, span Span) *Candidate {
	c := &Candidate{span: span, self: self, office: office, seed: seed, due: now}
	for _, list := range lists {
		set := uint32(0)
		for _, name := range list {
			k := slices.Index(c.voters, name)
			if k < 0 {
				k = len(c.voters)
				c.voters = append(c.voters, name)
			}
			set |= 1 << k
		}
		c.lists = append(c.lists, set)
	}
	return c
}

// won tells whether a majority of each list has said yes.
func (c *Candidate) won() bool {
	for _, set := range c.lists {
		if bits.OnesCount32(c.yes&set) <= bits.OnesCount32(set)/2 {
			return false
		}
	}
	return len(c.lists) > 0
}

// Out empties the list of what is to be sent.
func (c *Candidate) Out() []Message {
	out := c.out
	c.out = nil
	return out
}

// Owns tells whether it may act now, under which term, and how long it still may, in seconds.
func (c *Candidate) Owns(now float64) (term uint64, left float64, ok bool) {
	if c.stage != owning || now >= c.until {
		return 0, 0, false
	}
	return c.term, c.until - now, true
}

// Other tells who else owns it, as far as voters have told, and for how long that lasts unless it is renewed, in seconds.
func (c *Candidate) Other(now float64) (name string, left float64, ok bool) {
	left = c.other.Left - (now - c.heard)
	return c.other.Holder, left, c.stage != owning && c.other.Holder != "" && left > 0
}

// Term is the highest that it knows.
func (c *Candidate) Term() uint64 { return max(c.term, c.highest) }

func (c *Candidate) move(to stage) { c.stage = to }

// Want has it stand from now on, or stand no more: an owner then gives up, and tells the voters so. Whoever drives it does
// that only once the work that was done under the lease has ended, as the next owner may begin at once.
func (c *Candidate) Want(wants bool, now float64) {
	if c.wants == wants {
		return
	}
	c.wants, c.due = wants, now
	if !wants {
		c.giveUp(c.stage == owning, now)
	}
	c.Tick(now)
}

// Overtaken takes in that somebody has refused an order of this term, as a higher one is known.
func (c *Candidate) Overtaken(term uint64, now float64) {
	c.highest = max(c.highest, term)
	if c.stage == owning && term > c.term {
		c.giveUp(false, now)
	}
}

// giveUp ends whatever it holds or asks for. The voters are told only where nothing is done under the lease any more.
func (c *Candidate) giveUp(tell bool, now float64) {
	if tell || c.stage == standing {
		c.round++
		c.ask(Resign)
	}
	c.move(idle)
	c.until = now
	c.due = now + c.pause()
}

// pause is a while that differs from one candidate to the next, so that they do not stand at one time for ever.
func (c *Candidate) pause() float64 {
	c.drawn++
	return c.span.Lease * (0.1 + 0.3*chance.At(c.seed, c.drawn))
}

// ask sends a round to all voters.
func (c *Candidate) ask(w Word) {
	for _, v := range c.voters {
		c.out = append(c.out, Message{Word: w, Office: c.office, From: c.self, To: v, Term: c.term, Round: c.round})
	}
}

// rounds is how many of the last questions an answer counts for: those of two leases.
const rounds = 2 * renewals

// begin is a new round.
func (c *Candidate) begin(w Word, now float64) {
	c.round++
	c.asked[c.round%rounds] = now
	c.yes = 0
	c.ask(w)
}

// renewals is how many times in a lease it is renewed: what one renewal loses the next ones make good. The last quarter is
// for an owner that is not heard, or hears nothing: what it still asked for then would keep the next one waiting.
const renewals = 4

// Tick lets time pass.
func (c *Candidate) Tick(now float64) {
	if c.stage == owning && now >= c.until {
		c.move(idle) // without a word: who could not hear a majority may not reach one either
		c.due = now + c.pause()
	}
	if !c.wants || now < c.due {
		return
	}
	switch c.stage {
	case owning:
		c.due = now + c.span.Lease/renewals
		if c.until-now > c.span.Lease/renewals {
			c.begin(Renew, now)
		}
	case standing: // too few have granted it: whoever has is free again
		c.giveUp(true, now)
	default: // whatever was asked has not been answered by enough
		c.move(asking)
		c.begin(Canvass, now)
		c.due = now + c.pause()
	}
}

// Hear takes a voter's answer in.
func (c *Candidate) Hear(m Message, now float64) {
	c.highest = max(c.highest, m.Term)
	k := slices.Index(c.voters, m.From.Name)
	if m.Office != c.office || k < 0 {
		return
	}
	switch m.Word {
	case Refused:
		c.refused(m, now)
	case Free:
		if c.stage != asking || m.Round != c.round {
			return
		}
		if c.yes |= 1 << k; c.won() {
			c.term = max(c.highest, c.term) + 1
			c.move(standing)
			c.begin(Claim, now)
			c.first = c.round
			for n := range c.acked {
				c.acked[n] = math.Inf(-1)
			}
			c.due = now + c.pause()
		}
	case Granted:
		c.granted(k, m, now)
	}
}

// refused takes in that a voter does not grant it.
func (c *Candidate) refused(m Message, now float64) {
	if m.Round != c.round {
		return
	}
	if m.Holder != "" {
		c.other, c.heard = m, now
	}
	switch {
	case c.stage == owning && m.Term > c.term:
		c.giveUp(false, now)
	case c.stage == asking && m.Left > 0: // there is no need to ask again before: if it is given up, the voter says so
		c.due = max(c.due, now+m.Left+c.pause()/2)
	}
}

// granted takes in that a voter has granted a question, one of the last. Each voter is bound for a lease from when it was asked
// at the earliest; so the office is held for as long as a majority is.
func (c *Candidate) granted(k int, m Message, now float64) {
	if c.stage != standing && c.stage != owning || m.Term != c.term || m.Round < c.first || m.Round > c.round || c.round-m.Round >= rounds {
		return
	}
	at := c.asked[m.Round%rounds]
	if !c.span.has(FromAsked) {
		at = now
	}
	c.yes |= 1 << k
	c.acked[k] = max(c.acked[k], at)
	until := math.Inf(1)
	for _, set := range c.lists {
		var all []float64
		for n := range c.voters {
			if set>>n&1 == 1 {
				all = append(all, c.acked[n])
			}
		}
		slices.Sort(all)
		until = min(until, all[(len(all)-1)/2]+c.span.Held()) // of an odd number, as many or more have been asked since
	}
	if c.until = until; c.stage == standing && now < until {
		c.move(owning)
		c.due = now + c.span.Lease/renewals
	}
}

// Fence is held by whoever carries out orders of an office: it refuses those of terms that are over.
type Fence struct {
	span    Span
	highest map[string]uint64
}

// NewFence knows of no term.
func NewFence(span Span) *Fence { return &Fence{span: span, highest: map[string]uint64{}} }

// Pass tells whether an order under a term may be carried out, and otherwise the term that is known.
func (f *Fence) Pass(office string, term uint64) (known uint64, ok bool) {
	known = f.highest[office]
	if term < known && f.span.has(Fences) {
		return known, false
	}
	f.highest[office] = max(known, term)
	return known, true
}
