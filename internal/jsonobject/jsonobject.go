// Package jsonobject reads JSON objects of which only some keys matter. What nobody asks for may have any shape; a key that
// is asked for and has the wrong one is named by its path. An absent key and one that is null leave the default as it is.
package jsonobject

import (
	"bytes"
	"encoding/json"
	"fmt"
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
	path   string // ends in a dot, but for the outermost
	fields members
	failed *error // the first one, of the outermost and all within
}

// Parse reads text that holds one JSON object and nothing else.
func Parse(text []byte) (*Object, error) {
	var whole json.RawMessage
	if err := json.Unmarshal(text, &whole); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	if there := kind(bytes.TrimSpace(whole)); there != object {
		return nil, fmt.Errorf("not a JSON object: it is of type %s", there)
	}
	var fields members
	if err := json.Unmarshal(whole, &fields); err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	return &Object{fields: fields, failed: new(error)}, nil
}

// Err returns the first error of this object, of what it lies in and of what lies in it; nil if there was none.
func (o *Object) Err() error { return *o.failed }

// Has reports whether the object has a key that is not null.
func (o *Object) Has(key string) bool { return kind(o.fields[key]) != null }

// Path returns where a key of the object stands in the whole.
func (o *Object) Path(key string) string { return o.path + key }

// Object returns the object under a key; an empty one if there is none.
func (o *Object) Object(key string) *Object {
	fields, _ := value[members](o, key, object)
	return o.within(key, fields)
}

// ObjectIfAny is Object where another shape counts as an empty object.
func (o *Object) ObjectIfAny(key string) *Object {
	if kind(o.fields[key]) != object {
		return o.within(key, nil)
	}
	return o.Object(key)
}

func (o *Object) within(key string, fields members) *Object {
	return &Object{path: o.Path(key) + ".", fields: fields, failed: o.failed}
}

// Objects returns the objects of the array under a key; an element that is null counts as an empty object.
func (o *Object) Objects(key string) []*Object {
	var all []*Object
	o.elements(key, func(list *Object, at string) { all = append(all, list.Object(at)) })
	return all
}

// Text reads a string.
func (o *Object) Text(key string, into *string) {
	if v, ok := value[string](o, key, text); ok {
		*into = v
	}
}

// Texts reads an array of strings.
func (o *Object) Texts(key string) (all []string) {
	o.elements(key, func(list *Object, at string) {
		all = append(all, "")
		list.Text(at, &all[len(all)-1])
	})
	return all
}

// Flag reads true or false.
func (o *Object) Flag(key string, into *bool) {
	if v, ok := value[bool](o, key, flag); ok {
		*into = v
	}
}

// Flags reads an array of true and false.
func (o *Object) Flags(key string) (all []bool) {
	o.elements(key, func(list *Object, at string) {
		all = append(all, false)
		list.Flag(at, &all[len(all)-1])
	})
	return all
}

// Number reads a number, at most Largest on either side of 0.
func (o *Object) Number(key string, into *float64) {
	v, ok := value[json.Number](o, key, number)
	if !ok {
		return
	}
	parsed, _ := strconv.ParseFloat(v.String(), 64) // what is too large gives an infinity
	*into = min(max(parsed, -Largest), Largest)
}

// Numbers reads an array of numbers.
func (o *Object) Numbers(key string) (all []float64) {
	o.elements(key, func(list *Object, at string) {
		all = append(all, 0)
		list.Number(at, &all[len(all)-1])
	})
	return all
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
func (o *Object) Fail(key, why string, args ...any) {
	if *o.failed == nil {
		*o.failed = &Error{o.Path(key), fmt.Sprintf(why, args...)}
	}
}

// elements visits the array under a key; each element stands in list under its own place.
func (o *Object) elements(key string, visit func(list *Object, at string)) {
	elements, _ := value[[]json.RawMessage](o, key, array)
	for k, element := range elements {
		at := fmt.Sprintf("%s[%d]", key, k)
		visit(&Object{path: o.path, fields: members{at: element}, failed: o.failed}, at)
	}
}

// value returns what stands under a key, if that is of the type that is wanted.
func value[T any](o *Object, key string, wanted jsonType) (v T, ok bool) {
	raw := o.fields[key]
	switch there := kind(raw); {
	case there == null:
		return v, false
	case there != wanted:
		o.Fail(key, "a JSON %s where %s is wanted", there, wanted.phrase())
		return v, false
	}
	if err := json.Unmarshal(raw, &v); err != nil {
		o.Fail(key, "%v", err)
		return v, false
	}
	return v, true
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
