package config

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
)

// Invalid directives and contradictions between directives are reported with their line.
func Example_directiveErrors() {
	for _, text := range []string{"pressure", "pressure on off", "# remark\n\npressured on",
		"pressure on\npressure off",
		"pressure.loop-delay 5", "pressure.loop-delay 2h", "pressure.memory 75", "pressure.memory 100%",
		"pressure.every 50ms \"half", "pressure.forecast off\npressure.growth 1m"} {
		_, err := ParseSettings("op.conf", []byte(text))
		fmt.Println(err)
	}
	_, err := ReadSettings("/nowhere/op.conf")
	fmt.Println(err)
	// Output:
	// op.conf:1: pressure: expected on or off
	// op.conf:1: pressure: expected on or off
	// op.conf:3: pressured: unknown directive
	// op.conf:2: pressure: already set in line 1
	// op.conf:1: pressure.loop-delay: expected a duration such as 250ms or 2m, got "5"
	// op.conf:1: pressure.loop-delay: 2h0m0s is not from 1ms to 1m0s
	// op.conf:1: pressure.memory: expected a percentage such as 75% or off
	// op.conf:1: pressure.memory: expected 1% to 99%, got "100%"
	// op.conf:1: EOF found when expecting closing quote
	// op.conf:2: pressure.growth: pressure.forecast is off
	// open /nowhere/op.conf: no such file or directory
}

// The directives of the fleet are checked against each other and against the platform's configuration.
func Example_fleet() {
	const fleetOn = "fleet.listen 10.0.0.4:7946\n"
	for _, text := range []string{"fleet.listen 10.0.0.4", "fleet.zone east", fleetOn + "fleet.join",
		fleetOn + "fleet.join 10.0.0.5:1 10.0.0.5:1",
		fleetOn + "fleet.allow 10.0.0.0/33", fleetOn + "fleet.allow 10.0.0.1/8",
		fleetOn + "fleet.allow 192.168.0.0/16", "fleet.listen 0.0.0.0:7946",
		fleetOn + "fleet.advertise 0.0.0.0:7946", fleetOn + "fleet.join 8.8.8.8:7946", fleetOn + "fleet.probe 2s",
		fleetOn + "fleet.hold 200ms",
		fleetOn + "fleet.zone " + strings.Repeat("x", 65), fleetOn + "fleet.socket a b",
		fleetOn + "fleet.voters a b", fleetOn + "fleet.voters a b c d", fleetOn + "fleet.voters a b a",
		fleetOn + "fleet.lease 5s", fleetOn + "fleet.voters a b c\nfleet.lease 600ms",
		fleetOn + "fleet.voters a b c\nfleet.drift 30%", fleetOn + "fleet.voters a b c\nfleet.office sweep",
		fleetOn + "fleet.voters a b c\nfleet.office sweep 10.0.0.9 1s",
		fleetOn + "fleet.voters a b c / a b", fleetOn + "fleet.voters a b c / a b d / a e d",
		fleetOn + "fleet.voters a b c\nfleet.office s 10.0.0.9:1 1s / s 10.0.0.9:2 1s",
		fleetOn + "fleet.voters a b c\nfleet.office s 10.0.0.9:1 1s /", fleetOn + "fleet.share s 9 m",
		fleetOn + "fleet.voters a b c\nfleet.share s 0 m",
		fleetOn + "fleet.voters a b c\nfleet.share s auto 9-4 80ms m",
		fleetOn + "fleet.voters a b c\nfleet.share s auto 4 80ms m",
		fleetOn + "fleet.voters a b c\nfleet.share s 9 m / t 9 m",
		fleetOn + "fleet.voters a b c\nfleet.share s 9", fleetOn + "fleet.voters a b c\nfleet.floor 1 a",
		fleetOn + "fleet.voters a b c\nfleet.share s auto 2-9 80ms m\nfleet.floor 1 a b c",
		fleetOn + "fleet.voters a b c\nfleet.share s 9 m\nfleet.floor 1 a a"} {
		_, err := ParseSettings("op.conf", []byte(text))
		fmt.Println(err)
	}
	settings, err := ParseSettings("op.conf", []byte("fleet.listen off\n"))
	fmt.Println(settings.Fleet.On(), err)
	settings, err = ParseSettings("op.conf",
		[]byte("fleet.listen 0.0.0.0:7946\nfleet.advertise 10.1.2.3:7946\nfleet.join 10.0.0.5:7946 10.0.0.6:7946\n"))
	fmt.Println(settings.Fleet.On(), err)
	c := &Config{Name: strings.Repeat("n", 65)}
	fmt.Println(settings.Fleet.CheckAgainst(c))
	c.Name, c.Listen = "n1", settings.Fleet.Listen
	fmt.Println(settings.Fleet.CheckAgainst(c))
	settings, err = ParseSettings("op.conf",
		[]byte(fleetOn+"fleet.voters a b c / a b d\nfleet.state /s\nfleet.office s 10.0.0.9:1 1s / t 10.0.0.9:2 2s\n"))
	fmt.Println(len(settings.Fleet.Roles), err, settings.Fleet.CheckAgainst(c))
	c.Name = "d"
	fmt.Println(settings.Fleet.CheckAgainst(c))
	settings, err = ParseSettings("op.conf",
		[]byte(fleetOn+"fleet.voters a b c\nfleet.share s 9 m n / t auto 3-64 80ms o\nfleet.floor 1 a b c\n"))
	fmt.Println(settings.Fleet.Shares, settings.Fleet.ReservedMembers, err)
	c.Methods = []string{"m", "n"}
	fmt.Println(settings.Fleet.CheckAgainst(c))
	// Output:
	// op.conf:1: fleet.listen: expected an address and port such as 10.0.0.4:7946, got "10.0.0.4"
	// op.conf:1: fleet.zone: fleet.listen is not set
	// op.conf:2: fleet.join: expected 1 to 64 addresses or none
	// op.conf:2: fleet.join: 10.0.0.5:1 is named twice
	// op.conf:2: fleet.allow: expected a network such as 10.0.0.0/8, got "10.0.0.0/33"
	// op.conf:2: fleet.allow: 10.0.0.1/8 has address bits beyond its prefix length; did you mean 10.0.0.0/8?
	// op.conf:1: fleet.listen: 10.0.0.4:7946 is not in fleet.allow, so other members would drop its packets
	// op.conf:1: fleet.listen: other members cannot reach an unspecified address: set fleet.advertise
	// op.conf:2: fleet.advertise: 0.0.0.0:7946 is not an address that other members can reach
	// op.conf:2: fleet.join: 8.8.8.8:7946 is not in fleet.allow
	// op.conf:2: fleet.probe: a hold time of 600ms is shorter than the probe interval of 2s
	// op.conf:2: fleet.hold: a hold time of 200ms is shorter than the probe interval of 300ms
	// op.conf:2: fleet.zone: expected one name of 1 to 64 bytes
	// op.conf:2: fleet.socket: expected one path of 1 to 100 bytes
	// op.conf:2: fleet.voters: three, five or seven names are wanted, not 2
	// op.conf:2: fleet.voters: three, five or seven names are wanted, not 4
	// op.conf:2: fleet.voters: a is named twice
	// op.conf:2: fleet.lease: fleet.voters is not set
	// op.conf:3: fleet.lease: a lease of 600ms is shorter than three probe intervals of 300ms
	// op.conf:3: fleet.drift: expected 0.01% to 20%, got "30%"
	// op.conf:3: fleet.office: expected a name, an address and an interval, such as sweep 10.0.0.9:7100 1s
	// op.conf:3: fleet.office: expected an address and port such as 10.0.0.4:7946, got "10.0.0.9"
	// op.conf:2: fleet.voters: three, five or seven names are wanted, not 2
	// op.conf:2: fleet.voters: one list of voters is wanted, or two while they are changed, not 3
	// op.conf:3: fleet.office: s is named twice
	// op.conf:3: fleet.office: expected a name, an address and an interval, such as sweep 10.0.0.9:7100 1s
	// op.conf:2: fleet.share: fleet.voters is not set
	// op.conf:3: fleet.share: "0" is not a number from 1 to 100000
	// op.conf:3: fleet.share: the lower limit 9 is above the upper limit 4
	// op.conf:3: fleet.share: expected NAME LIMIT METHOD..., such as register 16 lookup or scorer auto 4-64 80ms score
	// op.conf:3: fleet.share: m is already in s
	// op.conf:3: fleet.share: expected NAME LIMIT METHOD..., such as register 16 lookup or scorer auto 4-64 80ms score
	// op.conf:3: fleet.floor: fleet.share is not set
	// op.conf:4: fleet.floor: 3 members with 1 reserved permits each exceed the limit of 2 of share s
	// op.conf:4: fleet.floor: "a" is not a valid name or is named twice
	// false <nil>
	// true <nil>
	// name: 65 bytes exceed the limit of 64 for a name in a fleet
	// listen: 0.0.0.0:7946 is also the address of fleet.listen
	// 2 <nil> name: "n1" is not in fleet.voters, so it has no votes to persist: fleet.state is for voters
	// <nil>
	// [s 9 m n t auto 3-64 80ms o] [a b c] <nil>
	// settings.profiles: no method "o", which fleet.share t refers to
}

