package drawn

import (
	"encoding/json"
	"reflect"
	"slices"
	"strings"
	"testing"
)

// testedSeeds is the number of seeds that each test draws cases from.
const testedSeeds = 1000

// A seed always gives the same case. The text of the case parses to the same case, and its configuration is valid JSON.
func TestDraw(t *testing.T) {
	for seed := range uint64(testedSeeds) {
		c := Draw(seed)
		if !reflect.DeepEqual(c, Draw(seed)) {
			t.Fatalf("seed %d gives two different cases", seed)
		}
		again, err := ParseCase(c.String())
		if err != nil || !reflect.DeepEqual(again, c) {
			t.Fatalf("seed %d: %v\n%s\n%s", seed, err, c, again)
		}
		text := c.Settings.Config(Addresses{Name: "n1", Listen: "127.0.0.1:1", Kernel: "127.0.0.1:2", Roster: "127.0.0.1:3"})
		if !json.Valid([]byte(text)) {
			t.Fatalf("seed %d: configuration is not valid JSON: %s", seed, text)
		}
		parsed, err := c.Settings.ParsedConfig()
		if err != nil || len(parsed.Settings.Profiles) != len(c.Settings.Methods) || parsed.Limits.MemoryMB < 32 ||
			parsed.StopMS < 1000 {
			t.Fatalf("seed %d: %v, %+v", seed, err, parsed)
		}
	}
}

// Over many seeds every kind of fault, kind of method, number of app servers and a sample of configuration keys is drawn.
func TestDrawCoversAllOptions(t *testing.T) {
	keys, faultKinds, methodKinds := map[string]bool{}, map[FaultKind]bool{}, map[string]bool{}
	uniformKinds := map[string]bool{} // kinds that are shared by all methods of some case
	servers := map[int]bool{}
	for seed := range uint64(testedSeeds) {
		c := Draw(seed)
		servers[c.Servers] = true
		for _, k := range c.Settings.Keys {
			keys[k.Path+" "+k.Text] = true
		}
		for _, f := range c.Faults {
			faultKinds[f.Kind] = true
			if f.Server >= c.Servers || f.At > c.Seconds {
				t.Errorf("seed %d: fault outside the case: %+v", seed, f)
			}
		}
		mixed := false
		for _, m := range c.Settings.Methods {
			methodKinds[m.Kind] = true
			mixed = mixed || m.Kind != c.Settings.Methods[0].Kind
		}
		if !mixed && len(c.Settings.Methods) > 1 {
			uniformKinds[c.Settings.Methods[0].Kind] = true
		}
	}
	if len(faultKinds) != len(Kinds()) || len(methodKinds) != 3 || len(uniformKinds) != 3 ||
		len(servers) != maxServers-minServers+1 {
		t.Errorf("%d of %d kinds of faults, kinds of methods %v, kinds shared by all methods %v, numbers of app servers %v",
			len(faultKinds), len(Kinds()), methodKinds, uniformKinds, servers)
	}
	for _, want := range []string{"settings.domain.below \"tier\"", "settings.domain.passesDeadline false",
		"settings.domain.nCores 6e0",
		"settings.domain.ownStats []", "stop_ms 60000", "of_later [[]]"} {
		if !keys[want] {
			t.Errorf("never drawn: %s", want)
		}
	}
}

// Keys replace those of plainKeys, are left out for an empty text, and are ignored below an object that is set as a whole.
func TestConfig(t *testing.T) {
	s := Settings{Methods: []Method{PlainMethod()}, Keys: []Key{{"stop_ms", ""}, {"limits.cores", "6e0"},
		{"settings.domain.nCores", ""},
		{"settings.of_later", "{}"}, {"settings.of_later.x", "1"}, {"of_later", "[1]"}, {"limits.memory_mb", "null"}}}
	var read map[string]any
	if err := json.Unmarshal([]byte(s.Config(Addresses{Name: "n1"})), &read); err != nil {
		t.Fatal(err)
	}
	limits, settings := read["limits"].(map[string]any), read["settings"].(map[string]any)
	memory, given := limits["memory_mb"]
	_, cores := settings["domain"].(map[string]any)["nCores"]
	_, stop := read["stop_ms"]
	if limits["cores"] != 6.0 || memory != nil || !given || cores || stop || !reflect.DeepEqual(read["of_later"], []any{1.0}) ||
		len(settings["of_later"].(map[string]any)) != 0 {
		t.Errorf("unexpected configuration: %v", read)
	}
}

// A failing case is reduced to the parts that make it fail, within the maximum number of trials.
func TestReduce(t *testing.T) {
	c := Draw(7)
	c.Servers = 5
	c.Faults = []Fault{{Kind: Reload}, {At: 1, Kind: LinkCut, Server: 1}, {At: 2, Kind: Pause, Server: 4}}
	c.Settings.Keys = []Key{{"a", "1"}, {"b", "2"}, {"c", "3"}, {"d", "4"}, {"e", "5"}}
	c.Settings.Methods = []Method{PlainMethod(),
		{Name: "odd", Kind: "fragile", Deadline: "0"}, {Name: "other", Kind: "dedup"}}
	trials := 0
	fails := func(c Case) bool {
		trials++
		return slices.Contains(c.Settings.Keys, Key{"d", "4"}) &&
			slices.ContainsFunc(c.Faults, func(f Fault) bool { return f.Kind == LinkCut }) &&
			slices.ContainsFunc(c.Settings.Methods, func(m Method) bool { return m.Deadline == "0" })
	}
	smallest := Reduce(c, 100, fails)
	if len(smallest.Faults) != 1 || len(smallest.Settings.Keys) != 1 || len(smallest.Settings.Methods) != 1 ||
		smallest.Servers != 2 || !fails(smallest) {
		t.Errorf("not reduced to the failing parts: %s", smallest)
	}
	trials = 0
	Reduce(c, 5, fails)
	if trials != 5 {
		t.Errorf("%d trials, want 5", trials)
	}
}

// ParseCase rejects texts that are not a valid case.
func TestParseCase(t *testing.T) {
	whole := Draw(1).String()
	for name, text := range map[string]string{
		"empty":       "",
		"not a case":  "{}",
		"unknown key": strings.Replace(whole, `"seed"`, `"sed"`, 1),
		"a server of 99": strings.Replace(Case{Seed: 1, Servers: 3, Seconds: 1, Load: Load{Routers: 1},
			Settings: Settings{Methods: []Method{PlainMethod()}},
			Faults:   []Fault{{Kind: Kill, Server: 1}}}.String(), `"server":1`, `"server":99`, 1),
	} {
		if _, err := ParseCase(text); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
