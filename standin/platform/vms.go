package platform

import (
	"net/http"
	"slices"
	"sync"
	"time"
)

// VM is one entry of the VM list.
type VM struct {
	// ID names the VM, or the backend server on it.
	ID string `json:"id"`
	// Role is proxy or backend_server.
	Role string `json:"role"`
	// Address is the numeric IP address and port of the peer listener or of the backend server.
	Address string `json:"address"`
	// AvailabilityZone is the VM's availability zone.
	AvailabilityZone string `json:"availability_zone"`
	// Leaving is set if the VM is to be stopped.
	Leaving bool `json:"leaving"`
}

// vmsBody is the JSON body of the VM list.
type vmsBody struct {
	VMs []VM `json:"vms"`
}

// maxLag is the maximum lag; older versions of the list are dropped.
const maxLag = 10 * time.Minute

// vmList holds the VM list and its past versions, so that it can be served with a lag.
type vmList struct {
	mutex    sync.Mutex
	versions []vmVersion
}

type vmVersion struct {
	at  time.Time
	vms []VM // never modified once stored
}

// at returns the version at the time; the oldest known version is returned for all earlier times.
func (list *vmList) at(at time.Time) []VM {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	for i := len(list.versions) - 1; i >= 0; i-- {
		if i == 0 || !list.versions[i].at.After(at) {
			return list.versions[i].vms
		}
	}
	return []VM{}
}

// edit calls change with a copy of the list and replaces the list by the result.
func (list *vmList) edit(change func([]VM) []VM) []VM {
	list.mutex.Lock()
	defer list.mutex.Unlock()
	vms := []VM{}
	if count := len(list.versions); count > 0 {
		vms = slices.Clone(list.versions[count-1].vms)
	} else {
		list.versions = append(list.versions, vmVersion{vms: []VM{}})
	}
	vms = change(vms)
	if vms == nil {
		vms = []VM{}
	}
	now := time.Now()
	list.versions = append(list.versions, vmVersion{at: now, vms: vms})
	for len(list.versions) > 2 && now.Sub(list.versions[1].at) > maxLag {
		list.versions = list.versions[1:]
	}
	return vms
}

// upsert replaces the VM with the same id, or adds it.
func (list *vmList) upsert(vm VM) []VM {
	return list.edit(func(vms []VM) []VM {
		for i := range vms {
			if vms[i].ID == vm.ID {
				vms[i] = vm
				return vms
			}
		}
		return append(vms, vm)
	})
}

func (list *vmList) remove(id string) []VM {
	return list.edit(func(vms []VM) []VM {
		return slices.DeleteFunc(vms, func(vm VM) bool { return vm.ID == id })
	})
}

// serveVMs serves GET /vms with the lag and the faults set by the switches.
func (platform *Platform) serveVMs(writer http.ResponseWriter, request *http.Request) {
	client := request.Header.Get(metadataVM)
	if err := platform.injector.waitReachable(request.Context(), client); err != nil {
		return // the client has disconnected
	}
	platform.injector.count(callVMs, client)
	if err := platform.injector.delay(request.Context()); err != nil {
		return
	}
	switches, _ := platform.injector.get()
	if switches.VMsOutage {
		http.Error(writer, "the VM list is not available", http.StatusServiceUnavailable)
		return
	}
	lag := time.Duration(switches.VMsLagMS) * time.Millisecond
	reply(writer, http.StatusOK, vmsBody{VMs: platform.vms.at(time.Now().Add(-lag))})
}
