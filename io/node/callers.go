package node

import (
	"context"
	"errors"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"dotterelgw/core/budget"
	"dotterelgw/io/intake"
)

// Callers limits what callers may take. A caller that keeps to the protocol's limits meets none of the defaults.
type Callers struct {
	// MemoryShare is the fraction of limits.memory_mb that messages, answers and the values and prepared statements of sessions may
	// take beyond what each connection has anyway.
	MemoryShare float64 `toml:"memory_share"`
	// MessageTimeoutMS is the time in milliseconds from the first byte of a message to its last one.
	MessageTimeoutMS int `toml:"message_timeout_ms"`
	// AnswerTimeoutMS is the time in milliseconds in which a caller has to take an answer, or 32 KiB of a longer one.
	AnswerTimeoutMS int `toml:"answer_timeout_ms"`
	// StartingShare is the fraction of the sessions that may be without a start-up.
	StartingShare float64 `toml:"starting_share"`
	// ReceiveBufferKB is the receive buffer of each connection in kilobytes, which holds what callers send ahead; 0 leaves it to the
	// system.
	ReceiveBufferKB int `toml:"receive_buffer_kb"`
	// SessionKB bounds the values and prepared statements of one session in kilobytes.
	SessionKB int `toml:"session_kb"`
}

// Limits of the settings of callers.
const (
	minMemoryShare, maxMemoryShare = 0.05, 0.5
	minCallerTimeoutMS             = 100
	maxCallerTimeoutMS             = 600_000
	minStartingShare               = 0.05
	minSessionKB, maxSessionKB     = 16, 64 << 10
	maxReceiveBufferKB             = 4096
)

// defaultCallers allows a message of full size and 256 values of 2 KB in a session.
func defaultCallers() Callers {
	return Callers{MemoryShare: 0.25, MessageTimeoutMS: 30_000, AnswerTimeoutMS: 5_000, StartingShare: 0.5, ReceiveBufferKB: 64, SessionKB: 1536}
}

func (callers Callers) check(fault func(key, value, allowed string)) {
	if share := callers.MemoryShare; !(share >= minMemoryShare && share <= maxMemoryShare) {
		fault("callers.memory_share", fmt.Sprint(callers.MemoryShare), fmt.Sprintf("%g to %g", minMemoryShare, maxMemoryShare))
	}
	if share := callers.StartingShare; !(share >= minStartingShare && share <= 1) {
		fault("callers.starting_share", fmt.Sprint(callers.StartingShare), fmt.Sprintf("%g to 1", minStartingShare))
	}
	for _, setting := range []struct {
		key             string
		value, min, max int
	}{
		{"callers.message_timeout_ms", callers.MessageTimeoutMS, minCallerTimeoutMS, maxCallerTimeoutMS},
		{"callers.answer_timeout_ms", callers.AnswerTimeoutMS, minCallerTimeoutMS, maxCallerTimeoutMS},
		{"callers.receive_buffer_kb", callers.ReceiveBufferKB, 0, maxReceiveBufferKB},
		{"callers.session_kb", callers.SessionKB, minSessionKB, maxSessionKB},
	} {
		if setting.value < setting.min || setting.value > setting.max {
			fault(setting.key, fmt.Sprint(setting.value), fmt.Sprintf("%d to %d", setting.min, setting.max))
		}
	}
}

// sessionBytes returns the bound on the values and prepared statements of one session.
func (callers Callers) sessionBytes() budget.Bytes { return budget.Bytes(callers.SessionKB) << 10 }

// CallerLimits returns the limits on what callers may take together.
func (read Settings) CallerLimits() intake.Limits {
	sessions := read.Limits.MaxSessions()
	return intake.Limits{
		Memory:         budget.Bytes(float64(read.Limits.MemoryMB) * read.Callers.MemoryShare * (1 << 20)),
		Connections:    sessions,
		Starting:       max(int(float64(sessions)*read.Callers.StartingShare), 1),
		MessageTimeout: time.Duration(read.Callers.MessageTimeoutMS) * time.Millisecond,
		AnswerTimeout:  time.Duration(read.Callers.AnswerTimeoutMS) * time.Millisecond,
	}
}

// listen opens the listener for callers. Connections inherit its receive buffer.
func (callers Callers) listen(address string) (net.Listener, error) {
	var failed error
	config := net.ListenConfig{Control: func(_, _ string, conn syscall.RawConn) error {
		if callers.ReceiveBufferKB == 0 {
			return nil
		}
		return conn.Control(func(descriptor uintptr) {
			failed = unix.SetsockoptInt(int(descriptor), unix.SOL_SOCKET, unix.SO_RCVBUF, callers.ReceiveBufferKB<<10)
		})
	}}
	listener, err := config.Listen(context.Background(), "tcp", address)
	if err = errors.Join(err, failed); err != nil {
		return nil, fmt.Errorf("opening the listener: %w", err)
	}
	return listener, nil
}
