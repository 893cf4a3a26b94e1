// Package share decides who may run how much of what the whole fleet may only run so much of at once: something behind all app
// servers that bears no more. A Holder is one app server's part: it asks, and starts nothing without a permit. A Keeper is the
// part of the office's owner: it shares out what it may grant, weighted by criticality, and lets no one starve. What is granted
// is counted by owner.Asker and owner.Granter, so that the sum holds through every change of keeper. Nothing here does I/O,
// reads a clock or knows an address; fleet/ drives it.
package share

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"valveglade/logic/owner"
)

// Terms are what an installation sets of one share, the same at all app servers.
type Terms struct {
	Name    string
	Limit   int     // RPCs at once over the whole fleet; the most, where it is found
	Least   int     // the least, where it is found; 0 where the limit is set
	Target  float64 // where it is found: how long a run takes while what is behind is well, in seconds
	Methods []int
	Floor   int      // permits that each of some app servers has without asking
	Floored []string // their names
	Loan    owner.Lease
}

// Check tells what is wrong with them.
func (t Terms) Check() error {
	least := t.Limit
	if t.Least > 0 {
		least = t.Least
	}
	switch {
	case t.Limit < 1 || t.Least < 0 || t.Least > t.Limit:
		return fmt.Errorf("a limit of %d, at least %d, is none", t.Limit, t.Least)
	case t.Floor*len(t.Floored) > least:
		return fmt.Errorf("%d floors of %d are more than the %d that there are", len(t.Floored), t.Floor, least)
	}
	return nil
}

// set aside is what the floors take, whoever is there.
func (t Terms) aside() int { return t.Floor * len(t.Floored) }

// floor is what one app server has without asking.
func (t Terms) floor(name string) int {
	if slices.Contains(t.Floored, name) {
		return t.Floor
	}
	return 0
}

// Question is what a holder asks, and tells of itself.
type Question struct {
	owner.Request
	Worth float64 // criticality of one of what runs and waits, on the mean
	Took  float64 // seconds that runs took, on the mean, since the last question; 0 for none
}

// Holder is one app server's part in one share.
type Holder struct {
	terms    Terms
	asker    *owner.Requester
	floor    int
	from     float64 // when the floor may be used: whatever a life before began under it is over then
	running  int
	waiting  int
	worth    float64 // of all that runs and waits
	tookSum  float64
	tookN    int
	area     float64 // of what runs and waits, over time, since the last question
	counted  float64 // up to when
	began    float64 // since when
	mean     float64 // of what ran and waited, of late
	most     int     // of it, since the last question
	asked    float64
	answered bool
	due      float64
}

// askEvery is how often a holder asks while there is anything to ask for: demand is followed within some of them. askSoon is
// how soon it may ask again for something that has none.
// askIdle is how often one asks that wants nothing: what stands ready with it may be needed elsewhere.
const askEvery, askSoon, askIdle = 0.1, 0.02, 0.3

// NewHolder begins with nothing running.
func NewHolder(self owner.Incarnation, office string, t Terms, now float64) *Holder {
	return &Holder{terms: t, asker: owner.NewRequester(self, office, t.Loan), floor: t.floor(self.Name), from: now + t.Loan.Expiry(), answered: true, due: now, counted: now, began: now}
}

// Allowed is how many may run now.
func (h *Holder) Allowed(now float64) int {
	n, _ := h.asker.Holds(now)
	if now >= h.from {
		n += h.floor
	}
	return n
}

// May tells whether one more may start.
func (h *Holder) May(now float64) bool { return h.running < h.Allowed(now) }

// Wait takes in that an RPC of a criticality waits, or with -1 no longer does.
func (h *Holder) Wait(n int, worth float64, now float64) {
	h.count(now)
	h.waiting += n
	h.worth += float64(n) * worth
	if n > 0 && !h.May(now) { // it is missed: not at the next turn, at once
		h.due = min(h.due, max(now, h.asked+askSoon))
	}
}

// count adds up what runs and waits until now.
func (h *Holder) count(now float64) {
	h.area += float64(h.running+h.waiting) * (now - h.counted)
	h.most = max(h.most, h.running+h.waiting)
	h.counted = now
}

// Began takes in that one has started, of those that waited.
func (h *Holder) Began(worth, now float64) {
	h.count(now)
	h.running++
	h.worth += worth
}

// Over takes in that one has ended, after so many seconds; 0 where it never ran.
func (h *Holder) Over(worth, took, now float64) {
	h.count(now)
	h.running--
	if h.worth -= worth; h.running+h.waiting == 0 {
		h.worth = 0 // what adding and taking away has left
	}
	if took > 0 {
		h.tookSum += took
		h.tookN++
	}
}

