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

// Settings are what the operators of an installation set for themselves, in a file of their own beside the platform's:
// one directive a line, a name and then words, quoted as in a shell. All of it is off by default.
type Settings struct {
	Path     string
	Pressure Pressure
	Fleet    Fleet
	lines    map[string]int // where each directive was set
}

// DirectiveError is a directive that cannot be followed.
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

// directiveError reports a directive as it was set, or in line 0 as it is by default.
func (settings *Settings) directiveError(name, format string, args ...any) error {
	return &DirectiveError{settings.Path, settings.lines[name], name, fmt.Sprintf(format, args...)}
}

// directive is one name that a file may have.
type directive struct {
	name, syntax, help string
	parse              func(settings *Settings, words []string) error
	format             func(settings *Settings) string
}

// directives are in the order in which they are shown; each subsystem's stand in a file of its own.
var directives = slices.Concat(pressureDirectives, fleetDirectives, distributionDirectives)

func parseSwitch(words []string) (bool, error) {
	if len(words) == 1 && (words[0] == "on" || words[0] == "off") {
		return words[0] == "on", nil
	}
	return false, errors.New("on or off is wanted")
}

func formatSwitch(on bool) string {
	if on {
		return "on"
	}
	return "off"
}

func parseDuration(dst *float64, words []string, minSeconds, maxSeconds float64) error {
	if len(words) != 1 {
		return errors.New("one time such as 250ms is wanted")
	}
	parsed, err := time.ParseDuration(words[0])
	if err != nil {
		return fmt.Errorf("%q is no time such as 250ms or 2m", words[0])
	}
	if s := parsed.Seconds(); !(s >= minSeconds && s <= maxSeconds) {
		return fmt.Errorf("%v is not from %v to %v", parsed, formatDuration(minSeconds), formatDuration(maxSeconds))
	}
	*dst = parsed.Seconds()
	return nil
}

func formatDuration(s float64) string { return time.Duration(math.Round(s*1e6) * 1e3).String() }

// NewSettings returns the settings of an installation that sets nothing.
func NewSettings() *Settings {
	return &Settings{Pressure: Pressure{ReadInterval: 0.05, Config: pressure.Defaults()}, Fleet: defaultFleet(), lines: map[string]int{}}
}

// ReadSettings reads and checks a file; an empty path is no file.
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

// ParseSettings reads and checks the text of a file.
func ParseSettings(path string, text []byte) (*Settings, error) {
	settings := NewSettings()
	settings.Path = path
	for n, line := range bytes.Split(text, []byte("\n")) {
		words, err := shlex.Split(string(line))
		if err != nil {
			return nil, &DirectiveError{path, n + 1, "", strings.TrimSpace(err.Error())}
		}
		if len(words) == 0 {
			continue
		}
		name := words[0]
		d := findDirective(name)
		switch {
		case d == nil:
			return nil, &DirectiveError{path, n + 1, name, "no such directive"}
		case settings.lines[name] > 0:
			return nil, &DirectiveError{path, n + 1, name, fmt.Sprintf("set before, in line %d", settings.lines[name])}
		}
		if err := d.parse(settings, words[1:]); err != nil {
			return nil, &DirectiveError{path, n + 1, name, err.Error()}
		}
		settings.lines[name] = n + 1
	}
	if err := settings.check(); err != nil {
		return nil, err
	}
	return settings, nil
}

func findDirective(name string) *directive {
	for k := range directives {
		if directives[k].name == name {
			return &directives[k]
		}
	}
	return nil
}

// check refuses what contradicts itself.
func (settings *Settings) check() error {
	if err := settings.checkPressure(); err != nil {
		return err
	}
	return settings.checkFleet()
}

// Show writes what is in force, and where each value comes from.
func (settings *Settings) Show(w io.Writer) {
	for _, d := range directives {
		from := "default"
		if line := settings.lines[d.name]; line > 0 {
			from = fmt.Sprintf("%s:%d", settings.Path, line)
		}
		fmt.Fprintf(w, "%-24s %-10s # %s\n", d.name, d.format(settings), from)
	}
}

// Sample writes a file with every directive, each a remark with its default.
func Sample(w io.Writer) {
	settings := NewSettings()
	fmt.Fprint(w, "# The operators' own file: one directive a line, a name and then words; quotes as in a shell.\n"+
		"# Every directive is here with its default, as a remark. `valveglade check --settings FILE` shows what is in force.\n")
	for _, d := range directives {
		fmt.Fprintf(w, "\n# %s %s: %s.\n#%s %s\n", d.name, d.syntax, d.help, d.name, d.format(settings))
	}
}
