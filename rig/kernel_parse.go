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

// errInvalidCommand is wrapped by the errors of lines that are no command.
var errInvalidCommand = errors.New("no command")

// parseCommand reads one line by the protocol's word: all of a command's fields, no others, each of its own type.
func parseCommand(line []byte) (kernelCommand, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(line, &fields); err != nil {
		return kernelCommand{}, fmt.Errorf("%w: %w", errInvalidCommand, err)
	}
	var command kernelCommand
	if err := readCommandField(fields, "action", &command.Action); err != nil {
		return command, err
	}
	names, known := commandFields[command.Action]
	if !known {
		return command, fmt.Errorf("%w: action %q", errInvalidCommand, command.Action)
	}
	targets := map[string]any{"uid": &command.UID, "lane": &command.Lane, "echo": &command.Echo, "pos": &command.Pos, "content": &command.Content}
	for _, name := range names {
		if err := readCommandField(fields, name, targets[name]); err != nil {
			return command, err
		}
	}
	if len(fields) != len(names)+1 {
		return command, fmt.Errorf("%w: %s with the fields %q", errInvalidCommand, command.Action, slices.Sorted(maps.Keys(fields)))
	}
	if command.Pos < 0 {
		return command, fmt.Errorf("%w: OPEN at %d", errInvalidCommand, command.Pos)
	}
	return command, nil
}

// readCommandField reads one field, which has to be there and not null.
func readCommandField(fields map[string]json.RawMessage, name string, target any) error {
	raw, found := fields[name]
	if !found || string(raw) == "null" {
		return fmt.Errorf("%w: without %s", errInvalidCommand, name)
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fmt.Errorf("%w: %s: %w", errInvalidCommand, name, err)
	}
	return nil
}
