package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"maps"
	"net"
	"os"
	"slices"
	"time"

	"go.uber.org/zap"

	"valveglade/logic/configtable"
)

func sortedCauses(counts map[string]int64) []string { return slices.Sorted(maps.Keys(counts)) }

// ConfigSocket returns the path of the distribution's local socket, which derives from the path of the view's socket.
func ConfigSocket(viewSocket string) string { return viewSocket + ".config" }

// SocketDescriptors is the largest number of file descriptors that the local socket uses: the listener and its clients.
const SocketDescriptors = 1 + maxSocketClients

// Limits and timeouts of the local socket.
const (
	maxSocketClients     = 4
	maxSocketRequest     = 128 << 10 // bytes of JSON
	socketRequestTimeout = 2 * time.Second
	socketReplyTimeout   = 20 * time.Second
)

// socketRequest is a request to the local socket: to apply changes, to look up one entry, or otherwise for the status.
type socketRequest struct {
	Apply  bool         `json:"apply,omitempty"`
	Path   string       `json:"path,omitempty"`
	Text   []byte       `json:"text,omitempty"`
	Lookup *EntryLookup `json:"lookup,omitempty"`
}

// EntryLookup names one entry.
type EntryLookup struct {
	Kind    configtable.Kind `json:"kind"`
	Service string           `json:"service"`
	Name    string           `json:"name"`
}

// EntryResult is the outcome of an entry lookup at an app server or its distributor.
type EntryResult struct {
	Found   bool   `json:"found"`
	Entry   string `json:"entry,omitempty"` // in the text syntax of changes
	Version uint64 `json:"version"`
	Cached  bool   `json:"cached,omitempty"`
	Error   string `json:"error,omitempty"`
}

// ApplyResult is the outcome of a request to apply changes.
type ApplyResult struct {
	Version uint64 `json:"version,omitempty"`
	Term    uint64 `json:"term,omitempty"`
	Error   string `json:"error,omitempty"` // empty when all changes are committed
}

// serveSocket serves local clients until ctx ends.
func (d *Distribution) serveSocket(ctx context.Context) {
	path := d.cfg.Socket
	if conn, err := net.DialTimeout("unix", path, 100*time.Millisecond); err == nil {
		conn.Close()
		d.log.Error("configuration: another running process serves the local socket")
		return
	}
	if info, err := os.Lstat(path); err == nil && info.Mode()&os.ModeSocket != 0 {
		os.Remove(path) // left behind by a process that has ended
	}
	listener, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err == nil {
		err = os.Chmod(path, 0o600)
	}
	if err != nil {
		d.log.Error("configuration: cannot listen on the local socket", zap.Error(err))
		return
	}
	stop := context.AfterFunc(ctx, func() { listener.Close() })
	defer stop()
	slots := make(chan struct{}, maxSocketClients)
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		slots <- struct{}{}
		go func() {
			defer func() { <-slots }()
			defer d.recoverPanic("socket")
			d.serveClient(ctx, conn)
		}()
	}
}

func (d *Distribution) serveClient(ctx context.Context, conn net.Conn) {
	defer conn.Close()
	conn.SetReadDeadline(time.Now().Add(socketRequestTimeout))
	var request socketRequest
	if json.NewDecoder(io.LimitReader(conn, maxSocketRequest)).Decode(&request) != nil {
		return
	}
	var response any = d.Status()
	if request.Apply {
		reply := d.applyText(ctx, applyRequest{Path: request.Path, Text: request.Text})
		response = ApplyResult{reply.Version.Index, reply.Version.Term, reply.Error}
	}
	if request.Lookup != nil {
		response = d.lookupEntry(ctx, *request.Lookup)
	}
	conn.SetWriteDeadline(time.Now().Add(socketRequestTimeout))
	json.NewEncoder(conn).Encode(response)
}

func (d *Distribution) lookupEntry(ctx context.Context, lookup EntryLookup) EntryResult {
	ctx, cancel := context.WithTimeout(ctx, socketRequestTimeout)
	defer cancel()
	found, err := d.Lookup(ctx, lookup.Kind, lookup.Service, lookup.Name)
	if err != nil {
		return EntryResult{Error: err.Error()}
	}
	result := EntryResult{Found: found.Found, Version: found.Version.Index, Cached: found.Cached}
	if found.Found {
		result.Entry = configtable.Change{Operation: configtable.Put, Kind: lookup.Kind, Service: lookup.Service,
			Name: lookup.Name, Value: found.Value}.String()
	}
	return result
}

// AskDistribution queries the app server behind a local socket for its status.
func AskDistribution(socket string) (status DistributionStatus, err error) {
	err = querySocket(socket, socketRequest{}, &status)
	return status, err
}

// ApplyChanges submits the changes in a text to the leader through the app server behind a local socket. A rejection is
// reported in the result, not as an error.
func ApplyChanges(socket, path string, text []byte) (result ApplyResult, err error) {
	err = querySocket(socket, socketRequest{Apply: true, Path: path, Text: text}, &result)
	return result, err
}

// LookupEntry looks up one entry through the app server behind a local socket.
func LookupEntry(socket string, lookup EntryLookup) (result EntryResult, err error) {
	err = querySocket(socket, socketRequest{Lookup: &lookup}, &result)
	return result, err
}

func querySocket(socket string, request socketRequest, response any) error {
	conn, err := net.DialTimeout("unix", socket, time.Second)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(socketReplyTimeout))
	if err := json.NewEncoder(conn).Encode(request); err != nil {
		return err
	}
	return json.NewDecoder(conn).Decode(response)
}
