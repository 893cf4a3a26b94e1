package rig

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"
)

// Script is a schedule of faults. Its text form has one fault per line: a time, a verb and the verb's arguments:
//
//	2s    split n1,n2,n3|n4,n5      both directions between the groups
//	2s    cut n1>*                  one direction
//	2s    loss *>* 10%              of packets; double, which duplicates packets, has the same form
//	2s    delay *>* 20ms 10ms       mean delay and jitter, the maximum deviation
//	2s    mute n1>* 2s              delays packets only, not streams
//	2s    rate n1>* 20000           bytes per second
//	6s    heal                      all of the above
//	7s    kill n1                   start, restart (immediate, same name), stop, cont, hang, unhang, notice
//	7s    starve n1 10%             of a core, in periods of 100 ms; feed ends it
//	7s    replace n1 n13            kills n1 and starts a new name at its address
//	7s    twin n1                   another process under its name
//
// Empty lines and lines that begin with # are ignored.
type Script []Fault

// Fault is one line of a script.
type Fault struct {
	At        time.Duration
	Verb      string
	Processes []string   // of faults of processes; the first is the affected one
	Groups    [][]string // of faults of paths: the groups of names; for one direction, from and to
	Share     float64    // loss, double, starve
	Delay     time.Duration
	Jitter    time.Duration
	Rate      float64
}

// faultForms lists the kinds of the arguments that follow each verb; parseFault defines the kinds.
var faultForms = map[string]string{"split": "groups", "cut": "way", "loss": "way share", "double": "way share",
	"delay": "way mean most", "mute": "way mean", "rate": "way rate", "heal": "", "kill": "who", "start": "who",
	"restart": "who", "stop": "who", "cont": "who", "hang": "who", "unhang": "who", "notice": "who", "starve": "who share",
	"feed": "who", "replace": "who who", "twin": "who"}

// ParseScript parses a script; an error names the line.
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

// parseFault parses the words of one line.
func parseFault(words []string) (Fault, error) {
	at, err := time.ParseDuration(words[0])
	if err != nil || at < 0 {
		return Fault{}, fmt.Errorf("invalid time %q, want a duration such as 2.5s", words[0])
	}
	if len(words) < 2 {
		return Fault{}, fmt.Errorf("missing verb after the time")
	}
	f := Fault{At: at, Verb: words[1]}
	argumentForm, ok := faultForms[f.Verb]
	if !ok {
		return Fault{}, fmt.Errorf("unknown fault %q", f.Verb)
	}
	arguments := strings.Fields(argumentForm)
	if len(words)-2 != len(arguments) {
		return Fault{}, fmt.Errorf("%s takes %d arguments, found %d", f.Verb, len(arguments), len(words)-2)
	}
	for k, argument := range arguments {
		word := words[2+k]
		var err error
		switch argument {
		case "groups", "way":
			separator := map[string]string{"groups": "|", "way": ">"}[argument]
			for _, group := range strings.Split(word, separator) {
				f.Groups = append(f.Groups, strings.Split(group, ","))
			}
			if len(f.Groups) < 2 || argument == "way" && len(f.Groups) != 2 {
				err = fmt.Errorf("%q does not name two groups", word)
			}
		case "who":
			f.Processes = append(f.Processes, word)
		case "share":
			f.Share, err = strconv.ParseFloat(strings.TrimSuffix(word, "%"), 64)
			f.Share /= 100
			if err == nil && !(f.Share >= 0 && f.Share <= 1) {
				err = fmt.Errorf("invalid share %s, want a percentage from 0 to 100", word)
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

// String returns the script in the form that ParseScript parses.
func (s Script) String() string {
	var out strings.Builder
	for _, f := range s {
		fmt.Fprintln(&out, f)
	}
	return out.String()
}

// String returns the line of the fault in a script.
func (f Fault) String() string {
	words := []string{f.At.String(), f.Verb}
	groups := func(separator string) string {
		var all []string
		for _, g := range f.Groups {
			all = append(all, strings.Join(g, ","))
		}
		return strings.Join(all, separator)
	}
	processIndex := 0
	for _, argument := range strings.Fields(faultForms[f.Verb]) {
		switch argument {
		case "groups":
			words = append(words, groups("|"))
		case "way":
			words = append(words, groups(">"))
		case "who":
			words = append(words, f.Processes[processIndex])
			processIndex++
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

// processFaults holds the verbs of the random faults of a process, each with the verb that ends it.
var processFaults = [4][2]string{{"kill", "start"}, {"stop", "cont"}, {"starve", "feed"}, {"hang", "unhang"}}

// RandomScript returns a script drawn from a seed: overlapping faults of every kind among the names, all of which have ended by
// the end of the script.
func RandomScript(seed uint64, names []string, faults int, length time.Duration) Script {
	rng := rand.New(rand.NewPCG(seed, 11))
	randomNames := func(n int) []string {
		indexes := rng.Perm(len(names))[:n]
		slices.Sort(indexes)
		var all []string
		for _, i := range indexes {
			all = append(all, names[i])
		}
		return all
	}
	randomDuration := func(minimum, maximum float64) time.Duration {
		return time.Duration((minimum+rng.Float64()*(maximum-minimum))*1000).Round(10) * time.Millisecond
	}
	var s Script
	add := func(f Fault) { s = append(s, f) }
	busyUntil := map[string]time.Duration{} // a process has one fault at a time
	for range faults {
		at := randomDuration(0, length.Seconds()*0.75)
		duration := min(randomDuration(1, 6), length-at)
		group := randomNames(1 + rng.IntN(len(names)/2))
		switch kind := rng.IntN(8); kind {
		case 0:
			rest := slices.DeleteFunc(slices.Clone(names), func(n string) bool { return slices.Contains(group, n) })
			add(Fault{At: at, Verb: "split", Groups: [][]string{group, rest}})
			add(Fault{At: at + duration, Verb: "heal"})
		case 1:
			add(Fault{At: at, Verb: "cut", Groups: [][]string{group[:1], randomNames(1 + rng.IntN(len(names)-1))}})
			add(Fault{At: at + duration, Verb: "heal"})
		case 2:
			add(Fault{At: at, Verb: "loss", Groups: [][]string{{"*"}, {"*"}}, Share: float64(1+rng.IntN(15)) / 100})
			add(Fault{At: at, Verb: "double", Groups: [][]string{{"*"}, {"*"}}, Share: float64(1+rng.IntN(20)) / 100})
		case 3:
			add(Fault{At: at, Verb: "delay", Groups: [][]string{group, {"*"}},
				Delay: randomDuration(0.005, 0.06), Jitter: randomDuration(0, 0.05)})
		default:
			process := group[0]
			if at < busyUntil[process] {
				continue
			}
			busyUntil[process] = at + duration + 2*time.Second
			verbs := processFaults[kind-4]
			add(Fault{At: at, Verb: verbs[0], Processes: []string{process}, Share: 0.1})
			add(Fault{At: at + duration, Verb: verbs[1], Processes: []string{process}})
		}
	}
	add(Fault{At: length, Verb: "heal"})
	slices.SortStableFunc(s, func(a, b Fault) int { return int(a.At - b.At) })
	return s
}
