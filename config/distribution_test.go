package config

import (
	"bytes"
	"fmt"
	"strings"
)

// The directives of distribution are checked each and with the fleet's.
func Example_distribution() {
	const off = "fleet.listen 10.0.0.4:7946\n"
	const voters = off + "fleet.voters a b c\n"
	const on = voters + "fleet.config on\n"
	for _, text := range []string{"fleet.config on", off + "fleet.config yes", off + "fleet.config on", voters + "fleet.config-age 20s",
		voters + "fleet.config-rate 20KB", on + "fleet.config-services", on + "fleet.config-services s all", on + "fleet.config-services s s",
		on + "fleet.config-services 's t'", on + "fleet.config-distributors " + strings.Repeat("x", 65), on + "fleet.config-distributors none a",
		on + "fleet.config-rate 20", on + "fleet.config-rate 1.5KB", on + "fleet.config-rate 2000MB", on + "fleet.config-rate 999B",
		on + "fleet.config-age 4s", on + "fleet.lease 10s", on + "fleet.config-age 5s\nfleet.lease 3s"} {
		_, err := ParseSettings("op.conf", []byte(text))
		fmt.Println(err)
	}
	settings, err := ParseSettings("op.conf", []byte(on+"fleet.config-services s t\nfleet.config-distributors d e\nfleet.config-rate 1500KB\nfleet.config-age 1m\n"))
	fmt.Printf("%+v %v\n", settings.Fleet.Distribution, err)
	var out bytes.Buffer
	settings.Show(&out)
	for line := range strings.Lines(out.String()) {
		if strings.HasPrefix(line, "fleet.config") {
			fmt.Print(line)
		}
	}
	fmt.Println(settings.Fleet.CheckAgainst(&Config{Name: "n1"}))
	fmt.Println(settings.Fleet.CheckAgainst(&Config{Name: "a"}))
	settings.Fleet.StateDir = "/s"
	fmt.Println(settings.Fleet.CheckAgainst(&Config{Name: "a"}), settings.Fleet.CheckAgainst(&Config{Name: "n1"}))
	// Output:
	// op.conf:1: fleet.config: fleet.listen is not set
	// op.conf:2: fleet.config: on or off is wanted
	// op.conf:2: fleet.config: fleet.voters is not set
	// op.conf:3: fleet.config-age: fleet.config is off
	// <nil>
	// op.conf:4: fleet.config-services: one to 400 names are wanted, or none
	// op.conf:4: fleet.config-services: all stands alone
	// op.conf:4: fleet.config-services: s is named twice
	// op.conf:4: fleet.config-services: service: "s t" has a byte that is not printable ASCII, or a space
	// op.conf:4: fleet.config-distributors: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" is no name of at most 64 bytes
	// op.conf:4: fleet.config-distributors: none stands alone
	// op.conf:4: fleet.config-rate: "20" is no size such as 20KB or 1MB
	// op.conf:4: fleet.config-rate: "1.5KB" is no size such as 20KB or 1MB
	// op.conf:4: fleet.config-rate: 2000MB is not from 1KB to 1000MB
	// op.conf:4: fleet.config-rate: 999B is not from 1KB to 1000MB
	// op.conf:4: fleet.config-age: 4s is not from 5s to 1h0m0s
	// op.conf:4: fleet.lease: an age of 18s is shorter than two leases of 10s
	// op.conf:4: fleet.config-age: an age of 5s is shorter than two leases of 3s
	// {On:true AllServices:false Services:[s t] Distributors:[d e] BytesPerSecond:1.5e+06 StaleAfter:60} <nil>
	// fleet.config             on         # op.conf:3
	// fleet.config-services    s t        # op.conf:4
	// fleet.config-distributors d e        # op.conf:5
	// fleet.config-rate        1500KB     # op.conf:6
	// fleet.config-age         1m0s       # op.conf:7
	// <nil>
	// name: "a" is among fleet.voters: for fleet.config it needs a folder of its own, fleet.state
	// <nil> <nil>
}
