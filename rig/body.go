package rig

import (
	"fmt"
	"strconv"
	"strings"
)

// EncodeBody returns the body of an RPC of the rig: the id, by which the checker matches all tries of the RPC, and the work of
// its run, in seconds on a core.
func EncodeBody(id string, work float64) []byte { return fmt.Appendf(nil, "%s %.6f", id, work) }

// DecodeBody parses a body in the format of EncodeBody; ok is false for any other.
func DecodeBody(body []byte) (id string, work float64, ok bool) {
	id, rest, found := strings.Cut(string(body), " ")
	work, err := strconv.ParseFloat(rest, 64)
	return id, work, found && err == nil && id != "" && work >= 0
}

// RunResult returns the result that a run of an RPC produces by default.
func RunResult(id string) []byte { return []byte("done " + id) }
