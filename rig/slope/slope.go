// Package slope fits measured series against the size of the system by least squares, and predicts values at sizes that were
// not measured.
package slope

import (
	"errors"
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
)

// Point is one measurement: the value Y at the size X.
type Point struct {
	X float64 `json:"x"`
	Y float64 `json:"y"`
}

// The models that can be fitted to a series.
const (
	ModelConstant = "constant" // y = intercept
	ModelLinear   = "linear"   // y = intercept + slope * x
	ModelLog      = "log"      // y = intercept + slope * ln x
	ModelPower    = "power"    // ln y = intercept + slope * ln x
)

// Fit is a least-squares fit of one model. SlopeError is the standard error of Slope; for ModelConstant Slope is 0 and
// SlopeError is the standard error of Intercept.
type Fit struct {
	Model      string  `json:"model"`
	Intercept  float64 `json:"intercept"`
	Slope      float64 `json:"slope"`
	SlopeError float64 `json:"slope_error"`
	R2         float64 `json:"r2"`
}

// Series is one quantity measured at several sizes, with its fit. Against names what the sizes count.
type Series struct {
	Name        string  `json:"name"`
	Unit        string  `json:"unit"`
	Against     string  `json:"against"`
	Points      []Point `json:"points"`
	Fit         Fit     `json:"fit"`
	Largest     float64 `json:"largest"`      // the largest X that was measured
	ClockFactor float64 `json:"clock_factor"` // 1 is real time; 4 is a clock four times slower
	Note        string  `json:"note,omitempty"`
}

// Result holds the measurements of one scale run.
type Result struct {
	Commit      string   `json:"commit"`
	Go          string   `json:"go"`
	Seed        uint64   `json:"seed"`
	Cores       int      `json:"cores"`
	Long        bool     `json:"long"`
	TookSeconds float64  `json:"took_seconds"`
	Series      []Series `json:"series"`
}

// MinimumSizes is the number of different sizes that a fit needs: two parameters, and at least two degrees of freedom for the
// error.
const MinimumSizes = 4

var (
	// ErrTooFewSizes is returned for a fit of fewer than MinimumSizes different sizes.
	ErrTooFewSizes = errors.New("too few different sizes for a fit")
	// ErrNotPositive is returned by a logarithmic fit for a value that is not positive.
	ErrNotPositive = errors.New("a logarithmic fit needs positive values")
	// ErrNotFinite is returned for a point that is infinite or not a number.
	ErrNotFinite = errors.New("a point is not finite")
)

// Constant fits the mean.
func Constant(points []Point) (Fit, error) {
	if err := checkPoints(points); err != nil {
		return Fit{}, err
	}
	_, y := coordinates(points)
	mean, deviation := stat.MeanStdDev(y, nil)
	return Fit{Model: ModelConstant, Intercept: mean, SlopeError: deviation / math.Sqrt(float64(len(y)))}, nil
}

// Linear fits a straight line.
func Linear(points []Point) (Fit, error) { return fit(ModelLinear, points) }

// Log fits a straight line against the logarithm of the size.
func Log(points []Point) (Fit, error) { return fit(ModelLog, points) }

// Power fits a power law: a straight line between the logarithms of size and value. Slope is the exponent.
func Power(points []Point) (Fit, error) { return fit(ModelPower, points) }

// FitModel fits the model of a given name, one of the Model constants.
func FitModel(model string, points []Point) (Fit, error) {
	if model == ModelConstant {
		return Constant(points)
	}
	return fit(model, points)
}

// fit fits a model that is linear in the size or in logarithms.
func fit(model string, points []Point) (Fit, error) {
	if err := checkPoints(points); err != nil {
		return Fit{}, err
	}
	transformed, err := transform(model, points)
	if err != nil {
		return Fit{}, err
	}
	x, y := coordinates(transformed)
	intercept, slope := stat.LinearRegression(x, y, nil, false)
	f := Fit{Model: model, Intercept: intercept, Slope: slope}
	f.SlopeError = residualDeviation(x, y, f) / math.Sqrt(sumOfSquares(x))
	f.R2 = determination(x, y, f)
	return f, nil
}