// wants is what it would have, beyond its floor: what ran and waited on the mean, over about the last two tenths of a second.
// The most of that time would be more than it needs, and less is left for who needs it; but more than there has been since the
// last question is a crowd that has gone.
func (h *Holder) wants(now float64) int {
	h.count(now)
	if span := now - h.began; span > 0 {
		h.mean += (h.area/span - h.mean) * (1 - math.Exp(-span/smooth))
	}
	want := min(int(math.Ceil(h.mean-wholeFrom)), h.most)
	h.area, h.began, h.most = 0, now, h.running+h.waiting
	return max(want-h.floor, 0)
}

// smooth is over how many seconds what is wanted is smoothed: some runs' length. wholeFrom is the part of a permit that is not
// asked for: less than it makes others wait for longer than it serves.
const smooth, wholeFrom = 0.15, 0.2

// Know takes in that there is a keeper under a term: one that is new is asked at once. False if a later one is known.
func (h *Holder) Know(term uint64, now float64) bool {
	if term > h.asker.KnownTerm() {
		h.due, h.answered = now, true
	}
	return h.asker.ObserveTerm(term)
}

// uses is what runs beyond the floor.
func (h *Holder) uses(now float64) int {
	n := h.running
	if now >= h.from {
		n -= h.floor
	}
	return max(n, 0)
}

// Tick gives the question that is due, if one is. While one is on its way no other voids it, until it must be lost.
func (h *Holder) Tick(now float64) (Question, bool) {
	if now < h.due || h.asker.KnownTerm() == 0 || !h.answered && now < h.asked+h.terms.Loan.Length/4 {
		return Question{}, false
	}
	want := h.wants(now)
	h.due = now + askEvery
	if h.waiting > 0 && !h.May(now) {
		h.due = now + askEvery/2
	}
	if want == 0 && h.running+h.waiting == 0 {
		h.due = now + askIdle
	}
	h.asked, h.answered = now, false
	q := Question{Request: h.asker.Request(want, h.uses(now), now), Worth: 1}
	if n := h.running + h.waiting; n > 0 {
		q.Worth = h.worth / float64(n)
	}
	if h.tookN > 0 {
		q.Took = h.tookSum / float64(h.tookN)
		h.tookSum, h.tookN = 0, 0
	}
	return q, true
}

// Hear takes an answer in. What it cuts is for others only once the keeper has heard that the answer came: so it asks again.
func (h *Holder) Hear(a owner.Answer, now float64) bool {
	before, _ := h.asker.Holds(now)
	ok := h.asker.HandleAnswer(a, now)
	if h.answered = h.answered || ok; ok && a.Grants < before {
		h.due = min(h.due, max(now, h.asked+askSoon))
	}
	return ok
}

// Held is how a holder stands, for people.
type Held struct {
	Running, Waiting, Floor, Granted int
	Left                             float64 // of the grant, in seconds
	Term                             uint64  // of the keeper that it knows, 0 for none
}

// Held tells it.
func (h *Holder) Held(now float64) Held {
	n, left := h.asker.Holds(now)
	return Held{h.running, h.waiting, h.floor, n, left, h.asker.KnownTerm()}
}

// Keeper shares out under one term.
type Keeper struct {
	*owner.Grantor
	terms  Terms
	limit  float64 // as found, or as set
	asks   map[owner.Incarnation]*demand
	shared float64 // when fair was last worked out
	fair   map[owner.Incarnation]int
	moved  float64 // when the limit was last moved
	sum, n float64 // of what runs took since then, by how many app servers told
	took   float64 // of late
	used   int
}

// demand is what a holder last asked for.
type demand struct {
	wants, uses int
	worth       float64
	heard       float64
	dry         float64 // since when it wants and has none, 0 if it has
}

// NewKeeper begins as the office is taken.
func NewKeeper(office string, term uint64, t Terms, now float64) *Keeper {
	k := &Keeper{terms: t, limit: float64(t.Limit), asks: map[owner.Incarnation]*demand{}, shared: math.Inf(-1), moved: now}
	if t.Least > 0 {
		k.limit = float64(t.Least)
	}
	k.Grantor = owner.NewGrantor(office, term, k.pot(), now, t.Loan)
	return k
}

// pot is what there is to grant.
func (k *Keeper) pot() int { return int(k.limit) - k.terms.aside() }

// Limit is how many may run at once over the whole fleet, as set or found.
func (k *Keeper) Limit() int { return int(k.limit) }

// Amend takes over another limit; what is granted stays granted until it is over.
func (k *Keeper) Amend(t Terms) {
	k.terms.Limit, k.terms.Least, k.terms.Target = t.Limit, t.Least, t.Target
	if k.limit = min(k.limit, float64(t.Limit)); t.Least == 0 {
		k.limit = float64(t.Limit)
	}
	k.SetTotal(k.pot())
}

