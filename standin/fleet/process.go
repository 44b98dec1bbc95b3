package fleet

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

const (
	// readyTimeout bounds the time from the start of a process until it prints its addresses, and the wait for readiness.
	readyTimeout = 20 * time.Second
	// stopTimeout is the time that a process has to exit after SIGTERM.
	stopTimeout = 10 * time.Second
)

// Process is one running program.
type Process struct {
	// Name identifies the process in error messages and names its log file.
	Name string
	// Addresses holds the listen addresses that the process printed when it was ready, by name.
	Addresses map[string]string

	command *exec.Cmd
	ended   chan struct{}
	once    sync.Once
	err     error
}

// startProcess starts the program and waits until it prints its addresses as one line of JSON.
func startProcess(ctx context.Context, directory, name, program string, arguments ...string) (*Process, error) {
	log, err := os.OpenFile(filepath.Join(directory, name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return nil, fmt.Errorf("opening the log of %s: %w", name, err)
	}
	command := exec.Command(program, arguments...)
	command.Stderr = log
	// A separate process group keeps Ctrl-C in the terminal from ending the process before the fleet stops it.
	command.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	output, err := command.StdoutPipe()
	if err != nil {
		return nil, fmt.Errorf("preparing %s: %w", name, err)
	}
	if err := command.Start(); err != nil {
		return nil, fmt.Errorf("starting %s: %w", name, err)
	}
	process := &Process{Name: name, command: command, ended: make(chan struct{})}
	ready := make(chan error, 1)
	go func() {
		ready <- process.readAddresses(output)
		_, _ = io.Copy(log, output)
		process.err = command.Wait()
		_ = log.Close()
		close(process.ended)
	}()
	select {
	case err = <-ready:
	case <-ctx.Done():
		err = ctx.Err()
	case <-time.After(readyTimeout):
		err = fmt.Errorf("not ready within %s", readyTimeout)
	}
	if err != nil {
		process.Kill()
		return nil, fmt.Errorf("starting %s (see %s): %w", name, log.Name(), err)
	}
	return process, nil
}

func (process *Process) readAddresses(output io.Reader) error {
	line, err := bufio.NewReader(output).ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("reading its addresses: %w", err)
	}
	if err := json.Unmarshal(line, &process.Addresses); err != nil {
		return fmt.Errorf("decoding its addresses: %w", err)
	}
	return nil
}

// Kill kills the process and waits until it has exited.
func (process *Process) Kill() {
	_ = process.command.Process.Kill()
	<-process.ended
}

// Pause suspends the process with SIGSTOP until Resume.
func (process *Process) Pause() error { return process.signal(syscall.SIGSTOP) }

// Resume continues a paused process.
func (process *Process) Resume() error { return process.signal(syscall.SIGCONT) }

// Terminate asks the process to shut down and returns at once.
func (process *Process) Terminate() error { return process.signal(syscall.SIGTERM) }

// Stop asks the process to shut down and waits until it has exited; it kills the process after stopTimeout.
func (process *Process) Stop() {
	process.once.Do(func() {
		_ = process.Resume()
		_ = process.Terminate()
		select {
		case <-process.ended:
		case <-time.After(stopTimeout):
			process.Kill()
		}
	})
}

// PID returns the process id.
func (process *Process) PID() int { return process.command.Process.Pid }

// Ended returns a channel that is closed when the process has exited.
func (process *Process) Ended() <-chan struct{} { return process.ended }

func (process *Process) signal(signal syscall.Signal) error {
	if err := process.command.Process.Signal(signal); err != nil {
		return fmt.Errorf("signalling %s: %w", process.Name, err)
	}
	return nil
}
