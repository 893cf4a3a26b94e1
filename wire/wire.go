// Package wire implements the binary protocol of the simulator. Decode passes each event of a batch to a method of
// Events; each method of Reply encodes one action.
package wire

import (
	"encoding/binary"
	"errors"
	"fmt"
	"io"
	"math"
)

// Sizes in bytes.
const (
	batchHeaderSize = 16 // record count, frame size and clock
	replyHeaderSize = 8  // record count and frame size
	eventSize       = 72 // one record of a batch
	actionSize      = 24 // one record of a reply
	maxFrameSize    = 1 << 30
)

// Events handles the events of a batch, one call for each record. Methods have the simulator's names of the events.
// Times and durations are in seconds.
type Events interface {
	// Hello starts an instance with its settings as JSON.
	Hello(instance uint32, seed uint64, params []byte)
	// Order is the arrival of an RPC. readDelay is the time between its arrival at the machine and the read. repeatOf is
	// the handle of the RPC that it repeats, 0 if none.
	Order(instance uint32, handle uint64, readDelay float64, isRetry, readOnly bool, repeatOf uint64, deadline float64,
		caller uint16, tenant uint32, sizeKB float64, method uint16)
	// WoundUp reports the end of a run.
	WoundUp(instance uint32, handle uint64, result uint16, duration float64)
	// Stalled reports a run that waits to make a downstream call.
	Stalled(instance uint32, handle uint64)
	// Downstream reports the end of a downstream call.
	Downstream(instance uint32, handle uint64, result uint16, duration float64)
	// Notice announces the time at which the instance is stopped.
	Notice(instance uint32, stopTime float64)
	// Lapsed reports that the caller no longer waits for an RPC.
	Lapsed(instance uint32, handle uint64)
	// Elapsed reports an expired timer; the first count gauges are set.
	Elapsed(instance uint32, timerID uint64, count int, gauges [4]float64)
	// Stop ends an instance.
	Stop(instance uint32)
	// Unknown is an event with an unknown code, or one that refers to data outside its batch.
	Unknown(instance uint32, code byte)
}

// ReadFrame reads one complete batch into buf, which it replaces if it is too small. It returns io.EOF if the input
// ends between two batches.
func ReadFrame(r io.Reader, buf []byte) ([]byte, error) {
	var head [batchHeaderSize]byte
	if _, err := io.ReadFull(r, head[:]); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) {
			return nil, errors.New("wire: short header")
		}
		return nil, err
	}
	records := uint64(binary.BigEndian.Uint32(head[:]))
	size := uint64(binary.BigEndian.Uint32(head[4:]))
	if size < batchHeaderSize+records*eventSize || size > maxFrameSize {
		return nil, fmt.Errorf("wire: a frame of %d bytes cannot hold %d records", size, records)
	}
	if uint64(cap(buf)) < size {
		buf = make([]byte, size)
	}
	buf = buf[:size]
	copy(buf, head[:])
	if _, err := io.ReadFull(r, buf[batchHeaderSize:]); err != nil {
		return nil, errors.New("wire: short frame")
	}
	return buf, nil
}

// Clock returns the simulated time of a complete frame in seconds.
func Clock(frame []byte) float64 { return f64(frame, 8) }

// Decode calls a method of events for each record of a complete frame.
func Decode(frame []byte, events Events) error {
	if len(frame) < batchHeaderSize {
		return errors.New("wire: short header")
	}
	n := int(binary.BigEndian.Uint32(frame))
	if len(frame) < batchHeaderSize+n*eventSize {
		return errors.New("wire: short frame")
	}
	payload := frame[batchHeaderSize+n*eventSize:]
	for k := range n {
		b := frame[batchHeaderSize+k*eventSize:][:eventSize]
		instance := binary.BigEndian.Uint32(b[1:])
		switch b[0] {
		case 1:
			offset, size := uint64(binary.BigEndian.Uint32(b[13:])), uint64(binary.BigEndian.Uint32(b[17:]))
			if offset+size > uint64(len(payload)) {
				events.Unknown(instance, b[0])
				continue
			}
			events.Hello(instance, u64(b, 5), payload[offset:offset+size])
		case 2:
			events.Order(instance, u64(b, 5), f64(b, 13), b[21]&2 != 0, b[21]&4 == 0 && u64(b, 50) != 0, u64(b, 34), f64(b, 42),
				binary.BigEndian.Uint16(b[58:]), binary.BigEndian.Uint32(b[60:]), f32(b, 64), binary.BigEndian.Uint16(b[68:]))
		case 3:
			events.WoundUp(instance, u64(b, 5), binary.BigEndian.Uint16(b[13:]), f64(b, 15))
		case 4:
			events.Stalled(instance, u64(b, 5))
		case 5:
			events.Downstream(instance, u64(b, 5), binary.BigEndian.Uint16(b[13:]), f64(b, 15))
		case 6:
			events.Notice(instance, f64(b, 5))
		case 7:
			events.Lapsed(instance, u64(b, 5))
		case 8:
			var gauges [4]float64
			for j := range gauges {
				gauges[j] = f32(b, 14+4*j)
			}
			events.Elapsed(instance, u64(b, 5), min(int(b[13]), len(gauges)), gauges)
		case 9:
			events.Stop(instance)
		default:
			events.Unknown(instance, b[0])
		}
	}
	return nil
}

