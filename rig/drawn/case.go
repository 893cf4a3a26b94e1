// Package drawn makes the cases of a search for faults: settings of a deployment and a schedule of faults, both drawn from
// a seed, and smaller cases for one that failed. It starts nothing and has no clock.
package drawn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// Case is one trial: what the app servers are told, what they are asked and what is done to them. As JSON text it can be
// played again.
type Case struct {
	Seed     uint64   `json:"seed"` // of all that the trial itself leaves to chance
	Servers  int      `json:"servers"`
	Seconds  float64  `json:"seconds"` // of load, from the start of the processes
	Load     Load     `json:"load"`
	Settings Settings `json:"settings"`
	Faults   []Fault  `json:"faults,omitempty"`
}

// Load is what each app server is asked.
type Load struct {
	Rate          float64 `json:"rate"`              // RPCs a second at each app server
	Routers       int     `json:"routers"`           // at each app server
	RepeatShare   float64 `json:"repeats"`           // the share of RPCs that get a further try or a second copy
	AbandonShare  float64 `json:"goes"`              // the share of RPCs whose caller stops waiting early
	FragmentBytes int     `json:"pieces,omitempty"`  // bytes that some routers write at a time; 0 for whole messages
	StaleSeconds  float64 `json:"stale,omitempty"`   // seconds for which RPCs have waited at the machine before they are written
	PaddingBytes  int     `json:"fill,omitempty"`    // bytes by which bodies are longer
	ResultBytes   int     `json:"results,omitempty"` // bytes of each result; 0 for few
	OddShare      float64 `json:"odd,omitempty"`     // the share of RPCs with any bytes as their body, a short wait, or another's token
	FailShare     float64 `json:"fails,omitempty"`   // the share of runs that end with a fault
}

// Bounds of a case.
const (
	minServers, maxServers = 3, 8
	minSeconds, maxSeconds = 3.0, 5.0
	maxMethods             = 20
	maxFaults              = 7
)

// Draw makes the case of a seed.
func Draw(seed uint64) Case {
	chance := rand.New(rand.NewPCG(seed, 0xfa0175))
	c := Case{Seed: seed, Servers: minServers + chance.IntN(maxServers-minServers+1),
		Seconds: minSeconds + (maxSeconds-minSeconds)*chance.Float64()}
	c.Settings = drawSettings(chance)
	c.Load = drawLoad(chance, c.Settings)
	for range chance.IntN(maxFaults + 1) {
		c.Faults = append(c.Faults, drawFault(chance, c))
	}
	c.Faults = sortFaults(c.Faults)
	return c
}

// loadRates are drawn from, in RPCs a second at each app server: low enough for the machine to play two trials at once.
var loadRates = []float64{5, 20, 40, 60}

func drawLoad(chance *rand.Rand, s Settings) Load {
	l := Load{Rate: pick(chance, loadRates), Routers: 1 + chance.IntN(4), RepeatShare: pick(chance, []float64{0, 0.1, 0.4}),
		AbandonShare: pick(chance, []float64{0, 0, 0.1, 0.3})}
	if chance.IntN(4) == 0 {
		l.FragmentBytes = 1 + chance.IntN(40)
	}
	if chance.IntN(4) == 0 {
		l.StaleSeconds = 0.2 * chance.Float64()
	}
	if chance.IntN(5) == 0 {
		l.PaddingBytes = pick(chance, []int{1, 100, maxPaddingBytes})
	}
	if chance.IntN(4) == 0 {
		l.ResultBytes = 4096
	}
	l.OddShare, l.FailShare = pick(chance, []float64{0, 0, 0.3}), pick(chance, []float64{0, 0, 0.1})
	return l
}

// maxPaddingBytes leaves room for what a body says besides, under the protocol's 2 KiB.
const maxPaddingBytes = 1900

// String is the case as one line of JSON.
func (c Case) String() string {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(c); err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(out.Bytes()))
}

// ParseCase is the case that a text of String's form says.
func ParseCase(text string) (Case, error) {
	var c Case
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return c, fmt.Errorf("a case: %w", err)
	}
	if c.Servers < 1 || c.Servers > maxServers || len(c.Settings.Methods) == 0 || c.Seconds <= 0 || c.Load.Routers < 1 {
		return c, fmt.Errorf("a case with %d app servers, %d methods, %d routers and %g s", c.Servers, len(c.Settings.Methods), c.Load.Routers, c.Seconds)
	}
	for _, f := range c.Faults {
		if f.Server < 0 || f.Server >= c.Servers {
			return c, fmt.Errorf("a case with a fault of app server %d of %d", f.Server, c.Servers)
		}
	}
	return c, nil
}

func pick[T any](chance *rand.Rand, from []T) T { return from[chance.IntN(len(from))] }
