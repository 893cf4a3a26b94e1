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
	logCapacity     = 128 << 10              // bytes of log lines that wait to be written: about 500 lines
	logFlushTimeout = 100 * time.Millisecond // timeout of the last write at exit; a pipe with a reader takes microseconds
	// Of the lines with the same text, the first logFirst in a second are logged, then one in logThereafter,
	// as in zap's production configuration.
	logFirst, logThereafter = 100, 100
)

// standardError receives all log lines and errors of the program. It guards against a reader of the log that stops
// reading, which would block every goroutine that logs, and against one that exits: a write to a closed pipe on
// standard error ends a Go process unless it ignores SIGPIPE.
type standardError struct{ *logsink.Sink }

func openStandardError() standardError {
	signal.Ignore(syscall.SIGPIPE)
	return standardError{logsink.New(os.Stderr, logCapacity)}
}

// logger returns a logger with zap's production format: JSON, from level info.
func (stderr standardError) logger(name string) *zap.Logger {
	core := zapcore.NewCore(zapcore.NewJSONEncoder(zap.NewProductionEncoderConfig()), stderr, zapcore.InfoLevel)
	core = zapcore.NewSamplerWithOptions(core, time.Second, logFirst, logThereafter)
	return zap.New(core, zap.AddCaller(), zap.AddStacktrace(zapcore.ErrorLevel), zap.ErrorOutput(stderr),
		zap.Fields(zap.String("name", name)))
}

// fail writes the error that ends the program.
func (stderr standardError) fail(err error) { fmt.Fprintln(stderr, "valveglade:", err) }

// flush waits up to logFlushTimeout until the remaining lines are written.
func (stderr standardError) flush() { stderr.Close(logFlushTimeout) }
