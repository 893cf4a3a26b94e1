package quorum_test

import (
	"fmt"

	"valveglade/logic/quorum"
)

// While the voters are being changed, a majority of each list is needed.
func Example() {
	voters := quorum.New([][]string{{"a", "b", "c"}, {"d", "b", "c"}})
	set := func(names ...string) (set quorum.Set) {
		for _, name := range names {
			set = set.With(voters.Number(name))
		}
		return set
	}
	fmt.Println(voters.Names(), voters.Number("e"))
	fmt.Println(voters.Majority(set("a", "b")), voters.Majority(set("b", "c")),
		voters.Majority(set("a", "b", "d")))
	fmt.Println(quorum.New(nil).Majority(0))
	// Output:
	// [a b c d] -1
	// false true true
	// false
}
