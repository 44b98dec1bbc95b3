package fleet

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"strings"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// readyInterval is the interval at which the readiness of a starting VM is polled.
const readyInterval = 20 * time.Millisecond

// AdminURL returns the URL of the VM's administration API.
func (fleet *Fleet) AdminURL(vm ids.VMID) string {
	return "https://" + fleet.VM(vm).Addresses["admin"]
}

// DSN returns the URL with which a caller connects to the VM.
func (fleet *Fleet) DSN(vm ids.VMID, organisation ids.OrganisationID, key Key, route string) string {
	dsn := url.URL{
		Scheme: "postgres", User: url.UserPassword(fmt.Sprintf("%s.%s", organisation, key.ID), key.Secret),
		Host: fleet.VM(vm).Addresses["caller"], Path: "/" + route,
		RawQuery: url.Values{"sslmode": {"verify-full"}, "sslrootcert": {fleet.file("ca.pem")}}.Encode(),
	}
	return dsn.String()
}

// Key is a key as returned when it was created.
type Key struct {
	// ID names the key.
	ID ids.KeyID `json:"id"`
	// Secret is the key itself, which is only returned once.
	Secret string `json:"key"`
}

// RunControl runs dotterelctl against all VMs and returns its JSON output.
func (fleet *Fleet) RunControl(ctx context.Context, arguments ...string) ([]byte, error) {
	return fleet.control(ctx, fleet.adminURLs(), arguments)
}

// ControlAt runs dotterelctl against one VM and returns its JSON output.
func (fleet *Fleet) ControlAt(ctx context.Context, vm ids.VMID, arguments ...string) ([]byte, error) {
	return fleet.control(ctx, fleet.AdminURL(vm), arguments)
}

func (fleet *Fleet) control(ctx context.Context, adminURLs string, arguments []string) ([]byte, error) {
	flags := append(fleet.controlFlags(adminURLs), "-json")
	command := exec.CommandContext(ctx, fleet.program("dotterelctl"), append(flags, arguments...)...)
	var stdout, stderr bytes.Buffer
	command.Stdout, command.Stderr = &stdout, &stderr
	if err := command.Run(); err != nil {
		return nil, fmt.Errorf("dotterelctl %s: %w: %s", strings.Join(arguments, " "), err, strings.TrimSpace(stderr.String()))
	}
	return stdout.Bytes(), nil
}

// ControlCommand returns the command line of dotterelctl without a subcommand.
func (fleet *Fleet) ControlCommand() string {
	return fleet.program("dotterelctl") + " " + strings.Join(fleet.controlFlags(fleet.adminURLs()), " ")
}

// adminURLs returns the URLs of the administration APIs of all VMs that were started.
func (fleet *Fleet) adminURLs() string {
	var adminURLs []string
	for number := range fleet.options.VMs {
		if fleet.VM(VMID(number+1)) != nil {
			adminURLs = append(adminURLs, fleet.AdminURL(VMID(number+1)))
		}
	}
	return strings.Join(adminURLs, ",")
}

func (fleet *Fleet) controlFlags(adminURLs string) []string {
	return []string{"-admin", adminURLs, "-credential-file", fleet.file("credential"), "-ca", fleet.file("ca.pem")}
}

// ApplyGroups stores the group records.
func (fleet *Fleet) ApplyGroups(ctx context.Context) error {
	for _, record := range fleet.Groups {
		text, err := config.Encode(record)
		if err != nil {
			return fmt.Errorf("encoding group %s: %w", record.Group, err)
		}
		file := fleet.file(string(record.Group) + ".json")
		if err := os.WriteFile(file, text, 0o600); err != nil {
			return fmt.Errorf("writing group %s: %w", record.Group, err)
		}
		if _, err := fleet.RunControl(ctx, "group", "apply", file); err != nil {
			return fmt.Errorf("applying group %s: %w", record.Group, err)
		}
	}
	return nil
}

// ApplyContract stores a contract and waits until it is in effect on every VM.
func (fleet *Fleet) ApplyContract(ctx context.Context, organisation ids.OrganisationID, text string) error {
	file := fleet.file(string(organisation) + ".toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return fmt.Errorf("writing contract %s: %w", organisation, err)
	}
	_, err := fleet.RunControl(ctx, "-wait", "contract", "apply", file)
	return err
}

