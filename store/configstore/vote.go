package configstore

import (
	"io"
)

// A vote file is a header, whose version contains the term, one byte with the length of the candidate's name, the name,
// and a CRC-32C of all of these.

// Vote is the persistent election state of a voter.
type Vote struct {
	Term      uint64 // highest term that the voter has seen
	Candidate string // voted for in that term, or ""; at most 255 bytes
}

func encodeVote(owner string, vote Vote) []byte {
	data := header{voteFile, owner, Version{Term: vote.Term}}.encode()
	data = append(data, byte(len(vote.Candidate)))
	data = append(data, vote.Candidate...)
	return appendChecksum(data)
}

func readVote(path string, source io.Reader, owner string) (Vote, error) {
	r := newFileReader(path, source)
	version, err := r.header(voteFile, owner)
	if err != nil {
		return Vote{}, err
	}
	size, err := r.readFull(1)
	if err != nil {
		return Vote{}, err
	}
	name, err := r.readFull(int(size[0]))
	if err != nil {
		return Vote{}, err
	}
	vote := Vote{Term: version.Term, Candidate: string(name)}
	if err := r.verifyChecksum(); err != nil {
		return Vote{}, err
	}
	if err := r.expectEOF(); err != nil {
		return Vote{}, err
	}
	return vote, nil
}
