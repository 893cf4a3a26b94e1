package configstore

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"

	"valveglade/logic/configtable"
)

// A snapshot file is a header, records and a CRC-32C of both. A record is a tag followed by, for a service, its last
// index and its name; for an entry of the preceding service, the length and bytes of the entry as configtable encodes
// it; for the end record, the number of entries and their digest.
const (
	serviceTag = 's'
	entryTag   = 'e'
	endTag     = 'z'
)

// writeSnapshot writes a snapshot of a table.
func writeSnapshot(to io.Writer, owner string, table configtable.Table, version Version) error {
	sum := crc32.New(castagnoliTable)
	out := bufio.NewWriterSize(io.MultiWriter(to, sum), 64<<10)
	out.Write(header{snapshotFile, owner, version}.encode()) // a bufio.Writer keeps its first error until Flush
	var record []byte
	for service, lastIndex := range table.Services() {
		record = append(record[:0], serviceTag)
		record = binary.LittleEndian.AppendUint64(record, lastIndex)
		record = append(record, byte(len(service)))
		record = append(record, service...)
		out.Write(record)
		for entry := range table.ServiceEntries(service) {
			record = entry.AppendEntry(append(record[:0], entryTag, 0, 0))
			binary.LittleEndian.PutUint16(record[1:], uint16(len(record)-3))
			if _, err := out.Write(record); err != nil {
				return err
			}
		}
	}
	record = append(record[:0], endTag)
	record = binary.LittleEndian.AppendUint64(record, uint64(table.Len()))
	record = binary.LittleEndian.AppendUint64(record, uint64(table.Digest()))
	out.Write(record)
	if err := out.Flush(); err != nil {
		return err
	}
	_, err := to.Write(binary.LittleEndian.AppendUint32(nil, sum.Sum32()))
	return err
}

// snapshotReader builds a table from a snapshot, one record at a time.
type snapshotReader struct {
	*fileReader
	builder configtable.Builder
	service string
}

// readSnapshot reads a snapshot to its end and returns its table and version.
func readSnapshot(path string, source io.Reader, owner string) (configtable.Table, Version, error) {
	r := snapshotReader{fileReader: newFileReader(path, source)}
	version, err := r.header(snapshotFile, owner)
	if err != nil {
		return configtable.Table{}, Version{}, err
	}
	for {
		done, err := r.record()
		if err != nil {
			return configtable.Table{}, Version{}, err
		}
		if done {
			break
		}
	}
	table, err := r.finish()
	if err != nil {
		return configtable.Table{}, Version{}, err
	}
	return table, version, nil
}

// record reads one record. For the end record it reads only the tag and reports true.
func (r *snapshotReader) record() (done bool, err error) {
	tag, err := r.readFull(1)
	if err != nil {
		return false, err
	}
	switch tag[0] {
	case serviceTag:
		return false, r.addService()
	case entryTag:
		return false, r.addEntry()
	case endTag:
		return true, nil
	}
	return false, r.corruption("unknown record tag")
}

func (r *snapshotReader) addService() error {
	lastIndex, err := r.uint64()
	if err != nil {
		return err
	}
	size, err := r.readFull(1)
	if err != nil {
		return err
	}
	name, err := r.readFull(int(size[0]))
	if err != nil {
		return err
	}
	r.service = string(name)
	if err := r.builder.AddService(r.service, lastIndex); err != nil {
		return r.corruption(err.Error())
	}
	return nil
}

func (r *snapshotReader) addEntry() error {
	size, err := r.readFull(2)
	if err != nil {
		return err
	}
	data, err := r.readFull(int(binary.LittleEndian.Uint16(size)))
	if err != nil {
		return err
	}
	entry, err := configtable.DecodeEntry(r.service, data)
	if err == nil {
		err = r.builder.Add(entry)
	}
	if err != nil {
		return r.corruption(err.Error())
	}
	return nil
}

// finish reads the rest of the end record and the checksum and compares them with the table.
func (r *snapshotReader) finish() (configtable.Table, error) {
	entries, err := r.uint64()
	if err != nil {
		return configtable.Table{}, err
	}
	digest, err := r.uint64()
	if err != nil {
		return configtable.Table{}, err
	}
	if err := r.verifyChecksum(); err != nil {
		return configtable.Table{}, err
	}
	if err := r.expectEOF(); err != nil {
		return configtable.Table{}, err
	}
	table := r.builder.Table()
	if uint64(table.Len()) != entries || uint64(table.Digest()) != digest {
		return configtable.Table{}, r.corruption("the number of entries or their digest does not match the end record")
	}
	return table, nil
}
