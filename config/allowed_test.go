package config

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"

	"valveglade/rpc"
)

// parseEdited parses the example configuration after a replacement in its text.
func parseEdited(t *testing.T, old, replacement string) (*Config, error) {
	t.Helper()
	if !strings.Contains(exampleConfig, old) {
		t.Fatalf("%s is not in the example", old)
	}
	return Parse([]byte(strings.Replace(exampleConfig, old, replacement, 1)), "", "")
}

// Valid configurations are accepted: integers in any notation, missing or null keys, and unused keys with any value.
func TestAllowed(t *testing.T) {
	for _, edit := range [][2]string{
		{`"nCores":6`, `"nCores":6.0`}, {`"nCores":6`, `"nCores":6e0`}, {`"nCores":6`, `"nCores":600e-2`},
		{`"nCores":6`, `"nCores":6,"callers":3.0`}, {`"domain"`, `"replicasOfMe":11.0,"domain"`},
		{`"sockets":1024`, `"sockets":1024.0`}, {`"sockets":1024`, `"sockets":1.024e3`},
		{`"sockets":1024`, `"sockets":64`},
		{`"memory_mb":192`, `"memory_mb":192.0`}, {`"memory_mb":192`, `"memory_mb":23.4375`},
		{`"memory_mb":192`, `"memory_mb":16`},
		{`"memory_mb":192`, `"memory_mb":1e308`}, {`"sockets":1024`, `"sockets":1e308`},
		{`"cores":1.0`, `"cores":1e308`},
		{`"cores":1.0`, `"cores":0`}, {`"cores":1.0`, `"cores":null`}, {`"stop_ms":3200`, `"stop_ms":3200.0`},
		{`"stop_ms":3200`, `"stop_ms":50`}, {`"stop_ms":3200`, `"stop_ms":0`}, {`"stop_ms":3200`, `"stop_ms":36000000`},
		{`"stop_ms":3200`, `"stop_ms":1e308`}, {`"stop_ms":3200`, `"stop_ms":null`},
		{`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024}`, `"limits":null`},
		{`"limits":{"cores":1.0,"memory_mb":192,"sockets":1024}`,
			`"limits":{"cores":null,"memory_mb":null,"sockets":null}`},
		{`"seed":"8c1f30d27a5be964"`, `"seed":[17]`},
		{`"seed":"8c1f30d27a5be964"`, `"Name":7,"LISTEN":[],"Settings":3`},
		{`"domain"`,
			`"tiers":7,"goal":"all","clients":[],"zones":{},"report":null,"accounts":"none","overShareWorth":{},"domain"`},
		{`"domain"`, `"clients":7,"penalties":[1e999],"accounts":[7],"replicasOfMe":"some","domain"`},
		{`"domain"`, `"clients":null,"ceilings":null,"accounts":null,"domain"`},
		{`"domain"`, `"ceilings":{"retryAfter":null,"maxRetryAfterS":null},"clients":{"marksRetry":null},"domain"`},
		{`"nCores":6`, `"nCores":null`}, {`"nCores":6,`, ``}, {`"nCores":6`, `"nCores":0`},
		{`"nCores":6`, `"nCores":1e308`},
		{`"nCores":6`,
			`"freshS":"x","callsOut":[],"shareSpanS":{},"lingerS":"x","classSkipWorth":7,"callsByClass":"none"`},
		{`"nCores":6`, `"ownStats":null,"preemption":null,"signal":null`}, {`"signal":"allowance"`, `"signal":"none"`},
		{`"nCores":6`,
			`"justStarted":"yes","passesDeadline":7,"hangupSeen":[],"readiness":{},"deepChecks":0,"heededS":"x"`},
		{`"nCores":6`, `"memoryKb":1e308,"runFactor":1e308,"entryKb":1e308,"keepaliveMaxS":1e308`},
		{`"nCores":6`, `"memoryKb":0,"runFactor":0,"entryKb":0,"keepaliveMaxS":0`},
		{`"nCores":6`, `"memoryKb":1e-308,"runFactor":1e-308,"entryKb":1e-308,"keepaliveMaxS":1e-308`},
		{`"below":"none"`, `"below":null`}, {`"below":"none"`, `"below":"tier","callsByClass":null`},
		{`"below":"none"`, `"below":"tier","callsByClass":[null]`},
		{`"below":"none"`, `"below":"tier","callsByClass":[true,true,true]`},
		{`"rules":{"overloadFactor":5}`, `"rules":null`},
		{`"rules":{"overloadFactor":5}`, `"rules":{"overloadFactor":null}`},
		{`"rules":{"overloadFactor":5}`,
			`"rules":{"overloadFactor":1e308,"rampTimeS":1e308,"fallS":1e308,"stopSendingWithinS":1e308}`},
		{`"onTimeS":1.6,"deadlineS":3.9`, `"onTimeS":0,"deadlineS":0`}, {`"onTimeS":1.6,"deadlineS":3.9`, `"x":1`},
		{`"onTimeS":1.6,"deadlineS":3.9`,
			`"onTimeS":null,"deadlineS":null,"windowS":null,"worth":null,"lateWorth":null`},
		{`"onTimeS":1.6,"deadlineS":3.9`,
			`"onTimeS":1e308,"deadlineS":1e308,"windowS":1e308,"worth":1e308,"lateWorth":1e308`},
		{`"onTimeS":1.6,"deadlineS":3.9`, `"onTimeS":7200,"deadlineS":7200,"worth":0`},
		{`"onTimeS":1.6,"deadlineS":3.9`, `"onTimeS":0.001,"deadlineS":0.001`},
		{`,"windowS":35`, ``}, {`"windowS":35`, `"windowS":null`}, {`"windowS":35`, `"windowS":0`},
		{`"windowS":35`, `"windowS":1e-9`},
	} {
		c, err := parseEdited(t, edit[0], edit[1])
		if err != nil {
			t.Errorf("%s: %v", edit[1], err)
			continue
		}
		if c.StopTimeout < 0 || c.Memory < 16<<20 || c.Sockets < 32 || c.Cores < 0 {
			t.Errorf("%s: stop %g, memory %d, sockets %d, cores %g", edit[1], c.StopTimeout, c.Memory, c.Sockets,
				c.Cores)
		}
	}
}

