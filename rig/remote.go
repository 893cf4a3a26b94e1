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

// RemoteCaller is a Caller that lives in a process of its own, which knows nothing of the others.
type RemoteCaller struct {
	process Process
	in      io.WriteCloser

	mu    sync.Mutex
	last  uint64
	waits map[uint64]chan remoteReply // nil once the process says nothing more
}

// remoteCall is one line to the process.
type remoteCall struct {
	ID          uint64
	Method      string
	Token       string
	Criticality float64
	Deadline    time.Time
	Body        []byte
}

// remoteReply is one line from it.
type remoteReply struct {
	ID     uint64
	Result []byte
	Error  string // empty where the call was ok
}

// ErrRemoteEnded is the outcome of calls whose process has ended, ErrRemoteLate of those that had no outcome in time.
var (
	ErrRemoteEnded = errors.New("the caller's process has ended")
	ErrRemoteLate  = errors.New("the caller's process says nothing")
)

// remotePatience is waited past a call's deadline for its outcome.
const remotePatience = 3 * time.Second

// NewRemoteCaller starts a command that serves calls with ServeCalls on its standard input and output.
func NewRemoteCaller(cmd *exec.Cmd) (*RemoteCaller, error) {
	in, err := cmd.StdinPipe()
	if err != nil {
		return nil, err
	}
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r := &RemoteCaller{in: in, waits: map[uint64]chan remoteReply{}}
	if _, err := r.process.spawn(cmd, func(error) {}); err != nil {
		return nil, err
	}
	go r.read(out)
	return r, nil
}

func (r *RemoteCaller) read(out io.Reader) {
	lines := json.NewDecoder(bufio.NewReader(out))
	for {
		var reply remoteReply
		if lines.Decode(&reply) != nil {
			break
		}
		r.mu.Lock()
		done := r.waits[reply.ID]
		delete(r.waits, reply.ID)
		r.mu.Unlock()
		if done != nil {
			done <- reply
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, done := range r.waits {
		done <- remoteReply{Error: ErrRemoteEnded.Error()}
	}
	r.waits = nil
}

// Call has the process make one call. The context's deadline goes with it.
func (r *RemoteCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	due, ok := ctx.Deadline()
	if !ok {
		return nil, errors.New("a remote call needs a deadline")
	}
	done := make(chan remoteReply, 1)
	if err := r.send(remoteCall{Method: method, Token: token, Criticality: criticality, Deadline: due, Body: body}, done); err != nil {
		return nil, err
	}
	late := time.NewTimer(time.Until(due) + remotePatience)
	defer late.Stop()
	select {
	case reply := <-done:
		if reply.Error != "" {
			return nil, errors.New(reply.Error)
		}
		return reply.Result, nil
	case <-late.C:
		return nil, ErrRemoteLate
	}
}

func (r *RemoteCaller) send(call remoteCall, done chan remoteReply) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.waits == nil {
		return ErrRemoteEnded
	}
	r.last++
	call.ID = r.last
	line, err := json.Marshal(call)
	if err != nil {
		return err
	}
	r.waits[call.ID] = done
	if _, err := r.in.Write(append(line, '\n')); err != nil {
		delete(r.waits, call.ID)
		return ErrRemoteEnded
	}
	return nil
}

// Log is the last of what the process said on its standard error.
func (r *RemoteCaller) Log() string { return r.process.Log() }

// Close ends the process and waits for its end.
func (r *RemoteCaller) Close() error {
	r.in.Close()
	select {
	case <-r.process.ended():
	case <-time.After(remotePatience):
		r.process.kill()
	}
	return nil
}

// ServeCalls makes the calls that come in, each at once, and returns when no more come and all have an outcome.
func ServeCalls(in io.Reader, out io.Writer, caller Caller) error {
	var mu sync.Mutex
	replies := json.NewEncoder(out)
	var open sync.WaitGroup
	defer open.Wait()
	lines := json.NewDecoder(bufio.NewReader(in))
	for {
		var call remoteCall
		if err := lines.Decode(&call); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		open.Go(func() {
			ctx, stop := context.WithDeadline(context.Background(), call.Deadline)
			defer stop()
			reply := remoteReply{ID: call.ID}
			result, err := caller.Call(ctx, call.Method, call.Token, call.Criticality, call.Body)
			if reply.Result = result; err != nil {
				reply.Error = err.Error()
			}
			mu.Lock()
			defer mu.Unlock()
			replies.Encode(reply)
		})
	}
}
