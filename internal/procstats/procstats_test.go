package procstats

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"valveglade/logic/pressure"
)

// What this machine shows makes sense, and is cheap: a thousandth of a core at twenty readings a second.
func TestRead(t *testing.T) {
	s := New()
	l := Limits{Cores: 64, Memory: 1 << 30}
	began, spent := time.Now(), time.Duration(0)
	var r pressure.Reading
	const n = 30
	for range n {
		for sum, end := 0.0, time.Now().Add(10*time.Millisecond); time.Now().Before(end); {
			sum += math.Sqrt(sum)
		}
		at := time.Now()
		var stepped bool
		r, stepped = s.Read(l)
		spent += time.Since(at)
		if stepped {
			t.Error("a step of the clock where there was none")
		}
	}
	t.Logf("%v a reading, over %v", spent/n, time.Since(began))
	if !(r[pressure.Memory] > 0 && r[pressure.Memory] < 1) || !(r[pressure.CPU] > 0 && r[pressure.CPU] < 1) {
		t.Errorf("memory %g, processor %g", r[pressure.Memory], r[pressure.CPU])
	}
	if r, _ := s.Read(Limits{}); !math.IsNaN(r[pressure.LoopDelay]) || !math.IsNaN(r[pressure.PendingReplies]) {
		t.Error("what is not measured here is not unknown")
	}
}

// Both versions of control groups are read, and files without sense are no bound.
func TestGroups(t *testing.T) {
	for name, c := range map[string]struct {
		files map[string]string
		quota float64
		held  float64
	}{
		"second":  {map[string]string{"cpu.max": "20000 100000\n", "cpu.stat": "usage_usec 5\nthrottled_usec 2500000\n"}, 0.2, 2.5},
		"no end":  {map[string]string{"cpu.max": "max 100000\n", "cpu.stat": ""}, 0, math.NaN()},
		"first":   {map[string]string{"cpu.cfs_quota_us": "150000\n", "cpu.cfs_period_us": "100000\n", "cpu.stat": "throttled_time 3000000000\n"}, 1.5, 3},
		"no cap":  {map[string]string{"cpu.cfs_quota_us": "-1\n", "cpu.cfs_period_us": "100000\n"}, 0, math.NaN()},
		"nothing": {nil, 0, math.NaN()},
		"odd":     {map[string]string{"cpu.max": "much", "cpu.stat": "throttled_usec soon"}, 0, math.NaN()},
	} {
		dir := t.TempDir()
		for f, text := range c.files {
			if err := os.WriteFile(filepath.Join(dir, f), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s := &Sampler{cgroup: dir}
		held, ok := s.throttledSeconds()
		if q := s.quota(); q != c.quota || ok == math.IsNaN(c.held) || ok && held != c.held {
			t.Errorf("%s: quota %g, held %g %v", name, q, held, ok)
		}
	}
}
