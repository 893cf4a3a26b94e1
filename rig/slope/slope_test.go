package slope

import (
	"encoding/json"
	"errors"
	"math"
	"os"
	"path/filepath"
	"testing"
)

// near reports whether two values are equal up to rounding.
func near(a, b float64) bool { return math.Abs(a-b) <= 1e-9*max(1, math.Abs(b)) }

// TestLinearKnown fits the first data set of Anscombe's quartet, whose published fit is y = 3.00 + 0.500 x with R2 0.667 and a
// slope error of 0.118.
func TestLinearKnown(t *testing.T) {
	x := []float64{10, 8, 13, 9, 11, 14, 6, 4, 12, 7, 5}
	y := []float64{8.04, 6.95, 7.58, 8.81, 8.33, 9.96, 7.24, 4.26, 10.84, 4.82, 5.68}
	var points []Point
	for i := range x {
		points = append(points, Point{x[i], y[i]})
	}
	f, err := Linear(points)
	if err != nil {
		t.Fatal(err)
	}
	round := func(v float64) float64 { return math.Round(v*1e4) / 1e4 }
	if round(f.Intercept) != 3.0001 || round(f.Slope) != 0.5001 || round(f.SlopeError) != 0.1179 || round(f.R2) != 0.6665 {
		t.Errorf("fit %+v, want the published one", f)
	}
}

// TestModels fits values that follow each model exactly.
func TestModels(t *testing.T) {
	models := map[string]func(x float64) float64{
		ModelConstant: func(float64) float64 { return 7 },
		ModelLinear:   func(x float64) float64 { return 2 + 3*x },
		ModelLog:      func(x float64) float64 { return 2 + 3*math.Log(x) },
		ModelPower:    func(x float64) float64 { return 2 * math.Pow(x, 1.5) },
	}
	for model, value := range models {
		s := Series{Largest: 400}
		for _, x := range []float64{50, 100, 200, 400} {
			s.Points = append(s.Points, Point{x, value(x)})
		}
		var err error
		if s.Fit, err = FitModel(model, s.Points); err != nil {
			t.Fatal(err)
		}
		if s.Fit.SlopeError > 1e-9 || s.Fit.Model != model {
			t.Errorf("%s: fit %+v, want an exact one", model, s.Fit)
		}
		if got, deviation, measured := s.At(400); !near(got, value(400)) || deviation > 1e-6 || !measured {
			t.Errorf("%s at 400: %g ± %g, measured %t", model, got, deviation, measured)
		}
		if got, _, measured := s.At(401); !near(got, value(401)) || measured {
			t.Errorf("%s at 401: %g, measured %t", model, got, measured)
		}
	}
}

// TestErrorGrows checks that the error of a predicted value grows with the distance from the measured sizes.
func TestErrorGrows(t *testing.T) {
	s := Series{Largest: 4, Points: []Point{{1, 1.1}, {2, 1.9}, {3, 3.2}, {4, 3.9}}}
	s.Fit, _ = Linear(s.Points)
	_, within, _ := s.At(2.5)
	_, beyond, _ := s.At(40)
	if within <= 0 || beyond < 10*within {
		t.Errorf("error %g within the sizes, %g at ten times the largest", within, beyond)
	}
}

// TestFitErrors checks that points which cannot be fitted return the matching error.
func TestFitErrors(t *testing.T) {
	three := []Point{{1, 1}, {2, 2}, {3, 3}, {3, 4}, {1, 2}}
	four := []Point{{1, 1}, {2, 2}, {3, 0}, {4, 4}}
	broken := []Point{{1, 1}, {2, 2}, {3, 3}, {4, math.NaN()}}
	for _, fit := range []func([]Point) (Fit, error){Constant, Linear, Log, Power} {
		if _, err := fit(three); !errors.Is(err, ErrTooFewSizes) {
			t.Errorf("three sizes: %v", err)
		}
		if _, err := fit(broken); !errors.Is(err, ErrNotFinite) {
			t.Errorf("not a number: %v", err)
		}
	}
	if _, err := Linear(four); err != nil {
		t.Error(err)
	}
	if _, err := Power(four); !errors.Is(err, ErrNotPositive) {
		t.Errorf("power law through 0: %v", err)
	}
	if _, err := FitModel("cubic", four); err == nil {
		t.Error("no error for an unknown model")
	}
}

// TestReadResult reads back a result written under its key, and checks the error for a file without one.
func TestReadResult(t *testing.T) {
	path := filepath.Join(t.TempDir(), "scale.json")
	want := Result{Commit: "abc", Seed: 3, Series: []Series{{Name: "cpu", Points: []Point{{1, 2}}}}}
	write := func(v any) {
		text, err := json.Marshal(v)
		if err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(path, text, 0o600); err != nil {
			t.Fatal(err)
		}
	}
	write(map[string]any{"figures": nil, "scale": want})
	got, err := ReadResult(path)
	if s, ok := got.Find("cpu"); err != nil || got.Commit != "abc" || !ok || s.Points[0].Y != 2 {
		t.Errorf("ReadResult: %+v, %v", got, err)
	}
	if _, ok := got.Find("memory"); ok {
		t.Error("found a series that does not exist")
	}
	write(map[string]any{"figures": nil})
	if _, err := ReadResult(path); !errors.Is(err, ErrNoResult) {
		t.Errorf("without a result: %v", err)
	}
}
