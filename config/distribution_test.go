package config

import (
	"bytes"
	"fmt"
	"strings"
)

// The directives of the distribution are checked one by one and against those of the fleet.
func Example_distribution() {
	const fleetOn = "fleet.listen 10.0.0.4:7946\n"
	const withVoters = fleetOn + "fleet.voters a b c\n"
	const distributionOn = withVoters + "fleet.config on\n"
	for _, text := range []string{"fleet.config on", fleetOn + "fleet.config yes", fleetOn + "fleet.config on",
		withVoters + "fleet.config-age 20s",
		withVoters + "fleet.config-rate 20KB", distributionOn + "fleet.config-services",
		distributionOn + "fleet.config-services s all", distributionOn + "fleet.config-services s s",
		distributionOn + "fleet.config-services 's t'",
		distributionOn + "fleet.config-distributors " + strings.Repeat("x", 65),
		distributionOn + "fleet.config-distributors none a",
		distributionOn + "fleet.config-rate 20", distributionOn + "fleet.config-rate 1.5KB",
		distributionOn + "fleet.config-rate 2000MB", distributionOn + "fleet.config-rate 999B",
		distributionOn + "fleet.config-age 4s", distributionOn + "fleet.lease 10s",
		distributionOn + "fleet.config-age 5s\nfleet.lease 3s"} {
		_, err := ParseSettings("op.conf", []byte(text))
		fmt.Println(err)
	}
	settings, err := ParseSettings("op.conf",
		[]byte(distributionOn+
			"fleet.config-services s t\nfleet.config-distributors d e\nfleet.config-rate 1500KB\nfleet.config-age 1m\n"))
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
	// op.conf:2: fleet.config: expected on or off
	// op.conf:2: fleet.config: fleet.voters is not set
	// op.conf:3: fleet.config-age: fleet.config is off
	// <nil>
	// op.conf:4: fleet.config-services: expected 1 to 400 names or none
	// op.conf:4: fleet.config-services: all cannot be combined with other names
	// op.conf:4: fleet.config-services: s is named twice
	// op.conf:4: fleet.config-services: service: "s t" has a byte that is not printable ASCII, or a space
	// op.conf:4: fleet.config-distributors: "xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx" is not a name of 1 to 64 bytes
	// op.conf:4: fleet.config-distributors: none cannot be combined with other names
	// op.conf:4: fleet.config-rate: expected a size such as 20KB or 1MB, got "20"
	// op.conf:4: fleet.config-rate: expected a size such as 20KB or 1MB, got "1.5KB"
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
	// name: "a" is in fleet.voters: with fleet.config on it needs a directory of its own in fleet.state
	// <nil> <nil>
}