// determination returns the coefficient of determination R². It is 1 for values that do not vary, which the fit explains fully.
func determination(x, y []float64, f Fit) float64 {
	if sumOfSquares(y) == 0 {
		return 1
	}
	return stat.RSquared(x, y, nil, f.Intercept, f.Slope)
}

// checkPoints returns an error unless all points are finite and enough sizes differ.
func checkPoints(points []Point) error {
	sizes := map[float64]bool{}
	for _, p := range points {
		if !finite(p.X) || !finite(p.Y) {
			return fmt.Errorf("%w: %v", ErrNotFinite, p)
		}
		sizes[p.X] = true
	}
	if len(sizes) < MinimumSizes {
		return fmt.Errorf("%w: found %d, need at least %d", ErrTooFewSizes, len(sizes), MinimumSizes)
	}
	return nil
}

// finite reports whether v is neither infinite nor NaN.
func finite(v float64) bool { return !math.IsNaN(v) && !math.IsInf(v, 0) }

// transform returns the points in the coordinates in which the model is a straight line.
func transform(model string, points []Point) ([]Point, error) {
	logX := model == ModelLog || model == ModelPower
	logY := model == ModelPower
	if !logX && model != ModelLinear {
		return nil, fmt.Errorf("unknown model %q", model)
	}
	out := make([]Point, len(points))
	for i, p := range points {
		if logX && p.X <= 0 || logY && p.Y <= 0 {
			return nil, fmt.Errorf("%w: %v", ErrNotPositive, p)
		}
		if logX {
			p.X = math.Log(p.X)
		}
		if logY {
			p.Y = math.Log(p.Y)
		}
		out[i] = p
	}
	return out, nil
}

// coordinates returns the sizes and the values of points.
func coordinates(points []Point) (x, y []float64) {
	for _, p := range points {
		x, y = append(x, p.X), append(y, p.Y)
	}
	return x, y
}

// residualDeviation returns the standard deviation of the residuals; the fit takes two degrees of freedom.
func residualDeviation(x, y []float64, f Fit) float64 {
	sum := 0.0
	for i := range x {
		residual := y[i] - f.Intercept - f.Slope*x[i]
		sum += residual * residual
	}
	return math.Sqrt(sum / float64(len(x)-2))
}

// sumOfSquares returns the sum of squared distances from the mean.
func sumOfSquares(values []float64) float64 {
	mean, sum := stat.Mean(values, nil), 0.0
	for _, v := range values {
		sum += (v - mean) * (v - mean)
	}
	return sum
}

// At returns the value of the fit at x and its standard error, as for one more measurement at x. measured reports whether x is at
// most Largest; beyond that the value is extrapolated. Value and error are NaN where the fit cannot be computed.
func (s Series) At(x float64) (value, standardError float64, measured bool) {
	measured = x <= s.Largest
	if s.Fit.Model == ModelConstant {
		return s.Fit.Intercept, s.constantError(), measured
	}
	points, err := transform(s.Fit.Model, s.Points)
	if err != nil || len(points) <= 2 {
		return math.NaN(), math.NaN(), false
	}
	position := x
	if s.Fit.Model != ModelLinear {
		position = math.Log(x)
	}
	xs, ys := coordinates(points)
	offset := position - stat.Mean(xs, nil)
	varianceFactor := 1 + 1/float64(len(xs)) + offset*offset/sumOfSquares(xs)
	standardError = residualDeviation(xs, ys, s.Fit) * math.Sqrt(varianceFactor)
	value = s.Fit.Intercept + s.Fit.Slope*position
	if s.Fit.Model == ModelPower {
		value = math.Exp(value)
		standardError *= value // first-order approximation: the error of a logarithm is a relative error
	}
	return value, standardError, measured
}

// constantError returns the standard error of one more measurement under ModelConstant.
func (s Series) constantError() float64 {
	_, y := coordinates(s.Points)
	if len(y) < 2 {
		return math.NaN()
	}
	return stat.StdDev(y, nil) * math.Sqrt(1+1/float64(len(y)))
}
