package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Script is a schedule of faults. As text it has one fault a line, a time and then words:
//
//	2s    split n1,n2,n3|n4,n5      both ways between the groups
//	2s    cut n1>*                  one way
//	2s    loss *>* 10%              of packets; double alike
//	2s    delay *>* 20ms 10ms       mean and the most it differs by
//	2s    mute n1>* 2s              packets alone come so much later
//	2s    rate n1>* 20000           bytes a second
//	6s    heal                      all of the above
//	7s    kill n1                   start, restart (at once, the same name), stop, cont, hang, unhang, notice
//	7s    starve n1 10%             of a core, in parts of a tenth of a second; feed ends it
//	7s    replace n1 n13            killed, and a new name started at its address
//	7s    twin n1                   another process under its name
//
// An empty line or one that begins with # is passed over.
type Script []Fault

// Fault is one line of it.
type Fault struct {
	At        time.Duration
	Verb      string
	Processes []string   // of what is done to processes; the first is whom it is done to
	Groups    [][]string // groups, of what is done to paths; of one way, from and to
	Share     float64    // loss, double, starve
	Delay     time.Duration
	Jitter    time.Duration
	Rate      float64
}

// What follows each verb, and for how long a drawn fault of it lasts.
var faultForms = map[string]string{"split": "groups", "cut": "way", "loss": "way share", "double": "way share",
	"delay": "way mean most", "mute": "way mean", "rate": "way rate", "heal": "", "kill": "who", "start": "who",
	"restart": "who", "stop": "who", "cont": "who", "hang": "who", "unhang": "who", "notice": "who", "starve": "who share",
	"feed": "who", "replace": "who who", "twin": "who"}

// ParseScript reads one; an error names the line.
func ParseScript(text string) (Script, error) {
	var s Script
	for n, line := range strings.Split(text, "\n") {
		words := strings.Fields(line)
		if len(words) == 0 || strings.HasPrefix(words[0], "#") {
			continue
		}
		f, err := parseFault(words)
		if err != nil {
			return nil, fmt.Errorf("line %d: %w", n+1, err)
		}
		s = append(s, f)
	}
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s, nil
}

func parseFault(words []string) (Fault, error) {
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Fault{}, fmt.Errorf("%q is no time such as 2.5s", words[0])
	}
	if len(words) < 2 {
		return Fault{}, fmt.Errorf("no fault is named")
	}
	f := Fault{At: at, Verb: words[1]}
	form, ok := faultForms[f.Verb]
	if !ok {
		return Fault{}, fmt.Errorf("no fault is called %q", f.Verb)
	}
	parts := strings.Fields(form)
	if len(words)-2 != len(parts) {
		return Fault{}, fmt.Errorf("%s wants %d words, not %d", f.Verb, len(parts), len(words)-2)
	}
	for k, part := range parts {
		word := words[2+k]
		var err error
		switch part {
		case "groups", "way":
			by := map[string]string{"groups": "|", "way": ">"}[part]
			for _, group := range strings.Split(word, by) {
				f.Groups = append(f.Groups, strings.Split(group, ","))
			}
			if len(f.Groups) < 2 || part == "way" && len(f.Groups) != 2 {
				err = fmt.Errorf("%q has no two sides", word)
			}
		case "who":
			f.Processes = append(f.Processes, word)
		case "share":
			f.Share, err = strconv.ParseFloat(strings.TrimSuffix(word, "%"), 64)
			f.Share /= 100
			if err == nil && !(f.Share >= 0 && f.Share <= 1) {
				err = fmt.Errorf("%s is no share", word)
			}
		case "mean":
			f.Delay, err = time.ParseDuration(word)
		case "most":
			f.Jitter, err = time.ParseDuration(word)
		case "rate":
			f.Rate, err = strconv.ParseFloat(word, 64)
		}
		if err != nil {
			return Fault{}, fmt.Errorf("%s: %w", f.Verb, err)
		}
	}
	return f, nil
}

// String writes it as ParseScript reads it.
func (s Script) String() string {
	var out strings.Builder
	for _, f := range s {
		fmt.Fprintln(&out, f)
	}
	return out.String()
}

func (f Fault) String() string {
	words := []string{f.At.String(), f.Verb}
	groups := func(by string) string {
		var all []string
		for _, g := range f.Groups {
			all = append(all, strings.Join(g, ","))
		}
		return strings.Join(all, by)
	}
	who := 0
	for _, part := range strings.Fields(faultForms[f.Verb]) {
		switch part {
		case "groups":
			words = append(words, groups("|"))
		case "way":
			words = append(words, groups(">"))
		case "who":
			words = append(words, f.Processes[who])
			who++
		case "share":
			words = append(words, strconv.FormatFloat(f.Share*100, 'g', 6, 64)+"%")
		case "mean":
			words = append(words, f.Delay.String())
		case "most":
			words = append(words, f.Jitter.String())
		case "rate":
			words = append(words, strconv.FormatFloat(f.Rate, 'g', 10, 64))
		}
	}
	return strings.Join(words, " ")
}

// processFaults are what can be wrong with a process for a while, and what ends it.
var processFaults = [4][2]string{{"kill", "start"}, {"stop", "cont"}, {"starve", "feed"}, {"hang", "unhang"}}

// RandomScript makes a script from a seed: faults of every kind among the names, overlapping, all of them over by the end.
func RandomScript(seed uint64, names []string, faults int, length time.Duration) Script {
	r := rand.New(rand.NewPCG(seed, 11))
	some := func(n int) []string {
		k := r.Perm(len(names))[:n]
		slices.Sort(k)
		var all []string
		for _, i := range k {
			all = append(all, names[i])
		}
		return all
	}
	span := func(least, most float64) time.Duration {
		return time.Duration((least+r.Float64()*(most-least))*1000).Round(10) * time.Millisecond
	}
	var s Script
	add := func(f Fault) { s = append(s, f) }
	busy := map[string]time.Duration{} // a process has one thing wrong with it at a time
	for range faults {
		at := span(0, length.Seconds()*0.75)
		lasts := min(span(1, 6), length-at)
		side := some(1 + r.IntN(len(names)/2))
		switch kind := r.IntN(8); kind {
		case 0:
			rest := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(side, n) })
			add(Fault{At: at, Verb: "split", Groups: [][]string{side, rest}})
			add(Fault{At: at + lasts, Verb: "heal"})
		case 1:
			add(Fault{At: at, Verb: "cut", Groups: [][]string{side[:1], some(1 + r.IntN(len(names)-1))}})
			add(Fault{At: at + lasts, Verb: "heal"})
		case 2:
			add(Fault{At: at, Verb: "loss", Groups: [][]string{{"*"}, {"*"}}, Share: float64(1+r.IntN(15)) / 100})
			add(Fault{At: at, Verb: "double", Groups: [][]string{{"*"}, {"*"}}, Share: float64(1+r.IntN(20)) / 100})
		case 3:
			add(Fault{At: at, Verb: "delay", Groups: [][]string{side, {"*"}}, Delay: span(0.005, 0.06), Jitter: span(0, 0.05)})
		default:
			who := side[0]
			if at < busy[who] {
				continue
			}
			busy[who] = at + lasts + 2*time.Second
			pair := processFaults[kind-4]
			add(Fault{At: at, Verb: pair[0], Processes: []string{who}, Share: 0.1})
			add(Fault{At: at + lasts, Verb: pair[1], Processes: []string{who}})
		}
	}
	add(Fault{At: length, Verb: "heal"})
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
