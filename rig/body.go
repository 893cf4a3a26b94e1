package rig

import (
	"fmt"
	"strconv"
	"strings"
)

// EncodeBody is what an RPC of the rig carries: its name, by which the checker knows all its tries again, and the seconds
// of work that the kernel's stand-in makes of it.
func EncodeBody(id string, work float64) []byte { return fmt.Appendf(nil, "%s %.6f", id, work) }

// DecodeBody reads it.
func DecodeBody(body []byte) (id string, work float64, ok bool) {
	id, rest, found := strings.Cut(string(body), " ")
	work, err := strconv.ParseFloat(rest, 64)
	return id, work, found && err == nil && id != "" && work >= 0
}

// RunResult is the result of a run.
func RunResult(id string) []byte { return []byte("done " + id) }
