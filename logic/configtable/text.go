package configtable

import "fmt"

// LineError reports a line of an operators' file that is not a change.
type LineError struct {
	Path   string
	Line   int
	Name   string // of the entry or the field; "" where the line has none
	Reason string
}

func (e *LineError) Error() string {
	if e.Name == "" {
		return fmt.Sprintf("%s:%d: %s", e.Path, e.Line, e.Reason)
	}
	return fmt.Sprintf("%s:%d: %s: %s", e.Path, e.Line, e.Name, e.Reason)
}

// ParseChanges reads the operators' text form, one change a line:
//
//	put route NAME service=S method=M target=250ms deadline=1s criticality=0.5
//	put tenant NAME service=S quota=120
//	delete tenant NAME service=S
//
// Blank lines and lines that begin with # are skipped. Every faulty line gives a *LineError; they are joined, and no change is
// returned with them.
func ParseChanges(path string, text []byte) ([]Change, error) { panic("not built yet") }

// String returns the text form, which ParseChanges reads back as the same change.
func (c Change) String() string { panic("not built yet") }