// Hear answers a question, if it is to be answered. The owner's lease has to be checked after the question came, at the same
// reading of the clock.
func (k *Keeper) Hear(q Question, now float64) (owner.Answer, bool) {
	if !k.Grantor.HandleRequest(q.Request, now) {
		return owner.Answer{}, false
	}
	d := k.asks[q.From]
	if d == nil {
		d = &demand{}
		k.asks[q.From] = d
		k.shared = math.Inf(-1)
	}
	if worth := min(max(q.Worth, leastWorth), mostWorth); d.worth == 0 {
		d.worth = worth
	} else {
		d.worth += (worth - d.worth) / 16 // a few RPCs say little of what comes
	}
	d.wants, d.uses, d.heard = q.Wants, q.Uses, now
	if q.Took > 0 {
		k.sum += q.Took
		k.n++
	}
	k.find(now)
	if now >= k.shared+shareEvery {
		k.share(now)
	}
	n := k.fair[q.From]
	if n >= 3 && q.Holds == n+1 && d.wants > n {
		n++ // one more or less is not worth a move, in which it serves nobody
	}
	a := k.Grant(q.Request, n, now)
	if a.Grants > 0 || d.wants == 0 {
		d.dry = 0
	} else if d.dry == 0 {
		d.dry = now
	}
	return a, true
}

// shareEvery is how often it is worked out anew who is to have what: often for who asks, seldom for hundreds.
const shareEvery = 0.04

// What one app server's criticality counts at the least and at the most of another's, so that none is as good as nothing.
const leastWorth, mostWorth = 0.01, 1000

// present is for how long after its last question a holder counts: some questions may be lost.
const present = 1.5

// share works out what is fair: everybody the same, by criticality, but for what it does not want; what is left over then
// stands ready with all alike, where the next RPC needs it.
func (k *Keeper) share(now float64) {
	k.shared = now
	var all []owner.Incarnation
	wanted := 0
	k.used = 0
	for life, d := range k.asks {
		if now > d.heard+present {
			delete(k.asks, life)
			continue
		}
		all = append(all, life)
		wanted += d.wants
		k.used += d.uses
	}
	slices.SortFunc(all, func(a, b owner.Incarnation) int { return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.ID, b.ID)) })
	k.fair = make(map[owner.Incarnation]int, len(all))
	pot := max(k.pot(), 0)
	if wanted <= pot {
		for n, life := range all {
			rest := pot - wanted
			head := rest / len(all)
			if n < rest%len(all) {
				head++
			}
			k.fair[life] = k.asks[life].wants + head
		}
		return
	}
	// The level up to which each is filled, for one of its criticality: found by halving.
	low, high := 0.0, float64(pot)+1
	for _, life := range all {
		high = max(high, (float64(pot)+1)/k.asks[life].worth)
	}
	at := func(life owner.Incarnation, level float64) int {
		return min(k.asks[life].wants, int(level*k.asks[life].worth))
	}
	for range 60 {
		level, sum := (low+high)/2, 0
		for _, life := range all {
			sum += at(life, level)
		}
		if sum <= pot {
			low = level
		} else {
			high = level
		}
	}
	left := pot
	for _, life := range all {
		k.fair[life] = at(life, low)
		left -= k.fair[life]
	}
	// Parts of a permit go to whom they are nearest to a whole one, and in turn: who has none gains on the others with time.
	due := func(life owner.Incarnation) float64 {
		d := k.asks[life]
		part := low*d.worth - math.Floor(low*d.worth)
		if d.dry > 0 {
			part += (now - d.dry) / turn
		} else if held := k.Held(life); held > at(life, low) {
			part++ // it has one: moving it, nobody uses it for a while
		}
		return part
	}
	slices.SortStableFunc(all, func(a, b owner.Incarnation) int { return cmp.Compare(due(b), due(a)) })
	for _, life := range all {
		if left == 0 {
			break
		}
		if k.fair[life] < k.asks[life].wants {
			k.fair[life]++
			left--
		}
	}
}

// turn is after how long somebody who has none comes before one that has a permit more than its part.
const turn = 0.5

// weighs is what the last runs weigh against those before: the length of runs differs by itself, and a cut for that is for nothing.
const weighs = 0.3

// moveEvery is how often the limit is moved, where it is found: a change is to show in what runs take before the next.
const moveEvery = 0.25

// find moves the limit by the rule of the pool: it grows by adding while it is used and runs take no longer than they should,
// and is cut by how far they overshoot, at most by half.
func (k *Keeper) find(now float64) {
	const alpha, beta = 0.02, 0.5
	if k.terms.Least == 0 || now < k.moved+max(moveEvery, 2*k.terms.Target) || k.n == 0 {
		return
	}
	if k.took == 0 {
		k.took = k.sum / k.n
	}
	k.took += (k.sum/k.n - k.took) * weighs
	took := k.took
	k.moved, k.sum, k.n = now, 0, 0
	switch t := k.terms.Target; {
	case took > t:
		k.limit *= max(1-beta*(took-t)/t, 0.5)
	case float64(k.used+k.terms.aside()) >= 0.8*math.Floor(k.limit):
		k.limit += max(alpha*k.limit, 1)
	}
	k.limit = min(max(k.limit, float64(k.terms.Least)), float64(k.terms.Limit))
	k.SetTotal(k.pot())
}
