package drawn

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"strings"
)

// Settings holds the methods of a deployment and the configuration keys that differ from plainKeys.
type Settings struct {
	Methods []Method `json:"methods"`
	Keys    []Key    `json:"keys,omitempty"`
}

// Method is one RPC method. Its numbers are written to the configuration as they are, as JSON texts; an empty one leaves the
// key out.
type Method struct {
	Name          string  `json:"name"`
	Kind          string  `json:"effect"`             // retryable, dedup or fragile
	LatencyTarget string  `json:"target,omitempty"`   // in seconds
	Deadline      string  `json:"deadline,omitempty"` // in seconds
	Window        string  `json:"window,omitempty"`   // how long tokens are kept, in seconds
	Criticality   string  `json:"worth,omitempty"`
	LateShare     string  `json:"late,omitempty"`    // share of the criticality of a reply past the latency target
	Stretch       string  `json:"stretch,omitempty"` // the key aimStretch
	Calls         bool    `json:"calls,omitempty"`   // its RPCs may call the layer below
	Work          float64 `json:"work"`              // mean CPU seconds of a run
}

// Key is one key of the configuration: its dotted path and the JSON text of its value, empty to leave the key out.
type Key struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Addresses holds the name of one app server and the addresses in its configuration.
type Addresses struct {
	Name, Listen, Kernel, Roster string
}

// plainKeys are the default keys of the configuration, in the order in which they are written.
var plainKeys = []Key{
	{"seed", `"8c1f30d27a5be964"`},
	{"stop_ms", "2500"},
	{"limits.cores", "1.0"}, {"limits.memory_mb", "192"}, {"limits.sockets", "1024"},
	{"settings.accounts", "[]"},
	{"settings.ceilings.cpuUsPerRequest", "0.0"}, {"settings.ceilings.cpuUsPerS", "60000"},
	{"settings.ceilings.maxRetryAfterS", "1.0"}, {"settings.ceilings.retryAfter", "true"},
	{"settings.clients.marksRetry", "false"},
	{"settings.countedBy", `"request"`},
	{"settings.domain.below", `"none"`}, {"settings.domain.callers", "4"}, {"settings.domain.callsOut", "0.0"},
	{"settings.domain.deepChecks", "false"}, {"settings.domain.entryKb", "1.0"}, {"settings.domain.freshS", "0.0"},
	{"settings.domain.hangupSeen", "true"}, {"settings.domain.heededS", "1.0"}, {"settings.domain.justStarted", "false"},
	{"settings.domain.keepaliveMaxS", "30.0"}, {"settings.domain.lingerS", "0.2"}, {"settings.domain.memoryKb", "64000.0"},
	{"settings.domain.nCores", "4"},
	{"settings.domain.ownStats", `["core_use","on_cores","heap_share","links"]`},
	{"settings.domain.passesDeadline", "true"}, {"settings.domain.preemption", `"discard"`},
	{"settings.domain.readiness", "true"}, {"settings.domain.runFactor", "4.0"}, {"settings.domain.shareSpanS", "5.0"},
	{"settings.domain.signal", `"allowance"`},
	{"settings.family", `"server"`},
	{"settings.goal", `{"whole":0.65,"worstClass":0.2,"worstTenant":0.0,"worstWindow":0.15}`},
	{"settings.me", "1"}, {"settings.overShareWorth", "0.1"},
	{"settings.penalties", `{"connection":0.0,"handshake":0.0,"lateFail":0.08,"origin":0.0,"waste":0.04}`},
	{"settings.replicasOfMe", "5"},
	{"settings.report", `{"fields":["throughput","utilization"],"how":"probe"}`},
	{"settings.rules.fallS", "1.5"}, {"settings.rules.graceToAnswerS", "0.08"}, {"settings.rules.overloadFactor", "5.0"},
	{"settings.rules.rampTimeS", "18.0"}, {"settings.rules.startCapacity", "0.2"}, {"settings.rules.stopSendingWithinS", "1.0"},
	{"settings.tickS", "0.004"}, {"settings.tier", "0"}, {"settings.tiers", `["servers"]`},
	{"settings.zone", "0"}, {"settings.zones", `["zone"]`},
}

// PlainMethod returns a method with common settings.
func PlainMethod() Method {
	return Method{Name: "look", Kind: "retryable", LatencyTarget: "0.5", Deadline: "1.0", Window: "5.0",
		Criticality: "1.0", LateShare: "0.0", Work: 0.005}
}

