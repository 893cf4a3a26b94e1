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

func Example_badInput() {
	run(batch("{", "0100000003000000000000000900000000"+"00000001"))
	run(batch("", "6300000003"))
	run(batch("")[:20])
	// Output:
	// settings of instance 3: unexpected end of JSON input
	// wire: unknown event code 99 in record 0
	// wire: short header
}
