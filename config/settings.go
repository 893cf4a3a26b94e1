package config

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"math"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/google/shlex"

	"valveglade/logic/pressure"
)

// Settings are the values that operators set in a file of their own, apart from the platform's configuration. Each line
// holds one directive: its name, then arguments quoted as in a shell. Every feature is off by default.
type Settings struct {
	Path     string
	Pressure Pressure
	Fleet    Fleet
	lines    map[string]int // line in which each directive was set
}

// DirectiveError reports an invalid directive and its position.
type DirectiveError struct {
	Path   string
	Line   int
	Name   string
	Reason string
}

func (e *DirectiveError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Name, e.Reason)
}

// directiveError reports an invalid directive; the line is 0 if the directive has its default value.
func (settings *Settings) directiveError(name, format string, args ...any) error {
	return &DirectiveError{settings.Path, settings.lines[name], name, fmt.Sprintf(format, args...)}
}

// directive describes one directive of the operators' file.
type directive struct {
	name   string
	syntax string // of the arguments
	help   string // one sentence without its full stop
	parse  func(settings *Settings, words []string) error
	format func(settings *Settings) string // the value as parse accepts it
}

// directives lists all directives in output order. Those of each subsystem are declared in its own source file.
var directives = slices.Concat(pressureDirectives, fleetDirectives, distributionDirectives)

func parseSwitch(words []string) (bool, error) {
	if len(words) == 1 && (words[0] == "on" || words[0] == "off") {
		return words[0] == "on", nil
	}
	return false, errors.New("expected on or off")
}

func formatSwitch(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func parseDuration(dst *float64, words []string, minSeconds, maxSeconds float64) error {
	if len(words) != 1 {
		return errors.New("expected one duration such as 250ms")
	}
	parsed, err := time.ParseDuration(words[0])
	if err != nil {
		return fmt.Errorf("expected a duration such as 250ms or 2m, got %q", words[0])
	}
	if seconds := parsed.Seconds(); !(seconds >= minSeconds && seconds <= maxSeconds) {
		return fmt.Errorf("%v is not from %v to %v", parsed, formatDuration(minSeconds), formatDuration(maxSeconds))
	}
	*dst = parsed.Seconds()
	return nil
}

func formatDuration(seconds float64) string {
	return time.Duration(math.Round(seconds*1e6) * 1e3).String()
}

// NewSettings returns the default settings.
func NewSettings() *Settings {
	return &Settings{Pressure: Pressure{ReadInterval: 0.05, Config: pressure.Defaults()}, Fleet: defaultFleet(),
		lines: map[string]int{}}
}

// ReadSettings reads and validates a file. An empty path yields the defaults.
func ReadSettings(path string) (*Settings, error) {
	if path == "" {
		return NewSettings(), nil
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return ParseSettings(path, text)
}

// ParseSettings parses and validates the text of a file.
func ParseSettings(path string, text []byte) (*Settings, error) {
	settings := NewSettings()
	settings.Path = path
	for index, line := range bytes.Split(text, []byte("\n")) {
		words, err := shlex.Split(string(line))
		if err != nil {
			return nil, &DirectiveError{path, index + 1, "", strings.TrimSpace(err.Error())}
		}
		if len(words) == 0 {
			continue
		}
		name := words[0]
		d := findDirective(name)
		switch {
		case d == nil:
			return nil, &DirectiveError{path, index + 1, name, "unknown directive"}
		case settings.lines[name] > 0:
			return nil, &DirectiveError{path, index + 1, name, fmt.Sprintf("already set in line %d", settings.lines[name])}
		}
		if err := d.parse(settings, words[1:]); err != nil {
			return nil, &DirectiveError{path, index + 1, name, err.Error()}
		}
		settings.lines[name] = index + 1
	}
	if err := settings.check(); err != nil {
		return nil, err
	}
	return settings, nil
}

func findDirective(name string) *directive {
	for i := range directives {
		if directives[i].name == name {
			return &directives[i]
		}
	}
	return nil
}

// check rejects contradictory directives.
func (settings *Settings) check() error {
	if err := settings.checkPressure(); err != nil {
		return err
	}
	return settings.checkFleet()
}

// Show writes the value of every directive that is in force, and where it comes from.
func (settings *Settings) Show(w io.Writer) {
	for _, d := range directives {
		source := "default"
		if line := settings.lines[d.name]; line > 0 {
			source = fmt.Sprintf("%s:%d", settings.Path, line)
		}
		fmt.Fprintf(w, "%-24s %-10s # %s\n", d.name, d.format(settings), source)
	}
}

// Sample writes a settings file with every directive commented out at its default.
func Sample(w io.Writer) {
	settings := NewSettings()
	fmt.Fprint(w, "# Settings of the operators: one directive a line, a name and arguments, quoted as in a shell.\n"+
		"# Every directive is commented out at its default. `valveglade check --settings FILE` shows what is in force.\n")
	for _, d := range directives {
		fmt.Fprintf(w, "\n# %s %s: %s.\n#%s %s\n", d.name, d.syntax, d.help, d.name, d.format(settings))
	}
}
