package thrift

import (
	"errors"
	"fmt"
	"math"
	"strconv"
)

// ReplyHandler handles the messages that DecodeAnswer finds. Slices are valid only until the method returns. credit is
// the published credit; a negative value means that the message has none.
type ReplyHandler interface {
	// Served handles the result of an RPC that ended ok.
	Served(seq int32, result []byte, credit float64)
	// PushedBack handles the rejection of an RPC that did not run. last forbids a retry at another app server;
	// retryAfter is the retry-after delay in seconds, 0 if there is none.
	PushedBack(seq int32, last bool, retryAfter, credit float64)
	// Aborted handles an RPC that failed and may or may not have run. reason is empty, or says what the app server
	// replied instead of a result or an abort.
	Aborted(seq int32, reason string, credit float64)
	// Checked handles the result of a health check.
	Checked(seq int32, healthy bool, credit float64)
	// Draining handles the request to send no new RPCs on the connection.
	Draining()
}

// errEmptyReply reports a reply whose result struct is empty.
var errEmptyReply = errors.New("thrift: reply has neither a result nor an exception")

// DecodeAnswer decodes the message in a frame from an app server, which is a reply or a request to drain, and passes it
// to the handler. Answer is the protocol's name for the result of a call. After an error the connection must be closed,
// since the rest of the received data may be misaligned.
func DecodeAnswer(frame []byte, handler ReplyHandler) error {
	r := decoder{b: frame}
	kind, name, seq, err := r.messageHeader()
	if err != nil {
		return err
	}
	switch {
	case kind == msgException:
		reason := "application exception"
		// Only field 1, the exception's message, is decoded; returning false skips a field.
		err := r.structFields(func(id int16, kind byte) bool {
			if id != 1 || kind != typeString {
				return false
			}
			reason = string(r.bytes())
			return true
		})
		if err == nil {
			handler.Aborted(seq, reason, -1) // an application exception has no credit
		}
		return err
	case kind == msgOneway && string(name) == "draining":
		err := r.structFields(func(int16, byte) bool { return false }) // skips all fields
		if err == nil {
			handler.Draining()
		}
		return err
	case kind != msgReply:
		return fmt.Errorf("thrift: message type is %d, want 2 (reply), 3 (exception) or 4 (oneway) with method draining", kind)
	case string(name) == "execute" || string(name) == "check":
		return r.reply(seq, string(name) == "check", handler)
	}
	return fmt.Errorf("thrift: reply to method %.32q, want execute or check", name)
}

// reply decodes the reply to a call: the result, a struct that the protocol names Answer, or one of the exceptions
// Trylater and Aborted. check tells that the call is a health check.
func (r *decoder) reply(seq int32, check bool, handler ReplyHandler) error {
	const answerField, trylaterField, abortedField = 0, 1, 2 // field ids of the result struct
	outcome := int16(-1)
	var body []byte
	var success, last bool
	retryAfter, credit := 0.0, -1.0
	var invalid error
	decodeMap := func() {
		r.stringMap(func(key, value []byte) {
			parseNonNegative := func(destination *float64) {
				v, ok := parseDecimal(value)
				if !ok || v < 0 {
					invalid = fmt.Errorf("thrift: %s is %.32q, want a number of at least 0", key, value)
				}
				*destination = v
			}
			switch string(key) {
			case "load":
				parseNonNegative(&credit)
			case "pushback":
				parseNonNegative(&retryAfter)
				retryAfter /= 1000
			case "stop":
				last = string(value) == "1"
			}
		})
	}
	err := r.structFields(func(id int16, kind byte) bool {
		if kind != typeStruct || id < answerField || id > abortedField || outcome >= 0 {
			return false
		}
		outcome = id
		mapField := int16(1) // id of the field that holds the map
		if id == answerField {
			mapField = 2
		}
		if err := r.structFields(func(field int16, kind byte) bool {
			switch {
			case field == mapField && kind == typeMap:
				decodeMap()
			case id == answerField && field == 1 && kind == typeString:
				body = r.bytes()
			case id == answerField && field == 3 && kind == typeBool:
				success = r.byte() == 1
			default:
				return false
			}
			return true
		}); err != nil {
			invalid = err
		}
		return true
	})
	switch {
	case invalid != nil:
		return invalid
	case err != nil:
		return err
	case outcome < 0:
		return errEmptyReply
	case check && outcome == answerField:
		handler.Checked(seq, success, credit)
	case check:
		handler.Checked(seq, false, credit)
	case outcome == answerField && !success:
		handler.Aborted(seq, "app server replied that the RPC failed", credit)
	case outcome == answerField:
		handler.Served(seq, body, credit)
	case outcome == trylaterField:
		handler.PushedBack(seq, last, retryAfter, credit)
	default:
		handler.Aborted(seq, "", credit)
	}
	return nil
}

// Execute appends the frame of an RPC. recv is in Unix seconds, ttl in seconds, heap in KB; crit is at least 0 and
// below 1. token and row are omitted when empty; retry marks a retry.
func Execute(b []byte, seq int32, method, uid string, src int, recv, ttl, heap, crit float64, retry bool,
	token, row string, body []byte) []byte {
	b, start := beginFrame(b, msgCall, "execute", seq)
	b = append(appendFieldHeader(b, typeMap, 1), typeString, typeString)
	countAt := len(b)
	b = append(b, 0, 0, 0, 0)
	count := byte(0)
	putKey := func(key string) { // the caller appends the value next
		count++
		b = appendString(b, key)
	}
	putKey("op")
	b = appendString(b, method)
	putKey("call")
	b = appendString(b, uid)
	putKey("src")
	b = appendNumber(b, float64(src), 0)
	putKey("recv")
	b = appendNumber(b, math.Floor(recv*1000), 0)
	putKey("ttl")
	b = appendNumber(b, max(math.Floor(ttl*1000), 0), 0)
	putKey("heap")
	b = appendNumber(b, heap, 1)
	putKey("crit")
	b = appendNumber(b, crit, 4)
	if retry {
		putKey("rep")
		b = appendString(b, "1")
	}
	if token != "" {
		putKey("dedupe")
		b = appendString(b, token)
	}
	if row != "" {
		putKey("row")
		b = appendString(b, row)
	}
	b[countAt+3] = count
	b = appendString(appendFieldHeader(b, typeString, 2), body)
	return endFrame(append(b, 0), start)
}

// appendNumber appends a number as a decimal string with the given number of decimals.
func appendNumber(b []byte, v float64, decimals int) []byte {
	start := len(b)
	b = append(b, 0, 0, 0, 0)
	b = strconv.AppendFloat(b, v, 'f', decimals, 64)
	b[start+2], b[start+3] = byte((len(b)-start-4)>>8), byte(len(b)-start-4)
	return b
}

// Interrupt appends a message that cancels the RPC with sequence id target; seq is the message's own sequence id.
func Interrupt(b []byte, seq, target int32) []byte {
	b, start := beginFrame(b, msgOneway, "interrupt", seq)
	b = appendFieldHeader(b, typeI32, 1)
	b = append(b, byte(target>>24), byte(target>>16), byte(target>>8), byte(target))
	return endFrame(append(b, 0), start)
}

// Check appends a health check.
func Check(b []byte, seq int32) []byte {
	b, start := beginFrame(b, msgCall, "check", seq)
	b = append(appendFieldHeader(b, typeBool, 1), 0)
	return endFrame(append(b, 0), start)
}
