package observe

import (
	"fmt"
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// maxLoggerLineBytes is the length in bytes from which on the longest values of a line of a logger are cut. A line may hold the stacks of
// a panic.
const maxLoggerLineBytes = 32 << 10

// lineLogger writes lines to a writer that is safe for concurrent use.
type lineLogger struct{ writer io.Writer }

// Log implements log.Logger.Log.
func (lineLogger lineLogger) Log(keyvals ...any) error {
	line, err := encodeLine(maxLoggerLineBytes, keyvals)
	if err != nil {
		return err
	}
	if _, err = lineLogger.writer.Write(line); err != nil {
		return fmt.Errorf("writing a log line: %w", err)
	}
	return nil
}

// NewLogger returns a logger that writes lines of the lowest level and above; lowest is debug, info, warn or error, and anything
// else stands for info.
func NewLogger(writer io.Writer, lowest string) log.Logger {
	var logger log.Logger = lineLogger{writer: log.NewSyncWriter(writer)}
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

// WithComponent returns a logger whose lines start with the name of a component of the process, under the key part.
func WithComponent(logger log.Logger, name string) log.Logger {
	return log.WithPrefix(logger, "part", name)
}
