package rig

import (
	"fmt"
	"net"
	"strings"
	"testing"
)

// A report that is not three valid words, or that names an unknown or ended process, is a violation; a valid one is not.
func TestRosterChecksReports(t *testing.T) {
	for report, violation := range map[string]string{
		"HERE n1 on":      "",
		"HERE n1 off":     "",
		"HERE n2 on":      "which is no known process",
		"HERE n3 on":      "has ended",
		"HERE n1":         "words",
		"HERE n1 on ":     "words",
		"HERE n1 maybe":   "ends with",
		"THERE n1 on":     "begins with",
		"HERE n1 on\nn2 ": "words",
	} {
		s := newTestSetup(t, KernelConfig{})
		r, err := NewRoster()
		if err != nil {
			t.Fatal(err)
		}
		r.CheckReports(s.checker, "n1", "n3")
		conn, err := net.Dial("udp", r.Address())
		if err != nil {
			t.Fatal(err)
		}
		fmt.Fprint(conn, report)
		fmt.Fprint(conn, "HERE last") // always invalid; once it is reported, the datagram before it has been processed
		waitFor(t, "the reports", func() bool {
			all := s.checker.Violations()
			return len(all) > 0 && strings.Contains(all[len(all)-1].Description, "HERE last")
		})
		all := s.checker.Violations()
		if len(all) > 2 || (len(all) == 2) != (violation != "") || !strings.Contains(all[0].Description, violation) {
			t.Errorf("%q: %v", report, all)
		}
		conn.Close()
		r.Close()
	}
}
