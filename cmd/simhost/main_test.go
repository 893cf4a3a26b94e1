package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
)

// run feeds hex frames to a host and prints the codes of each reply's actions, and the error if there is one.
func run(frames ...string) {
	in, err := hex.DecodeString(strings.Join(frames, ""))
	if err != nil {
		panic(err)
	}
	var out bytes.Buffer
	err = serve(bytes.NewReader(in), &out)
	for b := out.Bytes(); len(b) > 0; {
		n, size := int(b[3]), int(b[6])<<8|int(b[7])
		fmt.Print("reply:")
		for k := range n {
			fmt.Printf(" %d", b[8+24*k])
		}
		fmt.Println()
		b = b[size:]
	}
	fmt.Println(err)
}

func batch(tail string, records ...string) string {
	body := ""
	for _, r := range records {
		body += r + strings.Repeat("0", 144-len(r))
	}
	return fmt.Sprintf("%08x%08x4020d3126e978d50%s%x", len(records), 16+72*len(records)+len(tail), body, tail)
}

// What is not known any more changes nothing; a start, an RPC of no known method, and a stop.
func Example_serve() {
	settings := `{"domain":{"nCores":1,"signal":"allowance"},"unknown":1}`
	run(batch(""),
		batch(settings, "010000000300000000000000090000000000"+fmt.Sprintf("%06x", len(settings))),
		batch("", "0300000003000a4b7f5d3a91c400c8", "0700000003000a4b7f5d3a91c4", "0700000004000a4b7f5d3a91c4"),
		batch("", "0200000003000a4b7f5d3a91c4"),
		batch("", "0900000003", "0200000003000a4b7f5d3a91c5"))
	// Output:
	// reply:
	// reply: 10 11 13
	// reply:
	// reply: 3
	// reply:
	// <nil>
}

// Bad settings end their instance alone, with the key named; events that are not known disturb nobody; a frame that is cut off
// ends the process, as nothing behind it can be read.
func Example_badInput() {
	hello := func(who int, settings string) string {
		return batch(settings, fmt.Sprintf("01%08x%016x%08x%08x", who, 9, 0, len(settings)))
	}
	good := `{"domain":{"nCores":1}}`
	for _, bad := range []string{"{", `{"domain":{"nCores":"two"}}`, `{"domain":{"signal":"shouts"}}`,
		`{"domain":{"preemption":"maybe"}}`, `{"domain":{"below":"sea"}}`, `{"domain":{"freshS":-1}}`,
		`{"profiles":[{"idempotency":"perhaps"}]}`, `{"profiles":[{"idempotency":"dedup","windowS":-1}]}`} {
		var out bytes.Buffer
		in, _ := hex.DecodeString(hello(3, bad))
		serve(bytes.NewReader(in), &out)
		fmt.Printf("%d %s\n", out.Bytes()[8], out.Bytes()[8+24:])
	}
	run(hello(3, "{"), hello(4, good), batch("", "6300000003", "0200000004000a4b7f5d3a91c5", "0200000003000a4b7f5d3a91c6"))
	run(batch("")[:20])
	// Output:
	// 15 settings: not a JSON object: unexpected end of JSON input
	// 15 settings: domain.nCores: a JSON string where a number is wanted
	// 15 settings: domain.signal: "shouts" is not known
	// 15 settings: domain.preemption: "maybe" is not known
	// 15 settings: domain.below: "sea" is not known
	// 15 settings: domain.freshS: -1 is negative
	// 15 settings: profiles[0].idempotency: "perhaps" is not known
	// 15 settings: profiles[0].windowS: -1 is negative
	// reply: 15
	// reply: 10 13
	// reply: 3
	// <nil>
	// wire: short header
}
