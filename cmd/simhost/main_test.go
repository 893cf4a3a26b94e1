package main

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
)

// run passes hex frames to serve and prints the codes of the actions in each reply, then the error.
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

// batch returns a frame in hex with records given in hex, each padded with zeros.
func batch(payload string, records ...string) string {
	body := ""
	for _, r := range records {
		body += r + strings.Repeat("0", 144-len(r))
	}
	return fmt.Sprintf("%08x%08x4020d3126e978d50%s%x", len(records), 16+72*len(records)+len(payload), body, payload)
}

// Events of unknown instances and of RPCs that are not pending are ignored. An RPC of an unknown method is failed.
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

// Invalid settings end only their instance, with an error that names the key. Unknown events are ignored. A truncated
// frame ends the process, as nothing after it can be read.
func Example_badInput() {
	hello := func(instance int, settings string) string {
		return batch(settings, fmt.Sprintf("01%08x%016x%08x%08x", instance, 9, 0, len(settings)))
	}
	valid := `{"domain":{"nCores":1}}`
	for _, invalid := range []string{"{", `{"domain":{"nCores":"two"}}`, `{"domain":{"signal":"shouts"}}`,
		`{"domain":{"preemption":"maybe"}}`, `{"domain":{"below":"sea"}}`, `{"domain":{"freshS":-1}}`,
		`{"profiles":[{"idempotency":"perhaps"}]}`, `{"profiles":[{"idempotency":"dedup","windowS":-1}]}`} {
		var out bytes.Buffer
		in, _ := hex.DecodeString(hello(3, invalid))
		serve(bytes.NewReader(in), &out)
		fmt.Printf("%d %s\n", out.Bytes()[8], out.Bytes()[8+24:])
	}
	run(hello(3, "{"), hello(4, valid),
		batch("", "6300000003", "0200000004000a4b7f5d3a91c5", "0200000003000a4b7f5d3a91c6"))
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
