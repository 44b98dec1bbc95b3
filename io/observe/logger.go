package observe

import (
	"io"

	"github.com/go-kit/log"
	"github.com/go-kit/log/level"
)

// NewLogger returns a logger that writes lines of the lowest level and above; lowest is debug, info, warn or error, and anything
// else stands for info.
func NewLogger(writer io.Writer, lowest string) log.Logger {
	logger := log.NewLogfmtLogger(log.NewSyncWriter(writer))
	logger = level.NewFilter(logger, level.Allow(level.ParseDefault(lowest, level.InfoValue())))
	return log.With(logger, "time", log.DefaultTimestampUTC)
}

// WithComponent returns a logger whose lines start with the name of a component of the process, under the key part.
func WithComponent(logger log.Logger, name string) log.Logger {
	return log.WithPrefix(logger, "part", name)
}
