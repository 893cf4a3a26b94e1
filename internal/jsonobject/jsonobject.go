// Package jsonobject reads JSON objects of which only some keys are used. Keys that are not read may hold values of any
// type; a key that is read and holds a value of the wrong type is an error that gives the key's path. A key that is
// absent or null leaves the default unchanged.
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

// Error reports a key whose value is invalid.
type Error struct {
	Path   string // path of the key in the document, such as list[0].name
	Reason string
}

func (e *Error) Error() string { return e.Path + ": " + e.Reason }

// MaxNumber is the largest absolute value of a number; greater ones are clamped to it, as no server treats them
// differently: in seconds it is thirty million years. Sums and products of a few such numbers stay finite.
const MaxNumber = 1e15

// rawFields maps the keys of an object to their values, which are decoded only when read: most of a large file may be
// unused.
type rawFields map[string]json.RawMessage

// Object is a JSON object and its position in the document.
type Object struct {
	position
	fields   rawFields
	firstErr *error // the first error, shared by the root object and all objects nested in it
}

// position is the position of an object: a key of its parent, and an index if the key holds an array.
type position struct {
	parent *Object // the parent, nil for the root object
	key    string
	index  int // notInArray if the key holds the object itself
}

const notInArray = -1

// Parse parses a text that consists of exactly one JSON object.
func Parse(text []byte) (*Object, error) {
	var fields rawFields
	err := json.Unmarshal(text, &fields)
	typeError := (*json.UnmarshalTypeError)(nil)
	if errors.As(err, &typeError) || err == nil && fields == nil {
		return nil, fmt.Errorf("not a JSON object: it is of type %s", typeOf(bytes.TrimSpace(text)))
	}
	if err != nil {
		return nil, fmt.Errorf("not a JSON object: %w", err)
	}
	return &Object{fields: fields, firstErr: new(error)}, nil
}

// Err returns the first error found so far in any object of the document, or nil. Detached objects record
// theirs separately.
func (o *Object) Err() error { return *o.firstErr }

// Detached returns a copy of the object that records errors separately, for keys whose errors must not invalidate the
// document.
func (o *Object) Detached() *Object {
	detached := *o
	detached.firstErr = new(error)
	return &detached
}

// Has reports whether the object has the key with a value other than null.
func (o *Object) Has(key string) bool { return typeOf(o.fields[key]) != null }

// Path returns the path of a key of the object in the document.
func (o *Object) Path(key string) string {
	if o.parent == nil {
		return key
	}
	path := o.parent.Path(o.key)
	if o.index != notInArray {
		path += "[" + strconv.Itoa(o.index) + "]"
	}
	return path + "." + key
}

// Object returns the object under a key, or an empty one if the key is absent or null.
func (o *Object) Object(key string) *Object {
	return o.object(key, notInArray, o.fields[key])
}

// ObjectOrEmpty is like Object, but returns an empty object instead of recording an error if the value is of another
// type.
func (o *Object) ObjectOrEmpty(key string) *Object {
	if typeOf(o.fields[key]) != object {
		return o.object(key, notInArray, nil)
	}
	return o.Object(key)
}

// Objects iterates over the objects of the array under a key and decodes them one at a time. An element that is null is
// returned as an empty object.
func (o *Object) Objects(key string) iter.Seq[*Object] {
	return func(yield func(*Object) bool) {
		for k, raw := range o.elements(key) {
			if !yield(o.object(key, k, raw)) {
				return
			}
		}
	}
}

// object returns the object under a key, or at an index of the array under it.
func (o *Object) object(key string, index int, raw json.RawMessage) *Object {
	child := &Object{position: position{o, key, index}, firstErr: o.firstErr}
	if o.has(key, index, raw, object) {
		json.Unmarshal(raw, &child.fields)
	}
	return child
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

// Flag reads a boolean.
func (o *Object) Flag(key string, into *bool) { o.flag(key, notInArray, o.fields[key], into) }

// Flags reads an array of booleans.
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

// Number reads a number, clamped to the range from -Largest to Largest.
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
		parsed, _ := strconv.ParseFloat(string(raw), 64) // a number out of range gives an infinity
		*into = min(max(parsed, -MaxNumber), MaxNumber)
	}
}

// Integer reads an integer in any JSON form, such as 6, 6.0 or 6e0, clamped to the range from -math.MaxInt32 to
// math.MaxInt32.
func (o *Object) Integer(key string, into *int) {
	parsed := float64(*into)
	o.Number(key, &parsed)
	if parsed != math.Trunc(parsed) {
		o.Fail(key, "%g is not a whole number", parsed)
		return
	}
	*into = int(min(max(parsed, -math.MaxInt32), math.MaxInt32))
}

// Fail records that the value of a key is invalid. Only the first error of a document is kept.
func (o *Object) Fail(key, format string, args ...any) { o.fail(key, notInArray, format, args...) }

func (o *Object) fail(key string, index int, format string, args ...any) {
	if *o.firstErr != nil {
		return
	}
	path := o.Path(key)
	if index != notInArray {
		path += "[" + strconv.Itoa(index) + "]"
	}
	*o.firstErr = &Error{path, fmt.Sprintf(format, args...)}
}

// elements returns the elements of the array under a key, not yet decoded.
func (o *Object) elements(key string) (all []json.RawMessage) {
	if raw := o.fields[key]; o.has(key, notInArray, raw, array) {
		json.Unmarshal(raw, &all)
	}
	return all
}

// has reports whether a value is present and of the wanted type, and records an error if it is of another one. The
// value is valid JSON, since Parse has checked the whole document.
func (o *Object) has(key string, index int, raw json.RawMessage, wanted jsonType) bool {
	switch found := typeOf(raw); found {
	case wanted:
		return true
	case null:
	default:
		o.fail(key, index, "a JSON %s where %s is wanted", found, wanted.phrase())
	}
	return false
}

// jsonType is the type of a JSON value.
type jsonType string

const (
	null   jsonType = "null"
	object jsonType = "object"
	array  jsonType = "array"
	text   jsonType = "string"
	flag   jsonType = "bool"
	number jsonType = "number"
)

// typeOf returns the type of a valid JSON value by its first byte; an absent value counts as null.
func typeOf(raw json.RawMessage) jsonType {
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

// phrase returns the type with an article, for error messages.
func (t jsonType) phrase() string {
	switch t {
	case flag:
		return "true or false"
	case object, array:
		return "an " + string(t)
	}
	return "a " + string(t)
}