// Show writes each value and the line that set it.
func Example_show() {
	settings, err := ParseSettings("op.conf",
		[]byte("pressure on\n'pressure.memory'  80% # remark\npressure.unread off\npressure.cpu 50%\n"))
	fmt.Println(err)
	var out bytes.Buffer
	settings.Show(&out)
	for line := range strings.Lines(out.String()) {
		if strings.Contains(line, "op.conf") || strings.Contains(line, "loop") {
			fmt.Print(line)
		}
	}
	// Output:
	// <nil>
	// pressure                 on         # op.conf:1
	// pressure.loop-delay      20ms       # default
	// pressure.unread          off        # op.conf:3
	// pressure.cpu             50%        # op.conf:4
	// pressure.memory          80%        # op.conf:2
}

// deploy/valveglade.conf equals the output of Sample, and each commented directive there parses to its default.
func TestSample(t *testing.T) {
	var out bytes.Buffer
	Sample(&out)
	shipped, err := os.ReadFile("../deploy/valveglade.conf")
	if err != nil || string(shipped) != out.String() {
		t.Errorf("deploy/valveglade.conf is not what `valveglade sample` writes: %v", err)
	}
	var text strings.Builder
	for line := range strings.Lines(out.String()) {
		if uncommented, ok := strings.CutPrefix(line, "#"); ok && !strings.HasPrefix(uncommented, " ") {
			text.WriteString(uncommented)
		}
	}
	settings, err := ParseSettings("sample", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(settings.lines) != len(directives) ||
		settings.Pressure.Config.Thresholds != NewSettings().Pressure.Config.Thresholds {
		t.Errorf("%d of %d directives, %+v", len(settings.lines), len(directives), settings.Pressure)
	}
}

// Every text yields either settings or an error.
func FuzzSettings(f *testing.F) {
	f.Add("pressure on\npressure.memory 80%")
	f.Fuzz(func(t *testing.T, text string) {
		if settings, err := ParseSettings("f", []byte(text)); (err == nil) == (settings == nil) {
			t.Errorf("%v and %v", settings, err)
		}
	})
}