// Config returns the whole configuration of one app server as JSON text.
func (s Settings) Config(addresses Addresses) string {
	root := &object{}
	root.set([]string{"name"}, quoteJSON(addresses.Name, true))
	root.set([]string{"listen"}, quoteJSON(addresses.Listen, true))
	root.set([]string{"kernel"}, quoteJSON(addresses.Kernel, true))
	root.set([]string{"roster"}, quoteJSON(addresses.Roster, true))
	for _, k := range plainKeys {
		root.set(strings.Split(k.Path, "."), k.Text)
	}
	root.set([]string{"settings", "profiles"}, s.profiles())
	if calls, anyCalls := s.calls(); anyCalls {
		root.set([]string{"settings", "domain", "callsByClass"}, calls)
	}
	for _, k := range s.Keys {
		root.set(strings.Split(k.Path, "."), k.Text)
	}
	return root.text()
}

// profiles returns the JSON array of the methods, for settings.profiles.
func (s Settings) profiles() string {
	var all []string
	for k, m := range s.Methods {
		profile := &object{}
		for _, field := range []Key{{"deadlineS", m.Deadline}, {"idempotency", quoteJSON(m.Kind, true)},
			{"lateWorth", m.LateShare},
			{"name", quoteJSON(m.Name, k%2 == 0)}, {"onTimeS", m.LatencyTarget}, {"windowS", m.Window}, {"worth", m.Criticality},
			{"aimStretch", m.Stretch}} {
			profile.set([]string{field.Path}, field.Text)
		}
		all = append(all, profile.text())
	}
	return "[" + strings.Join(all, ",") + "]"
}

// calls returns a JSON array with one bool per method, whether its RPCs may call the layer below, and whether any may.
func (s Settings) calls() (text string, anyCalls bool) {
	var all []string
	for _, m := range s.Methods {
		all = append(all, fmt.Sprint(m.Calls))
		anyCalls = anyCalls || m.Calls
	}
	return "[" + strings.Join(all, ",") + "]", anyCalls
}

// quoteJSON returns s as a JSON string. It escapes <, > and & if escape is set.
func quoteJSON(s string, escape bool) string {
	var out bytes.Buffer
	encoder := json.NewEncoder(&out)
	encoder.SetEscapeHTML(escape)
	encoder.Encode(s)
	return strings.TrimSpace(out.String())
}

// object is a JSON object that keeps the order of its keys. A key has either a JSON text as its value or an object.
type object struct {
	keys    []string
	values  map[string]string
	objects map[string]*object
}

// set sets the key at path to a JSON text, or removes it for an empty text.
func (o *object) set(path []string, text string) {
	if o.values == nil {
		o.values, o.objects = map[string]string{}, map[string]*object{}
	}
	key := path[0]
	if o.objects[key] == nil && o.values[key] == "" && text != "" {
		o.keys = append(o.keys, key)
	}
	if len(path) == 1 {
		delete(o.objects, key)
		if o.values[key] = text; text == "" {
			o.remove(key)
		}
		return
	}
	if o.values[key] != "" { // the object was set as a whole
		return
	}
	if o.objects[key] == nil {
		if text == "" {
			return
		}
		o.objects[key] = &object{}
	}
	o.objects[key].set(path[1:], text)
}

// remove deletes a key that is set as a text.
func (o *object) remove(key string) {
	delete(o.values, key)
	var remaining []string
	for _, k := range o.keys {
		if k != key {
			remaining = append(remaining, k)
		}
	}
	o.keys = remaining
}

// text returns the object as JSON text.
func (o *object) text() string {
	var all []string
	for _, k := range o.keys {
		value := o.values[k]
		if inner := o.objects[k]; inner != nil {
			value = inner.text()
		}
		all = append(all, quoteJSON(k, true)+":"+value)
	}
	return "{" + strings.Join(all, ",") + "}"
}

// ParsedConfig is the part of a configuration that the simulated environment of an app server needs, with the defaults of
// absent keys. Times are in seconds, except StopMS.
type ParsedConfig struct {
	StopMS   float64 `json:"stop_ms"`
	Limits   struct{ Cores, MemoryMB, Sockets float64 }
	Settings struct {
		Accounts []struct{ Name string }
		Clients  struct{ MarksRetry bool }
		Domain   struct {
			NCores, MemoryKB, RunFactor, EntryKB, FreshS float64
			Preemption, Signal, Below                    string
			PassesDeadline, HangupSeen, Readiness        *bool
			OwnStats                                     []string
		}
		Profiles []struct{ OnTimeS, DeadlineS, WindowS float64 }
		Rules    struct{ StopSendingWithinS, RampTimeS, StartCapacity, FallS, OverloadFactor float64 }
	}
}

// ParsedConfig parses the configuration as the specification defines it: it accepts numbers of any JSON form and takes null for
// an absent key.
func (s Settings) ParsedConfig() (ParsedConfig, error) {
	var c ParsedConfig
	c.StopMS = 3000
	text := strings.Replace(s.Config(Addresses{}), `"memory_mb"`, `"memoryMb"`, 1)
	err := json.Unmarshal([]byte(text), &c)
	return c, err
}

