package charter

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
	"strings"

	"valveglade/logic/owner"
	"valveglade/logic/view"
)

// Fleet is how app servers find each other, where they may talk at all. Times are seconds.
type Fleet struct {
	Listen    netip.AddrPort // not valid while the fleet is off
	Advertise netip.AddrPort // not valid where others reach Listen itself
	Join      []netip.AddrPort
	Zone      string
	Allow     []netip.Prefix
	Probe     float64
	Hold      float64
	Forget    float64
	Socket    string
	Voters    [][]string // of offices, one list, or two while they are changed; none while nobody owns anything
	Lease     float64
	Drift     float64 // a share
	State     string  // a folder that lasts, for a voter's promises
	Offices   []Office
	Shares    []Share
	Floor     int      // permits of each share that some have without asking
	Floored   []string // who they are
}

// Share is a limit common to the whole fleet: of some methods at most so many RPCs run at once.
type Share struct {
	Name    string
	Limit   int
	Least   int     // where the limit is found, from Least to Limit; 0 where it is set
	Target  float64 // where it is found: seconds that a run takes while what is behind is well
	Methods []string
}

// Office is a work that is done once for the whole fleet: its owner sends an order to an address, again and again.
type Office struct {
	Name  string
	Order netip.AddrPort
	Every float64
}

// On tells whether the app server is to take part in a fleet.
func (f Fleet) On() bool { return f.Listen.IsValid() }

// What a name or a zone may be long, in bytes, and how many addresses may be given: each is tried in turn.
const mostLetters, mostJoin = 64, 64

// mostOffices is how many offices may be set: each asks its voters some times a second.
const mostOffices = 16

// mostPath is what a local socket's path may be long, on every system that has them.
const mostPath = 100

// usualAllow is where packets of the fleet may come from unless the operators say otherwise: private networks and this
// machine.
var usualAllow = []string{"127.0.0.0/8", "10.0.0.0/8", "172.16.0.0/12", "192.168.0.0/16", "169.254.0.0/16", "::1/128",
	"fc00::/7", "fe80::/10"}

func newFleet() Fleet {
	usual := view.Defaults()
	f := Fleet{Probe: 0.3, Hold: usual.Hold, Forget: usual.Forget, Lease: 2, Drift: 0.01}
	for _, p := range usualAllow {
		f.Allow = append(f.Allow, netip.MustParsePrefix(p))
	}
	return f
}