func u64(b []byte, offset int) uint64  { return binary.BigEndian.Uint64(b[offset:]) }
func f64(b []byte, offset int) float64 { return math.Float64frombits(u64(b, offset)) }
func f32(b []byte, offset int) float64 {
	return float64(math.Float32frombits(binary.BigEndian.Uint32(b[offset:])))
}

// Reply collects the actions in reply to one batch. Its methods have the simulator's names of the actions. Durations
// are in seconds.
type Reply struct {
	records []byte // fixed-size records
	payload []byte // texts that records refer to
}

// record appends a zeroed record with its code and instance, and returns it.
func (r *Reply) record(code byte, instance uint32) []byte {
	offset := len(r.records)
	r.records = append(r.records, make([]byte, actionSize)...)
	b := r.records[offset:]
	b[0] = code
	binary.BigEndian.PutUint32(b[1:], instance)
	return b
}

// recordFor appends a record that refers to an RPC.
func (r *Reply) recordFor(code byte, instance uint32, handle uint64) []byte {
	b := r.record(code, instance)
	binary.BigEndian.PutUint64(b[5:], handle)
	return b
}

func putF64(b []byte, v float64) { binary.BigEndian.PutUint64(b, math.Float64bits(v)) }

func (r *Reply) Take(instance uint32, handle uint64)      { r.recordFor(1, instance, handle) }
func (r *Reply) Fail(instance uint32, handle uint64)      { r.recordFor(3, instance, handle) }
func (r *Reply) Interrupt(instance uint32, handle uint64) { r.recordFor(4, instance, handle) }
func (r *Reply) Skip(instance uint32, handle uint64)      { r.recordFor(6, instance, handle) }
func (r *Reply) Evict(instance uint32, handle uint64)     { r.recordFor(8, instance, handle) }
func (r *Reply) Join(instance uint32, handle uint64)      { r.recordFor(9, instance, handle) }

func (r *Reply) Busy(instance uint32, handle uint64, terminal bool, retryAfter float64) {
	b := r.recordFor(2, instance, handle)
	if terminal {
		b[13] = 1
	}
	putF64(b[14:], retryAfter)
}

func (r *Reply) Dial(instance uint32, handle uint64, timeout float64) {
	putF64(r.recordFor(5, instance, handle)[13:], timeout)
}
func (r *Reply) RecordKey(instance uint32, handle uint64, ttl float64) {
	putF64(r.recordFor(7, instance, handle)[13:], ttl)
}

func (r *Reply) Health(instance uint32, cached, healthy bool) {
	b := r.record(10, instance)
	if cached {
		b[5] = 1
	}
	if healthy {
		b[6] = 1
	}
}

func (r *Reply) Publish(instance uint32, value float64) {
	binary.BigEndian.PutUint32(r.record(11, instance)[5:], math.Float32bits(float32(value)))
}

func (r *Reply) ReapAfter(instance uint32, idleTimeout float64) {
	putF64(r.record(12, instance)[5:], idleTimeout)
}

func (r *Reply) Remind(instance uint32, delay float64, timerID uint64) {
	b := r.record(13, instance)
	putF64(b[5:], delay)
	binary.BigEndian.PutUint64(b[13:], timerID)
}

func (r *Reply) Debug(instance uint32, text string) { r.text(14, instance, text) }

// Broken ends the simulation run: the decision code cannot continue for this instance.
func (r *Reply) Broken(instance uint32, text string) { r.text(15, instance, text) }

// text appends a record that refers to a text in the payload.
func (r *Reply) text(code byte, instance uint32, text string) {
	b := r.record(code, instance)
	binary.BigEndian.PutUint32(b[5:], uint32(len(r.payload)))
	binary.BigEndian.PutUint32(b[9:], uint32(len(text)))
	r.payload = append(r.payload, text...)
}

// WriteTo writes the frame with a single call of Write and resets the reply.
func (r *Reply) WriteTo(w io.Writer) (int64, error) {
	size := replyHeaderSize + len(r.records) + len(r.payload)
	frame := make([]byte, replyHeaderSize, size)
	binary.BigEndian.PutUint32(frame, uint32(len(r.records)/actionSize))
	binary.BigEndian.PutUint32(frame[4:], uint32(size))
	frame = append(append(frame, r.records...), r.payload...)
	r.records, r.payload = r.records[:0], r.payload[:0]
	n, err := w.Write(frame)
	return int64(n), err
}
