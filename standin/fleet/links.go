package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"dotterelgw/core/ids"
	"dotterelgw/standin/link"
)

// listHeaderTimeout bounds reading a request's header on the listener of the VM lists, and requests to the platform.
const listHeaderTimeout = 5 * time.Second

// errNoLinks is returned by functions that require Options.Links.
var errNoLinks = errors.New("the fleet runs without links")

// pair is a proxy that connects and the proxy that it connects to.
type pair struct {
	from, to ids.VMID
}

// links holds the relays between the proxies, and between the proxies and the platform's services. Each proxy is served
// its own VM list, in which the addresses of the other proxies are those of its relays.
type links struct {
	fleet    *Fleet
	peers    map[pair]*link.Link
	keyValue map[ids.VMID]*link.Link
	vmList   map[ids.VMID]*link.Link
	server   *http.Server
	client   *http.Client
	listener net.Listener
}

// startLinks starts the relays for each pair of proxies and for the platform's services; the platform must be running.
func (fleet *Fleet) startLinks() error {
	links := &links{
		fleet: fleet, peers: make(map[pair]*link.Link), keyValue: make(map[ids.VMID]*link.Link), vmList: make(map[ids.VMID]*link.Link),
		client: &http.Client{Timeout: listHeaderTimeout},
	}
	fleet.links = links
	var err error
	if links.listener, err = net.Listen("tcp", fleet.nextAddress()); err != nil {
		return fmt.Errorf("listening for VM lists: %w", err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /{vm}/vms", links.serveList)
	links.server = &http.Server{Handler: mux, ReadHeaderTimeout: listHeaderTimeout}
	go func() { _ = links.server.Serve(links.listener) }()
	for from := range fleet.options.VMs {
		vm := VMID(from + 1)
		if links.keyValue[vm], err = link.New(fleet.nextAddress(), fleet.Platform.Addresses["key_value"]); err != nil {
			return err
		}
		if links.vmList[vm], err = link.New(fleet.nextAddress(), links.listener.Addr().String()); err != nil {
			return err
		}
		for to := range fleet.options.VMs {
			if from == to {
				continue
			}
			other := VMID(to + 1)
			if links.peers[pair{vm, other}], err = link.New(fleet.nextAddress(), fleet.peerAddresses[other]); err != nil {
				return err
			}
		}
	}
	return nil
}

// serveList serves the platform's VM list with the addresses of other proxies replaced by those of the VM's relays.
func (links *links) serveList(writer http.ResponseWriter, request *http.Request) {
	vm := ids.VMID(request.PathValue("vm"))
	status, body, err := links.readList(request)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadGateway)
		return
	}
	if status == http.StatusOK {
		if body, err = links.rewriteAddresses(vm, body); err != nil {
			http.Error(writer, err.Error(), http.StatusBadGateway)
			return
		}
	}
	writer.WriteHeader(status)
	_, _ = writer.Write(body)
}

func (links *links) readList(request *http.Request) (int, []byte, error) {
	url := "http://" + links.fleet.Platform.Addresses["vms"] + "/vms"
	forwarded, err := http.NewRequestWithContext(request.Context(), http.MethodGet, url, nil)
	if err != nil {
		return 0, nil, fmt.Errorf("preparing the VM list: %w", err)
	}
	forwarded.Header = request.Header.Clone()
	response, err := links.client.Do(forwarded)
	if err != nil {
		return 0, nil, fmt.Errorf("reading the VM list: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, body, err
}

func (links *links) rewriteAddresses(vm ids.VMID, body []byte) ([]byte, error) {
	var list struct {
		VMs []map[string]any `json:"vms"`
	}
	if err := json.Unmarshal(body, &list); err != nil {
		return nil, fmt.Errorf("decoding the VM list: %w", err)
	}
	for _, listed := range list.VMs {
		id, _ := listed["id"].(string)
		if relay := links.peers[pair{vm, ids.VMID(id)}]; relay != nil {
			listed["address"] = relay.Address()
		}
	}
	return json.Marshal(list)
}

func (links *links) forEach(visit func(*link.Link)) {
	for _, relay := range links.peers {
		visit(relay)
	}
	for _, relays := range []map[ids.VMID]*link.Link{links.keyValue, links.vmList} {
		for _, relay := range relays {
			visit(relay)
		}
	}
}

func (links *links) close() {
	links.forEach(func(relay *link.Link) {
		if relay != nil {
			relay.Close()
		}
	})
	if links.server != nil {
		_ = links.server.Close()
	}
}

// keyValueAddress returns the VM's address for the key-value service.
func (fleet *Fleet) keyValueAddress(vm ids.VMID) string {
	if fleet.links == nil {
		return fleet.Platform.Addresses["key_value"]
	}
	return fleet.links.keyValue[vm].Address()
}

// vmListAddress returns the host, port and path of the VM list for the VM.
func (fleet *Fleet) vmListAddress(vm ids.VMID) string {
	if fleet.links == nil {
		return fleet.Platform.Addresses["vms"] + "/vms"
	}
	return fleet.links.vmList[vm].Address() + "/" + string(vm) + "/vms"
}

// Cut blocks all bytes from one proxy to another, both requests and responses.
func (fleet *Fleet) Cut(from, to ids.VMID) error {
	if fleet.links == nil {
		return errNoLinks
	}
	requests, answers := fleet.links.peers[pair{from, to}], fleet.links.peers[pair{to, from}]
	if requests == nil || answers == nil {
		return fmt.Errorf("no link between %s and %s", from, to)
	}
	requests.Cut(link.Forward)
	answers.Cut(link.Backward)
	return nil
}

// CutPlatform blocks all traffic between the proxy and the platform's services.
func (fleet *Fleet) CutPlatform(vm ids.VMID) error {
	if fleet.links == nil {
		return errNoLinks
	}
	for _, relays := range []map[ids.VMID]*link.Link{fleet.links.keyValue, fleet.links.vmList} {
		relay := relays[vm]
		if relay == nil {
			return fmt.Errorf("no link between %s and the platform", vm)
		}
		relay.Cut(link.Forward)
		relay.Cut(link.Backward)
	}
	return nil
}

// Isolate blocks all traffic between the proxy and both the other proxies and the platform's services. Traffic with
// callers, operators and backend servers is not affected.
func (fleet *Fleet) Isolate(vm ids.VMID) error {
	if err := fleet.CutPlatform(vm); err != nil {
		return err
	}
	for number := range fleet.options.VMs {
		if other := VMID(number + 1); other != vm {
			if err := errors.Join(fleet.Cut(vm, other), fleet.Cut(other, vm)); err != nil {
				return err
			}
		}
	}
	return nil
}

// Heal unblocks all traffic.
func (fleet *Fleet) Heal() error {
	if fleet.links == nil {
		return errNoLinks
	}
	fleet.links.forEach((*link.Link).Heal)
	return nil
}

// SetLeaving sets the field leaving of the proxy or backend server in the VM list.
func (fleet *Fleet) SetLeaving(ctx context.Context, id string, leaving bool) error {
	address := "http://" + fleet.Platform.Addresses["switches"] + "/vms"
	var list struct {
		VMs []map[string]any `json:"vms"`
	}
	if err := callJSON(ctx, http.MethodGet, address, nil, &list); err != nil {
		return err
	}
	for _, listed := range list.VMs {
		if listed["id"] == id {
			listed["leaving"] = leaving
			return callJSON(ctx, http.MethodPut, address+"/"+id, listed, nil)
		}
	}
	return fmt.Errorf("%s is not in the VM list", id)
}
