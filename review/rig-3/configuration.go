package main

import (
	"encoding/json"
	"fmt"
)

// configuration is the operator's configuration.
type configuration struct {
	Version  int       `json:"version"`
	Routes   []route   `json:"routes"`
	Services []service `json:"services"`
	Limits   limits    `json:"limits"`
	Tenants  []tenant  `json:"tenants"`
}

type route struct {
	Name            string `json:"name"`
	Host            string `json:"host"`
	Prefix          string `json:"prefix"`
	RouteType       string `json:"routeType"`
	TimeoutMs       int    `json:"timeoutMs"`
	TargetLatencyMs int    `json:"targetLatencyMs"`
	Priority        int    `json:"priority"`
	Service         string `json:"service"`
	Attempts        int    `json:"attempts"`
	MaxStalenessMs  int    `json:"maxStalenessMs,omitempty"`
	Public          bool   `json:"public"`
}

type service struct {
	Name         string `json:"name"`
	HealthPath   string `json:"healthPath"`
	MaxConns     int    `json:"maxConns"`
	Protocol     string `json:"protocol"`
	TLS          bool   `json:"tls"`
	SyncReplicas int    `json:"syncReplicas"`
}

type limits struct {
	MaxHeaderBytes  int `json:"maxHeaderBytes"`
	MaxBodyBytes    int `json:"maxBodyBytes"`
	HeaderTimeoutMs int `json:"headerTimeoutMs"`
	IdleTimeoutMs   int `json:"idleTimeoutMs"`
	TxIdleMs        int `json:"txIdleMs"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"apiKeys"`
	Priority int      `json:"priority"`
	RatePerS int      `json:"ratePerS"`
	Burst    int      `json:"burst"`
}

// Names of the databases that clients connect to, by the type of their routes.
const (
	primaryHost        = "lepu270"
	readYourWritesHost = "fiti832"
	boundedHost        = "xapu221"
)

// Names of the services, each of which has a group of databases.
var serviceNames = []string{"dahu", "mizi", "kany"}

// newConfiguration returns a configuration like that of a small site; all routes lead to the first service.
func newConfiguration() *configuration {
	first := serviceNames[0]
	settings := &configuration{
		Version: 7,
		Routes: []route{
			{Name: "r-lepu", Host: primaryHost, Prefix: "/", RouteType: "primary", TimeoutMs: 1000, TargetLatencyMs: 200, Priority: 1, Service: first, Attempts: 2},
			{
				Name: "r-fiti", Host: readYourWritesHost, Prefix: "/", RouteType: "read_your_writes", TimeoutMs: 1000, TargetLatencyMs: 400, Priority: 2,
				Service: first, Attempts: 2, MaxStalenessMs: 2500,
			},
			{
				Name: "r-xapu", Host: boundedHost, Prefix: "/", RouteType: "bounded_staleness", TimeoutMs: 2000, TargetLatencyMs: 600, Priority: 2,
				Service: first, Attempts: 2, MaxStalenessMs: 1500,
			},
		},
		Limits: limits{MaxHeaderBytes: 16384, MaxBodyBytes: 262144, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000, TxIdleMs: 3000},
		Tenants: []tenant{
			{Name: "tenant-a", APIKeys: []string{"key-1", "key-2"}, Priority: 1, RatePerS: 800, Burst: 200},
			{Name: "tenant-b", APIKeys: []string{"key-3"}, Priority: 1, RatePerS: 800, Burst: 200},
		},
	}
	for _, name := range serviceNames {
		settings.Services = append(settings.Services, service{Name: name, HealthPath: "/health", MaxConns: maxConnections, Protocol: "h1", SyncReplicas: 1})
	}
	return settings
}

// publish writes the next version of the configuration to the store, whose return is the acknowledgement.
func (store *store) publish(configuration *configuration) error {
	configuration.Version += 3
	text, err := json.Marshal(configuration)
	if err != nil {
		return fmt.Errorf("encoding the configuration: %w", err)
	}
	store.put("op/config", text)
	return nil
}
