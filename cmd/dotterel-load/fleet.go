package main

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"text/template"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/io/load/engine"
	"dotterelgw/io/load/experiment"
	"dotterelgw/standin/fleet"
)

var contractTemplate = template.Must(template.New("contract").Parse(`organisation = "{{.Name}}"
rate = {{printf "%.3f" .Contract.Rate}}
burst = {{printf "%.3f" .Contract.Burst}}
weight = {{printf "%.3f" .Contract.Weight}}

[limits]
connections = {{.Contract.Connections}}
transactions = {{.Contract.Transactions}}
queue = {{.Contract.Queue}}
queue_timeout_ms = {{.Contract.QueueTimeoutMS}}

[[routes]]
name = "{{.Route}}"
group = "{{.Group}}"
access = "{{.Contract.Access}}"
max_age_ms = {{.Contract.MaxAgeMS}}
`))

// startFleet starts the fleet of the experiment and creates a contract and a key for each organisation.
func startFleet(ctx context.Context, spec *experiment.Experiment, options runOptions) (*engine.Target, *fleet.Fleet, func(), error) {
	running, closeFleet, err := startProcesses(ctx, fleet.Options{
		Zones: spec.Fleet.Zones, VMs: spec.Fleet.VMs, Groups: spec.Fleet.Groups,
		Connections: spec.Fleet.Connections, Slots: spec.Fleet.Slots,
		Lag: time.Duration(spec.Fleet.LagMS) * time.Millisecond,
	}, options)
	if err != nil {
		return nil, nil, nil, err
	}
	target, err := fleetTarget(ctx, spec, running)
	if err != nil {
		running.Close() // keeps the directory with the logs
		return nil, nil, nil, fmt.Errorf("preparing the fleet, logs in %s: %w", running.Directory(), err)
	}
	return target, running, closeFleet, nil
}

// startProcesses starts a fleet of the built programs. Without a directory in the options it uses a temporary one, which
// the returned function removes after it has stopped the fleet.
func startProcesses(ctx context.Context, settings fleet.Options, options runOptions) (*fleet.Fleet, func(), error) {
	settings.Programs, settings.Directory = options.programs, options.directory
	if settings.Programs == "" {
		program, err := os.Executable()
		if err != nil {
			return nil, nil, fmt.Errorf("finding the directory of the programs: %w", err)
		}
		settings.Programs = filepath.Dir(program)
	}
	remove := func() {}
	if settings.Directory == "" {
		directory, err := os.MkdirTemp("", "dotterel-load-")
		if err != nil {
			return nil, nil, fmt.Errorf("creating a directory: %w", err)
		}
		settings.Directory = directory
		remove = func() { _ = os.RemoveAll(directory) }
	} else if err := os.MkdirAll(settings.Directory, 0o700); err != nil {
		return nil, nil, fmt.Errorf("creating a directory: %w", err)
	}
	fmt.Fprintf(os.Stderr, "starting the fleet, logs in %s\n", settings.Directory)
	running, err := fleet.Start(ctx, settings)
	if err != nil {
		remove()
		return nil, nil, err
	}
	return running, func() {
		running.Close()
		remove()
	}, nil
}

// fleetTarget applies groups and contracts, creates the keys and returns the fleet as the target of a run.
func fleetTarget(ctx context.Context, spec *experiment.Experiment, running *fleet.Fleet) (*engine.Target, error) {
	if err := running.ApplyGroups(ctx); err != nil {
		return nil, err
	}
	target := &engine.Target{ControlProcess: processControl(running)}
	keys, err := giveKeys(ctx, spec, running)
	if err != nil {
		return nil, err
	}
	target.Refresh = func() []engine.Proxy { return proxies(spec, running, keys) }
	target.Proxies = target.Refresh()
	target.Servers = append(target.Servers, experiment.Server{ID: "platform", Switches: "http://" + running.Platform.Addresses["switches"]})
	for _, group := range running.Groups {
		for _, server := range group.Servers {
			target.Servers = append(target.Servers, experiment.Server{
				ID: string(server.ID), Group: string(group.Group), Address: server.Address,
				Switches: "http://" + running.Databases[server.ID].Addresses["switches"],
			})
		}
	}
	client, err := httpClient(filepath.Join(running.Directory(), "ca.pem"))
	target.HTTP = client
	return target, err
}

// giveKeys applies the contracts of all organisations and creates a key for each of them.
func giveKeys(ctx context.Context, spec *experiment.Experiment, running *fleet.Fleet) (map[string]fleet.Key, error) {
	keys := map[string]fleet.Key{}
	failures := make([]error, len(spec.Organisations))
	var mutex sync.Mutex
	var giving sync.WaitGroup
	for index, organisation := range spec.Organisations {
		giving.Go(func() {
			id := ids.OrganisationID(organisation.Name)
			var text strings.Builder
			if err := contractTemplate.Execute(&text, organisation); err != nil {
				failures[index] = fmt.Errorf("contract of %s: %w", id, err)
				return
			}
			if err := running.ApplyContract(ctx, id, text.String()); err != nil {
				failures[index] = fmt.Errorf("contract of %s: %w", id, err)
				return
			}
			key, err := running.CreateKey(ctx, id)
			if err != nil {
				failures[index] = fmt.Errorf("key of %s: %w", id, err)
				return
			}
			mutex.Lock()
			defer mutex.Unlock()
			keys[organisation.Name] = key
		})
	}
	giving.Wait()
	return keys, errors.Join(failures...)
}

// proxies returns the proxies of the fleet with their current addresses.
func proxies(spec *experiment.Experiment, running *fleet.Fleet, keys map[string]fleet.Key) []engine.Proxy {
	var list []engine.Proxy
	for number := 1; number <= running.Size(); number++ {
		vm := fleet.VMID(number)
		proxy := engine.Proxy{Name: string(vm), Admin: running.AdminURL(vm), DSN: map[string]string{}}
		for _, organisation := range spec.Organisations {
			proxy.DSN[organisation.Name] = running.DSN(vm, ids.OrganisationID(organisation.Name), keys[organisation.Name], organisation.Route)
		}
		list = append(list, proxy)
	}
	return list
}

// httpClient returns a client that trusts the certificate authority in the file.
func httpClient(authority string) (*http.Client, error) {
	text, err := os.ReadFile(authority)
	if err != nil {
		return nil, fmt.Errorf("reading the certificate authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, errors.New("no certificate in the file of the certificate authority")
	}
	return &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}, nil
}

// processControl returns a function that applies actions to processes of the fleet by name, such as vm2 or g1-a.
func processControl(running *fleet.Fleet) func(context.Context, string, string) error {
	return func(ctx context.Context, name, action string) error {
		process := running.VM(ids.VMID(name))
		if process == nil {
			process = running.Databases[ids.BackendServerID(name)]
		}
		if name == "platform" {
			process = running.Platform
		}
		if process == nil {
			return fmt.Errorf("unknown process %q", name)
		}
		switch action {
		case "kill":
			process.Kill()
			return nil
		case "pause":
			return process.Pause()
		case "resume":
			return process.Resume()
		case "terminate":
			return process.Terminate()
		case "start":
			number, err := strconv.Atoi(strings.TrimPrefix(name, "vm"))
			if err != nil {
				return fmt.Errorf("cannot start %s again: only proxies can be restarted", name)
			}
			return running.StartVM(ctx, number)
		}
		return fmt.Errorf("unknown action %q", action)
	}
}
