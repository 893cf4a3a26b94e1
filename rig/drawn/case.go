// Package drawn generates random test cases for fault injection: the settings of a deployment and a schedule of faults, both
// drawn from a seed. It also reduces a failing case to a smaller one. It starts no processes and reads no clock.
package drawn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
)

// Case is the input of one trial: the configuration of the app servers, their load and the faults. Its JSON text reproduces
// the trial.
type Case struct {
	Seed     uint64   `json:"seed"` // of all random choices of the trial itself
	Servers  int      `json:"servers"`
	Seconds  float64  `json:"seconds"` // duration of the load, from the start of the processes
	Load     Load     `json:"load"`
	Settings Settings `json:"settings"`
	Faults   []Fault  `json:"faults,omitempty"`
}

// Load describes the requests that each app server receives.
type Load struct {
	Rate          float64 `json:"rate"`              // RPCs per second at each app server
	Routers       int     `json:"routers"`           // connected to each app server
	RepeatShare   float64 `json:"repeats"`           // share of RPCs with a further attempt or a duplicate
	AbandonShare  float64 `json:"goes"`              // share of RPCs whose caller stops waiting early
	FragmentBytes int     `json:"pieces,omitempty"`  // bytes per write of some routers; 0 for whole messages
	StaleSeconds  float64 `json:"stale,omitempty"`   // RPCs are written up to this many seconds after their arrival
	PaddingBytes  int     `json:"fill,omitempty"`    // padding of request bodies
	ResultBytes   int     `json:"results,omitempty"` // size of each result; 0 for a short one
	OddShare      float64 `json:"odd,omitempty"`     // share of RPCs with a random body, a short timeout or another RPC's token
	FailShare     float64 `json:"fails,omitempty"`   // share of runs that end with a fault
}

// Limits of a drawn case; times are in seconds.
const (
	minServers, maxServers = 3, 8
	minSeconds, maxSeconds = 3.0, 5.0
	maxMethods             = 20
	maxFaults              = 7
)

// Draw returns the case of a seed. The same seed always gives the same case.
func Draw(seed uint64) Case {
	rng := rand.New(rand.NewPCG(seed, 0xfa0175))
	c := Case{Seed: seed, Servers: minServers + rng.IntN(maxServers-minServers+1),
		Seconds: minSeconds + (maxSeconds-minSeconds)*rng.Float64()}
	c.Settings = drawSettings(rng)
	c.Load = drawLoad(rng, c.Settings)
	for range rng.IntN(maxFaults + 1) {
		c.Faults = append(c.Faults, drawFault(rng, c))
	}
	c.Faults = sortFaults(c.Faults)
	return c
}

// loadRates are the possible loads, in RPCs per second at each app server. They are low enough for one machine to run two
// trials at once.
var loadRates = []float64{5, 20, 40, 60}

// drawLoad draws the load of a case.
func drawLoad(rng *rand.Rand, s Settings) Load {
	l := Load{Rate: pick(rng, loadRates), Routers: 1 + rng.IntN(4), RepeatShare: pick(rng, []float64{0, 0.1, 0.4}),
		AbandonShare: pick(rng, []float64{0, 0, 0.1, 0.3})}
	if rng.IntN(4) == 0 {
		l.FragmentBytes = 1 + rng.IntN(40)
	}
	if rng.IntN(4) == 0 {
		l.StaleSeconds = 0.2 * rng.Float64()
	}
	if rng.IntN(5) == 0 {
		l.PaddingBytes = pick(rng, []int{1, 100, maxPaddingBytes})
	}
	if rng.IntN(4) == 0 {
		l.ResultBytes = 4096
	}
	l.OddShare, l.FailShare = pick(rng, []float64{0, 0, 0.3}), pick(rng, []float64{0, 0, 0.1})
	return l
}

// maxPaddingBytes leaves room for the other fields of a body within the protocol's limit of 2 KiB.
const maxPaddingBytes = 1900

// String returns the case as one line of JSON, which ParseCase reads.
func (c Case) String() string {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(c); err != nil {
		return err.Error()
	}
	return string(bytes.TrimSpace(out.Bytes()))
}

// ParseCase parses and checks the JSON text of a case, as String writes it.
func ParseCase(text string) (Case, error) {
	var c Case
	decoder := json.NewDecoder(bytes.NewReader([]byte(text)))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&c); err != nil {
		return c, fmt.Errorf("parse case: %w", err)
	}
	if c.Servers < 1 || c.Servers > maxServers || len(c.Settings.Methods) == 0 || c.Seconds <= 0 || c.Load.Routers < 1 {
		return c, fmt.Errorf("invalid case: %d app servers, %d methods, %d routers and %g s", c.Servers,
			len(c.Settings.Methods), c.Load.Routers, c.Seconds)
	}
	for _, f := range c.Faults {
		if f.Server < 0 || f.Server >= c.Servers {
			return c, fmt.Errorf("invalid case: fault of app server %d of %d", f.Server, c.Servers)
		}
	}
	return c, nil
}

// pick returns a random element of values.
func pick[T any](rng *rand.Rand, values []T) T { return values[rng.IntN(len(values))] }
