package procstats

import (
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"valveglade/logic/pressure"
)

// The measurements of this machine are plausible, and a reading is cheap: a thousandth of a core at twenty
// readings a second.
func TestRead(t *testing.T) {
	s := New()
	limits := Limits{Cores: 64, Memory: 1 << 30}
	start, spent := time.Now(), time.Duration(0)
	var reading pressure.Reading
	const n = 30
	for range n {
		for sum, end := 0.0, time.Now().Add(10*time.Millisecond); time.Now().Before(end); {
			sum += math.Sqrt(sum)
		}
		readStart := time.Now()
		var stepped bool
		reading, stepped = s.Read(limits)
		spent += time.Since(readStart)
		if stepped {
			t.Error("reported a clock step without one")
		}
	}
	t.Logf("%v a reading, over %v", spent/n, time.Since(start))
	if !(reading[pressure.Memory] > 0 && reading[pressure.Memory] < 1) ||
		!(reading[pressure.CPU] > 0 && reading[pressure.CPU] < 1) {
		t.Errorf("memory %g, processor %g", reading[pressure.Memory], reading[pressure.CPU])
	}
	if reading, _ := s.Read(Limits{}); !math.IsNaN(reading[pressure.LoopDelay]) ||
		!math.IsNaN(reading[pressure.PendingReplies]) {
		t.Error("a signal that is not measured here is not unknown")
	}
}

// Quotas and throttling of both cgroup versions are read, and invalid files set no limit.
func TestGroups(t *testing.T) {
	for name, test := range map[string]struct {
		files     map[string]string
		quota     float64
		throttled float64
	}{
		"version 2": {map[string]string{
			"cpu.max":  "20000 100000\n",
			"cpu.stat": "usage_usec 5\nthrottled_usec 2500000\n",
		}, 0.2, 2.5},
		"version 2, no limit": {map[string]string{"cpu.max": "max 100000\n", "cpu.stat": ""}, 0, math.NaN()},
		"version 1": {map[string]string{
			"cpu.cfs_quota_us":  "150000\n",
			"cpu.cfs_period_us": "100000\n",
			"cpu.stat":          "throttled_time 3000000000\n",
		}, 1.5, 3},
		"version 1, no limit": {map[string]string{
			"cpu.cfs_quota_us":  "-1\n",
			"cpu.cfs_period_us": "100000\n",
		}, 0, math.NaN()},
		"no files": {nil, 0, math.NaN()},
		"invalid":  {map[string]string{"cpu.max": "much", "cpu.stat": "throttled_usec soon"}, 0, math.NaN()},
	} {
		dir := t.TempDir()
		for file, text := range test.files {
			if err := os.WriteFile(filepath.Join(dir, file), []byte(text), 0o600); err != nil {
				t.Fatal(err)
			}
		}
		s := &Sampler{cgroup: dir}
		throttled, ok := s.throttledSeconds()
		if q := s.quota(); q != test.quota || ok == math.IsNaN(test.throttled) || ok && throttled != test.throttled {
			t.Errorf("%s: quota %g, throttled %g %v", name, q, throttled, ok)
		}
	}
}