var fleetDirectives = []directive{
	{"fleet.listen", "ADDRESS:PORT|off", "where other app servers reach this one, packets and streams; it takes part in a fleet",
		func(b *Bylaws, w []string) error {
			if len(w) == 1 && w[0] == "off" {
				return nil
			}
			return address(&b.Fleet.Listen, w)
		},
		func(b *Bylaws) string { return showAddress(b.Fleet.Listen, "off") }},
	{"fleet.advertise", "ADDRESS:PORT|listen", "the address that others are told, where it is not that of fleet.listen",
		func(b *Bylaws, w []string) error {
			if len(w) == 1 && w[0] == "listen" {
				return nil
			}
			return address(&b.Fleet.Advertise, w)
		},
		func(b *Bylaws) string { return showAddress(b.Fleet.Advertise, "listen") }},
	{"fleet.join", "none|ADDRESS:PORT...", "where others may be; most of them may be dead",
		func(b *Bylaws, w []string) error {
			if len(w) == 0 || len(w) > mostJoin {
				return fmt.Errorf("one to %d addresses are wanted, or none", mostJoin)
			}
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			for _, one := range w {
				var at netip.AddrPort
				if err := address(&at, []string{one}); err != nil {
					return err
				}
				if slices.Contains(b.Fleet.Join, at) {
					return fmt.Errorf("%s is named twice", at)
				}
				b.Fleet.Join = append(b.Fleet.Join, at)
			}
			return nil
		},
		func(b *Bylaws) string {
			if len(b.Fleet.Join) == 0 {
				return "none"
			}
			return showAll(b.Fleet.Join)
		}},
	{"fleet.zone", "NAME|none", "what fails together with this app server: a rack, a hall, a zone",
		func(b *Bylaws, w []string) error {
			if len(w) != 1 || w[0] == "" || len(w[0]) > mostLetters {
				return fmt.Errorf("one name of at most %d bytes is wanted", mostLetters)
			}
			if w[0] != "none" {
				b.Fleet.Zone = w[0]
			}
			return nil
		},
		func(b *Bylaws) string {
			if b.Fleet.Zone == "" {
				return "none"
			}
			return b.Fleet.Zone
		}},
	{"fleet.allow", "PREFIX...", "networks from which fleet packets are taken; all others are dropped and counted",
		func(b *Bylaws, w []string) error {
			if len(w) == 0 {
				return errors.New("at least one network such as 10.0.0.0/8 is wanted")
			}
			b.Fleet.Allow = nil
			for _, one := range w {
				p, err := netip.ParsePrefix(one)
				if err != nil {
					return fmt.Errorf("%q is no network such as 10.0.0.0/8", one)
				}
				if p != p.Masked() {
					return fmt.Errorf("%s has bits past its length: %s is meant?", p, p.Masked())
				}
				b.Fleet.Allow = append(b.Fleet.Allow, p)
			}
			return nil
		},
		func(b *Bylaws) string { return showAll(b.Fleet.Allow) }},
	{"fleet.probe", "TIME", "between two probes of others: a death is known after some ten of them",
		func(b *Bylaws, w []string) error { return span(&b.Fleet.Probe, w, 0.1, 10) },
		func(b *Bylaws) string { return showSpan(b.Fleet.Probe) }},
	{"fleet.hold", "TIME", "for which a death has to stand before the view shows it",
		func(b *Bylaws, w []string) error { return span(&b.Fleet.Hold, w, 0.1, 60) },
		func(b *Bylaws) string { return showSpan(b.Fleet.Hold) }},
	{"fleet.forget", "TIME", "after which the dead are no longer looked for, and a narrow view is taken for the fleet",
		func(b *Bylaws, w []string) error { return span(&b.Fleet.Forget, w, 10, 86400) },
		func(b *Bylaws) string { return showSpan(b.Fleet.Forget) }},
	{"fleet.socket", "PATH|none", "a local socket that tells the view, for `valveglade fleet`",
		func(b *Bylaws, w []string) error {
			if len(w) != 1 || w[0] == "" || len(w[0]) > mostPath {
				return fmt.Errorf("one path of at most %d bytes is wanted", mostPath)
			}
			if w[0] != "none" {
				b.Fleet.Socket = w[0]
			}
			return nil
		},
		func(b *Bylaws) string {
			if b.Fleet.Socket == "" {
				return "none"
			}
			return b.Fleet.Socket
		}},
	{"fleet.voters", "none|NAME...[ / NAME...]", "three, five or seven app servers, a majority of which decides who owns an office; former and next list while they change",
		func(b *Bylaws, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			lists := parted(w)
			if err := owner.Sound(lists); err != nil {
				return err
			}
			b.Fleet.Voters = lists
			return nil
		},
		func(b *Bylaws) string {
			if len(b.Fleet.Voters) == 0 {
				return "none"
			}
			var all []string
			for _, list := range b.Fleet.Voters {
				all = append(all, strings.Join(list, " "))
			}
			return strings.Join(all, " / ")
		}},
	{"fleet.lease", "TIME", "for which an office is owned without being renewed: a new owner comes within two of it",
		func(b *Bylaws, w []string) error { return span(&b.Fleet.Lease, w, 0.5, 60) },
		func(b *Bylaws) string { return showSpan(b.Fleet.Lease) }},
	{"fleet.drift", "SHARE%", "by which the clocks of two machines may drift apart while a lease runs",
		func(b *Bylaws, w []string) error {
			if len(w) != 1 || !strings.HasSuffix(w[0], "%") {
				return errors.New("a share such as 1% is wanted")
			}
			v, err := strconv.ParseFloat(strings.TrimSuffix(w[0], "%"), 64)
			if err != nil || !(v >= 0.01 && v <= 20) {
				return fmt.Errorf("%q is not from 0.01%% to 20%%", w[0])
			}
			b.Fleet.Drift = v / 100
			return nil
		},
		func(b *Bylaws) string { return strconv.FormatFloat(b.Fleet.Drift*100, 'g', 4, 64) + "%" }},
	{"fleet.state", "FOLDER|none", "a folder of this app server's own that lasts over restarts, for what it promised as a voter",
		func(b *Bylaws, w []string) error {
			if len(w) != 1 || w[0] == "" {
				return errors.New("one folder is wanted, or none")
			}
			if w[0] != "none" {
				b.Fleet.State = w[0]
			}
			return nil
		},
		func(b *Bylaws) string {
			if b.Fleet.State == "" {
				return "none"
			}
			return b.Fleet.State
		}},
	{"fleet.office", "none|NAME ADDRESS:PORT TIME[ / ...]", "its owner, one app server at a time, sends an order there as often; several after one another",
		func(b *Bylaws, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			for _, one := range parted(w) {
				if len(one) != 3 || one[0] == "" || len(one[0]) > mostLetters/2 {
					return errors.New("a name, an address and a time are wanted, such as sweep 10.0.0.9:7100 1s")
				}
				o := Office{Name: one[0]}
				if slices.ContainsFunc(b.Fleet.Offices, func(p Office) bool { return p.Name == o.Name }) {
					return fmt.Errorf("%s is named twice", o.Name)
				}
				if err := address(&o.Order, one[1:2]); err != nil {
					return err
				}
				if err := span(&o.Every, one[2:], 0.01, 3600); err != nil {
					return err
				}
				if b.Fleet.Offices = append(b.Fleet.Offices, o); len(b.Fleet.Offices) > mostOffices {
					return fmt.Errorf("more than %d offices", mostOffices)
				}
			}
			return nil
		},
		func(b *Bylaws) string {
			var all []string
			for _, o := range b.Fleet.Offices {
				all = append(all, o.Name+" "+o.Order.String()+" "+showSpan(o.Every))
			}
			return cmp.Or(strings.Join(all, " / "), "none")
		}},
	{"fleet.share", "none|NAME LIMIT METHOD...[ / ...]", "of these methods at most so many RPCs run at once over all app servers; for LIMIT also auto LEAST-MOST TIME, found by the time that runs take",
		func(b *Bylaws, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			for _, one := range parted(w) {
				s, err := shareOf(one)
				if err != nil {
					return err
				}
				for _, other := range b.Fleet.Shares {
					if other.Name == s.Name {
						return fmt.Errorf("%s is named twice", s.Name)
					}
					for _, m := range s.Methods {
						if slices.Contains(other.Methods, m) {
							return fmt.Errorf("%s is in %s already", m, other.Name)
						}
					}
				}
				for k, m := range s.Methods {
					if slices.Contains(s.Methods[:k], m) {
						return fmt.Errorf("%s is named twice", m)
					}
				}
				if b.Fleet.Shares = append(b.Fleet.Shares, s); len(b.Fleet.Shares) > mostShares {
					return fmt.Errorf("more than %d shares", mostShares)
				}
			}
			return nil
		},
		func(b *Bylaws) string {
			var all []string
			for _, s := range b.Fleet.Shares {
				all = append(all, s.String())
			}
			return cmp.Or(strings.Join(all, " / "), "none")
		}},
	{"fleet.floor", "none|N NAME...", "permits of each share that these app servers have without asking, the same everywhere",
		func(b *Bylaws, w []string) error {
			if len(w) == 1 && w[0] == "none" {
				return nil
			}
			if len(w) < 2 {
				return errors.New("a number and names are wanted, such as 1 n1 n2 n3")
			}
			n, err := strconv.Atoi(w[0])
			if err != nil || n < 1 || n > mostParts {
				return fmt.Errorf("%q is no number from 1 to %d", w[0], mostParts)
			}
			for k, name := range w[1:] {
				if name == "" || len(name) > mostLetters || slices.Contains(w[1:k+1], name) {
					return fmt.Errorf("%q is no name, or named twice", name)
				}
			}
			b.Fleet.Floor, b.Fleet.Floored = n, w[1:]
			return nil
		},
		func(b *Bylaws) string {
			if b.Fleet.Floor == 0 {
				return "none"
			}
			return strconv.Itoa(b.Fleet.Floor) + " " + strings.Join(b.Fleet.Floored, " ")
		}},
}

