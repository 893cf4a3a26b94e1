// Package jsonobject reads JSON objects of which only some keys matter. What nobody asks for may have any shape; a key that
// is asked for and has the wrong one is named by its path. An absent key and one that is null leave the default as it is.
package jsonobject

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"iter"
	"math"
	"strconv"
)

// Error names a key whose value cannot be used.
type Error struct {
	Path, Reason string
}

func (e *Error) Error() string { return e.Path + ": " + e.Reason }

// Largest bounds numbers, as what lies beyond means the same to any server: in seconds it is thirty million years. Sums and
// products of a few such numbers stay finite.
const Largest = 1e15

// members are what an object holds, not decoded yet: most of a large file may be of no use here.
type members map[string]json.RawMessage

// Object is a JSON object and its place in the whole.
type Object struct {
	place
	fields members
	failed *error // the first one, of the outermost and all within
}

// place is where an object stands: under a key of another, by its index if it is of an array there.
type place struct {
	in    *Object // nil for the outermost
	key   string
	index int // notInArray if it is not
}

const notInArray = -1

// Parse reads text that holds one JSON object and nothing else.
func Parse(text []byte) (*Object, error) {
	var fields members
	err := json.Unmarshal(text, &fields)
	otherType := (*json.UnmarshalTypeError)(nil)
	if errors.As(err, &otherType) || err == nil && fields == nil {
		return nil, fmt.Errorf("not a JSON object: it is of type %s", kind(bytes.TrimSpace(text)))
	}
	if err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	return &Object{fields: fields, failed: new(error)}, nil
}

// Err returns the first error of this object, of what it lies in and of what lies in it; nil if there was none.
func (o *Object) Err() error { return *o.failed }

// Detached returns the same object with errors of its own, for keys whose faults do not matter to whoever reads the whole.
func (o *Object) Detached() *Object {
	detached := *o
	detached.failed = new(error)
	return &detached
}

// Has reports whether the object has a key that is not null.
func (o *Object) Has(key string) bool { return kind(o.fields[key]) != null }

// Path returns where a key of the object stands in the whole.
func (o *Object) Path(key string) string {
	if o.in == nil {
		return key
	}
	path := o.in.Path(o.key)
	if o.index != notInArray {
		path += "[" + strconv.Itoa(o.index) + "]"
	}
	return path + "." + key
}

// Object returns the object under a key; an empty one if there is none.
func (o *Object) Object(key string) *Object {
	return o.object(key, notInArray, o.fields[key])
}

// ObjectIfAny is Object where another shape counts as an empty object.
func (o *Object) ObjectIfAny(key string) *Object {
	if kind(o.fields[key]) != object {
		return o.object(key, notInArray, nil)
	}
	return o.Object(key)
}

// Objects goes through the objects of the array under a key, one decoded at a time; an element that is null counts as an empty
// object.
func (o *Object) Objects(key string) iter.Seq[*Object] {
	return func(yield func(*Object) bool) {
		for k, raw := range o.elements(key) {
			if !yield(o.object(key, k, raw)) {
				return
			}
		}
	}
}

// object returns the object that stands under a key, or at an index of the array there.
func (o *Object) object(key string, index int, raw json.RawMessage) *Object {
	in := &Object{place: place{o, key, index}, failed: o.failed}
	if o.has(key, index, raw, object) {
		json.Unmarshal(raw, &in.fields)
	}
	return in
}

// Text reads a string.
func (o *Object) Text(key string, into *string) { o.text(key, notInArray, o.fields[key], into) }

// Texts reads an array of strings.
func (o *Object) Texts(key string) (all []string) {
	for k, raw := range o.elements(key) {
		all = append(all, "")
		o.text(key, k, raw, &all[k])
	}
	return all
}

func (o *Object) text(key string, index int, raw json.RawMessage, into *string) {
	if o.has(key, index, raw, text) {
		json.Unmarshal(raw, into)
	}
}

// Flag reads true or false.
func (o *Object) Flag(key string, into *bool) { o.flag(key, notInArray, o.fields[key], into) }

// Flags reads an array of true and false.
func (o *Object) Flags(key string) (all []bool) {
	for k, raw := range o.elements(key) {
		all = append(all, false)
		o.flag(key, k, raw, &all[k])
	}
	return all
}

func (o *Object) flag(key string, index int, raw json.RawMessage, into *bool) {
	if o.has(key, index, raw, flag) {
		*into = raw[0] == 't'
	}
}

// Number reads a number, at most Largest on either side of 0.
func (o *Object) Number(key string, into *float64) { o.number(key, notInArray, o.fields[key], into) }

// Numbers reads an array of numbers.
func (o *Object) Numbers(key string) (all []float64) {
	for k, raw := range o.elements(key) {
		all = append(all, 0)
		o.number(key, k, raw, &all[k])
	}
	return all
}

func (o *Object) number(key string, index int, raw json.RawMessage, into *float64) {
	if o.has(key, index, raw, number) {
		parsed, _ := strconv.ParseFloat(string(raw), 64) // what is too large gives an infinity
		*into = min(max(parsed, -Largest), Largest)
	}
}

// Whole reads a whole number in whatever form, such as 6, 6.0 or 6e0, at most math.MaxInt32 on either side of 0.
func (o *Object) Whole(key string, into *int) {
	read := float64(*into)
	o.Number(key, &read)
	if read != math.Trunc(read) {
		o.Fail(key, "%g is not a whole number", read)
		return
	}
	*into = int(min(max(read, -math.MaxInt32), math.MaxInt32))
}

// Fail notes that a key's value cannot be used; the first such note stays.
func (o *Object) Fail(key, why string, args ...any) { o.fail(key, notInArray, why, args...) }

func (o *Object) fail(key string, index int, why string, args ...any) {
	if *o.failed != nil {
		return
	}
	path := o.Path(key)
	if index != notInArray {
		path += "[" + strconv.Itoa(index) + "]"
	}
	*o.failed = &Error{path, fmt.Sprintf(why, args...)}
}

// elements returns what the array under a key holds, not decoded yet.
func (o *Object) elements(key string) (all []json.RawMessage) {
	if raw := o.fields[key]; o.has(key, notInArray, raw, array) {
		json.Unmarshal(raw, &all)
	}
	return all
}

// has tells whether a value is there and of the type that is wanted. All of it is valid JSON, as the whole was.
func (o *Object) has(key string, index int, raw json.RawMessage, wanted jsonType) bool {
	switch there := kind(raw); there {
	case wanted:
		return true
	case null:
	default:
		o.fail(key, index, "a JSON %s where %s is wanted", there, wanted.phrase())
	}
	return false
}

// jsonType is what JSON calls a value's type.
type jsonType string

const (
	null   jsonType = "null"
	object jsonType = "object"
	array  jsonType = "array"
	text   jsonType = "string"
	flag   jsonType = "bool"
	number jsonType = "number"
)

// kind returns the type of valid JSON by its first byte; what is not there counts as null.
func kind(raw json.RawMessage) jsonType {
	if len(raw) == 0 {
		return null
	}
	switch raw[0] {
	case 'n':
		return null
	case '{':
		return object
	case '[':
		return array
	case '"':
		return text
	case 't', 'f':
		return flag
	}
	return number
}

func (t jsonType) phrase() string {
	switch t {
	case flag:
		return "true or false"
	case object, array:
		return "an " + string(t)
	}
	return "a " + string(t)
}
