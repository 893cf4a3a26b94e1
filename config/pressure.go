package config

import (
	"errors"
	"fmt"
	"math"
	"strconv"
	"strings"

	"valveglade/logic/pressure"
)

// Pressure configures the overload detection of the process.
type Pressure struct {
	On           bool
	ReadInterval float64 // seconds between two readings of the signals
	Config       pressure.Config
}

var pressureDirectives = []directive{
	{"pressure", "on|off", "detect overload of the process itself and reject the least valuable RPCs first",
		func(settings *Settings, words []string) (err error) {
			settings.Pressure.On, err = parseSwitch(words)
			return err
		},
		func(settings *Settings) string { return formatSwitch(settings.Pressure.On) }},
	{"pressure.every", "TIME", "interval between two readings of the signals",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Pressure.ReadInterval, words, 0.01, 1)
		},
		func(settings *Settings) string { return formatDuration(settings.Pressure.ReadInterval) }},
	durationDirective("pressure.loop-delay",
		"delay of the program's own timers from which the level is pressed", pressure.LoopDelay),
	durationDirective("pressure.lock-wait",
		"wait for the gate's lock from which the level is pressed", pressure.LockWait),
	durationDirective("pressure.link-queue",
		"age of the oldest command in the send queue of the kernel link", pressure.LinkQueue),
	durationDirective("pressure.unread",
		"time that RPCs wait to be read, in excess of the usual", pressure.ReadDelay),
	durationDirective("pressure.scheduler",
		"99th percentile of the time that runnable goroutines wait for a processor", pressure.Scheduler),
	percentDirective("pressure.collector",
		"share of processor time that the garbage collector takes", pressure.Collector),
	percentDirective("pressure.cpu",
		"processor time used, of the limit; raises the level to wary at most", pressure.CPU),
	percentDirective("pressure.throttled",
		"share of time in which the system throttles the process; raises the level to wary at most", pressure.Throttled),
	percentDirective("pressure.memory",
		"resident memory, of the limit", pressure.Memory),
	percentDirective("pressure.descriptors",
		"open file descriptors, of the limit; raises the level to wary at most", pressure.Descriptors),
	percentDirective("pressure.owed",
		"memory of replies that callers have not read yet, of the limit for them", pressure.PendingReplies),
	{"pressure.forecast", "TIME|off",
		"steadily growing memory counts as a leak if it would reach the limit within this time",
		func(settings *Settings, words []string) error {
			if len(words) == 1 && words[0] == "off" {
				settings.Pressure.Config.Forecast = 0
				return nil
			}
			return parseDuration(&settings.Pressure.Config.Forecast, words, 1, 86400)
		},
		func(settings *Settings) string {
			if settings.Pressure.Config.Forecast == 0 {
				return "off"
			}
			return formatDuration(settings.Pressure.Config.Forecast)
		}},
	{"pressure.growth", "TIME", "window over which the growth of memory is measured",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Pressure.Config.GrowthWindow, words, 1, 86400)
		},
		func(settings *Settings) string { return formatDuration(settings.Pressure.Config.GrowthWindow) }},
	{"pressure.fall", "TIME", "duration of lower readings after which the level falls by one",
		func(settings *Settings, words []string) error {
			return parseDuration(&settings.Pressure.Config.FallTime, words, 0.1, 3600)
		},
		func(settings *Settings) string { return formatDuration(settings.Pressure.Config.FallTime) }},
}

// durationDirective returns the directive that sets the threshold of a signal measured in seconds.
func durationDirective(name, help string, signal pressure.Signal) directive {
	return directive{name, "TIME|off", help, func(settings *Settings, words []string) error {
		thresholds := &settings.Pressure.Config.Thresholds[signal]
		if len(words) == 1 && words[0] == "off" {
			*thresholds = pressure.Thresholds{}
			return nil
		}
		var seconds float64
		if err := parseDuration(&seconds, words, 0.001, 60); err != nil {
			return err
		}
		*thresholds = pressure.TimeThresholds(seconds)
		return nil
	}, func(settings *Settings) string {
		if thresholds := settings.Pressure.Config.Thresholds[signal]; thresholds[pressure.Pressed-1] > 0 {
			return formatDuration(thresholds[pressure.Pressed-1])
		}
		return "off"
	}}
}

// percentDirective returns the directive that sets the threshold of a signal measured as a share. For signals that
// never reach the level pressed, it sets the threshold of the level wary.
func percentDirective(name, help string, signal pressure.Signal) directive {
	defaults := pressure.Defaults().Thresholds[signal]
	level := pressure.Pressed - 1
	if math.IsInf(defaults[level], 1) {
		level = pressure.Wary - 1
	}
	return directive{name, "SHARE%|off", help, func(settings *Settings, words []string) error {
		thresholds := &settings.Pressure.Config.Thresholds[signal]
		if len(words) == 1 && words[0] == "off" {
			*thresholds = pressure.Thresholds{}
			return nil
		}
		if len(words) != 1 || !strings.HasSuffix(words[0], "%") {
			return errors.New("expected a percentage such as 75% or off")
		}
		share, err := strconv.ParseFloat(strings.TrimSuffix(words[0], "%"), 64)
		if err != nil || !(share >= 1 && share <= 99) {
			return fmt.Errorf("expected 1%% to 99%%, got %q", words[0])
		}
		switch share /= 100; {
		case level == pressure.Wary-1:
			*thresholds = pressure.Thresholds{share, pressure.Never, pressure.Never, pressure.Never}
		case signal == pressure.Collector:
			*thresholds = pressure.Thresholds{share * 2 / 3, share, share * 4 / 3, pressure.Never}
		default:
			*thresholds = pressure.ShareThresholds(share)
		}
		return nil
	}, func(settings *Settings) string {
		if thresholds := settings.Pressure.Config.Thresholds[signal]; thresholds[level] > 0 {
			return strconv.FormatFloat(math.Round(thresholds[level]*1e4)/100, 'g', -1, 64) + "%"
		}
		return "off"
	}}
}

// checkPressure rejects contradictory directives.
func (settings *Settings) checkPressure() error {
	if settings.lines["pressure.growth"] > 0 && settings.Pressure.Config.Forecast == 0 {
		return settings.directiveError("pressure.growth", "pressure.forecast is off")
	}
	return nil
}
