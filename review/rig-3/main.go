package main

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"
)

// Exit codes.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// settleTime is the time between the start of the nodes and the first client.
const settleTime = 3 * time.Second

// world is what a scenario runs in.
type world struct {
	recorder      *recorder
	store         *store
	configuration *configuration
	groups        map[string]*group
	nodes         []*node
	// trouble is false if the disruption is left out.
	trouble bool

	binary, folder             string
	storeAddress, cloudAddress string
	ports                      *ports
}

// scenario runs a disruption and returns whether the rule held.
type scenario struct {
	nodes int
	run   func(world *world) (held bool, err error)
}

var scenarios = map[string]scenario{
	"unlisted-replica": {nodes: 4, run: unlistedReplica},
	"primary-reborn":   {nodes: 6, run: primaryReborn},
	"route-returns":    {nodes: 2, run: routeReturns},
	"short-rows":       {nodes: 3, run: shortRows},
}

var (
	errUsage      = errors.New("usage: rig3 SCENARIO NODE RECORD")
	errNothingRan = errors.New("no statement ran")
)

func main() {
	held, err := run()
	switch {
	case err != nil:
		fmt.Fprintln(os.Stderr, "not run:", err)
		os.Exit(exitNotRun)
	case !held:
		fmt.Println("broken")
		os.Exit(exitBroken)
	}
	fmt.Println("held")
	os.Exit(exitHeld)
}

func run() (held bool, err error) {
	if len(os.Args) != 4 {
		return false, errUsage
	}
	scenario, ok := scenarios[os.Args[1]]
	if !ok {
		return false, fmt.Errorf("unknown scenario %s: %w", os.Args[1], errUsage)
	}
	folder, err := os.MkdirTemp("", "rig3-")
	if err != nil {
		return false, fmt.Errorf("creating a temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(folder) }()
	world := &world{recorder: newRecorder(), trouble: os.Getenv("TROUBLE") != "0", binary: os.Args[2], folder: folder, ports: newPorts()}
	defer world.end()
	if err := world.begin(scenario.nodes); err != nil {
		return false, err
	}
	held, err = scenario.run(world)
	world.recorder.notef("trouble %v held %v error %v", world.trouble, held, err)
	if errSave := world.recorder.save(os.Args[3]); errSave != nil {
		return false, errSave
	}
	return held, err
}

// begin starts the stand-ins and the nodes.
func (world *world) begin(nodes int) error {
	world.store, world.configuration, world.groups = newStore(), newConfiguration(), make(map[string]*group)
	if err := world.store.publish(world.configuration); err != nil {
		return err
	}
	for _, name := range serviceNames {
		group, err := newGroup(name, world.store, world.recorder)
		if err != nil {
			return err
		}
		world.groups[name] = group
	}
	var err error
	if world.storeAddress, err = serveHTTP(world.store.handler()); err != nil {
		return err
	}
	cloud := &cloud{groups: world.groups, recorder: world.recorder}
	if world.cloudAddress, err = serveHTTP(cloud.handler()); err != nil {
		return err
	}
	for index := range nodes {
		if err := world.addNode(fmt.Sprintf("node-%d", index+1), world.storeAddress); err != nil {
			return err
		}
	}
	for _, node := range world.nodes {
		if err := node.awaitReady(); err != nil {
			return err
		}
	}
	time.Sleep(settleTime)
	return nil
}

// addNode starts a node that finds the store at the address.
func (world *world) addNode(name, store string) error {
	node, err := newNode(name, world.binary, world.folder, store, world.cloudAddress, world.ports)
	if err != nil {
		return err
	}
	if err := node.start(); err != nil {
		return err
	}
	world.nodes = append(world.nodes, node)
	return nil
}

// serveHTTP serves the handler on a loopback address, which it returns.
func serveHTTP(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", fmt.Errorf("listening: %w", err)
	}
	go func() { _ = http.Serve(listener, handler) }()
	return listener.Addr().String(), nil
}

// end ends the nodes and keeps their logs if it is asked to.
func (world *world) end() {
	for _, node := range world.nodes {
		node.kill()
	}
	if kept := os.Getenv("KEEP_LOGS"); kept != "" {
		for _, node := range world.nodes {
			text, err := os.ReadFile(node.logFile)
			if err == nil {
				_ = os.WriteFile(filepath.Join(kept, node.name+".log"), text, 0o600)
			}
		}
	}
}
