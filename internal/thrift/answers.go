package thrift

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// Asker is told what a frame from an app server holds. Slices are good for the length of the call; load is the
// published credit, below 0 if there is none.
type Asker interface {
	Served(seq int32, result []byte, load float64)
	// PushedBack is an RPC that never ran: whether no other app server is to be tried, and for how many seconds to
	// stay away, 0 for no advice.
	PushedBack(seq int32, last bool, after, load float64)
	// Aborted comes without a promise; why is empty, or an application exception's text.
	Aborted(seq int32, why string, load float64)
	Checked(seq int32, good bool, load float64)
	Draining()
}

// errBlank is an answer that says nothing.
var errBlank = errors.New("thrift: an answer with neither a result nor an exception")

// DecodeAnswer tells to what a frame from an app server holds. After an error nothing on the connection can be
// trusted.
func DecodeAnswer(frame []byte, to Asker) error {
	r := reader{b: frame}
	kind, name, seq, err := r.head()
	if err != nil {
		return err
	}
	switch {
	case kind == msgException:
		why := "application exception"
		err := r.fields(func(id int16, kind byte) bool {
			if id != 1 || kind != typeString {
				return false
			}
			why = string(r.bytes())
			return true
		})
		if err == nil {
			to.Aborted(seq, why, -1)
		}
		return err
	case kind == msgOneway && string(name) == "draining":
		err := r.fields(func(int16, byte) bool { return false })
		if err == nil {
			to.Draining()
		}
		return err
	case kind != msgReply:
		return fmt.Errorf("thrift: message type %d", kind)
	case string(name) == "execute" || string(name) == "check":
		return r.answer(seq, string(name) == "check", to)
	}
	return fmt.Errorf("thrift: an answer to %.32q, which was not asked", name)
}

// answer reads the result of a call: one of an Answer, Trylater, Aborted.
func (r *reader) answer(seq int32, check bool, to Asker) error {
	const answer, refused, failed = 0, 1, 2
	came := int16(-1)
	var body []byte
	var good, last bool
	after, load := 0.0, -1.0
	var odd error
	pairs := func() {
		r.pairs(func(key, value []byte) {
			figure := func(into *float64) {
				v, ok := number(value)
				if !ok || v < 0 {
					odd = fmt.Errorf("thrift: %s of %.32q", key, value)
				}
				*into = v
			}
			switch string(key) {
			case "load":
				figure(&load)
			case "pushback":
				figure(&after)
				after /= 1000
			case "stop":
				last = string(value) == "1"
			}
		})
	}
	err := r.fields(func(id int16, kind byte) bool {
		if kind != typeStruct || id < answer || id > failed || came >= 0 {
			return false
		}
		came = id
		where := int16(1) // of the map
		if id == answer {
			where = 2
		}
		if err := r.fields(func(field int16, kind byte) bool {
			switch {
			case field == where && kind == typeMap:
				pairs()
			case id == answer && field == 1 && kind == typeString:
				body = r.bytes()
			case id == answer && field == 3 && kind == typeBool:
				good = r.byte() == 1
			default:
				return false
			}
			return true
		}); err != nil {
			odd = err
		}
		return true
	})
	switch {
	case odd != nil:
		return odd
	case err != nil:
		return err
	case came < 0:
		return errBlank
	case check && came == answer:
		to.Checked(seq, good, load)
	case check:
		to.Checked(seq, false, load)
	case came == answer && !good:
		to.Aborted(seq, "answered as not good", load)
	case came == answer:
		to.Served(seq, body, load)
	case came == refused:
		to.PushedBack(seq, last, after, load)
	default:
		to.Aborted(seq, "", load)
	}
	return nil
}

// Execute appends the frame of one RPC: recv and ttl are in seconds, crit from 0 to under 1, heap in KB. token and
// row are left out when empty; again marks a further try.
func Execute(b []byte, seq int32, method, uid string, src int, recv, ttl, heap, crit float64, again bool,
	token, row string, body []byte) []byte {
	b, at := open(b, msgCall, "execute", seq)
	b = append(field(b, typeMap, 1), typeString, typeString)
	n := len(b)
	b = append(b, 0, 0, 0, 0)
	count := byte(0)
	put := func(key string) { // its value is appended next
		count++
		b = text(b, key)
	}
	put("op")
	b = text(b, method)
	put("call")
	b = text(b, uid)
	put("src")
	b = digits(b, float64(src), 0)
	put("recv")
	b = digits(b, math.Floor(recv*1000), 0)
	put("ttl")
	b = digits(b, max(math.Floor(ttl*1000), 0), 0)
	put("heap")
	b = digits(b, heap, 1)
	put("crit")
	b = digits(b, crit, 4)
	if again {
		put("rep")
		b = text(b, "1")
	}
	if token != "" {
		put("dedupe")
		b = text(b, token)
	}
	if row != "" {
		put("row")
		b = text(b, row)
	}
	b[n+3] = count
	b = text(field(b, typeString, 2), body)
	return shut(append(b, 0), at)
}

// digits writes a number as a string with so many decimals.
func digits(b []byte, v float64, decimals int) []byte {
	at := len(b)
	b = append(b, 0, 0, 0, 0)
	b = strconv.AppendFloat(b, v, 'f', decimals, 64)
	b[at+2], b[at+3] = byte((len(b)-at-4)>>8), byte(len(b)-at-4)
	return b
}

// Interrupt appends the word that nobody waits for an RPC any more; seq is its own number.
func Interrupt(b []byte, seq, target int32) []byte {
	b, at := open(b, msgOneway, "interrupt", seq)
	b = field(b, typeI32, 1)
	b = append(b, byte(target>>24), byte(target>>16), byte(target>>8), byte(target))
	return shut(append(b, 0), at)
}

// Check appends a health check.
func Check(b []byte, seq int32) []byte {
	b, at := open(b, msgCall, "check", seq)
	b = append(field(b, typeBool, 1), 0)
	return shut(append(b, 0), at)
}
