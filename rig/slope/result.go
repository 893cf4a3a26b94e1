package slope

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
)

// ErrNoResult is returned for a file without the result of a scale run.
var ErrNoResult = errors.New("no scale result")

// ReadResult reads the result that a scale run wrote, under the key "scale".
func ReadResult(path string) (Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return Result{}, err
	}
	var file struct {
		Scale *Result `json:"scale"`
	}
	if err := json.Unmarshal(text, &file); err != nil {
		return Result{}, fmt.Errorf("%s: %w", path, err)
	}
	if file.Scale == nil {
		return Result{}, fmt.Errorf("%s: %w", path, ErrNoResult)
	}
	return *file.Scale, nil
}

// Find returns the series of a name and whether there is one.
func (r Result) Find(name string) (Series, bool) {
	for _, s := range r.Series {
		if s.Name == name {
			return s, true
		}
	}
	return Series{}, false
}
