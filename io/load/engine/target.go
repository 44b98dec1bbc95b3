package engine

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"strings"

	"dotterelgw/io/load/experiment"
)

// Target is the system under load.
type Target struct {
	// Proxies holds the proxies that sessions connect to.
	Proxies []Proxy
	// Servers holds the stand-ins that failures may target.
	Servers []experiment.Server
	// ControlProcess applies the action "kill", "pause", "terminate", "resume" or "start" to the process of a proxy or
	// stand-in. It is nil if the processes cannot be controlled.
	ControlProcess func(ctx context.Context, name, action string) error
	// Refresh returns the proxies with their current addresses, which may change when a proxy is started again. It is nil
	// if they never change.
	Refresh func() []Proxy
	// HTTP is the client for reading the metrics of the proxies; http.DefaultClient by default.
	HTTP *http.Client
}

// Proxy holds the addresses of one proxy.
type Proxy struct {
	// Name identifies the proxy in the history. Admin is the URL of its administration API; if empty, its metrics are not
	// read.
	Name, Admin string
	// DSN holds the connection URL for each organisation, by the name of the organisation.
	DSN map[string]string
}

// NewTarget returns the target for an experiment with running proxies.
func NewTarget(spec *experiment.Experiment) *Target {
	target := &Target{Servers: spec.Servers}
	for _, proxy := range spec.Proxies {
		converted := Proxy{Name: proxy.Name, Admin: proxy.Admin, DSN: map[string]string{}}
		if converted.Name == "" {
			converted.Name = proxy.Address
		}
		for _, organisation := range spec.Organisations {
			dsn := url.URL{Scheme: "postgres", Host: proxy.Address, Path: "/" + organisation.Route, RawQuery: proxy.Parameters}
			dsn.User = url.User(organisation.User)
			if password := os.ExpandEnv(organisation.Password); password != "" {
				dsn.User = url.UserPassword(organisation.User, password)
			}
			converted.DSN[organisation.Name] = dsn.String()
		}
		target.Proxies = append(target.Proxies, converted)
	}
	return target
}

// server returns the stand-in with the given id. For "primary:GROUP" it returns the current primary of the group.
func (target *Target) server(ctx context.Context, name string) (experiment.Server, error) {
	if group, ok := strings.CutPrefix(name, "primary:"); ok {
		return target.primary(ctx, group)
	}
	for _, server := range target.Servers {
		if server.ID == name {
			return server, nil
		}
	}
	return experiment.Server{}, fmt.Errorf("unknown stand-in %q", name)
}