// Names of methods are kept unchanged, whatever bytes they contain.
func TestMethodNames(t *testing.T) {
	for _, name := range []string{"a", " ", "two words", `with "quotes"`, "<&>", "Überweisung 転送", "17", "1e3",
		"null", "true", "\x00\x7f", "\u2028", strings.Repeat("n", 900)} {
		quoted, err := json.Marshal(name)
		if err != nil {
			t.Fatal(err)
		}
		c, err := parseEdited(t, `"look"`, string(quoted))
		if err != nil {
			t.Errorf("%q: %v", name, err)
		} else if !slices.Equal(c.Methods, []string{name, "record"}) {
			t.Errorf("%q: %q", name, c.Methods)
		}
	}
}

// An invalid value is rejected with an error of one line that names the full path of its key.
func TestRefused(t *testing.T) {
	for _, edit := range []struct{ old, replacement, key string }{
		{`"nCores":6`, `"nCores":6.5`, "settings.domain.nCores"},
		{`"nCores":6`, `"nCores":-1`, "settings.domain.nCores"},
		{`"nCores":6`, `"callers":"3"`, "settings.domain.callers"},
		{`"nCores":6`, `"callers":-3`, "settings.domain.callers"},
		{`"nCores":6`, `"ownStats":[7]`, "settings.domain.ownStats[0]"},
		{`"nCores":6`, `"ownStats":7`, "settings.domain.ownStats"},
		{`"nCores":6`, `"memoryKb":-1`, "settings.domain.memoryKb"},
		{`"nCores":6`, `"runFactor":-1`, "settings.domain.runFactor"},
		{`"nCores":6`, `"entryKb":-1e-9`, "settings.domain.entryKb"},
		{`"nCores":6`, `"keepaliveMaxS":-1`, "settings.domain.keepaliveMaxS"},
		{`"nCores":6`, `"preemption":"gently"`, "settings.domain.preemption"},
		{`"nCores":6`, `"preemption":true`, "settings.domain.preemption"},
		{`"signal":"allowance"`, `"signal":"smoke"`, "settings.domain.signal"},
		{`"below":"none"`, `"below":"sideways"`, "settings.domain.below"},
		{`"below":"none"`, `"below":7`, "settings.domain.below"},
		{`"below":"none"`, `"below":"tier","callsByClass":[true,"x"]`, "settings.domain.callsByClass[1]"},
		{`"overloadFactor":5`, `"overloadFactor":"x"`, "settings.rules.overloadFactor"},
		{`"overloadFactor":5`, `"overloadFactor":-5`, "settings.rules.overloadFactor"},
		{`"overloadFactor":5`, `"rampTimeS":-5`, "settings.rules.rampTimeS"},
		{`"overloadFactor":5`, `"fallS":-5`, "settings.rules.fallS"},
		{`"overloadFactor":5`, `"startCapacity":-5`, "settings.rules.startCapacity"},
		{`"overloadFactor":5`, `"stopSendingWithinS":-5`, "settings.rules.stopSendingWithinS"},
		{`"domain"`, `"clients":{"marksRetry":"yes"},"domain"`, "settings.clients.marksRetry"},
		{`"domain"`, `"ceilings":{"retryAfter":1},"domain"`, "settings.ceilings.retryAfter"},
		{`"domain"`, `"ceilings":{"maxRetryAfterS":-1},"domain"`, "settings.ceilings.maxRetryAfterS"},
		{`"domain":{`, `"domain":7,"x":{`, "settings.domain"}, {`"rules":{`, `"rules":[],"x":{`, "settings.rules"},
		{`"windowS":35`, `"windowS":-35`, "settings.profiles[1].windowS"},
		{`"windowS":35`, `"windowS":"x"`, "settings.profiles[1].windowS"},
		{`"name":"look"`, `"name":7`, "settings.profiles[0].name"},
		{`"name":"look"`, `"name":""`, "settings.profiles[0].name"},
		{`"name":"look",`, ``, "settings.profiles[0].name"},
		{`"idempotency":"dedup",`, ``, "settings.profiles[1].idempotency"},
		{`"onTimeS":1.6`, `"worth":-1`, "settings.profiles[0].worth"},
		{`"onTimeS":1.6`, `"lateWorth":-1`, "settings.profiles[0].lateWorth"},
		{`"onTimeS":1.6`, `"worth":"much"`, "settings.profiles[0].worth"},
		{`"profiles":[`, `"profiles":["x",`, "settings.profiles[0]"},
		{`"profiles":[`, `"profiles":{},"x":[`, "settings.profiles"},
		{`"profiles":[`, `"profiles":[],"x":[`, "settings.profiles"},
		{`"profiles":[`, `"profiles":[null,`, "settings.profiles[0].name"},
		{`"sockets":1024`, `"sockets":100.5`, "limits.sockets"},
		{`"memory_mb":192`, `"memory_mb":-1e308`, "limits.memory_mb"},
		{`"cores":1.0`, `"cores":-1`, "limits.cores"}, {`"stop_ms":3200`, `"stop_ms":-0.1`, "stop_ms"},
	} {
		_, err := parseEdited(t, edit.old, edit.replacement)
		var invalid *KeyError
		if !errors.As(err, &invalid) || invalid.Key != edit.key || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: %v, want an error for %s", edit.replacement, err, edit.key)
		}
	}
}

