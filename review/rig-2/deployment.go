package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"syscall"
	"time"
)

// The names of the deployment. Each service has two routes, and their names its number.
const (
	servicePrefix = "ledger-"
	hostPrimary   = "db-primary-"
	hostOwn       = "db-own-"
)

var zones = []string{"maia", "gaia", "braga"}

// tenant is an organisation of the configuration.
type tenant struct {
	Name    string   `json:"name"`
	APIKeys []string `json:"apiKeys"`
	Rate    float64  `json:"ratePerS"`
	Burst   float64  `json:"burst"`
}

// deployment is a small deployment of nodes and stand-ins.
type deployment struct {
	folder  string
	record  *record
	store   *store
	groups  []*group
	nodes   []*node
	version int
}

// freeNetwork returns the first three octets of loopback addresses on which nothing listens.
func freeNetwork() (string, error) {
	for range 50 {
		network := fmt.Sprintf("127.%d.%d", 10+rand.IntN(200), rand.IntN(250))
		listener, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", network, callerPort))
		if err == nil {
			_ = listener.Close()
			return network, nil
		}
	}
	return "", errNoNetwork
}

var errNoNetwork = errors.New("no free loopback addresses")

// newDeployment starts a deployment of some nodes before some services of three databases, with the first configuration.
func newDeployment(record *record, nodes, services int, tenants []tenant) (*deployment, error) {
	folder, err := os.MkdirTemp("", "rig2-")
	if err != nil {
		return nil, fmt.Errorf("creating a folder: %w", err)
	}
	network, err := freeNetwork()
	if err != nil {
		return nil, err
	}
	deployment := &deployment{folder: folder, record: record, store: newStore(), version: 1}
	for number := range services {
		addresses := []string{network + ".101:0", network + ".102:0", network + ".103:0"}
		group, err := newGroup(fmt.Sprint(servicePrefix, number), deployment, addresses)
		if err != nil {
			return deployment, err
		}
		deployment.groups = append(deployment.groups, group)
	}
	deployment.configure(tenants, 800)
	storeAddress, err := deployment.store.listen(network + ".200:0")
	if err != nil {
		return deployment, fmt.Errorf("starting the store: %w", err)
	}
	promotions, err := net.Listen("tcp", network+".201:0")
	if err != nil {
		return deployment, fmt.Errorf("starting the promotion service: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", deployment.promote)
	go func() { _ = http.Serve(promotions, mux) }()
	for index := range nodes {
		name, zone := fmt.Sprintf("front-%s-%d", zones[index%len(zones)], 1+index/len(zones)), zones[index%len(zones)]
		node, err := newNode(folder, name, fmt.Sprintf("%s.%d", network, 1+index), zone, storeAddress, promotions.Addr().String())
		if err != nil {
			return deployment, err
		}
		deployment.nodes = append(deployment.nodes, node)
	}
	for _, node := range deployment.nodes {
		if err := node.start(); err != nil {
			return deployment, err
		}
	}
	for _, node := range deployment.nodes {
		if err := node.awaitReady(); err != nil {
			return deployment, err
		}
		record.line("%s is ready", node.name)
	}
	return deployment, nil
}

// configure writes the next version of the configuration and returns when the store had acknowledged it.
func (deployment *deployment) configure(tenants []tenant, timeoutMS int) time.Duration {
	route := func(host, kind, service string) map[string]any {
		return map[string]any{
			"name": "r-" + host, "host": host, "prefix": "/", "routeType": kind, "timeoutMs": timeoutMS, "targetLatencyMs": 200, "priority": 1,
			"service": service, "maxStalenessMs": 2500, "public": false,
		}
	}
	routes, services := []any{}, []any{}
	for number, group := range deployment.groups {
		routes = append(routes, route(fmt.Sprint(hostPrimary, number), "primary", group.name), route(fmt.Sprint(hostOwn, number), "read_your_writes", group.name))
		services = append(services, map[string]any{"name": group.name, "maxConns": maxConns, "syncReplicas": 1})
	}
	value, _ := json.Marshal(map[string]any{
		"version": deployment.version, "routes": routes, "services": services, "limits": map[string]any{"txIdleMs": 3000}, "tenants": tenants,
	})
	deployment.store.put("op/config", value, 0)
	at := deployment.record.now()
	deployment.record.line("the store acknowledges version %d of the configuration: tenants %v", deployment.version, tenants)
	deployment.version += 3
	return at
}

// promote serves the call of the platform that designates a new primary.
func (deployment *deployment) promote(writer http.ResponseWriter, request *http.Request) {
	var body struct{ Service, ID string }
	if json.NewDecoder(request.Body).Decode(&body) != nil {
		writer.WriteHeader(http.StatusNotFound)
		return
	}
	deployment.record.line("promotion of %s ordered by %s, token %s", body.ID, request.Header.Get("X-Dotterelgw-Duty-Holder"), request.Header.Get("X-Dotterelgw-Fence-Token"))
	for _, group := range deployment.groups {
		for _, database := range group.databases {
			if database.id == body.ID && group.name == body.Service {
				time.AfterFunc(promotionTime, database.lead)
				writer.WriteHeader(http.StatusOK)
				return
			}
		}
	}
	writer.WriteHeader(http.StatusConflict)
}

// ran returns the statements that the databases ran so far.
func (deployment *deployment) ran() []execution {
	var executions []execution
	for _, group := range deployment.groups {
		executions = append(executions, group.ran()...)
	}
	return executions
}

// stop ends all processes that the deployment started, and removes its folder. With KEEP set the folder stays.
func (deployment *deployment) stop() {
	for _, node := range deployment.nodes {
		node.signal(syscall.SIGCONT)
		node.kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(deployment.folder)
	} else {
		fmt.Println("kept", deployment.folder)
	}
}
