package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// kernelCommand is one line that an app server writes to its kernel.
type kernelCommand struct {
	Action  string
	UID     string
	Lane    string
	Echo    string
	Pos     int
	Content []byte
}

// commandFields are what each command consists of beside its action.
var commandFields = map[string][]string{
	"OPEN":    {"pos"},
	"SCHED":   {"uid", "lane", "content"},
	"PREEMPT": {"uid"},
	"RESCHED": {"uid"},
	"SYSINFO": {"echo"},
}

// errNoCommand is wrapped by the errors of lines that are no command.
var errNoCommand = errors.New("no command")

// parseCommand reads one line by the protocol's word: all of a command's fields, no others, each of its own type.
func parseCommand(line []byte) (kernelCommand, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(line, &fields); err != nil {
		return kernelCommand{}, fmt.Errorf("%w: %w", errNoCommand, err)
	}
	var c kernelCommand
	if err := commandField(fields, "action", &c.Action); err != nil {
		return c, err
	}
	names, known := commandFields[c.Action]
	if !known {
		return c, fmt.Errorf("%w: action %q", errNoCommand, c.Action)
	}
	into := map[string]any{"uid": &c.UID, "lane": &c.Lane, "echo": &c.Echo, "pos": &c.Pos, "content": &c.Content}
	for _, name := range names {
		if err := commandField(fields, name, into[name]); err != nil {
			return c, err
		}
	}
	if len(fields) != len(names)+1 {
		return c, fmt.Errorf("%w: %s with the fields %q", errNoCommand, c.Action, slices.Sorted(maps.Keys(fields)))
	}
	if c.Pos < 0 {
		return c, fmt.Errorf("%w: OPEN at %d", errNoCommand, c.Pos)
	}
	return c, nil
}

// commandField reads one field, which has to be there and not null.
func commandField(fields map[string]json.RawMessage, name string, into any) error {
	raw, found := fields[name]
	if !found || string(raw) == "null" {
		return fmt.Errorf("%w: without %s", errNoCommand, name)
	}
	if err := json.Unmarshal(raw, into); err != nil {
		return fmt.Errorf("%w: %s: %w", errNoCommand, name, err)
	}
	return nil
}
