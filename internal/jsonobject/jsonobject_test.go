package jsonobject

import (
	"fmt"
	"math"
	"slices"
	"testing"
)

func parseOrPrint(text string) *Object {
	o, err := Parse([]byte(text))
	if err != nil {
		fmt.Println(err)
	}
	return o
}

// Values of every type and integers in every form are read; an absent or null key leaves the default unchanged.
func Example_values() {
	o := parseOrPrint(`{"text":"<&>","flag":true,"six":6.0,"seven":7e0,"huge":1e999,"null":null,"unasked":[{"x":1e999}],
		"in":{"flags":[true,null],"numbers":[1,null,2.5],"texts":["a",null]},"list":[{"k":1},null]}`)
	text, flag, number, whole := "default", false, 1.5, 3
	o.Text("null", &text)
	o.Text("absent", &text)
	fmt.Println(text)
	o.Text("text", &text)
	o.Flag("flag", &flag)
	o.Number("huge", &number)
	fmt.Println(text, flag, number)
	for _, key := range []string{"six", "seven", "huge", "null"} {
		o.Integer(key, &whole)
		fmt.Println(key, whole)
	}
	nested := o.Object("in")
	fmt.Println(nested.Flags("flags"), nested.Numbers("numbers"), nested.Texts("texts"), nested.Flags("absent"))
	for element := range o.Objects("list") {
		element.Integer("k", &whole)
		fmt.Println(element.Path("k"), element.Has("k"), whole)
	}
	o.ObjectOrEmpty("text").Flag("k", &flag)
	o.Object("null").Flag("k", &flag)
	fmt.Println(flag, o.Err())
	// Output:
	// default
	// <&> true 1e+15
	// six 6
	// seven 7
	// huge 2147483647
	// null 2147483647
	// [true false] [1 0 2.5] [a ] []
	// list[0].k true 1
	// list[1].k false 1
	// true <nil>
}

// A value of the wrong type is reported with the path of its key. Only the first error is kept.
func Example_errors() {
	for _, read := range []func(o *Object){
		func(o *Object) { o.Text("in", new(string)) },
		func(o *Object) { o.Object("in").Flag("array", new(bool)) },
		func(o *Object) { o.Object("in").Numbers("array") },
		func(o *Object) {
			for element := range o.Object("in").Objects("array") {
				element.Integer("k", new(int))
			}
		},
		func(o *Object) { o.Object("half") },
		func(o *Object) { o.Integer("half", new(int)) },
		func(o *Object) { o.Object("in").Fail("x", "first"); o.Fail("y", "second") },
	} {
		o := parseOrPrint(`{"in":{"array":[{},{"k":1.5}]},"half":0.5}`)
		read(o)
		fmt.Println(o.Err())
	}
	parseOrPrint("")
	parseOrPrint("[]")
	parseOrPrint("{} {}")
	parseOrPrint(" null ")
	// Output:
	// in: a JSON object where a string is wanted
	// in.array: a JSON array where true or false is wanted
	// in.array[0]: a JSON object where a number is wanted
	// in.array[1].k: 1.5 is not a whole number
	// half: a JSON number where an object is wanted
	// half: 0.5 is not a whole number
	// in.x: first
	// not a JSON object: unexpected end of JSON input
	// not a JSON object: it is of type array
	// not a JSON object: invalid character '{' after top-level value
	// not a JSON object: it is of type null
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"k":[{"k":1e999},null,6.0,"x",true]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		o, err := Parse(text)
		if err != nil {
			return
		}
		number, whole := 0.0, 0
		for _, in := range slices.Concat(slices.Collect(o.Objects("k")), []*Object{o, o.ObjectOrEmpty("k")}) {
			in.Number("k", &number)
			in.Integer("k", &whole)
			in.Texts("k")
		}
		if math.IsNaN(number) || math.Abs(number) > MaxNumber {
			t.Error(number)
		}
	})
}