// mostShares and mostParts bound what may be set: each share is asked for some times a second.
const mostShares, mostParts = 16, 100_000

// shareOf reads NAME LIMIT METHOD... or NAME auto LEAST-MOST TIME METHOD...
func shareOf(w []string) (s Share, err error) {
	form := errors.New("a name, a limit and methods are wanted, such as register 16 lookup record, or scorer auto 4-64 80ms score")
	if len(w) < 3 || w[0] == "" || len(w[0]) > mostLetters/2 {
		return s, form
	}
	whole := func(word string) (int, error) {
		n, err := strconv.Atoi(word)
		if err != nil || n < 1 || n > mostParts {
			return 0, fmt.Errorf("%q is no number from 1 to %d", word, mostParts)
		}
		return n, nil
	}
	s.Name, s.Methods = w[0], w[2:]
	if w[1] != "auto" {
		s.Limit, err = whole(w[1])
		return s, err
	}
	least, most, ok := strings.Cut(w[2], "-")
	if len(w) < 5 || !ok {
		return s, form
	}
	if s.Least, err = whole(least); err != nil {
		return s, err
	}
	if s.Limit, err = whole(most); err != nil {
		return s, err
	}
	if s.Least > s.Limit {
		return s, fmt.Errorf("the least, %d, is above the most, %d", s.Least, s.Limit)
	}
	s.Methods = w[4:]
	return s, span(&s.Target, w[3:4], 0.001, 60)
}

func (s Share) String() string {
	limit := strconv.Itoa(s.Limit)
	if s.Least > 0 {
		limit = fmt.Sprintf("auto %d-%d %s", s.Least, s.Limit, showSpan(s.Target))
	}
	return s.Name + " " + limit + " " + strings.Join(s.Methods, " ")
}

