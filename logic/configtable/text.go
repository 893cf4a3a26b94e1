package configtable

import (
	"errors"
	"fmt"
	"strconv"
	"strings"
)

// LineError reports a line of a change file that is not a valid change.
type LineError struct {
	Path   string
	Line   int
	Name   string // of the entry, or the word that was found instead; empty if the line is too short
	Reason string
}

func (e *LineError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Name, e.Reason)
}

// maxLineErrors limits the number of invalid lines that one call reports.
const maxLineErrors = 20

// ParseChanges parses the text form of changes, one change per line:
//
//	put route NAME service=S method=M target=250ms deadline=1s criticality=0.5
//	put tenant NAME service=S quota=120
//	delete tenant NAME service=S
//
// Blank lines and lines that begin with # are skipped. Each entry may occur only once. On failure it returns
// no changes and the joined *LineErrors of the invalid lines, at most 20.
func ParseChanges(path string, text []byte) ([]Change, error) {
	var changes []Change
	var lineErrors []error
	lineOfKey := map[Key]int{}
	lineNumber := 0
	for line := range strings.Lines(string(text)) {
		lineNumber++
		words := strings.Fields(line)
		if len(words) == 0 || words[0][0] == '#' {
			continue
		}
		change, lineErr := parseLine(words)
		if lineErr == nil && lineOfKey[change.Key()] > 0 {
			lineErr = &LineError{Name: change.Name,
				Reason: fmt.Sprintf("the entry is already changed in line %d", lineOfKey[change.Key()])}
		}
		if lineErr != nil {
			lineErr.Path, lineErr.Line = path, lineNumber
			if lineErrors = append(lineErrors, lineErr); len(lineErrors) == maxLineErrors {
				break
			}
			continue
		}
		lineOfKey[change.Key()] = lineNumber
		changes = append(changes, change)
	}
	if len(lineErrors) > 0 {
		return nil, errors.Join(lineErrors...)
	}
	return changes, nil
}

// parseLine parses the words of a line. The caller sets the path and line number of the error.
func parseLine(words []string) (Change, *LineError) {
	var c Change
	if len(words) < 3 {
		return c, &LineError{Reason: "want put or delete, route or tenant, and a name"}
	}
	switch words[0] {
	case "put":
		c.Operation = Put
	case "delete":
		c.Operation = Delete
	default:
		return c, &LineError{Name: words[0], Reason: "want put or delete"}
	}
	switch words[1] {
	case "route":
		c.Kind = Route
	case "tenant":
		c.Kind = Tenant
	default:
		return c, &LineError{Name: words[1], Reason: "want route or tenant"}
	}
	c.Name = words[2]
	if err := c.parseFields(words[3:]); err != nil {
		return c, &LineError{Name: c.Name, Reason: err.Error()}
	}
	if err := c.Validate(); err != nil {
		return c, &LineError{Name: c.Name, Reason: err.Error()}
	}
	return c, nil
}

// fieldNames returns the fields of the change's text form, in the order in which String writes them.
func (c *Change) fieldNames() []string {
	switch {
	case c.Operation == Delete:
		return []string{"service"}
	case c.Kind == Tenant:
		return []string{"service", "quota"}
	}
	return []string{"service", "method", "target", "deadline", "criticality"}
}

// parseFields parses words such as quota=120. Each field of the change must occur exactly once, and no other.
func (c *Change) parseFields(words []string) error {
	seen := map[string]bool{}
	names := c.fieldNames()
	for _, word := range words {
		field, text, found := strings.Cut(word, "=")
		switch {
		case !found:
			return fmt.Errorf("%q is not of the form FIELD=VALUE", word)
		case seen[field]:
			return changeError(field, "set twice")
		}
		seen[field] = true
		if err := c.parseField(field, text); err != nil {
			return err
		}
	}
	for _, name := range names {
		if !seen[name] {
			return changeError(name, "missing")
		}
		delete(seen, name)
	}
	for _, word := range words {
		if field, _, _ := strings.Cut(word, "="); seen[field] {
			return changeError(field, "unknown field; want %s", strings.Join(names, ", "))
		}
	}
	return nil
}

func (c *Change) parseField(field, text string) (err error) {
	switch field {
	case "service":
		c.Service = text
	case "method":
		c.Value.Route.Method = text
	case "target":
		c.Value.Route.LatencyTargetMilliseconds, err = parseMilliseconds(field, text)
	case "deadline":
		c.Value.Route.DeadlineMilliseconds, err = parseMilliseconds(field, text)
	case "criticality":
		c.Value.Route.Criticality, err = parseNumber(field, text)
	case "quota":
		c.Value.Tenant.QuotaPerSecond, err = parseNumber(field, text)
	}
	return err
}

// parseMilliseconds parses a duration in one unit: 250ms, 1.5s or 2m.
func parseMilliseconds(field, text string) (float64, error) {
	for _, unit := range []struct {
		suffix       string
		milliseconds float64
	}{{"ms", 1}, {"s", 1000}, {"m", 60_000}} {
		if number, found := strings.CutSuffix(text, unit.suffix); found {
			value, err := parseNumber(field, number)
			if err != nil {
				break
			}
			return value * unit.milliseconds, nil
		}
	}
	return 0, changeError(field, "%q is not a duration such as 250ms, 1.5s or 2m", text)
}

// parseNumber parses digits with at most one decimal point, without exponent or sign.
func parseNumber(field, text string) (float64, error) {
	value, err := strconv.ParseFloat(text, 64)
	if err != nil || strings.Trim(text, "0123456789.") != "" {
		return 0, changeError(field, "%q is not a number such as 120 or 0.5", text)
	}
	return value, nil
}

// String returns the text form of the change. ParseChanges parses it to the same change.
func (c Change) String() string {
	var line strings.Builder
	line.WriteString(choose(c.Operation == Delete, "delete", "put"))
	line.WriteString(choose(c.Kind == Tenant, " tenant ", " route "))
	line.WriteString(c.Name)
	for _, field := range c.fieldNames() {
		line.WriteString(" " + field + "=" + c.formatField(field))
	}
	return line.String()
}

// choose returns whenTrue if the condition holds, otherwise whenFalse.
func choose(condition bool, whenTrue, whenFalse string) string {
	if condition {
		return whenTrue
	}
	return whenFalse
}

func (c Change) formatField(field string) string {
	route := c.Value.Route
	switch field {
	case "service":
		return c.Service
	case "method":
		return route.Method
	case "target":
		return formatNumber(route.LatencyTargetMilliseconds) + "ms"
	case "deadline":
		return formatNumber(route.DeadlineMilliseconds) + "ms"
	case "criticality":
		return formatNumber(route.Criticality)
	}
	return formatNumber(c.Value.Tenant.QuotaPerSecond)
}

func formatNumber(number float64) string { return strconv.FormatFloat(number, 'f', -1, 64) }
