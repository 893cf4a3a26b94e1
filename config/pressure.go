package config

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"valveglade/logic/pressure"
)

// Pressure is how the program watches itself.
type Pressure struct {
	On           bool
	ReadInterval float64 // seconds between readings
	Config       pressure.Config
}

var pressureDirectives = []directive{
	{"pressure", "on|off", "the program watches itself and refuses the least worthy before it falls behind",
		func(settings *Settings, w []string) (err error) {
			settings.Pressure.On, err = parseSwitch(w)
			return err
		},
		func(settings *Settings) string { return formatSwitch(settings.Pressure.On) }},
	{"pressure.every", "TIME", "between two readings",
		func(settings *Settings, w []string) error {
			return parseDuration(&settings.Pressure.ReadInterval, w, 0.01, 1)
		},
		func(settings *Settings) string { return formatDuration(settings.Pressure.ReadInterval) }},
	durationDirective("pressure.loop-delay", "lateness of the program's own timers at which it counts as pressed", pressure.LoopDelay),
	durationDirective("pressure.lock-wait", "wait for the gate's lock at which it does", pressure.LockWait),
	durationDirective("pressure.link-queue", "age of a command that the kernel link's writer has not taken up", pressure.LinkQueue),
	durationDirective("pressure.unread", "time that RPCs lie unread, beyond the usual", pressure.ReadDelay),
	durationDirective("pressure.scheduler", "wait of goroutines for a processor, at the 99th percentile", pressure.Scheduler),
	percentDirective("pressure.collector", "processor time that the garbage collector takes", pressure.Collector),
	percentDirective("pressure.cpu", "processor time used, of what may be: makes wary, no more", pressure.CPU),
	percentDirective("pressure.throttled", "time that the system keeps the process off its cores: makes wary, no more", pressure.Throttled),
	percentDirective("pressure.memory", "resident memory, of the limit", pressure.Memory),
	percentDirective("pressure.descriptors", "descriptors, of the limit: makes wary, no more", pressure.Descriptors),
	percentDirective("pressure.owed", "answers that callers do not read, of what is set aside for them", pressure.PendingReplies),
	{"pressure.forecast", "TIME|off", "memory that grows steadily counts as a leak once its limit is so near",
		func(settings *Settings, w []string) error {
			if len(w) == 1 && w[0] == "off" {
				settings.Pressure.Config.Forecast = 0
				return nil
			}
			return parseDuration(&settings.Pressure.Config.Forecast, w, 1, 86400)
		},
		func(settings *Settings) string {
			if settings.Pressure.Config.Forecast == 0 {
				return "off"
			}
			return formatDuration(settings.Pressure.Config.Forecast)
		}},
	{"pressure.growth", "TIME", "over which growth of memory is looked at",
		func(settings *Settings, w []string) error {
			return parseDuration(&settings.Pressure.Config.GrowthWindow, w, 1, 86400)
		},
		func(settings *Settings) string { return formatDuration(settings.Pressure.Config.GrowthWindow) }},
	{"pressure.fall", "TIME", "of better readings until the level falls by one",
		func(settings *Settings, w []string) error {
			return parseDuration(&settings.Pressure.Config.FallTime, w, 0.1, 3600)
		},
		func(settings *Settings) string { return formatDuration(settings.Pressure.Config.FallTime) }},
}

// durationDirective is the directive of a signal that is a duration.
func durationDirective(name, help string, signal pressure.Signal) directive {
	return directive{name, "TIME|off", help, func(settings *Settings, w []string) error {
		thresholds := &settings.Pressure.Config.Thresholds[signal]
		if len(w) == 1 && w[0] == "off" {
			*thresholds = pressure.Thresholds{}
			return nil
		}
		var t float64
		if err := parseDuration(&t, w, 0.001, 60); err != nil {
			return err
		}
		*thresholds = pressure.TimeThresholds(t)
		return nil
	}, func(settings *Settings) string {
		if m := settings.Pressure.Config.Thresholds[signal]; m[pressure.Pressed-1] > 0 {
			return formatDuration(m[pressure.Pressed-1])
		}
		return "off"
	}}
}

// percentDirective is the directive of a signal that is a share; those that never press are marked where they make wary.
func percentDirective(name, help string, signal pressure.Signal) directive {
	defaults := pressure.Defaults().Thresholds[signal]
	level := pressure.Pressed - 1
	if math.IsInf(defaults[level], 1) {
		level = pressure.Wary - 1
	}
	return directive{name, "SHARE%|off", help, func(settings *Settings, w []string) error {
		thresholds := &settings.Pressure.Config.Thresholds[signal]
		if len(w) == 1 && w[0] == "off" {
			*thresholds = pressure.Thresholds{}
			return nil
		}
		if len(w) != 1 || !strings.HasSuffix(w[0], "%") {
			return errors.New("a share such as 75% is wanted, or off")
		}
		v, err := strconv.ParseFloat(strings.TrimSuffix(w[0], "%"), 64)
		if err != nil || !(v >= 1 && v <= 99) {
			return fmt.Errorf("%q is not from 1%% to 99%%", w[0])
		}
		switch v /= 100; {
		case level == pressure.Wary-1:
			*thresholds = pressure.Thresholds{v, pressure.Never, pressure.Never, pressure.Never}
		case signal == pressure.Collector:
			*thresholds = pressure.Thresholds{v * 2 / 3, v, v * 4 / 3, pressure.Never}
		default:
			*thresholds = pressure.ShareThresholds(v)
		}
		return nil
	}, func(settings *Settings) string {
		if m := settings.Pressure.Config.Thresholds[signal]; m[level] > 0 {
			return strconv.FormatFloat(math.Round(m[level]*1e4)/100, 'g', -1, 64) + "%"
		}
		return "off"
	}}
}

// checkPressure refuses what contradicts itself.
func (settings *Settings) checkPressure() error {
	if settings.lines["pressure.growth"] > 0 && settings.Pressure.Config.Forecast == 0 {
		return settings.directiveError("pressure.growth", "pressure.forecast is off")
	}
	return nil
}