// parted gives what stands between single strokes.
func parted(w []string) [][]string {
	all := [][]string{nil}
	for _, word := range w {
		if word == "/" {
			all = append(all, nil)
			continue
		}
		all[len(all)-1] = append(all[len(all)-1], word)
	}
	return all
}

func address(into *netip.AddrPort, words []string) error {
	if len(words) != 1 {
		return errors.New("one address and port such as 10.0.0.4:7946 is wanted")
	}
	at, err := netip.ParseAddrPort(words[0])
	if err != nil || at.Port() == 0 {
		return fmt.Errorf("%q is no address and port such as 10.0.0.4:7946", words[0])
	}
	*into = at
	return nil
}

func showAddress(at netip.AddrPort, otherwise string) string {
	if !at.IsValid() {
		return otherwise
	}
	return at.String()
}

func showAll[T fmt.Stringer](all []T) string {
	var words []string
	for _, one := range all {
		words = append(words, one.String())
	}
	return strings.Join(words, " ")
}

// allows tells whether an address is among those that packets are taken from.
func (f Fleet) allows(at netip.Addr) bool {
	return slices.ContainsFunc(f.Allow, func(p netip.Prefix) bool { return p.Contains(at.Unmap()) })
}

// checkFleet refuses what contradicts itself.
func (b *Bylaws) checkFleet() error {
	f := b.Fleet
	misrule := func(name, why string, args ...any) error {
		return &Misrule{b.Path, b.lines[name], name, fmt.Sprintf(why, args...)}
	}
	if !f.On() {
		for _, d := range fleetDirectives {
			if d.name != "fleet.listen" && b.lines[d.name] > 0 && d.show(b) != d.show(NewBylaws()) {
				return misrule(d.name, "fleet.listen is not set")
			}
		}
		return nil
	}
	others := f.Advertise
	if !others.IsValid() {
		if f.Listen.Addr().IsUnspecified() {
			return misrule("fleet.listen", "others need to be told an address: set fleet.advertise")
		}
		others = f.Listen
	}
	name := "fleet.advertise"
	if b.lines[name] == 0 {
		name = "fleet.listen"
	}
	switch {
	case others.Addr().IsUnspecified():
		return misrule(name, "%s is no address that others could reach", others)
	case !f.allows(others.Addr()):
		return misrule(name, "%s is not among fleet.allow, so others would drop what comes from there", others)
	case f.Hold < f.Probe:
		at := "fleet.hold"
		if b.lines[at] == 0 {
			at = "fleet.probe"
		}
		return misrule(at, "a hold of %s is less than the %s between two probes", showSpan(f.Hold), showSpan(f.Probe))
	}
	for _, name := range []string{"fleet.lease", "fleet.drift", "fleet.state", "fleet.office", "fleet.share"} {
		if len(f.Voters) == 0 && b.lines[name] > 0 {
			return misrule(name, "fleet.voters is not set")
		}
	}
	// Shorter than some probes a lease would end by what the network does every day.
	if len(f.Voters) > 0 && f.Lease < 3*f.Probe {
		at := "fleet.lease"
		if b.lines[at] == 0 {
			at = "fleet.probe"
		}
		return misrule(at, "a lease of %s is shorter than three probes of %s", showSpan(f.Lease), showSpan(f.Probe))
	}
	for _, s := range f.Shares {
		if least := cmp.Or(s.Least, s.Limit); f.Floor*len(f.Floored) > least {
			return misrule("fleet.floor", "%d floors of %d are more than the %d of %s", len(f.Floored), f.Floor, least, s.Name)
		}
	}
	if f.Floor > 0 && len(f.Shares) == 0 {
		return misrule("fleet.floor", "fleet.share is not set")
	}
	for _, at := range f.Join {
		if !f.allows(at.Addr()) {
			return misrule("fleet.join", "%s is not among fleet.allow", at)
		}
	}
	return nil
}

// votes tells whether a name is among the voters, of either list.
func (f Fleet) votes(name string) bool {
	return slices.ContainsFunc(f.Voters, func(list []string) bool { return slices.Contains(list, name) })
}

// Suits refuses what the fleet's bylaws and the platform's charter make of each other.
func (f Fleet) Suits(c *Charter) error {
	switch {
	case len(c.Name) > mostLetters:
		return fault("name", "%d bytes are more than the %d that a fleet takes", len(c.Name), mostLetters)
	case f.Listen == c.Listen:
		return fault("listen", "%s is the fleet's too", c.Listen)
	case f.State != "" && !f.votes(c.Name):
		return fault("name", "%q is not among fleet.voters, so it promises nothing: fleet.state is a voter's", c.Name)
	}
	for _, s := range f.Shares {
		for _, m := range s.Methods {
			if !slices.Contains(c.Methods, m) {
				return fault("settings.profiles", "no method is called %q, which fleet.share %s names", m, s.Name)
			}
		}
	}
	return nil
}
