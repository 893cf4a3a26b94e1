package configstore

import (
	"encoding/binary"
	"errors"
	"io"
)

// A log record has a header and a body. The header is the body's length, the body's CRC-32C and a CRC-32C of these two.
// The header's own checksum distinguishes a corrupt length from a torn write. The body is the term, the index, the
// previous index of the service, the length and bytes of the service, and the payload.
const (
	recordHeaderBytes = 3 * checksumBytes
	bodyFixedBytes    = 3*8 + 1
	maxServiceBytes   = 255
	maxBodyBytes      = bodyFixedBytes + maxServiceBytes + MaxPayloadBytes
)

// appendRecord appends the record of an entry. The caller has checked the sizes of service and payload.
func appendRecord(to []byte, entry Entry) []byte {
	start := len(to)
	to = append(to, make([]byte, recordHeaderBytes)...)
	to = binary.LittleEndian.AppendUint64(to, entry.Term)
	to = binary.LittleEndian.AppendUint64(to, entry.Index)
	to = binary.LittleEndian.AppendUint64(to, entry.Previous)
	to = append(to, byte(len(entry.Service)))
	to = append(to, entry.Service...)
	to = append(to, entry.Payload...)
	head, body := to[start:start+recordHeaderBytes], to[start+recordHeaderBytes:]
	binary.LittleEndian.PutUint32(head, uint32(len(body)))
	binary.LittleEndian.PutUint32(head[checksumBytes:], checksum(body))
	binary.LittleEndian.PutUint32(head[2*checksumBytes:], checksum(head[:2*checksumBytes]))
	return to
}

// errTornRecord reports that the last record of the log was written incompletely.
var errTornRecord = errors.New("torn record")

// record reads the next record of a log. It returns io.EOF at the end of the log, and errTornRecord for a torn last
// record: either the file ends within it, or its checksum is wrong and only zeros follow, as in blocks that were
// allocated and never written.
func (r *fileReader) record() (Entry, error) {
	head, err := r.read(recordHeaderBytes)
	if err == io.EOF {
		return Entry{}, io.EOF
	}
	if err == io.ErrUnexpectedEOF {
		return Entry{}, errTornRecord
	}
	if err != nil {
		return Entry{}, err
	}
	size := binary.LittleEndian.Uint32(head)
	sum := binary.LittleEndian.Uint32(head[checksumBytes:])
	if checksum(head[:2*checksumBytes]) != binary.LittleEndian.Uint32(head[2*checksumBytes:]) {
		return Entry{}, r.tornOrCorrupt("checksum mismatch in a record's header")
	}
	if size < bodyFixedBytes || size > maxBodyBytes {
		return Entry{}, r.corruption("a record's length is out of range")
	}
	body, err := r.read(int(size))
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return Entry{}, errTornRecord
	}
	if err != nil {
		return Entry{}, err
	}
	if checksum(body) != sum {
		return Entry{}, r.tornOrCorrupt("checksum mismatch in a record")
	}
	return r.decodeBody(body)
}

// decodeBody decodes the body of a record; the entry's payload aliases it.
func (r *fileReader) decodeBody(body []byte) (Entry, error) {
	entry := Entry{
		Term:     binary.LittleEndian.Uint64(body),
		Index:    binary.LittleEndian.Uint64(body[8:]),
		Previous: binary.LittleEndian.Uint64(body[16:]),
	}
	size := int(body[bodyFixedBytes-1])
	rest := body[bodyFixedBytes:]
	if size > len(rest) {
		return Entry{}, r.corruption("a record ends within its service")
	}
	entry.Service = string(rest[:size])
	entry.Payload = rest[size:]
	return entry, nil
}

// tornOrCorrupt reads to the end of the file. It returns errTornRecord if only zeros are left, else a *CorruptionError
// at the current offset.
func (r *fileReader) tornOrCorrupt(reason string) error {
	corruption := r.corruption(reason)
	for {
		b, err := r.source.ReadByte()
		if err == io.EOF {
			return errTornRecord
		}
		if err != nil {
			return err
		}
		if b != 0 {
			return corruption
		}
	}
}