// PassesDeadline reports whether RPCs carry the time that their caller waits; false where the key is absent.
func (c ParsedConfig) PassesDeadline() bool {
	return c.Settings.Domain.PassesDeadline != nil && *c.Settings.Domain.PassesDeadline
}

// HangupSeen reports whether app servers are notified of callers that no longer wait; false where the key is absent.
func (c ParsedConfig) HangupSeen() bool {
	return c.Settings.Domain.HangupSeen != nil && *c.Settings.Domain.HangupSeen
}

// drawSettings draws the methods and the other keys of a deployment.
func drawSettings(rng *rand.Rand) Settings {
	var s Settings
	methodKinds := drawMethodKinds(rng)
	count := 1 + rng.IntN(5)
	if rng.IntN(4) == 0 {
		count = 1 + rng.IntN(maxMethods)
	}
	names := map[string]bool{}
	for range count {
		m := drawMethod(rng, methodKinds)
		for names[m.Name] {
			m.Name += string(rune('a' + rng.IntN(26)))
		}
		names[m.Name] = true
		s.Methods = append(s.Methods, m)
	}
	usedPaths := map[string]bool{}
	for _, option := range keyOptions {
		if rng.Float64() >= option.probability {
			continue
		}
		for _, k := range option.draw(rng) {
			if !usedPaths[k.Path] {
				usedPaths[k.Path] = true
				s.Keys = append(s.Keys, k)
			}
		}
		if option.callsBelow {
			for k := range s.Methods {
				s.Methods[k].Calls = rng.IntN(2) == 0
			}
		}
	}
	return s
}

// drawMethodKinds draws the kinds of methods that a deployment may have.
func drawMethodKinds(rng *rand.Rand) []string {
	return pick(rng, [][]string{{"retryable"}, {"dedup"}, {"fragile"}, {"retryable", "dedup", "fragile"},
		{"retryable", "dedup", "fragile"},
		{"retryable", "dedup"}, {"dedup", "fragile"}})
}

// awkwardNames are method names that faulty escaping in JSON, Thrift or log lines would corrupt.
var awkwardNames = []string{"x", "plan lookup", `say "when"`, "a<b&c>d", "größe-ändern", "読む", `back\slash`, "tab\tbed",
	"it's", "op", "{}", "null", "0",
	"\u2028", strings.Repeat("long-name-", 30), "100%", "a/b?c=d", "é"}

// drawMethod draws one method of one of the kinds.
func drawMethod(rng *rand.Rand, kinds []string) Method {
	m := Method{Kind: pick(rng, kinds),
		Criticality: formatNumber(rng, pick(rng, []float64{0, 0.001, 1, 2, 1000})),
		LateShare:   formatNumber(rng, pick(rng, []float64{0, 0.2, 1}))}
	if m.Name = fmt.Sprintf("m%d", rng.IntN(1000)); rng.IntN(3) == 0 {
		m.Name = pick(rng, awkwardNames)
	}
	deadline := pick(rng, []float64{0.02, 0.1, 0.5, 0.5, 1, 1, 2, 2, 5, 30, 600, 7200, 86400})
	target := deadline * pick(rng, []float64{0.1, 0.5, 0.5, 1})
	m.Deadline, m.LatencyTarget = formatNumber(rng, deadline), formatNumber(rng, target)
	switch rng.IntN(20) {
	case 0:
		m.Deadline = ""
	case 1:
		m.Deadline = "0"
	case 2:
		m.Deadline = "null"
	case 3:
		m.LatencyTarget = ""
	case 4:
		m.LatencyTarget = "0"
	}
	switch {
	case m.Kind == "dedup":
		m.Window = formatNumber(rng, pick(rng, []float64{0.05, 0.5, 2, 35.121, 3600, 864000}))
	case rng.IntN(3) == 0:
		m.Window = pick(rng, []string{"", "null", "0"})
	default:
		m.Window = "5.0"
	}
	if rng.IntN(5) == 0 {
		m.Stretch = pick(rng, []string{"0", "1.5", "20", "null"})
	}
	m.Work = min(pick(rng, []float64{0.0005, 0.005, 0.005, 0.02, 0.1}), max(deadline, 0.02)/8)
	if deadline >= 5 && rng.IntN(4) == 0 {
		m.Work = 0.7
	}
	return m
}

// formatNumber formats a number in a randomly chosen form that JSON allows.
func formatNumber(rng *rand.Rand, v float64) string {
	plain := strings.TrimSuffix(fmt.Sprintf("%.6f", v), "0")
	switch rng.IntN(4) {
	case 0:
		return plain
	case 1:
		return fmt.Sprintf("%e", v)
	}
	return fmt.Sprintf("%g", v)
}

