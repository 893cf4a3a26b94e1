package configtable

import (
	"bytes"
	"errors"
	"fmt"
	"math"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// A valid change survives a round trip through its binary form, its snapshot entry and its text form.
func TestChangeRoundTrips(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		change := generateChange().Draw(t, "change")
		encoded, err := change.Encode()
		if err != nil || len(encoded) > MaxEncodedBytes {
			t.Fatalf("encoded as %d bytes: %v", len(encoded), err)
		}
		if got, err := Decode(encoded); err != nil || got != change {
			t.Fatalf("decoded %v, want %v (%v)", got, change, err)
		}
		for cut := range encoded {
			if got, err := Decode(encoded[:cut]); err == nil {
				t.Fatalf("the first %d bytes of %v decode to %v, want an error", cut, change, got)
			}
		}
		if got, err := ParseChanges("f", []byte(change.String())); err != nil || len(got) != 1 || got[0] != change {
			t.Fatalf("parsed %v, want %v (%v)", got, change, err)
		}
		if change.Operation == Put {
			if got, err := DecodeEntry(change.Service, change.AppendEntry(nil)); err != nil || got != change {
				t.Fatalf("entry %v, want %v (%v)", got, change, err)
			}
		}
	})
}

// Decode accepts only the exact results of Encode; all other input returns a typed error and no change.
func FuzzDecode(f *testing.F) {
	for index := range 20 {
		encoded, _ := sizedChange(index).Encode()
		f.Add(encoded)
	}
	f.Add([]byte{2, 1, 1, 's', 1, 'n'})
	f.Fuzz(func(t *testing.T, data []byte) {
		change, err := Decode(data)
		if err != nil {
			var decodeErr *DecodeError
			var changeErr *ChangeError
			if change != (Change{}) || !errors.As(err, &decodeErr) && !errors.As(err, &changeErr) {
				t.Fatalf("decoded %v with error %v", change, err)
			}
			return
		}
		if reencoded, err := change.Encode(); err != nil || !bytes.Equal(reencoded, data) {
			t.Fatalf("%x is decoded, but encoded again as %x (%v)", data, reencoded, err)
		}
	})
}

// Validate checks each field, and the error names the invalid one.
func TestValidate(t *testing.T) {
	valid := Change{Put, Route, "s", "n", Value{Route: RouteValue{"m", 250, 1000, 0.5}}}
	for _, testCase := range []struct {
		field   string
		corrupt func(c *Change)
	}{
		{"operation", func(c *Change) { c.Operation = 3 }},
		{"operation", func(c *Change) { c.Operation = Delete }},
		{"kind", func(c *Change) { c.Kind = 0 }},
		{"kind", func(c *Change) { c.Kind = Tenant }},
		{"kind", func(c *Change) { c.Value.Tenant.QuotaPerSecond = 1 }},
		{"service", func(c *Change) { c.Service = "" }},
		{"name", func(c *Change) { c.Name = strings.Repeat("x", MaxNameBytes+1) }},
		{"name", func(c *Change) { c.Name = "a b" }},
		{"method", func(c *Change) { c.Value.Route.Method = "é" }},
		{"target", func(c *Change) { c.Value.Route.LatencyTargetMilliseconds = 0 }},
		{"target", func(c *Change) { c.Value.Route.LatencyTargetMilliseconds = math.NaN() }},
		{"deadline", func(c *Change) { c.Value.Route.DeadlineMilliseconds = 249 }},
		{"deadline", func(c *Change) { c.Value.Route.DeadlineMilliseconds = math.Inf(1) }},
		{"criticality", func(c *Change) { c.Value.Route.Criticality = math.Copysign(0, -1) }},
	} {
		change := valid
		testCase.corrupt(&change)
		var changeErr *ChangeError
		if err := change.Validate(); !errors.As(err, &changeErr) || changeErr.Field != testCase.field {
			t.Errorf("%v: error %v, want a *ChangeError of field %s", change, err, testCase.field)
		}
		if _, err := change.Encode(); err == nil {
			t.Errorf("the invalid change %v is encoded", change)
		}
	}
}

// ParseChanges reports every invalid line of a file.
func ExampleParseChanges() {
	changes, err := ParseChanges("ops.txt", []byte("# quotas\n\nput tenant a service=s quota=120\n"+
		"put route r deadline=1s service=s method=m target=250ms criticality=0.5\ndelete tenant b service=s\n"))
	fmt.Println(changes, err)
	_, err = ParseChanges("ops.txt", []byte("put tenant\nset tenant a\nput host a\nput tenant a quota=1\n"+
		"put tenant a service=s quota=-1\n"+
		"put tenant a service=s quota=1 quota=2\nput tenant a service=s quota=1 target=1s\n"+
		"put tenant a service=s quota\n"+
		"put route r service=s method=m target=2s deadline=1s criticality=0\n"+
		"put route r service=s method=m target=1e3ms deadline=1s criticality=0\n"+
		"delete tenant b service=s\ndelete tenant b service=s\n"))
	fmt.Println(err)
	// Output:
	// [put tenant a service=s quota=120 put route r service=s method=m target=250ms deadline=1000ms criticality=0.5 delete tenant b service=s] <nil>
	// ops.txt:1: want put or delete, route or tenant, and a name
	// ops.txt:2: set: want put or delete
	// ops.txt:3: host: want route or tenant
	// ops.txt:4: a: service: missing
	// ops.txt:5: a: quota: "-1" is not a number such as 120 or 0.5
	// ops.txt:6: a: quota: set twice
	// ops.txt:7: a: target: unknown field; want service, quota
	// ops.txt:8: a: "quota" is not of the form FIELD=VALUE
	// ops.txt:9: r: deadline: 1000ms is less than the latency target of 2000ms
	// ops.txt:10: r: target: "1e3ms" is not a duration such as 250ms, 1.5s or 2m
	// ops.txt:12: b: the entry is already changed in line 11
}
