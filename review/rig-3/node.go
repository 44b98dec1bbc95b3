package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"time"
)

const (
	zoneName = "zone-a"
	// startTimeout bounds the wait until a node is ready.
	startTimeout = 20 * time.Second
	// readyPoll is the interval at which readiness is checked.
	readyPoll = 50 * time.Millisecond
	// firstPort and lastPort bound the ports of nodes, which lie outside the range of ephemeral ports.
	firstPort = 15000
	lastPort  = 29999
)

var (
	errNotReady = errors.New("the node isn't ready in time")
	errNoPort   = errors.New("no free port is left")
)

// node is one process of dotterelgw.
type node struct {
	name, callerAddress, readyAddress string

	binary, settingsFile, logFile string
	command                       *exec.Cmd
}

// settingsText follows deploy/settings.toml.tmpl with the figures of a small site.
const settingsText = `vm = %q
availability_zone = %q

[listen]
caller = %q
ready = %q
peer = %q
metrics = %q

[store]
address = %q

[promotion]
address = %q

[limits]
memory_mb = 284
max_descriptors = 4300
processor_share = 0.4

[drain]
grace_s = 6

[configuration]
apply_ms = 3000
stretch_ms = 12000

[restart]
away_ms = 450

[zones]
byte_cost_ms = 2
`

// ports hands out ports that are free for TCP and UDP.
type ports struct{ next int }

// newPorts returns ports that begin at a place that depends on the process, as several rigs may run at a time.
func newPorts() *ports { return &ports{next: firstPort + os.Getpid()*97%(lastPort-firstPort)} }

func (ports *ports) take() (string, error) {
	for range lastPort - firstPort {
		ports.next++
		if ports.next > lastPort {
			ports.next = firstPort
		}
		address := fmt.Sprintf("127.0.0.1:%d", ports.next)
		if isFree(address) {
			return address, nil
		}
	}
	return "", errNoPort
}

func isFree(address string) bool {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	defer func() { _ = listener.Close() }()
	packets, err := net.ListenPacket("udp", address)
	if err != nil {
		return false
	}
	return packets.Close() == nil
}

// newNode writes the settings of a node; it doesn't start it.
func newNode(name, binary, folder, store, cloud string, ports *ports) (*node, error) {
	var addresses [4]string
	for index := range addresses {
		address, err := ports.take()
		if err != nil {
			return nil, err
		}
		addresses[index] = address
	}
	node := &node{
		name: name, binary: binary, callerAddress: addresses[0], readyAddress: addresses[1],
		settingsFile: filepath.Join(folder, name+".toml"), logFile: filepath.Join(folder, name+".log"),
	}
	text := fmt.Sprintf(settingsText, name, zoneName, addresses[0], addresses[1], addresses[2], addresses[3], store, cloud)
	if err := os.WriteFile(node.settingsFile, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("writing the settings of %s: %w", name, err)
	}
	return node, nil
}

// start starts the process.
func (node *node) start() error {
	log, err := os.OpenFile(node.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return fmt.Errorf("opening the log of %s: %w", node.name, err)
	}
	defer func() { _ = log.Close() }()
	node.command = exec.Command(node.binary, "node", "-config", node.settingsFile)
	node.command.Env = append(os.Environ(), "DOTTERELGW_BOOT="+node.settingsFile)
	node.command.Stdout, node.command.Stderr = log, log
	if err := node.command.Start(); err != nil {
		return fmt.Errorf("starting %s: %w", node.name, err)
	}
	return nil
}

// awaitReady waits until the node says that it is ready.
func (node *node) awaitReady() error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyPoll) {
		response, err := client.Get("http://" + node.readyAddress + "/v1/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", node.name, errNotReady)
}

// kill ends the process and waits for its end.
func (node *node) kill() {
	if node.command == nil || node.command.Process == nil {
		return
	}
	_ = node.command.Process.Kill()
	_ = node.command.Wait()
	node.command = nil
}
