package fleet

import (
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// Fleet is a running set of processes.
type Fleet struct {
	// Platform is the platform stand-in.
	Platform *Process
	// Databases holds the database stand-ins by server identifier, such as g1-a.
	Databases map[ids.BackendServerID]*Process
	// Groups holds the group records.
	Groups []config.GroupRecord
	// Credential is the operator's credential for the administration API.
	Credential string

	options       Options
	tokenSecret   string
	loopback      netip.Addr
	usedPorts     int
	peerAddresses map[ids.VMID]string
	links         *links     // nil without Options.Links
	mutex         sync.Mutex // guards vms
	vms           map[ids.VMID]*Process
}

// VMID returns the identifier of the VM with the number; numbers start at 1.
func VMID(number int) ids.VMID { return ids.VMID(fmt.Sprintf("vm%d", number)) }

// Start starts all processes and waits until every proxy is ready. It stores no group records; see ApplyGroups.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	fleet := &Fleet{
		options: options, Databases: make(map[ids.BackendServerID]*Process), vms: make(map[ids.VMID]*Process),
		Credential: randomHex(), loopback: loopbackAddress(), tokenSecret: randomHex(), peerAddresses: make(map[ids.VMID]string),
	}
	if err := fleet.start(ctx); err != nil {
		fleet.Close()
		return nil, fmt.Errorf("starting the fleet: %w", err)
	}
	return fleet, nil
}

func (fleet *Fleet) start(ctx context.Context) error {
	if err := fleet.issueCertificates(); err != nil {
		return fmt.Errorf("issuing certificates: %w", err)
	}
	if err := fleet.startDatabases(ctx); err != nil {
		return fmt.Errorf("starting databases: %w", err)
	}
	if err := fleet.startPlatform(ctx); err != nil {
		return fmt.Errorf("starting the platform: %w", err)
	}
	if fleet.options.Links {
		if err := fleet.startLinks(); err != nil {
			return fmt.Errorf("starting links: %w", err)
		}
	}
	if err := fleet.startAllVMs(ctx); err != nil {
		return fmt.Errorf("starting proxies: %w", err)
	}
	for number := range fleet.options.VMs {
		if err := fleet.WaitReady(ctx, VMID(number+1)); err != nil {
			return fmt.Errorf("waiting for %s: %w", VMID(number+1), err)
		}
	}
	return nil
}

func (fleet *Fleet) issueCertificates() error {
	authority, err := newAuthority(fleet.options.Directory, fleet.loopback)
	if err != nil {
		return err
	}
	for number := range fleet.options.VMs {
		if err := authority.issue(string(VMID(number + 1))); err != nil {
			return err
		}
	}
	return os.WriteFile(fleet.file("credential"), []byte(fleet.Credential+"\n"), 0o600)
}

func (fleet *Fleet) startDatabases(ctx context.Context) error {
	for number := 1; number <= fleet.options.Groups; number++ {
		record := fleet.groupRecord(number)
		fleet.Groups = append(fleet.Groups, record)
		for index := range record.Servers {
			process, err := fleet.startDatabase(ctx, record, index)
			if err != nil {
				return err
			}
			fleet.Databases[record.Servers[index].ID] = process
		}
	}
	return nil
}

func (fleet *Fleet) groupRecord(number int) config.GroupRecord {
	record := config.GroupRecord{
		Group: ids.GroupID(fmt.Sprintf("g%d", number)), Connections: fleet.options.Connections, Slots: fleet.options.Slots,
	}
	for index := range serversPerGroup {
		record.Servers = append(record.Servers, config.ServerRecord{
			ID: ids.BackendServerID(fmt.Sprintf("g%d-%c", number, 'a'+index)), Address: fleet.nextAddress(), AvailabilityZone: fleet.options.zone(index),
		})
	}
	return record
}

// startDatabase starts the server with the index; the first server of a group is its initial primary.
func (fleet *Fleet) startDatabase(ctx context.Context, record config.GroupRecord, index int) (*Process, error) {
	server := record.Servers[index]
	var peers []string
	for _, peer := range record.Servers {
		peers = append(peers, fmt.Sprintf("%s=%s", peer.ID, peer.Address))
	}
	arguments := []string{
		"database", "-id", string(server.ID), "-listen", server.Address, "-servers", strings.Join(peers, ","),
		"-connection-limit", fmt.Sprint(record.Connections), "-slots", fmt.Sprint(record.Slots),
		"-lag", fleet.options.Lag.String(),
	}
	if fleet.options.Capture {
		arguments = append(arguments, "-capture", fleet.file(string(server.ID)+".capture"))
	}
	if fleet.options.MemoryAnswers {
		arguments = append(arguments, "-memory-answers")
	}
	if index > 0 {
		arguments = append(arguments, "-role", "replica", "-primary", string(record.Servers[0].ID))
	}
	return startProcess(ctx, fleet.options.Directory, string(server.ID), fleet.program("dotterel-standin"), arguments...)
}

