package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"
)

// runRequest describes the RPC that a SCHED command runs.
type runRequest struct {
	entry       CatalogEntry
	sent        *sentTry // nil if commands are not checked against what clients sent
	requestOver bool     // the request has been answered or given up
}

// maxCommandBytes is the maximum length of a line. It has room for a body of 2 KiB and a name of some hundred bytes in any JSON
// encoding.
const maxCommandBytes = 64 << 10

// serve accepts connections until the listener is closed.
func (k *Kernel) serve(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		k.acceptedCount++
		number := k.acceptedCount
		k.mu.Unlock()
		go k.serveConnection(conn, number)
	}
}

// serveConnection executes the commands of one connection until it ends or an invalid command arrives.
func (k *Kernel) serveConnection(conn net.Conn, number uint64) {
	defer conn.Close()
	reader := bufio.NewReaderSize(conn, maxCommandBytes)
	var link *kernelLink
	for {
		line, err := reader.ReadSlice('\n')
		if err != nil { // a line without its end is incomplete
			return
		}
		command, err := parseCommand(line)
		switch {
		case err != nil:
		case link == nil && command.Action != "OPEN":
			err = fmt.Errorf("%w: %s before OPEN", errInvalidCommand, command.Action)
		case link != nil && command.Action == "OPEN":
			err = fmt.Errorf("%w: second OPEN on one link", errInvalidCommand)
		}
		if err != nil {
			k.rejectLine(link, line, err)
			return
		}
		if link == nil {
			k.awaitRelease()
			if link = k.openLink(conn, number, command.Pos); link == nil {
				return
			}
			defer k.closeLink(link)
			continue
		}
		k.execute(link, command)
	}
}

// rejectLine reports an invalid line and closes its link.
func (k *Kernel) rejectLine(link *kernelLink, line []byte, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.reportViolation(1, "wrote to its kernel %.200q: %v", line, err)
	if link != nil && k.link == link {
		k.dropLink()
	}
}

// openLink makes a connection the link, in place of the previous one. It returns nil if a later connection already is
// the link, or if the kernel is closed.
func (k *Kernel) openLink(conn net.Conn, number uint64, pos int) *kernelLink {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.link != nil && k.link.number > number {
		return nil
	}
	k.dropLink()
	link := newKernelLink(conn, number, k.config.Seed, &k.faults)
	go link.writeLines()
	k.link, k.linkedAt = link, time.Now()
	code := "running"
	if k.hasColdStart && k.config.Cold.Window > 0 {
		code = "starting"
	}
	k.sendLine(fmt.Sprintf(`{"action":"BOOTED","code":"%s","wall_ms":%d}`, code, time.Since(k.startedAt).Milliseconds()+1))
	if pos > len(k.notices) {
		k.reportViolation(1, "claims to have read notice %d of %d", pos, len(k.notices))
	}
	for _, line := range k.notices[min(pos, len(k.notices)):] {
		if line != "" {
			k.sendLine(line)
		}
	}
	return link
}

// execute carries out a command. Commands on a link that has been replaced, or that drops commands, are lost.
func (k *Kernel) execute(link *kernelLink, command kernelCommand) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link != link || link.dropsCommands {
		return
	}
	switch command.Action {
	case "SYSINFO":
		k.handleSysinfo(command)
	case "SCHED":
		k.handleSched(command)
	case "PREEMPT":
		k.handlePreempt(command)
	case "RESCHED":
		k.handleResched(command)
	}
}

// rejectCommand answers a command that is not carried out with EINVAL.
func (k *Kernel) rejectCommand(command kernelCommand) {
	encodedUID, _ := json.Marshal(command.UID)
	k.sendLine(fmt.Sprintf(`{"action":"EINVAL","code":"%s","uid":%s}`, command.Action, encodedUID))
}

// handleSched starts a run, unless no client has sent such an RPC or the run exists already.
func (k *Kernel) handleSched(command kernelCommand) {
	if k.config.Methods != nil && !slices.Contains(k.config.Methods, command.Lane) {
		k.reportViolation(1, "sends SCHED %s for method %q, which the settings do not list", command.UID, command.Lane)
		k.rejectCommand(command)
		return
	}
	request, ok := k.checker.resolveCommand(k.server, command.UID, command.Lane, command.Content)
	if !ok {
		k.rejectCommand(command)
		return
	}
	if k.runs[command.UID] != nil {
		return
	}
	k.startRun(command.UID, command.Lane, request)
}

// handlePreempt preempts a run; a run that hangs is preempted when it resumes.
func (k *Kernel) handlePreempt(command kernelCommand) {
	if k.config.Preemption == PreemptNone {
		k.reportViolation(1, "sends PREEMPT %s, which its settings do not allow", command.UID)
		k.rejectCommand(command)
		return
	}
	if !k.checker.knowsCall(k.server, command.UID) {
		k.reportViolation(1, "sends PREEMPT %q, which no client has sent it", command.UID)
		k.rejectCommand(command)
		return
	}
	k.accountWork()
	if r := k.runs[command.UID]; r != nil {
		if r.preemptRequested = true; !k.hung { // a hung run cannot be preempted either
			k.preempt(r)
		}
	}
	k.scheduleTimer()
}

// handleResched resumes a paused run.
func (k *Kernel) handleResched(command kernelCommand) {
	if k.config.Preemption != PreemptFreeze {
		k.reportViolation(1, "sends RESCHED %s, which its settings do not allow", command.UID)
		k.rejectCommand(command)
		return
	}
	if !k.checker.knowsCall(k.server, command.UID) {
		k.reportViolation(1, "sends RESCHED %q, which no client has sent it", command.UID)
		k.rejectCommand(command)
		return
	}
	k.accountWork()
	k.removeObsoletePausedRuns()
	if r := k.runs[command.UID]; r != nil && r.paused {
		r.paused, r.startedAt = false, time.Now()
	}
	k.scheduleTimer()
}
