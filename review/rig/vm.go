package main

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"sync"
	"time"
)

const (
	// startTimeout bounds the wait until a node is ready.
	startTimeout = 15 * time.Second
	// readyInterval is the interval of the readiness checks during the start.
	readyInterval = 50 * time.Millisecond
)

// The last parts of the addresses of the databases, the promotion service and the nodes.
const (
	firstDatabase = 10
	promotionHost = 20
	firstVM       = 30
)

// loopback returns a loopback address that other runs at the same time are unlikely to use.
func loopback(host int) string {
	process := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+process/200%200, 1+process%200, host)
}

// settingsText is deploy/settings.toml.tmpl filled in for a small deployment.
const settingsText = `vm = %q
availability_zone = "maia"
[listen]
caller = "%[2]s:0"
ready = "%[2]s:0"
peer = "%[2]s:0"
metrics = "%[2]s:0"
[store]
address = %[3]q
[promotion]
address = %[4]q
[limits]
memory_mb = 284
max_descriptors = 4200
[drain]
grace_s = 6
[configuration]
apply_ms = 3000
stretch_ms = 12000
[restart]
away_ms = 450
`

// vm is the process of one node.
type vm struct {
	name, binary, file string

	mutex   sync.Mutex
	command *exec.Cmd
	output  []byte
	done    chan struct{}
}

// newVM starts a node; store and platform are the addresses of the store and of the promotion service.
func newVM(binary, folder string, number int, store, platform string) (*vm, error) {
	vm := &vm{name: fmt.Sprintf("front-maia-%d", number), binary: binary}
	vm.file = filepath.Join(folder, vm.name+".toml")
	text := fmt.Sprintf(settingsText, vm.name, loopback(firstVM+number), store, platform)
	if err := os.WriteFile(vm.file, []byte(text), 0o600); err != nil {
		return nil, fmt.Errorf("writing settings: %w", err)
	}
	return vm, vm.start()
}

// start starts the process.
func (vm *vm) start() error {
	command := exec.Command(vm.binary, "node", "-config", vm.file)
	command.Stdout, command.Stderr = vm, vm
	done := make(chan struct{})
	if err := command.Start(); err != nil {
		return fmt.Errorf("starting a node: %w", err)
	}
	vm.mutex.Lock()
	vm.command, vm.output, vm.done = command, nil, done
	vm.mutex.Unlock()
	go func() {
		_ = command.Wait()
		close(done)
	}()
	return nil
}

// Write implements io.Writer.Write. It collects the log of the process.
func (vm *vm) Write(lines []byte) (int, error) {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	vm.output = append(vm.output, lines...)
	return len(lines), nil
}

// log returns the log of the process so far.
func (vm *vm) log() []byte {
	vm.mutex.Lock()
	defer vm.mutex.Unlock()
	return append([]byte(nil), vm.output...)
}

var addresses = regexp.MustCompile(`event=start caller=(\S+) ready=(\S+) `)

// addresses returns the address for callers and that for readiness checks.
func (vm *vm) addresses() (caller, ready string) {
	if found := addresses.FindSubmatch(vm.log()); found != nil {
		return string(found[1]), string(found[2])
	}
	return "", ""
}

var errNotReady = errors.New("not ready in time")

// awaitReady waits until the node is ready.
func (vm *vm) awaitReady() error {
	for end := time.Now().Add(startTimeout); time.Now().Before(end); time.Sleep(readyInterval) {
		if vm.isReady() {
			return nil
		}
	}
	return fmt.Errorf("%s: %w", vm.name, errNotReady)
}

// isReady asks the node whether it is ready.
func (vm *vm) isReady() bool {
	_, ready := vm.addresses()
	if ready == "" {
		return false
	}
	response, err := http.Get("http://" + ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// kill ends the process at once.
func (vm *vm) kill() {
	_ = vm.command.Process.Kill()
	<-vm.done
}
