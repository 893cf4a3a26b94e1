package wire

import (
	"bytes"
	"encoding/hex"
	"fmt"
	"strings"
)

// eventPrinter prints each event of a batch.
type eventPrinter struct{}

func (eventPrinter) Hello(instance uint32, seed uint64, params []byte) {
	fmt.Printf("hello %d seed %d %s\n", instance, seed, params)
}

func (eventPrinter) Unknown(instance uint32, code byte) {
	fmt.Printf("unknown %d code %d\n", instance, code)
}

func (eventPrinter) Order(instance uint32, handle uint64, readDelay float64, isRetry, readOnly bool, repeatOf uint64,
	deadline float64, caller uint16, tenant uint32, sizeKB float64, method uint16) {
	fmt.Printf(
		"order %d %x delay %.4f further %v readOnly %v repeats %x deadline %.3f from %d tenant %d %.1f kB class %d\n",
		instance, handle, readDelay, isRetry, readOnly, repeatOf, deadline, caller, tenant, sizeKB, method)
}

func (eventPrinter) WoundUp(instance uint32, handle uint64, result uint16, duration float64) {
	fmt.Printf("wound up %d %x %d %.4f\n", instance, handle, result, duration)
}

func (eventPrinter) Stalled(instance uint32, handle uint64) {
	fmt.Printf("stalled %d %x\n", instance, handle)
}

func (eventPrinter) Downstream(instance uint32, handle uint64, result uint16, duration float64) {
	fmt.Printf("downstream %d %x %d %.2f\n", instance, handle, result, duration)
}

func (eventPrinter) Notice(instance uint32, stopTime float64) {
	fmt.Printf("notice %d %.3f\n", instance, stopTime)
}
func (eventPrinter) Lapsed(instance uint32, handle uint64) {
	fmt.Printf("lapsed %d %x\n", instance, handle)
}
func (eventPrinter) Stop(instance uint32) { fmt.Printf("stop %d\n", instance) }
func (eventPrinter) Elapsed(instance uint32, timerID uint64, count int, gauges [4]float64) {
	fmt.Printf("elapsed %d timer %d %.2f\n", instance, timerID, gauges[:count])
}

// frame builds a batch of records given in hex, each padded with zeros, and a payload.
func frame(payload string, records ...string) []byte {
	body := ""
	for _, r := range records {
		r = strings.ReplaceAll(r, " ", "")
		body += r + strings.Repeat("0", 2*eventSize-len(r))
	}
	size := batchHeaderSize + eventSize*len(records) + len(payload)
	b, err := hex.DecodeString(fmt.Sprintf("%08x%08x4020d3126e978d50%s%x", len(records), size, body, payload))
	if err != nil {
		panic(err)
	}
	return b
}

func decode(b []byte) {
	f, err := ReadFrame(bytes.NewReader(b), nil)
	if err == nil {
		err = Decode(f, eventPrinter{})
	}
	if err != nil {
		fmt.Println(err)
	}
}

func Example_events() {
	decode(frame("{}",
		"01 00000003 0000000000000009 00000000 00000002",
		"02 00000003 000a4b7f5d3a91c4 3f5e4f765fd8adac 01 3f200000 3f889374bc6a7efa 00036ff20e6f2b19"+
			"40214df3b645a1cb 91f03b7c55d20a64 0011 00000000 41c40000 0002",
		"03 00000003 000a4b7f5d3a91c4 00c8 3f92f1a9fbe76c8b",
		"04 00000003 000a4b7f5d3a91c4",
		"05 00000003 000a4b7f5d3a91c4 01f8 3fb47ae147ae147b",
		"06 00000003 4027d3126e978d50",
		"07 00000005 00036ff20e6f2b19",
		"08 00000003 000000000000004d 04 3f1eb852 40400000 3ed1eb85 42f00000",
		"09 00000003"))
	// Output:
	// hello 3 seed 9 {}
	// order 3 a4b7f5d3a91c4 delay 0.0019 further false readOnly true repeats 36ff20e6f2b19 deadline 8.652 from 17 tenant 0 24.5 kB class 2
	// wound up 3 a4b7f5d3a91c4 200 0.0185
	// stalled 3 a4b7f5d3a91c4
	// downstream 3 a4b7f5d3a91c4 504 0.08
	// notice 3 11.912
	// lapsed 5 36ff20e6f2b19
	// elapsed 3 timer 77 [0.62 3.00 0.41 120.00]
	// stop 3
}

func Example_malformed() {
	decode(frame("", "63 00000003", "09 00000003")) // an unknown event does not affect the rest of the batch
	decode(frame("{}", "01 00000003 0000000000000009 00000001 00000002", "09 00000004"))
	decode(frame("", "09 00000003")[:40])
	decode(frame("")[:7])
	b := frame("", "09 00000003")
	b[7]--
	decode(b)
	// Output:
	// unknown 3 code 99
	// stop 3
	// unknown 3 code 1
	// stop 4
	// wire: short frame
	// wire: short header
	// wire: a frame of 87 bytes cannot hold 1 records
}

func Example_reply() {
	var r Reply
	const h = 0xa4b7f5d3a91c4
	r.Take(3, h)
	r.Remind(3, 0.5, 77)
	r.Debug(5, "two servers known")
	r.Busy(3, h, true, 0.25)
	r.Fail(3, h)
	r.Interrupt(3, h)
	r.Evict(3, h)
	r.Join(3, h)
	r.Dial(3, h, 0.08)
	r.RecordKey(3, h, 8)
	r.Health(3, true, false)
	r.Publish(3, 0.25)
	var b bytes.Buffer
	if _, err := r.WriteTo(&b); err != nil {
		fmt.Println(err)
	}
	fmt.Printf("%x\n", b.Next(8))
	for range 12 {
		fmt.Printf("%x\n", b.Next(actionSize))
	}
	fmt.Printf("%s\n", b.Bytes())
	// Output:
	// 0000000c00000139
	// 0100000003000a4b7f5d3a91c40000000000000000000000
	// 0d000000033fe0000000000000000000000000004d000000
	// 0e0000000500000000000000110000000000000000000000
	// 0200000003000a4b7f5d3a91c4013fd00000000000000000
	// 0300000003000a4b7f5d3a91c40000000000000000000000
	// 0400000003000a4b7f5d3a91c40000000000000000000000
	// 0800000003000a4b7f5d3a91c40000000000000000000000
	// 0900000003000a4b7f5d3a91c40000000000000000000000
	// 0500000003000a4b7f5d3a91c43fb47ae147ae147b000000
	// 0700000003000a4b7f5d3a91c44020000000000000000000
	// 0a0000000301000000000000000000000000000000000000
	// 0b000000033e800000000000000000000000000000000000
	// two servers known
}
