package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// signals holds a SIGHUP that has not been handled yet. Without a handler the signal ends the process.
var signals = make(chan os.Signal, 1)

func init() { signal.Notify(signals, syscall.SIGHUP) }

// Signals returns the channel that receives SIGHUP.
func Signals() <-chan os.Signal { return signals }

// Reset makes SIGHUP end the process again, for commands that do not reload.
func Reset() { signal.Reset(syscall.SIGHUP) }
