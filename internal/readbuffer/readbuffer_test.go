package readbuffer

import (
	"fmt"
	"strings"
)

// The buffer grows as a message needs, moves what is left to its start in place, and stops at its limit.
func Example() {
	in := New(initialSize + 100)
	long := strings.NewReader(strings.Repeat("x", 3*initialSize))
	for {
		if err := in.Fill(long); err != nil {
			fmt.Println(len(in.Bytes()), err)
			break
		}
	}
	in.Discard(initialSize)
	fmt.Println(in.Fill(long), len(in.Bytes()), len(in.data))
	in.Discard(initialSize + 100)
	fmt.Println(in.Fill(strings.NewReader("y")), string(in.Bytes()))
	fmt.Println(in.Fill(strings.NewReader("")), string(in.Bytes()))
	// Output:
	// 4196 message larger than the buffer may grow
	// <nil> 4196 4196
	// <nil> y
	// EOF y
}
