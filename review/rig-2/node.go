package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// nodeBinary and settingsTemplate are what the deploy file names, from the root of the repository.
	nodeBinary       = "target/dotterelgw"
	settingsTemplate = "deploy/settings.toml.tmpl"
	// The ports of a node; each node has a loopback address of its own.
	callerPort, readyPort, peerPort = 8465, 8460, 7560
	// readyTimeout bounds the wait until a node is ready.
	readyTimeout = 15 * time.Second
	// readyPoll is the time between two probes.
	readyPoll = 50 * time.Millisecond
	// graceS is the time between SIGTERM and SIGKILL in seconds.
	graceS = 6
	// configApplyMS is the time in milliseconds within which a configuration is in force.
	configApplyMS = 3000
)

// node is one process of the system.
type node struct {
	name, address, zone, settings string
	command                       *exec.Cmd
	exited                        chan struct{}
	// pid is the process, 0 if none runs.
	pid atomic.Int64
	log *os.File
}

var (
	errNotReady  = errors.New("the node was not ready in time")
	placeholder  = regexp.MustCompile(`\{\{[^{}#/^]+\}\}`)
	emptySection = regexp.MustCompile(`(?s)\{\{#bounds\.evacMs\}\}.*\{\{/bounds\.evacMs\}\}\n?`)
)

// fill fills in the template of the settings with the fields, as the platform does for a deployment without evacuations.
func fill(template string, fields map[string]any) (string, error) {
	template = emptySection.ReplaceAllString(template, "")
	var failed error
	filled := placeholder.ReplaceAllStringFunc(template, func(match string) string {
		name, format, _ := strings.Cut(strings.Trim(match, "{}"), "|")
		value, known := fields[name]
		if !known {
			failed = fmt.Errorf("the template names %s: %w", name, os.ErrNotExist)
		}
		if format == "json" {
			encoded, _ := json.Marshal(value)
			return string(encoded)
		}
		return fmt.Sprint(value)
	})
	return filled, failed
}

// newNode writes the settings of a node.
func newNode(folder, name, address, zone, storeAddress, promotionAddress string) (*node, error) {
	template, err := os.ReadFile(settingsTemplate)
	if err != nil {
		return nil, fmt.Errorf("reading the template of the settings: %w", err)
	}
	settings, err := fill(string(template), map[string]any{
		"node": name, "zone": zone, "ip": address, "peerPortRange.0": peerPort,
		"listen.front": fmt.Sprintf("%s:%d", address, callerPort), "listen.ready": fmt.Sprintf("%s:%d", address, readyPort),
		"platform.address": storeAddress, "cloudApi.address": promotionAddress,
		"limits.memoryMb": 284, "limits.maxFds": 4300, "limits.cpuShare": 0.4,
		"bounds.graceS": graceS, "bounds.configApplyMs": configApplyMS, "bounds.maxStretchMs": 12000,
	})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(folder, name+".toml")
	if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
		return nil, fmt.Errorf("writing the settings: %w", err)
	}
	log, err := os.Create(filepath.Join(folder, name+".log"))
	if err != nil {
		return nil, fmt.Errorf("creating the log: %w", err)
	}
	return &node{name: name, address: address, zone: zone, settings: file, log: log}, nil
}

// start starts the process.
func (node *node) start() error {
	node.command = exec.Command(nodeBinary, "node", "-config", node.settings)
	node.command.Stdout, node.command.Stderr = node.log, node.log
	if err := node.command.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", node.name, err)
	}
	node.pid.Store(int64(node.command.Process.Pid))
	exited, command := make(chan struct{}), node.command
	node.exited = exited
	go func() {
		_ = command.Wait()
		close(exited)
	}()
	return nil
}

// callers returns the address for clients.
func (node *node) callers() string { return fmt.Sprintf("%s:%d", node.address, callerPort) }

// isReady reports whether the node answers the probe with 200.
func (node *node) isReady() bool {
	conn, err := net.DialTimeout("tcp", fmt.Sprintf("%s:%d", node.address, readyPort), time.Second)
	if err != nil {
		return false
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(time.Second))
	_, _ = fmt.Fprintf(conn, "GET /v1/readiness HTTP/1.1\r\nHost: node\r\nConnection: close\r\n\r\n")
	status := make([]byte, len("HTTP/1.1 200"))
	_, err = conn.Read(status)
	return err == nil && string(status) == "HTTP/1.1 200"
}

// awaitReady waits until the node is ready.
func (node *node) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		if node.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", node.name, errNotReady)
}

// signal sends a signal to the process, if it runs.
func (node *node) signal(signal syscall.Signal) {
	if node.command != nil && node.command.Process != nil {
		_ = node.command.Process.Signal(signal)
	}
}

// kill ends the process and waits for its end.
func (node *node) kill() {
	if node.exited == nil {
		return
	}
	node.signal(syscall.SIGKILL)
	<-node.exited
	node.pid.Store(0)
}
