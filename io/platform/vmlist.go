package platform

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"dotterelgw/core/ids"
)

// Role is the kind of process that runs on a VM.
type Role string

// The roles of the VM list.
const (
	// RoleProxy marks a VM that runs a proxy.
	RoleProxy Role = "proxy"
	// RoleBackendServer marks a VM that runs a backend server.
	RoleBackendServer Role = "backend_server"
)

// maxVMListBytes bounds a response of the VM list; 21,000 backend servers and 2,400 proxies at 256 bytes are 6 MB.
const maxVMListBytes = 32 << 20

// VM is one entry of the platform's VM list.
type VM struct {
	// ID is the id of the VM, or of the backend server on it.
	ID string `json:"id"`
	// Role is RoleProxy or RoleBackendServer.
	Role Role `json:"role"`
	// Address is the numeric IP address and port of the peer listener or the backend server.
	Address string `json:"address"`
	// AvailabilityZone is the availability zone in which the VM runs.
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
	// Leaving is set when the VM is about to be stopped and must get no new work.
	Leaving bool `json:"leaving"`
}

// VMs is the body of a response of the VM list service.
type VMs struct {
	// VMs holds the VMs in no fixed order.
	VMs []VM `json:"vms"`
}

// VMList reads the platform's list of VMs, which is updated with a delay.
type VMList interface {
	// List returns the live VMs, including the leaving ones.
	List(ctx context.Context) ([]VM, error)
}

type vmList struct {
	url    string
	vm     ids.VMID
	client *http.Client
}

// NewVMList returns a client of the VM list service at the URL, such as http://10.0.0.1:8080; the path /vms is appended.
func NewVMList(url string, vm ids.VMID) VMList {
	return &vmList{
		url: strings.TrimSuffix(strings.TrimSuffix(url, "/"), "/vms") + "/vms",
		vm:  vm,
		client: &http.Client{Transport: &http.Transport{
			DialContext:         (&net.Dialer{Timeout: connectTimeout}).DialContext,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     time.Minute,
		}},
	}
}

// List implements VMList.List.
func (list *vmList) List(ctx context.Context) ([]VM, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, list.url, nil)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	request.Header.Set(MetadataVM, string(list.vm))
	response, err := list.client.Do(request)
	if err != nil {
		return nil, fmt.Errorf("list VMs: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(response.Body, maxVMListBytes))
	if err != nil {
		return nil, fmt.Errorf("list VMs: read response: %w", err)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("list VMs: status %s", response.Status)
	}
	var vms VMs
	if err := json.Unmarshal(body, &vms); err != nil {
		return nil, fmt.Errorf("list VMs: decode response: %w", err)
	}
	return vms.VMs, nil
}
