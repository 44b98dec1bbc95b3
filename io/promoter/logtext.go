package promoter

import (
	"fmt"
	"slices"
	"strings"

	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
	"dotterelgw/io/monitor"
)

// maxLoggedVMs bounds the VMs that a line of the log names, so that its length does not grow with the fleet.
const maxLoggedVMs = 16

// unknownMembers stands in the log for members that are not known.
const unknownMembers = "unknown"

// membersText returns the identifiers and start times of the members for the log. The start time tells a server that restarted under its
// identifier from its earlier process.
func membersText(members []membership.Member) string {
	names := make([]string, 0, len(members))
	for _, member := range members {
		if member.ID == "" {
			names = append(names, unknownMembers)
			continue
		}
		names = append(names, fmt.Sprintf("%s@%d", member.ID, member.StartedMS))
	}
	return strings.Join(slices.Compact(names), ",")
}

// registeredText returns the identifiers and start times of all registered servers for the log.
func registeredText(servers []*monitor.Server) string {
	members := make([]membership.Member, 0, len(servers))
	for _, server := range servers {
		members = append(members, identityOf(server))
	}
	return membersText(members)
}

// vmsText returns the names of the VMs for the log, at most maxLoggedVMs of them.
func vmsText(vms []ids.VMID) string {
	names := make([]string, 0, maxLoggedVMs)
	for _, vm := range vms[:min(len(vms), maxLoggedVMs)] {
		names = append(names, string(vm))
	}
	return strings.Join(names, ",")
}
