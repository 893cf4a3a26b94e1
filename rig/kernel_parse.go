package rig

import (
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
)

// kernelCommand is one line from an app server to its kernel.
type kernelCommand struct {
	Action  string
	UID     string
	Lane    string
	Echo    string
	Pos     int
	Content []byte
}

// commandFields lists the fields of each command besides its action.
var commandFields = map[string][]string{
	"OPEN":    {"pos"},
	"SCHED":   {"uid", "lane", "content"},
	"PREEMPT": {"uid"},
	"RESCHED": {"uid"},
	"SYSINFO": {"echo"},
}

// errInvalidCommand is wrapped by the errors of lines that are not a valid command.
var errInvalidCommand = errors.New("invalid command")

// parseCommand parses one line as the protocol demands: exactly the fields of the command, each of its own type.
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
		return command, fmt.Errorf("%w: unknown action %q", errInvalidCommand, command.Action)
	}
	targets := map[string]any{"uid": &command.UID, "lane": &command.Lane, "echo": &command.Echo,
		"pos": &command.Pos, "content": &command.Content}
	for _, name := range names {
		if err := readCommandField(fields, name, targets[name]); err != nil {
			return command, err
		}
	}
	if len(fields) != len(names)+1 {
		return command, fmt.Errorf("%w: %s has unexpected fields: %q", errInvalidCommand, command.Action,
			slices.Sorted(maps.Keys(fields)))
	}
	if command.Pos < 0 {
		return command, fmt.Errorf("%w: OPEN with negative pos %d", errInvalidCommand, command.Pos)
	}
	return command, nil
}

// readCommandField decodes one field, which must be present and not null.
func readCommandField(fields map[string]json.RawMessage, name string, target any) error {
	raw, found := fields[name]
	if !found || string(raw) == "null" {
		return fmt.Errorf("%w: field %s is missing or null", errInvalidCommand, name)
	}
	if err := json.Unmarshal(raw, target); err != nil {
		return fmt.Errorf("%w: field %s: %w", errInvalidCommand, name, err)
	}
	return nil
}