// CreateKey creates a key for the organisation and waits until it is in effect on every VM.
func (fleet *Fleet) CreateKey(ctx context.Context, organisation ids.OrganisationID) (Key, error) {
	output, err := fleet.RunControl(ctx, "-wait", "key", "give", string(organisation))
	if err != nil {
		return Key{}, err
	}
	var key Key
	if err := json.Unmarshal(output, &key); err != nil {
		return Key{}, fmt.Errorf("decoding the key: %w", err)
	}
	return key, nil
}

// SetSwitches sets fault switches of a stand-in process.
func (fleet *Fleet) SetSwitches(ctx context.Context, process *Process, switches map[string]any) error {
	if err := callJSON(ctx, http.MethodPost, "http://"+process.Addresses["switches"]+"/switches", switches, nil); err != nil {
		return fmt.Errorf("setting switches of %s: %w", process.Name, err)
	}
	return nil
}

// callJSON sends a request with the body as JSON and decodes the JSON response into the answer; both may be nil.
func callJSON(ctx context.Context, method, url string, body, answer any) error {
	var content io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encoding the request: %w", err)
		}
		content = bytes.NewReader(text)
	}
	request, err := http.NewRequestWithContext(ctx, method, url, content)
	if err != nil {
		return fmt.Errorf("preparing the request: %w", err)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return fmt.Errorf("sending the request: %w", err)
	}
	text, err := io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return fmt.Errorf("reading the answer: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("%s: %s", response.Status, text)
	}
	if answer == nil {
		return nil
	}
	if err := json.Unmarshal(text, answer); err != nil {
		return fmt.Errorf("decoding the answer: %w", err)
	}
	return nil
}

// Metrics returns the VM's metrics by name.
func (fleet *Fleet) Metrics(ctx context.Context, vm ids.VMID) (map[string]json.RawMessage, error) {
	response, err := fleet.get(ctx, vm, "/metrics")
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	metrics := make(map[string]json.RawMessage)
	if err := json.NewDecoder(response.Body).Decode(&metrics); err != nil {
		return nil, fmt.Errorf("decoding the metrics of %s: %w", vm, err)
	}
	return metrics, nil
}

// Ready reports whether the VM accepts new connections.
func (fleet *Fleet) Ready(ctx context.Context, vm ids.VMID) bool {
	response, err := fleet.get(ctx, vm, "/readyz")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// WaitReady waits until the VM accepts new connections.
func (fleet *Fleet) WaitReady(ctx context.Context, vm ids.VMID) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !fleet.Ready(ctx, vm) {
		select {
		case <-ctx.Done():
			return fmt.Errorf("not ready: %w", ctx.Err())
		case <-time.After(readyInterval):
		}
	}
	return nil
}

// get requests a path of the VM's administration API that needs no credential.
func (fleet *Fleet) get(ctx context.Context, vm ids.VMID, path string) (*http.Response, error) {
	client, err := fleet.httpClient()
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, fleet.AdminURL(vm)+path, nil)
	if err != nil {
		return nil, fmt.Errorf("preparing %s of %s: %w", path, vm, err)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("reading %s of %s: %w", path, vm, err)
	}
	return response, nil
}

func (fleet *Fleet) httpClient() (*http.Client, error) {
	authority, err := os.ReadFile(fleet.file("ca.pem"))
	if err != nil {
		return nil, fmt.Errorf("reading the CA certificate: %w", err)
	}
	pool := x509.NewCertPool()
	pool.AppendCertsFromPEM(authority)
	return &http.Client{Transport: &http.Transport{DisableKeepAlives: true, TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}}, nil
}

// Primary returns the group's primary as the VMs report it.
func (fleet *Fleet) Primary(ctx context.Context, group ids.GroupID) (ids.BackendServerID, error) {
	output, err := fleet.RunControl(ctx, "status")
	if err != nil {
		return "", err
	}
	var status struct {
		Groups []struct {
			Group   ids.GroupID         `json:"group"`
			Primary ids.BackendServerID `json:"primary"`
		} `json:"groups"`
	}
	if err := json.Unmarshal(output, &status); err != nil {
		return "", fmt.Errorf("decoding the status: %w", err)
	}
	for _, known := range status.Groups {
		if known.Group == group && known.Primary != "" {
			return known.Primary, nil
		}
	}
	return "", fmt.Errorf("no primary of %s in the status", group)
}