// Keys that are missing, or zero where zero is meaningless, get the safest value: runs are not stopped, and tokens are
// kept for as long as a client may wait, or for an hour if that is not configured.
func TestLeftOut(t *testing.T) {
	c, err := Parse([]byte(`{"name":"n","listen":"127.0.0.1:1","kernel":"127.0.0.1:2","roster":"127.0.0.1:3",
		"settings":{"profiles":[
		{"name":"a","idempotency":"dedup","deadlineS":12},{"name":"b","idempotency":"dedup","windowS":0,"onTimeS":7200},
		{"name":"c","idempotency":"fragile"},{"name":"d","idempotency":"dedup","windowS":2,"deadlineS":12}]}}`), "", "")
	if err != nil {
		t.Fatal(err)
	}
	if p := c.Rules.Machine.Preemption; p != rpc.NoPreemption {
		t.Errorf("preemption %q", p)
	}
	for i, want := range []rpc.Method{{Deadline: 12, Window: 12}, {Window: 7200}, {}, {Deadline: 12, Window: 2}} {
		if m := c.Rules.Methods[i]; m.Deadline != want.Deadline || m.Window != want.Window {
			t.Errorf("%s: deadline %g, window %g", c.Methods[i], m.Deadline, m.Window)
		}
	}
	if c.StopTimeout != 3 || c.Memory != 192<<20 || c.Sockets != 1024 {
		t.Error(c.StopTimeout, c.Memory, c.Sockets)
	}
}

// Numbers are bounded, so that products of two of them stay finite.
func TestFinite(t *testing.T) {
	c, err := Parse([]byte(strings.NewReplacer(`1.6`, `1e308`, `3.9`, `1e308`, `"nCores":6`,
		`"memoryKb":1e308,"runFactor":1e308`,
		`3200`, `1e308`, `192`, `1e308`).Replace(exampleConfig)), "", "")
	if err != nil {
		t.Fatal(err)
	}
	m := c.Rules.Machine
	for k, v := range []float64{m.MemoryKB * m.RunFactor, c.Rules.Methods[0].Deadline * m.RunFactor,
		c.StopTimeout * 1e9} {
		if math.IsInf(v, 0) || math.IsNaN(v) {
			t.Error(k, v)
		}
	}
	if fmt.Sprint(c.Memory)[0] == '-' {
		t.Error(c.Memory)
	}
}
