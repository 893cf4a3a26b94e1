package member

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"go.uber.org/zap"
)

// Status is what a member reports on its local socket, as one JSON object.
type Status struct {
	Name        string           `json:"name"`
	Version     uint64           `json:"version"`
	Digest      string           `json:"digest"`
	Certainty   string           `json:"certainty"`
	Members     []MemberStatus   `json:"members"`
	LastHealthy []string         `json:"healthy,omitempty"` // names in the last healthy view while this one is partitioned
	Packets     [2]int64         `json:"packets"`           // sent, received
	Bytes       [2]int64         `json:"bytes"`             // sent, received, without streams
	Dropped     map[string]int64 `json:"dropped,omitempty"`
	Roles       json.RawMessage  `json:"roles,omitempty"` // result of the function given to SetRoles
}

// MemberStatus describes one member of the view.
type MemberStatus struct {
	Name        string `json:"name"`
	Incarnation uint64 `json:"incarnation"` // Unix milliseconds
	Nonce       string `json:"nonce"`
	Address     string `json:"address"`
	Zone        string `json:"zone,omitempty"`
	State       string `json:"state"`
	Unhealthy   bool   `json:"unhealthy,omitempty"`
	Unreachable bool   `json:"unreachable,omitempty"`
	Proto       uint8  `json:"proto"`
	Open        uint8  `json:"open"`
	Credit      uint8  `json:"credit"`
	Level       uint8  `json:"level"`
}

// Status returns the current view and the packet counters, for operators.
func (m *Member) Status() Status {
	v, c := m.View(), m.Stats()
	s := Status{Name: m.config.Name, Version: v.Version, Digest: digestText(v.Digest), Certainty: v.Certainty.String(),
		Packets: [2]int64{c.SentPackets, c.GotPackets}, Bytes: [2]int64{c.SentBytes, c.GotBytes}, Dropped: c.Dropped}
	for _, e := range v.Members {
		s.Members = append(s.Members, MemberStatus{e.Name, e.Incarnation.Number, fmt.Sprintf("%08x", e.Incarnation.Nonce),
			e.Address, e.Zone, e.State.String(), e.Unhealthy, e.Unreachable, e.Proto, e.Load.Open, e.Load.Credit, e.Load.Level})
	}
	if roles := m.roles.Load(); roles != nil {
		s.Roles, _ = json.Marshal((*roles)())
	}
	for _, e := range v.LastHealthy {
		s.LastHealthy = append(s.LastHealthy, e.Name)
	}
	return s
}

// serveStatus writes the status to each connection to the local socket.
func (m *Member) serveStatus(ctx context.Context) error {
	path := m.config.Socket
	if nc, err := net.DialTimeout("unix", path, 100*time.Millisecond); err == nil {
		nc.Close()
		m.log.Error("fleet: the local socket is in use by another process") // this member runs without one
		return nil
	}
	if at, err := os.Lstat(path); err == nil && at.Mode()&os.ModeSocket != 0 {
		os.Remove(path) // left by a process that has ended
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err == nil {
		err = os.Chmod(path, 0o600)
	}
	if err != nil {
		m.log.Error("fleet: cannot open the local socket", zap.Error(err))
		return nil
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	for {
		nc, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		nc.SetDeadline(time.Now().Add(time.Second))
		json.NewEncoder(nc).Encode(m.Status())
		nc.Close()
	}
}

// ReadStatus reads the status of the member behind a local socket.
func ReadStatus(path string) (Status, error) {
	nc, err := net.DialTimeout("unix", path, time.Second)
	if err != nil {
		return Status{}, err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(2 * time.Second))
	var s Status
	return s, json.NewDecoder(io.LimitReader(nc, 4<<20)).Decode(&s)
}

// Table writes the status as text for operators.
func (s Status) Table(to io.Writer) {
	fmt.Fprintf(to, "view %d of %s, %s: %d members, digest %s\n", s.Version, s.Name, s.Certainty, len(s.Members), s.Digest)
	if missing := s.missing(); missing != nil {
		fmt.Fprintf(to, "missing of the last healthy view: %s\n", strings.Join(missing, " "))
	}
	t := tabwriter.NewWriter(to, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "NAME\tSTATE\tZONE\tADDRESS\tSTARTED\tLOAD\tREMARKS")
	for _, e := range s.Members {
		var remarks []string
		if e.Name == s.Name {
			remarks = append(remarks, "this one")
		}
		if e.Unhealthy {
			remarks = append(remarks, "work hangs")
		}
		if e.Unreachable {
			remarks = append(remarks, "does not answer us")
		}
		if e.Proto != protoSpoken {
			remarks = append(remarks, fmt.Sprintf("protocol %d", e.Proto))
		}
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d/%d/%d\t%s\n", e.Name, e.State, e.Zone, e.Address,
			time.UnixMilli(int64(e.Incarnation)).UTC().Format(time.DateTime), e.Open, e.Credit, e.Level,
			strings.Join(remarks, ", "))
	}
	t.Flush()
	fmt.Fprintf(to, "packets %d sent, %d got; bytes %d sent, %d got", s.Packets[0], s.Packets[1], s.Bytes[0], s.Bytes[1])
	for _, cause := range causeNames {
		if n := s.Dropped[cause]; n > 0 {
			fmt.Fprintf(to, "; %d dropped: %s", n, cause)
		}
	}
	fmt.Fprintln(to)
}

// missing returns the names of the last healthy view that are no longer members.
func (s Status) missing() []string {
	var all []string
	for _, name := range s.LastHealthy {
		if !slices.ContainsFunc(s.Members, func(e MemberStatus) bool { return e.Name == name }) {
			all = append(all, name)
		}
	}
	return all
}
