package config

import (
	"bytes"
	"fmt"
	"os"
	"strings"
	"testing"
)

// An invalid directive is reported with its line, and so are contradictions between directives.
func Example_directiveErrors() {
	for _, text := range []string{"pressure", "pressure on off", "# remark\n\npressured on", "pressure on\npressure off",
		"pressure.loop-delay 5", "pressure.loop-delay 2h", "pressure.memory 75", "pressure.memory 100%",
		"pressure.every 50ms \"half", "pressure.forecast off\npressure.growth 1m"} {
		_, err := ParseSettings("op.conf", []byte(text))
		fmt.Println(err)
	}
	_, err := ReadSettings("/nowhere/op.conf")
	fmt.Println(err)
	// Output:
	// op.conf:1: pressure: on or off is wanted
	// op.conf:1: pressure: on or off is wanted
	// op.conf:3: pressured: no such directive
	// op.conf:2: pressure: set before, in line 1
	// op.conf:1: pressure.loop-delay: "5" is no time such as 250ms or 2m
	// op.conf:1: pressure.loop-delay: 2h0m0s is not from 1ms to 1m0s
	// op.conf:1: pressure.memory: a share such as 75% is wanted, or off
	// op.conf:1: pressure.memory: "100%" is not from 1% to 99%
	// op.conf:1: EOF found when expecting closing quote
	// op.conf:2: pressure.growth: pressure.forecast is off
	// open /nowhere/op.conf: no such file or directory
}

// The fleet's directives are checked with each other, and with the platform's.
func Example_fleet() {
	const on = "fleet.listen 10.0.0.4:7946\n"
	for _, text := range []string{"fleet.listen 10.0.0.4", "fleet.zone east", on + "fleet.join", on + "fleet.join 10.0.0.5:1 10.0.0.5:1",
		on + "fleet.allow 10.0.0.0/33", on + "fleet.allow 10.0.0.1/8", on + "fleet.allow 192.168.0.0/16", "fleet.listen 0.0.0.0:7946",
		on + "fleet.advertise 0.0.0.0:7946", on + "fleet.join 8.8.8.8:7946", on + "fleet.probe 2s", on + "fleet.hold 200ms",
		on + "fleet.zone " + strings.Repeat("x", 65), on + "fleet.socket a b",
		on + "fleet.voters a b", on + "fleet.voters a b c d", on + "fleet.voters a b a", on + "fleet.lease 5s", on + "fleet.voters a b c\nfleet.lease 600ms",
		on + "fleet.voters a b c\nfleet.drift 30%", on + "fleet.voters a b c\nfleet.office sweep", on + "fleet.voters a b c\nfleet.office sweep 10.0.0.9 1s",
		on + "fleet.voters a b c / a b", on + "fleet.voters a b c / a b d / a e d", on + "fleet.voters a b c\nfleet.office s 10.0.0.9:1 1s / s 10.0.0.9:2 1s",
		on + "fleet.voters a b c\nfleet.office s 10.0.0.9:1 1s /", on + "fleet.share s 9 m", on + "fleet.voters a b c\nfleet.share s 0 m",
		on + "fleet.voters a b c\nfleet.share s auto 9-4 80ms m", on + "fleet.voters a b c\nfleet.share s auto 4 80ms m", on + "fleet.voters a b c\nfleet.share s 9 m / t 9 m",
		on + "fleet.voters a b c\nfleet.share s 9", on + "fleet.voters a b c\nfleet.floor 1 a", on + "fleet.voters a b c\nfleet.share s auto 2-9 80ms m\nfleet.floor 1 a b c",
		on + "fleet.voters a b c\nfleet.share s 9 m\nfleet.floor 1 a a"} {
		_, err := ParseSettings("op.conf", []byte(text))
		fmt.Println(err)
	}
	settings, err := ParseSettings("op.conf", []byte("fleet.listen off\n"))
	fmt.Println(settings.Fleet.On(), err)
	settings, err = ParseSettings("op.conf", []byte("fleet.listen 0.0.0.0:7946\nfleet.advertise 10.1.2.3:7946\nfleet.join 10.0.0.5:7946 10.0.0.6:7946\n"))
	fmt.Println(settings.Fleet.On(), err)
	c := &Config{Name: strings.Repeat("n", 65)}
	fmt.Println(settings.Fleet.CheckAgainst(c))
	c.Name, c.Listen = "n1", settings.Fleet.Listen
	fmt.Println(settings.Fleet.CheckAgainst(c))
	settings, err = ParseSettings("op.conf", []byte(on+"fleet.voters a b c / a b d\nfleet.state /s\nfleet.office s 10.0.0.9:1 1s / t 10.0.0.9:2 2s\n"))
	fmt.Println(len(settings.Fleet.Roles), err, settings.Fleet.CheckAgainst(c))
	c.Name = "d"
	fmt.Println(settings.Fleet.CheckAgainst(c))
	settings, err = ParseSettings("op.conf", []byte(on+"fleet.voters a b c\nfleet.share s 9 m n / t auto 3-64 80ms o\nfleet.floor 1 a b c\n"))
	fmt.Println(settings.Fleet.Shares, settings.Fleet.ReservedMembers, err)
	c.Methods = []string{"m", "n"}
	fmt.Println(settings.Fleet.CheckAgainst(c))
	// Output:
	// op.conf:1: fleet.listen: "10.0.0.4" is no address and port such as 10.0.0.4:7946
	// op.conf:1: fleet.zone: fleet.listen is not set
	// op.conf:2: fleet.join: one to 64 addresses are wanted, or none
	// op.conf:2: fleet.join: 10.0.0.5:1 is named twice
	// op.conf:2: fleet.allow: "10.0.0.0/33" is no network such as 10.0.0.0/8
	// op.conf:2: fleet.allow: 10.0.0.1/8 has bits past its length: 10.0.0.0/8 is meant?
	// op.conf:1: fleet.listen: 10.0.0.4:7946 is not among fleet.allow, so others would drop what comes from there
	// op.conf:1: fleet.listen: others need to be told an address: set fleet.advertise
	// op.conf:2: fleet.advertise: 0.0.0.0:7946 is no address that others could reach
	// op.conf:2: fleet.join: 8.8.8.8:7946 is not among fleet.allow
	// op.conf:2: fleet.probe: a hold of 600ms is less than the 2s between two probes
	// op.conf:2: fleet.hold: a hold of 200ms is less than the 300ms between two probes
	// op.conf:2: fleet.zone: one name of at most 64 bytes is wanted
	// op.conf:2: fleet.socket: one path of at most 100 bytes is wanted
	// op.conf:2: fleet.voters: three, five or seven names are wanted, not 2
	// op.conf:2: fleet.voters: three, five or seven names are wanted, not 4
	// op.conf:2: fleet.voters: a is named twice
	// op.conf:2: fleet.lease: fleet.voters is not set
	// op.conf:3: fleet.lease: a lease of 600ms is shorter than three probes of 300ms
	// op.conf:3: fleet.drift: "30%" is not from 0.01% to 20%
	// op.conf:3: fleet.office: a name, an address and a time are wanted, such as sweep 10.0.0.9:7100 1s
	// op.conf:3: fleet.office: "10.0.0.9" is no address and port such as 10.0.0.4:7946
	// op.conf:2: fleet.voters: three, five or seven names are wanted, not 2
	// op.conf:2: fleet.voters: one list of voters is wanted, or two while they are changed, not 3
	// op.conf:3: fleet.office: s is named twice
	// op.conf:3: fleet.office: a name, an address and a time are wanted, such as sweep 10.0.0.9:7100 1s
	// op.conf:2: fleet.share: fleet.voters is not set
	// op.conf:3: fleet.share: "0" is no number from 1 to 100000
	// op.conf:3: fleet.share: the least, 9, is above the most, 4
	// op.conf:3: fleet.share: a name, a limit and methods are wanted, such as register 16 lookup record, or scorer auto 4-64 80ms score
	// op.conf:3: fleet.share: m is in s already
	// op.conf:3: fleet.share: a name, a limit and methods are wanted, such as register 16 lookup record, or scorer auto 4-64 80ms score
	// op.conf:3: fleet.floor: fleet.share is not set
	// op.conf:4: fleet.floor: 3 members with 1 reserved are more than the 2 of s
	// op.conf:4: fleet.floor: "a" is no name, or named twice
	// false <nil>
	// true <nil>
	// name: 65 bytes are more than the 64 that a fleet takes
	// listen: 0.0.0.0:7946 is the fleet's too
	// 2 <nil> name: "n1" is not among fleet.voters, so it has no votes to persist: fleet.state is for voters
	// <nil>
	// [s 9 m n t auto 3-64 80ms o] [a b c] <nil>
	// settings.profiles: no method is called "o", which fleet.share t names
}