// keyOption draws configuration keys other than the methods, with the given probability.
type keyOption struct {
	probability float64
	draw        func(rng *rand.Rand) []Key
	callsBelow  bool // also lets some methods call the layer below
}

// choice returns an option that sets one key to one of the texts.
func choice(probability float64, path string, texts ...string) keyOption {
	return keyOption{probability: probability, draw: func(rng *rand.Rand) []Key { return []Key{{path, pick(rng, texts)}} }}
}

// keyOptions are the configuration keys that may be drawn; a path that was drawn before is not drawn again.
var keyOptions = []keyOption{
	choice(0.3, "settings.domain.preemption", `"none"`, `"freeze"`, `"freeze"`, ""),
	choice(0.4, "settings.domain.signal", `"none"`, `"floor"`, `"weight"`),
	choice(0.2, "settings.domain.passesDeadline", "false", "", "null"),
	choice(0.2, "settings.domain.hangupSeen", "false", "", "null"),
	choice(0.2, "settings.domain.readiness", "false", "", "null"),
	{0.15, func(rng *rand.Rand) []Key {
		return []Key{{"settings.domain.below", pick(rng, []string{`"one_for_all"`, `"tier"`})},
			{"settings.domain.callsOut", pick(rng, []string{"0.5", "12.0"})}}
	}, true},
	choice(0.4, "settings.domain.nCores", "1", "1", "2", "6.0", "6e0", "64", "1000"),
	choice(0.15, "settings.domain.memoryKb", "500", "2e3", "13164.0", "1e9"),
	choice(0.2, "settings.domain.runFactor", "1", "1.0", "40", "0.5"),
	choice(0.2, "settings.domain.entryKb", "0", "0.001", "27.8", "300"),
	choice(0.15, "settings.domain.freshS", "0.5", "60"),
	choice(0.1, "settings.domain.deepChecks", "true"),
	choice(0.2, "settings.domain.justStarted", "true", "null"),
	choice(0.3, "settings.domain.ownStats", `[]`, `["links","heap_share","on_cores","core_use"]`, `["on_cores"]`,
		`["throughput","on_cores"]`, "null", ""),
	choice(0.15, "settings.domain.callers", "1", "4.0", "150", "0", "null", ""),
	choice(0.1, "settings.domain.heededS", "0", "0.05", "3600"),
	choice(0.1, "settings.domain.keepaliveMaxS", "0.5", "3600", "", "null"),
	choice(0.1, "settings.domain.lingerS", "0", "100"),
	choice(0.15, "settings.replicasOfMe", "1", "3.0", "3e0", "300"),
	choice(0.2, "settings.clients.marksRetry", "true"),
	{probability: 0.2, draw: func(*rand.Rand) []Key {
		return []Key{{"settings.accounts",
			`[{"name":"big","quotaRps":40.0,"fraction":0.8},{"name":"small one","quotaRps":0.5,"fraction":0.2}]`}}
	}},
	choice(0.1, "settings.overShareWorth", "0", "1"),
	choice(0.2, "settings.ceilings.retryAfter", "false"),
	choice(0.2, "settings.ceilings.maxRetryAfterS", "0", "0.01", "60", "1e9"),
	choice(0.1, "settings.rules.rampTimeS", "0.1", "3", "600", "0", ""),
	choice(0.1, "settings.rules.startCapacity", "0.01", "1", ""),
	choice(0.15, "settings.rules.overloadFactor", "1", "1.01", "100"),
	choice(0.1, "settings.rules.fallS", "0.05", "60"),
	choice(0.15, "settings.rules.stopSendingWithinS", "0", "0.05", "0.5", "30"),
	choice(0.2, "limits.memory_mb", "32", "64.0", "4096"),
	choice(0.2, "limits.sockets", "384", "512.0", "1e6"),
	choice(0.2, "limits.cores", "0.25", "4", "", "null"),
	choice(0.25, "stop_ms", "1100", "3.2e3", "3900.0", "60000", ""),
	choice(0.1, "settings.of_later", `{"a":[1,null,"x"]}`, "null", "7"),
	choice(0.1, "of_later", `"x"`, "[[]]"),
	choice(0.1, "settings.domain.of_later", `{"deep":{"deeper":[]}}`, "-1e300"),
	choice(0.1, "settings.report", "null", ""),
	choice(0.1, "settings.tiers", `["front","back"]`, "null"),
	choice(0.05, "settings.goal", "null", ""),
	choice(0.05, "settings.penalties", "null"),
	choice(0.05, "settings.me", "null", "17.0"),
	choice(0.05, "settings.accounts", "null", ""),
}
