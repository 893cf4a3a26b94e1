package configstore

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
)

// Every file begins with a header: the magic bytes, the format version, the file kind, the length and bytes of the app
// server's name, the term and index of a log version, and a CRC-32C of all of these. Integers are little-endian.
const (
	magic         = "vgcs"
	formatVersion = 1
	maxOwnerBytes = 255 // bytes of an app server's name
)

// fileKind identifies the purpose of a file.
type fileKind byte

const (
	snapshotFile fileKind = 'S'
	logFile      fileKind = 'L'
	voteFile     fileKind = 'V'
)

// checksumBytes is the size of a CRC-32C.
const checksumBytes = 4

var castagnoliTable = crc32.MakeTable(crc32.Castagnoli)

func checksum(data []byte) uint32 { return crc32.Checksum(data, castagnoliTable) }

// header is the content of a file's header.
type header struct {
	kind    fileKind
	owner   string  // name of the app server
	version Version // last version in a snapshot; version before a log's entries; a vote has only a term
}

// encode returns the encoded header with its checksum.
func (h header) encode() []byte {
	data := append([]byte(magic), 0, 0, 0, 0)
	binary.LittleEndian.PutUint32(data[len(magic):], formatVersion)
	data = append(data, byte(h.kind), byte(len(h.owner)))
	data = append(data, h.owner...)
	data = binary.LittleEndian.AppendUint64(data, h.version.Term)
	data = binary.LittleEndian.AppendUint64(data, h.version.Index)
	return appendChecksum(data)
}

// appendChecksum appends the checksum of data.
func appendChecksum(data []byte) []byte {
	return binary.LittleEndian.AppendUint32(data, checksum(data))
}

// fileReader reads a file sequentially through a small buffer. It maintains the offset and the checksum of all bytes
// read.
type fileReader struct {
	path   string // for errors
	source *bufio.Reader
	offset int64  // of the next byte
	sum    uint32 // CRC-32C of all bytes read
	buffer []byte // reused by read
}

func newFileReader(path string, source io.Reader) *fileReader {
	return &fileReader{path: path, source: bufio.NewReaderSize(source, 64<<10)}
}

// read returns the next size bytes, valid until the next read. It returns the errors of io.ReadFull.
func (r *fileReader) read(size int) ([]byte, error) {
	if cap(r.buffer) < size {
		r.buffer = make([]byte, size)
	}
	r.buffer = r.buffer[:size]
	got, err := io.ReadFull(r.source, r.buffer)
	r.offset += int64(got)
	if err != nil {
		return r.buffer[:got], err
	}
	r.sum = crc32.Update(r.sum, castagnoliTable, r.buffer)
	return r.buffer, nil
}

// readFull is like read, but returns a *CorruptionError if the file ends early.
func (r *fileReader) readFull(size int) ([]byte, error) {
	data, err := r.read(size)
	if err == io.EOF || err == io.ErrUnexpectedEOF {
		return nil, r.corruption("unexpected end of file")
	}
	return data, err
}

// uint64 reads a little-endian integer.
func (r *fileReader) uint64() (uint64, error) {
	data, err := r.readFull(8)
	if err != nil {
		return 0, err
	}
	return binary.LittleEndian.Uint64(data), nil
}

// verifyChecksum reads a checksum and compares it with that of all bytes before it.
func (r *fileReader) verifyChecksum() error {
	want := r.sum
	data, err := r.readFull(checksumBytes)
	if err != nil {
		return err
	}
	if binary.LittleEndian.Uint32(data) != want {
		return r.corruption("checksum mismatch")
	}
	return nil
}

// expectEOF returns a *CorruptionError unless the file ends at the offset.
func (r *fileReader) expectEOF() error {
	switch _, err := r.source.ReadByte(); err {
	case io.EOF:
		return nil
	case nil:
		return r.corruption("extra bytes after the end")
	default:
		return err
	}
}

// corruption returns a *CorruptionError at the current offset.
func (r *fileReader) corruption(reason string) error {
	return &CorruptionError{Path: r.path, Offset: r.offset, Reason: reason}
}

// header reads the header of a file, checks its kind and owner and returns its version. It checks the format first,
// as other formats may differ in the rest, and the owner only after the checksum.
func (r *fileReader) header(kind fileKind, owner string) (Version, error) {
	var version Version
	start, err := r.readFull(len(magic) + 4 + 2)
	if err != nil {
		return version, err
	}
	if string(start[:len(magic)]) != magic || fileKind(start[len(magic)+4]) != kind {
		return version, &FormatError{Path: r.path}
	}
	if format := binary.LittleEndian.Uint32(start[len(magic):]); format != formatVersion {
		return version, &FormatError{Path: r.path, Format: format}
	}
	data, err := r.readFull(int(start[len(magic)+5]))
	if err != nil {
		return version, err
	}
	foundOwner := string(data)
	if version.Term, err = r.uint64(); err != nil {
		return version, err
	}
	if version.Index, err = r.uint64(); err != nil {
		return version, err
	}
	if err = r.verifyChecksum(); err != nil {
		return version, err
	}
	if foundOwner != owner {
		return version, &OwnerError{Path: r.path, Owner: foundOwner, Want: owner}
	}
	return version, nil
}
