package kernel

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"time"
)

// task is one run that was asked for.
type task[K any] struct {
	run        K
	uid        string
	repeatable bool // it may run a second time
	sent       bool // its command may have been read
}

// command is one line that the kernel may not have read yet, or may have lost.
type command[K any] struct {
	queuedAt       time.Time // when it was decided
	writtenAt      time.Time // on this connection, zero if it has not been
	acknowledgedAt time.Time // when an answer proved that it had been read on this connection, zero before
	task           *task[K]  // nil for SYSINFO
	isSched        bool      // it is SCHED
	echo           string    // of SYSINFO
	line           []byte
}

// sched, preempt and sysinfo are the lines of commands as they go out.
type sched struct {
	Action  string `json:"action"`
	UID     string `json:"uid"`
	Lane    string `json:"lane"`
	Content []byte `json:"content"`
}

type preempt struct {
	Action string `json:"action"`
	UID    string `json:"uid"`
}

type sysinfo struct {
	Action string `json:"action"`
	Echo   string `json:"echo"`
}

// encode gives a command's line; names go out as they are, without the escapes that are for web pages.
func encode(message any) ([]byte, error) {
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(message) // which ends the line
	return line.Bytes(), err
}

// commands are what the kernel may not have read, in the order decided. Those that have been written on this connection come
// first. The link's lock guards it.
type commands[K any] struct {
	list      []command[K]
	unwritten int // how many, from the end, have not been written on this connection
	lastEcho  int // of the last question
}

func (c *commands[K]) push(one command[K]) {
	one.queuedAt = time.Now()
	c.list = append(c.list, one)
	c.unwritten++
}

// newQuery is a SYSINFO: its answer proves that all before it has been read.
func (c *commands[K]) newQuery() command[K] {
	c.lastEcho++
	echo := strconv.Itoa(c.lastEcho)
	line, _ := encode(sysinfo{"SYSINFO", echo})
	return command[K]{queuedAt: time.Now(), echo: echo, line: line}
}

// pushFront puts a command before all others; none has been written on this connection yet.
func (c *commands[K]) pushFront(one command[K]) {
	c.list = slices.Insert(c.list, 0, one)
	c.unwritten = len(c.list)
}

// removeWritten takes out all that has been written.
func (c *commands[K]) removeWritten() { c.list = c.list[len(c.list)-c.unwritten:] }

// next is the first command that has not been written, nil if there is none.
func (c *commands[K]) next() *command[K] {
	if c.unwritten == 0 {
		return nil
	}
	return &c.list[len(c.list)-c.unwritten]
}

// markWritten marks the next command as written.
func (c *commands[K]) markWritten(now time.Time) {
	one := c.next()
	one.writtenAt = now
	if one.task != nil {
		one.task.sent = true
	}
	c.unwritten--
}

// removeIf takes out what drop tells.
func (c *commands[K]) removeIf(drop func(one *command[K]) bool) {
	at, sent := 0, len(c.list)-c.unwritten
	c.list = slices.DeleteFunc(c.list, func(one command[K]) bool {
		at++
		if !drop(&one) {
			return false
		}
		if at > sent {
			c.unwritten--
		}
		return true
	})
}

// pendingQuery gives the youngest question that has no answer yet, nil if there is none.
func (c *commands[K]) pendingQuery() *command[K] {
	for k := len(c.list) - 1; k >= 0; k-- {
		if c.list[k].echo != "" {
			return &c.list[k]
		}
	}
	return nil
}

// acknowledge takes note that the kernel has read all up to a question; without an echo it is the first one. What was known to be
// read so long before that question was asked is with the kernel for good: a break cannot cost it any more. It tells
// whether there is such a question.
func (c *commands[K]) acknowledge(echo string, lossSpan time.Duration) bool {
	k := slices.IndexFunc(c.list[:len(c.list)-c.unwritten], func(one command[K]) bool {
		return one.echo != "" && (echo == "" || one.echo == echo)
	})
	if k < 0 {
		return false
	}
	now, safe := time.Now(), c.list[k].writtenAt.Add(-lossSpan)
	for j := range c.list[:k] {
		if one := &c.list[j]; one.acknowledgedAt.IsZero() {
			one.acknowledgedAt = now
		}
	}
	at := 0
	c.removeIf(func(one *command[K]) bool {
		at++
		return at <= k+1 && (one.echo != "" || lossSpan == 0 || !one.acknowledgedAt.After(safe))
	})
	return true
}

// prepareReconnect readies the list for a new connection: questions are void, and what may have been read and may not run twice is not
// asked for again. It gives the tasks of these, of which it is not known any more whether they run.
func (c *commands[K]) prepareReconnect() (inDoubt []*task[K]) {
	c.removeIf(func(one *command[K]) bool {
		if one.isSched && one.task.sent && !one.task.repeatable {
			inDoubt = append(inDoubt, one.task)
			return true
		}
		return one.echo != ""
	})
	for k := range c.list {
		c.list[k].writtenAt, c.list[k].acknowledgedAt = time.Time{}, time.Time{}
	}
	c.unwritten = len(c.list)
	return inDoubt
}