// What is shown is what was set, and where.
func Example_show() {
	settings, err := ParseSettings("op.conf", []byte("pressure on\n'pressure.memory'  80% # remark\npressure.unread off\npressure.cpu 50%\n"))
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

// The file that the operators begin with is the one that the program writes, and each of its remarks is a directive as
// it stands by default.
func TestSample(t *testing.T) {
	var out bytes.Buffer
	Sample(&out)
	shipped, err := os.ReadFile("../deploy/valveglade.conf")
	if err != nil || string(shipped) != out.String() {
		t.Errorf("deploy/valveglade.conf is not what `valveglade sample` writes: %v", err)
	}
	var text strings.Builder
	for line := range strings.Lines(out.String()) {
		if rest, ok := strings.CutPrefix(line, "#"); ok && !strings.HasPrefix(rest, " ") {
			text.WriteString(rest)
		}
	}
	settings, err := ParseSettings("sample", []byte(text.String()))
	if err != nil {
		t.Fatal(err)
	}
	if len(settings.lines) != len(directives) || settings.Pressure.Config.Thresholds != NewSettings().Pressure.Config.Thresholds {
		t.Errorf("%d of %d directives, %+v", len(settings.lines), len(directives), settings.Pressure)
	}
}

// One text after another: an error or settings, never both, never neither.
func FuzzSettings(f *testing.F) {
	f.Add("pressure on\npressure.memory 80%")
	f.Fuzz(func(t *testing.T, text string) {
		if settings, err := ParseSettings("f", []byte(text)); (err == nil) == (settings == nil) {
			t.Errorf("%v and %v", settings, err)
		}
	})
}
