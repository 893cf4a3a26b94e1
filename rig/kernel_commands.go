package rig

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"slices"
	"time"
)

// workOrder is what is known of a run that is asked for.
type workOrder struct {
	entry CatalogEntry
	sent  *sentTry // nil where commands are not checked against what clients sent
	over  bool     // its request has been answered, or given up
}

// longestCommand bounds a line: a body of 2 KiB and a name of some hundred bytes, however they are written.
const longestCommand = 64 << 10

func (k *Kernel) serve(listener net.Listener) {
	for {
		nc, err := listener.Accept()
		if err != nil {
			return
		}
		k.mu.Lock()
		k.accepted++
		number := k.accepted
		k.mu.Unlock()
		go k.talk(nc, number)
	}
}

// talk carries out what comes on one connection, until it ends or something comes that is no command.
func (k *Kernel) talk(nc net.Conn, number uint64) {
	defer nc.Close()
	lines := bufio.NewReaderSize(nc, longestCommand)
	var link *kernelLink
	for {
		line, err := lines.ReadSlice('\n')
		if err != nil { // what has no end of line has not come whole
			return
		}
		c, err := parseCommand(line)
		switch {
		case err != nil:
		case link == nil && c.Action != "OPEN":
			err = fmt.Errorf("%w: %s before OPEN", errNoCommand, c.Action)
		case link != nil && c.Action == "OPEN":
			err = fmt.Errorf("%w: OPEN a second time", errNoCommand)
		}
		if err != nil {
			k.notACommand(link, line, err)
			return
		}
		if link == nil {
			k.awaitRelease()
			if link = k.open(nc, number, c.Pos); link == nil {
				return
			}
			defer k.unlink(link)
			continue
		}
		k.obey(link, c)
	}
}

// notACommand tells of a line for which the link is closed.
func (k *Kernel) notACommand(link *kernelLink, line []byte, err error) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.violate(1, "wrote to its kernel %.200q: %v", line, err)
	if link != nil && k.link == link {
		k.dropLink()
	}
}

// open takes a connection for the link, in place of the one before; nil if a later one has come meanwhile.
func (k *Kernel) open(nc net.Conn, number uint64, pos int) *kernelLink {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.closed || k.link != nil && k.link.number > number {
		return nil
	}
	k.dropLink()
	link := newKernelLink(nc, number, k.config.Seed, &k.faults)
	go link.write()
	k.link, k.linkedAt = link, time.Now()
	code := "running"
	if k.cold && k.config.Cold.Window > 0 {
		code = "starting"
	}
	k.say(fmt.Sprintf(`{"action":"BOOTED","code":"%s","wall_ms":%d}`, code, time.Since(k.began).Milliseconds()+1))
	if pos > len(k.notices) {
		k.violate(1, "says that it has read notice %d of %d", pos, len(k.notices))
	}
	for _, line := range k.notices[min(pos, len(k.notices)):] {
		if line != "" {
			k.say(line)
		}
	}
	return link
}

// obey carries out a command. What comes on a link that another has replaced, or while commands are lost, is lost.
func (k *Kernel) obey(link *kernelLink, c kernelCommand) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.link != link || link.deaf {
		return
	}
	switch c.Action {
	case "SYSINFO":
		k.sysinfo(c)
	case "SCHED":
		k.schedule(c)
	case "PREEMPT":
		k.stop(c)
	case "RESCHED":
		k.resume(c)
	}
}

// refuse answers a command that is not carried out.
func (k *Kernel) refuse(c kernelCommand) {
	uid, _ := json.Marshal(c.UID)
	k.say(fmt.Sprintf(`{"action":"EINVAL","code":"%s","uid":%s}`, c.Action, uid))
}

func (k *Kernel) schedule(c kernelCommand) {
	if k.config.Methods != nil && !slices.Contains(k.config.Methods, c.Lane) {
		k.violate(1, "asks for a run of %s in class %q, of which there is none", c.UID, c.Lane)
		k.refuse(c)
		return
	}
	order, ok := k.check.resolveCommand(k.server, c.UID, c.Lane, c.Content)
	if !ok {
		k.refuse(c)
		return
	}
	if k.runs[c.UID] != nil {
		return
	}
	k.start(c.UID, c.Lane, order)
}

func (k *Kernel) stop(c kernelCommand) {
	if k.config.Preemption == PreemptNone {
		k.violate(1, "sends PREEMPT %s, which its settings do not allow", c.UID)
		k.refuse(c)
		return
	}
	if !k.check.knowsCall(k.server, c.UID) {
		k.violate(1, "sends PREEMPT %q, which no client has sent it", c.UID)
		k.refuse(c)
		return
	}
	k.pass()
	if r := k.runs[c.UID]; r != nil {
		if r.stopped = true; !k.hung { // what hangs cannot be stopped either
			k.preempt(r)
		}
	}
	k.set()
}

func (k *Kernel) resume(c kernelCommand) {
	if k.config.Preemption != PreemptFreeze {
		k.violate(1, "sends RESCHED %s, which its settings do not allow", c.UID)
		k.refuse(c)
		return
	}
	if !k.check.knowsCall(k.server, c.UID) {
		k.violate(1, "sends RESCHED %q, which no client has sent it", c.UID)
		k.refuse(c)
		return
	}
	k.pass()
	k.dropPaused()
	if r := k.runs[c.UID]; r != nil && r.paused {
		r.paused, r.began = false, time.Now()
	}
	k.set()
}
