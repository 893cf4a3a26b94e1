package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"valveglade/internal/logsink"
)

const (
	logCapacity = 128 << 10              // bytes of log lines that wait for whoever reads them: some 500
	logFlush    = 100 * time.Millisecond // at the exit for what is left: a pipe with a reader takes microseconds
	// Of lines with the same text, logFirst a second are logged and then one in logThereafter: zap's production figures.
	logFirst, logThereafter = 100, 100
)

// standardError is where everything that the program says on its own goes. Guards against a reader of the log that stops reading,
// which would hold up whichever goroutine logs, and against one that ends: a write to a broken standard error ends a Go process,
// unless it ignores the signal.
type standardError struct{ *logsink.Sink }

func openStandardError() standardError {
	signal.Ignore(syscall.SIGPIPE)
	return standardError{logsink.New(os.Stderr, logCapacity)}
}

// logger logs as zap does in production: JSON, from level info.
func (to standardError) logger(name string) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), to, zapcore.InfoLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter)
	return zap.New(core, zap.AddCaller(), zap.AddStacktrace(zapcore.ErrorLevel), zap.ErrorOutput(to), zap.Fields(zap.String("name", name)))
}

// fail says why the program ends with a failure.
func (to standardError) fail(err error) { fmt.Fprintln(to, "valveglade:", err) }

// flush gives what is left a bounded time to be written.
func (to standardError) flush() { to.Close(logFlush) }
