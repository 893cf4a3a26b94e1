package rig

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"io"
	"os/exec"
	"sync"
	"time"
)

// RemoteCaller is a Caller that makes its calls in a separate process, which shares no state with other callers.
type RemoteCaller struct {
	process Process
	in      io.WriteCloser

	mu      sync.Mutex
	lastID  uint64
	pending map[uint64]chan remoteReply // by id of the call; nil once the output of the process has ended
}

// remoteCall is one call, sent to the process as a line of JSON.
type remoteCall struct {
	ID          uint64
	Method      string
	Token       string
	Criticality float64
	Deadline    time.Time
	Body        []byte
}

// remoteReply is the reply to one call, sent by the process as a line of JSON.
type remoteReply struct {
	ID     uint64
	Result []byte
	Error  string // empty if the call succeeded
}

// ErrRemoteEnded is the error of calls whose process has ended, ErrRemoteTimeout of those without an outcome in time.
var (
	ErrRemoteEnded   = errors.New("the caller's process has ended")
	ErrRemoteTimeout = errors.New("the caller's process did not reply in time")
)

// remoteGracePeriod is how long Call waits for an outcome past the deadline, and Close for the process to exit.
const remoteGracePeriod = 3 * time.Second

// NewRemoteCaller starts a command that runs ServeCalls on its standard input and output. The caller must Close it.
func NewRemoteCaller(cmd *exec.Cmd) (*RemoteCaller, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r := &RemoteCaller{in: in, pending: map[uint64]chan remoteReply{}}
	if _, err := r.process.spawn(cmd, func(error) {}); err != nil {
		return nil, err
	}
	go r.read(out)
	return r, nil
}

// read passes each reply to the call that waits for it, and fails all calls at the end of the output.
func (r *RemoteCaller) read(out io.Reader) {
	decoder := json.NewDecoder(bufio.NewReader(out))
	for {
		var reply remoteReply
		if decoder.Decode(&reply) != nil {
			break
		}
		r.mu.Lock()
		done := r.pending[reply.ID]
		delete(r.pending, reply.ID)
		r.mu.Unlock()
		if done != nil {
			done <- reply
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, done := range r.pending {
		done <- remoteReply{Error: ErrRemoteEnded.Error()}
	}
	r.pending = nil
}

// Call makes one call in the process. ctx must have a deadline, which is passed on.
func (r *RemoteCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("remote call: the context has no deadline")
	}
	done := make(chan remoteReply, 1)
	if err := r.send(remoteCall{Method: method, Token: token, Criticality: criticality, Deadline: deadline,
		Body: body}, done); err != nil {
		return nil, err
	}
	timeout := time.NewTimer(time.Until(deadline) + remoteGracePeriod)
	defer timeout.Stop()
	select {
	case reply := <-done:
		if reply.Error != "" {
			return nil, errors.New(reply.Error)
		}
		return reply.Result, nil
	case <-timeout.C:
		return nil, ErrRemoteTimeout
	}
}

// send registers a call under a new id and writes it to the process.
func (r *RemoteCaller) send(call remoteCall, done chan remoteReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pending == nil {
		return ErrRemoteEnded
	}
	r.lastID++
	call.ID = r.lastID
	line, err := json.Marshal(call)
	if err != nil {
		return err
	}
	r.pending[call.ID] = done
	if _, err := r.in.Write(append(line, '\n')); err != nil {
		delete(r.pending, call.ID)
		return ErrRemoteEnded
	}
	return nil
}

// Log returns the end of the standard error output of the process.
func (r *RemoteCaller) Log() string { return r.process.Log() }

// Close closes the input of the process, and kills it if it does not exit within the grace period.
func (r *RemoteCaller) Close() error {
	r.in.Close()
	select {
	case <-r.process.ended():
	case <-time.After(remoteGracePeriod):
		r.process.kill()
	}
	return nil
}

// ServeCalls reads calls from in, makes them concurrently through caller and writes the replies to out. It returns at the end
// of the input, once all calls have an outcome, or at the first malformed call.
func ServeCalls(in io.Reader, out io.Writer, caller Caller) error {
	var mu sync.Mutex
	encoder := json.NewEncoder(out)
	var calls sync.WaitGroup
	defer calls.Wait()
	decoder := json.NewDecoder(bufio.NewReader(in))
	for {
		var call remoteCall
		if err := decoder.Decode(&call); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		calls.Go(func() {
			ctx, stop := context.WithDeadline(context.Background(), call.Deadline)
			defer stop()
			reply := remoteReply{ID: call.ID}
			result, err := caller.Call(ctx, call.Method, call.Token, call.Criticality, call.Body)
			if reply.Result = result; err != nil {
				reply.Error = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			encoder.Encode(reply)
		})
	}
}
