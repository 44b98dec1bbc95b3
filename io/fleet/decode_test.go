package fleet

import (
	"net/netip"
	"strings"
	"testing"
)

// oddVMs holds registrations under the id vm1 that name no VM.
var oddVMs = map[string]string{
	"empty": "", "bytes": "\xff\x00", "null": "null", "list": "[]", "number": "1e999", "no fields": "{}",
	"nested deeply":        strings.Repeat("[", 20000),
	"unknown field nested": `{"vm":"vm1","peer":"127.0.0.1:7","availability_zone":"z1","x":` + strings.Repeat("[", 9000) + strings.Repeat("]", 9000) + "}",
	"another id":           `{"vm":"vm2","peer":"127.0.0.1:7","availability_zone":"z1"}`,
	"port above 65535":     `{"vm":"vm1","peer":"127.0.0.1:70000","availability_zone":"z1"}`,
	"port 0":               `{"vm":"vm1","peer":"127.0.0.1:0","availability_zone":"z1"}`,
	"host name":            `{"vm":"vm1","peer":"localhost:7","availability_zone":"z1"}`,
	"peer is a number":     `{"vm":"vm1","peer":7,"availability_zone":"z1"}`,
}

const validVM = `{"vm":"vm1","peer":"127.0.0.1:7","availability_zone":"z1"}`

// Guards against a VM that counts in the division of rates, and that a replacement waits for, although the registration names none.
func TestDecodeVM(t *testing.T) {
	if vm, err := decodeVM("vm1", []byte(validVM)); err != nil || vm != (VM{ID: "vm1", Peer: "127.0.0.1:7", Zone: "z1"}) {
		t.Errorf("got %+v, %v", vm, err)
	}
	for name, value := range oddVMs {
		if vm, err := decodeVM("vm1", []byte(value)); err == nil {
			t.Errorf("%s: decoded to %+v", name, vm)
		}
	}
}

// Guards against panics on arbitrary registrations, and against VMs without an address.
func FuzzDecodeVM(f *testing.F) {
	f.Add([]byte(validVM))
	for _, value := range oddVMs {
		f.Add([]byte(value))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		vm, err := decodeVM("vm1", value)
		if err != nil {
			return
		}
		if _, err := netip.ParseAddrPort(vm.Peer); vm.ID != "vm1" || err != nil {
			t.Errorf("decoded to %+v", vm)
		}
	})
}
