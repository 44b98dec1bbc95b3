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

// Target is what the requests are sent to.
type Target struct {
	// Proxies holds the proxies that sessions connect to.
	Proxies []Proxy
	// Servers holds the stand-ins that failures may name.
	Servers []experiment.Server
	// Process carries out "kill", "pause", "terminate", "resume" or "start" on the process of a proxy or stand-in; nil
	// if the processes are not under control.
	Process func(ctx context.Context, name, action string) error
	// Refresh returns the proxies after one was started again, since its addresses may be new; nil if they never change.
	Refresh func() []Proxy
	// HTTP reads the proxies' metrics; http.DefaultClient by default.
	HTTP *http.Client
}

// Proxy is one proxy.
type Proxy struct {
	// Name names the proxy in the history, Admin is the URL of its administration API or empty.
	Name, Admin string
	// DSN holds the connection URL of each organisation.
	DSN map[string]string
}

// Running returns the target that an experiment with running proxies describes.
func Running(described *experiment.Experiment) *Target {
	target := &Target{Servers: described.Servers}
	for _, proxy := range described.Proxies {
		one := Proxy{Name: proxy.Name, Admin: proxy.Admin, DSN: map[string]string{}}
		if one.Name == "" {
			one.Name = proxy.Address
		}
		for _, organisation := range described.Organisations {
			dsn := url.URL{Scheme: "postgres", Host: proxy.Address, Path: "/" + organisation.Route, RawQuery: proxy.Parameters}
			dsn.User = url.User(organisation.User)
			if password := os.ExpandEnv(organisation.Password); password != "" {
				dsn.User = url.UserPassword(organisation.User, password)
			}
			one.DSN[organisation.Name] = dsn.String()
		}
		target.Proxies = append(target.Proxies, one)
	}
	return target
}

// server returns the stand-in with the name, or the primary of the group that "primary:GROUP" names.
func (target *Target) server(ctx context.Context, name string) (experiment.Server, error) {
	if group, ok := strings.CutPrefix(name, "primary:"); ok {
		return target.primary(ctx, group)
	}
	for _, server := range target.Servers {
		if server.ID == name {
			return server, nil
		}
	}
	return experiment.Server{}, fmt.Errorf("no stand-in %q", name)
}
