package kernel

import (
	"bytes"
	"encoding/json"
	"slices"
	"strconv"
	"time"
)

// task is a run that was requested and has not ended.
type task[K any] struct {
	run        K
	uid        string
	repeatable bool // may be executed a second time
	sent       bool // its command may have been read
}

// command is a line that the kernel may not have read yet, or may have lost.
type command[K any] struct {
	queuedAt       time.Time
	writtenAt      time.Time // on the present connection, zero before
	acknowledgedAt time.Time // when a reply proved that it had been read on the present connection, zero before
	task           *task[K]  // nil for SYSINFO
	isSched        bool      // SCHED, not PREEMPT or SYSINFO
	echo           string    // SYSINFO only: the kernel returns it in the reply
	line           []byte
}

// sched, preempt and sysinfo are the JSON commands.
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

// encode returns a command's line. Names are not HTML-escaped.
func encode(cmd any) ([]byte, error) {
	var line bytes.Buffer
	encoder := json.NewEncoder(&line)
	encoder.SetEscapeHTML(false)
	err := encoder.Encode(cmd) // Encode appends the newline
	return line.Bytes(), err
}

// commands holds what the kernel may not have read, in order of arrival. Commands written on the present
// connection come first. It is guarded by the link's mutex.
type commands[K any] struct {
	list      []command[K]
	unwritten int // how many at the end have not been written on the present connection
	lastEcho  int // number of the last query
}

func (c *commands[K]) push(cmd command[K]) {
	cmd.queuedAt = time.Now()
	c.list = append(c.list, cmd)
	c.unwritten++
}

// newQuery returns a SYSINFO command. Its reply proves that the kernel has read all commands before it.
func (c *commands[K]) newQuery() command[K] {
	c.lastEcho++
	echo := strconv.Itoa(c.lastEcho)
	line, _ := encode(sysinfo{"SYSINFO", echo})
	return command[K]{queuedAt: time.Now(), echo: echo, line: line}
}

// pushFront inserts a command before all others, when none has been written on the present connection yet.
func (c *commands[K]) pushFront(cmd command[K]) {
	c.list = slices.Insert(c.list, 0, cmd)
	c.unwritten = len(c.list)
}

// removeWritten removes all commands that have been written.
func (c *commands[K]) removeWritten() { c.list = c.list[len(c.list)-c.unwritten:] }

// next returns the first command that has not been written, nil if there is none.
func (c *commands[K]) next() *command[K] {
	if c.unwritten == 0 {
		return nil
	}
	return &c.list[len(c.list)-c.unwritten]
}

// markWritten records that the next command is being written.
func (c *commands[K]) markWritten(now time.Time) {
	cmd := c.next()
	cmd.writtenAt = now
	if cmd.task != nil {
		cmd.task.sent = true
	}
	c.unwritten--
}

// removeIf removes the commands for which drop returns true.
func (c *commands[K]) removeIf(drop func(cmd *command[K]) bool) {
	position, written := 0, len(c.list)-c.unwritten
	c.list = slices.DeleteFunc(c.list, func(cmd command[K]) bool {
		position++
		if !drop(&cmd) {
			return false
		}
		if position > written {
			c.unwritten--
		}
		return true
	})
}

// pendingQuery returns the most recent query without a reply, nil if there is none.
func (c *commands[K]) pendingQuery() *command[K] {
	for i := len(c.list) - 1; i >= 0; i-- {
		if c.list[i].echo != "" {
			return &c.list[i]
		}
	}
	return nil
}

// acknowledge records that the kernel has read all commands up to a query; an empty echo means the first query. A
// command that was known to be read at least lossWindow before that query was written cannot be lost by a
// disconnect any more and is removed. It returns false if there is no such query.
func (c *commands[K]) acknowledge(echo string, lossWindow time.Duration) bool {
	queryIndex := slices.IndexFunc(c.list[:len(c.list)-c.unwritten], func(cmd command[K]) bool {
		return cmd.echo != "" && (echo == "" || cmd.echo == echo)
	})
	if queryIndex < 0 {
		return false
	}
	now, safeBefore := time.Now(), c.list[queryIndex].writtenAt.Add(-lossWindow)
	for i := range c.list[:queryIndex] {
		if cmd := &c.list[i]; cmd.acknowledgedAt.IsZero() {
			cmd.acknowledgedAt = now
		}
	}
	position := 0
	c.removeIf(func(cmd *command[K]) bool {
		position++
		return position <= queryIndex+1 && (cmd.echo != "" || lossWindow == 0 || !cmd.acknowledgedAt.After(safeBefore))
	})
	return true
}

// prepareReconnect prepares the commands for a new connection: pending queries are dropped, and so are starts that
// may have been read and must not be repeated. It returns the tasks of the latter, as whether they run is not
// known.
func (c *commands[K]) prepareReconnect() (unconfirmed []*task[K]) {
	c.removeIf(func(cmd *command[K]) bool {
		if cmd.isSched && cmd.task.sent && !cmd.task.repeatable {
			unconfirmed = append(unconfirmed, cmd.task)
			return true
		}
		return cmd.echo != ""
	})
	for i := range c.list {
		c.list[i].writtenAt, c.list[i].acknowledgedAt = time.Time{}, time.Time{}
	}
	c.unwritten = len(c.list)
	return unconfirmed
}
