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
	asked      bool // its command may have been read
}

// command is one line that the kernel may not have read yet, or may have lost.
type command[K any] struct {
	at    time.Time // when it was decided
	wrote time.Time // on this connection, zero if it has not been
	read  time.Time // when an answer proved that it had been read on this connection, zero before
	task  *task[K]  // nil for SYSINFO
	start bool      // it is SCHED
	echo  string    // of SYSINFO
	line  []byte
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
	list   []command[K]
	unsent int // how many, from the end, have not been written on this connection
	echo   int // of the last question
}

func (c *commands[K]) push(one command[K]) {
	one.at = time.Now()
	c.list = append(c.list, one)
	c.unsent++
}

// question is a SYSINFO: its answer proves that all before it has been read.
func (c *commands[K]) question() command[K] {
	c.echo++
	echo := strconv.Itoa(c.echo)
	line, _ := encode(sysinfo{"SYSINFO", echo})
	return command[K]{at: time.Now(), echo: echo, line: line}
}

// first puts a command before all others; none has been written on this connection yet.
func (c *commands[K]) first(one command[K]) {
	c.list = slices.Insert(c.list, 0, one)
	c.unsent = len(c.list)
}

// readAll takes out all that has been written.
func (c *commands[K]) readAll() { c.list = c.list[len(c.list)-c.unsent:] }

// next is the first command that has not been written, nil if there is none.
func (c *commands[K]) next() *command[K] {
	if c.unsent == 0 {
		return nil
	}
	return &c.list[len(c.list)-c.unsent]
}

// take marks the next command as written.
func (c *commands[K]) take(now time.Time) {
	one := c.next()
	one.wrote = now
	if one.task != nil {
		one.task.asked = true
	}
	c.unsent--
}

// remove takes out what drop tells.
func (c *commands[K]) remove(drop func(one *command[K]) bool) {
	at, sent := 0, len(c.list)-c.unsent
	c.list = slices.DeleteFunc(c.list, func(one command[K]) bool {
		at++
		if !drop(&one) {
			return false
		}
		if at > sent {
			c.unsent--
		}
		return true
	})
}

// asked gives the youngest question that has no answer yet, nil if there is none.
func (c *commands[K]) asked() *command[K] {
	for k := len(c.list) - 1; k >= 0; k-- {
		if c.list[k].echo != "" {
			return &c.list[k]
		}
	}
	return nil
}

// answered takes note that the kernel has read all up to a question; without an echo it is the first one. What was known to be
// read so long before that question was asked is with the kernel for good: a break cannot cost it any more. It tells
// whether there is such a question.
func (c *commands[K]) answered(echo string, lossSpan time.Duration) bool {
	k := slices.IndexFunc(c.list[:len(c.list)-c.unsent], func(one command[K]) bool {
		return one.echo != "" && (echo == "" || one.echo == echo)
	})
	if k < 0 {
		return false
	}
	now, safe := time.Now(), c.list[k].wrote.Add(-lossSpan)
	for j := range c.list[:k] {
		if one := &c.list[j]; one.read.IsZero() {
			one.read = now
		}
	}
	at := 0
	c.remove(func(one *command[K]) bool {
		at++
		return at <= k+1 && (one.echo != "" || lossSpan == 0 || !one.read.After(safe))
	})
	return true
}

// reopen readies the list for a new connection: questions are void, and what may have been read and may not run twice is not
// asked for again. It gives the tasks of these, of which it is not known any more whether they run.
func (c *commands[K]) reopen() (inDoubt []*task[K]) {
	c.remove(func(one *command[K]) bool {
		if one.start && one.task.asked && !one.task.repeatable {
			inDoubt = append(inDoubt, one.task)
			return true
		}
		return one.echo != ""
	})
	for k := range c.list {
		c.list[k].wrote, c.list[k].read = time.Time{}, time.Time{}
	}
	c.unsent = len(c.list)
	return inDoubt
}