func (fleet *Fleet) startPlatform(ctx context.Context) error {
	list, err := fleet.vmList()
	if err != nil {
		return err
	}
	file := fleet.file("vms.json")
	if err := os.WriteFile(file, list, 0o600); err != nil {
		return fmt.Errorf("writing the VM list: %w", err)
	}
	fleet.Platform, err = startProcess(ctx, fleet.options.Directory, "platform", fleet.program("dotterel-standin"), "platform", "-vms", file)
	return err
}

// vmList assigns the proxies their peer addresses and returns the VM list with the proxies and the backend servers.
func (fleet *Fleet) vmList() ([]byte, error) {
	type vm struct {
		ID               string               `json:"id"`
		Role             string               `json:"role"`
		Address          string               `json:"address"`
		AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
	}
	var list struct {
		VMs []vm `json:"vms"`
	}
	for number := range fleet.options.VMs {
		address := fleet.nextAddress()
		fleet.peerAddresses[VMID(number+1)] = address
		list.VMs = append(list.VMs, vm{string(VMID(number + 1)), "proxy", address, fleet.options.zone(number)})
	}
	for _, record := range fleet.Groups {
		for _, server := range record.Servers {
			list.VMs = append(list.VMs, vm{string(server.ID), "backend_server", server.Address, server.AvailabilityZone})
		}
	}
	return json.Marshal(list)
}

func (fleet *Fleet) startAllVMs(ctx context.Context) error {
	failures := make([]error, fleet.options.VMs)
	var starting sync.WaitGroup
	for number := range fleet.options.VMs {
		starting.Go(func() { failures[number] = fleet.StartVM(ctx, number+1) })
	}
	starting.Wait()
	return errors.Join(failures...)
}

// StartVM starts the proxy with the number, or restarts it after it exited.
func (fleet *Fleet) StartVM(ctx context.Context, number int) error {
	vm := VMID(number)
	if err := fleet.writeSettings(number); err != nil {
		return fmt.Errorf("writing settings of %s: %w", vm, err)
	}
	process, err := startProcess(ctx, fleet.options.Directory, string(vm), fleet.program("dotterelgw"), "serve", "-config", fleet.file(string(vm)+".toml"))
	if err != nil {
		return err
	}
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	fleet.vms[vm] = process
	return nil
}

// VM returns the proxy's process, or nil if it was never started.
func (fleet *Fleet) VM(id ids.VMID) *Process {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	return fleet.vms[id]
}

// Size returns the number of proxies.
func (fleet *Fleet) Size() int { return fleet.options.VMs }

// Directory returns the directory with settings, certificates and logs.
func (fleet *Fleet) Directory() string { return fleet.options.Directory }

// Close stops all processes, proxies first.
func (fleet *Fleet) Close() {
	fleet.mutex.Lock()
	defer fleet.mutex.Unlock()
	stopAll(fleet.vms)
	stopAll(fleet.Databases)
	if fleet.Platform != nil {
		fleet.Platform.Stop()
	}
	if fleet.links != nil {
		fleet.links.close()
	}
}

func stopAll[K comparable](processes map[K]*Process) {
	var stopping sync.WaitGroup
	for _, process := range processes {
		stopping.Go(process.Stop)
	}
	stopping.Wait()
}

func (fleet *Fleet) program(name string) string { return filepath.Join(fleet.options.Programs, name) }

func (fleet *Fleet) file(name string) string { return filepath.Join(fleet.options.Directory, name) }

// firstPort is the first port that a fleet uses on its own loopback address.
const firstPort = 10000

// nextAddress returns an unused address. Servers must know each other's addresses before they start, and another process
// may take a port between the check that it is free and its use, so each fleet has its own loopback address.
func (fleet *Fleet) nextAddress() string {
	fleet.usedPorts++
	return netip.AddrPortFrom(fleet.loopback, uint16(firstPort+fleet.usedPorts)).String()
}

// loopbackAddress returns a random address in 127.0.0.0/8 that programs do not use by default.
func loopbackAddress() netip.Addr {
	var random [3]byte
	_, _ = rand.Read(random[:])
	return netip.AddrFrom4([4]byte{127, 1 + random[0]%250, random[1], 1 + random[2]%250})
}

func randomHex() string {
	var secret [16]byte
	_, _ = rand.Read(secret[:])
	return hex.EncodeToString(secret[:])
}

func sha256Hex(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
