package bench

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"syscall"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
	"dotterelgw/core/limit"
	"dotterelgw/core/member"
	"dotterelgw/io/group"
	"dotterelgw/io/peer"
	"dotterelgw/io/peer/peerpb"
	"dotterelgw/standin/database"
)

// Planned size; see docs/design.md, section 1.5.
const (
	plannedVMs    = 2400
	plannedZones  = 23
	plannedGroups = 7000
)

const contractText = `organisation = "org-%d"
rate = 200.0
burst = 400.0
[limits]
connections = 200
transactions = 4
queue = 100
queue_timeout_ms = 2000
[[routes]]
name = "main"
group = "g1"
access = "auto"
[[keys]]
id = "k1"
verifier = "SCRAM-SHA-256$4096:AAAAAAAAAAAAAAAAAAAAAA==$AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA=:AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA="
given = 2026-12-04T00:00:00Z
`

// cpuTime returns the user and system CPU time of the process.
func cpuTime(b *testing.B) time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

func contractEntry(b *testing.B, number int) config.Entry {
	organisation := ids.OrganisationID(fmt.Sprintf("org-%d", number))
	value, err := config.Encode(config.ContractRecord{ChangeID: fmt.Sprint("change-", number), Text: fmt.Sprintf(contractText, number)})
	if err != nil {
		b.Fatal(err)
	}
	return config.Entry{Key: config.ContractKey(organisation), Value: value, Revision: ids.Revision(number + 1)}
}

// BenchmarkContractMemory reports the memory per contract: the stored entry and its parsed form.
func BenchmarkContractMemory(b *testing.B) {
	const contracts = 2000
	before := heap()
	store := config.NewStore()
	parsed := make([]*contract.Contract, 0, contracts)
	size := 0
	for number := range contracts {
		entry := contractEntry(b, number)
		size += len(entry.Key) + len(entry.Value)
		store.ApplyComplete([]config.Entry{entry}, entry.Revision)
		one, err := contract.Parse(entry.Key, fmt.Appendf(nil, contractText, number))
		if err != nil {
			b.Fatal(err)
		}
		parsed = append(parsed, one)
	}
	b.ReportMetric(float64(heap()-before)/contracts, "B/contract")
	b.ReportMetric(float64(size)/contracts, "B/change")
	b.ReportMetric(0, "ns/op")
	runtime.KeepAlive(store)
	runtime.KeepAlive(parsed)
}

func groupRecord(number int) config.GroupRecord {
	record := config.GroupRecord{Group: ids.GroupID(fmt.Sprintf("g%d", number)), Connections: 30, Slots: 3}
	for index := range 3 {
		record.Servers = append(record.Servers, config.ServerRecord{
			ID: ids.BackendServerID(fmt.Sprintf("g%d-%d", number, index)), Address: "10.0.0.1:5432",
			AvailabilityZone: ids.AvailabilityZone(fmt.Sprint("zone-", index)),
		})
	}
	return record
}

// BenchmarkGroupMemory reports the memory per group that a VM has configured but does not use.
func BenchmarkGroupMemory(b *testing.B) {
	before := heap()
	groups := group.New()
	for number := range plannedGroups {
		groups.Apply(groupRecord(number))
	}
	b.ReportMetric(float64(heap()-before)/plannedGroups, "B/group")
	b.ReportMetric(0, "ns/op")
	groups.Close()
}

// BenchmarkStatusProbe reports the CPU time of one status request to a server, including that of the stand-in.
func BenchmarkStatusProbe(b *testing.B) {
	server, err := database.New(database.Settings{ID: "g1-a", ConnectTime: -1})
	if err != nil {
		b.Fatal(err)
	}
	defer server.Close()
	go func() { _ = server.Run(b.Context()) }()
	groups := group.New()
	defer groups.Close()
	groups.Apply(config.GroupRecord{Group: "g1", Servers: []config.ServerRecord{{ID: "g1-a", Address: server.Address()}}})
	barriers := 0
	if _, err := groups.Barrier(b.Context(), "g1"); err != nil {
		b.Fatal(err)
	}
	begin := cpuTime(b)
	for b.Loop() { // a barrier sends one status request to each server
		if _, err := groups.Barrier(b.Context(), "g1"); err != nil {
			b.Fatal(err)
		}
		barriers++
	}
	b.ReportMetric(float64((cpuTime(b)-begin).Nanoseconds())/float64(barriers)/1000, "cpu-us/probe")
}

// BenchmarkBorrow reports the CPU time of one request for grants of ten organisations, client and server together.
func BenchmarkBorrow(b *testing.B) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := peer.NewServer(peer.Handlers{Borrow: func(_ context.Context, request *peerpb.BorrowRequest) (*peerpb.BorrowReply, error) {
		reply := &peerpb.BorrowReply{ShareEpoch: request.ShareEpoch}
		for _, item := range request.Items {
			reply.Grants = append(reply.Grants, &peerpb.Grant{Organisation: item.Organisation, Amount: item.Amount, ValidityMs: 500})
		}
		return reply, nil
	}}, nil)
	go func() { _ = server.Serve(listener) }()
	defer server.Close()
	dialer := peer.NewDialer(nil)
	defer func() { _ = dialer.Close() }()
	client, err := dialer.Peer(listener.Addr().String())
	if err != nil {
		b.Fatal(err)
	}
	request := &peerpb.BorrowRequest{Vm: "vm-1", ShareEpoch: 1}
	for number := range 10 {
		request.Items = append(request.Items, &peerpb.BorrowItem{Organisation: fmt.Sprint("organisation-", number), Amount: 25})
	}
	begin, asked := cpuTime(b), 0
	for b.Loop() {
		if _, err := client.Borrow(b.Context(), request); err != nil {
			b.Fatal(err)
		}
		asked++
	}
	b.ReportMetric(float64((cpuTime(b)-begin).Nanoseconds())/float64(asked)/1000, "cpu-us/request")
}

func plannedMembers() []member.Member {
	members := make([]member.Member, plannedVMs)
	for number := range members {
		members[number] = member.Member{
			ID: ids.VMID(fmt.Sprintf("vm-%04d", number)), Zone: ids.AvailabilityZone(fmt.Sprint("zone-", number%plannedZones)),
		}
	}
	return members
}

// BenchmarkWatchers measures the selection of the watchers of one group among all VMs.
func BenchmarkWatchers(b *testing.B) {
	members := plannedMembers()
	for i := 0; b.Loop(); i++ {
		member.Top(fmt.Sprint("orderer/g", i%plannedGroups), 3, members)
	}
}

// BenchmarkShareRecord measures applying a share record with 1,000 organisations among all VMs.
func BenchmarkShareRecord(b *testing.B) {
	members := plannedMembers()
	vms := make([]ids.VMID, len(members))
	for index, member := range members {
		vms[index] = member.ID
	}
	rank := func(organisation ids.OrganisationID, n int, _ []ids.VMID) []ids.VMID {
		ranked := make([]ids.VMID, 0, n)
		for _, member := range member.Top("rate/"+string(organisation), n, members) {
			ranked = append(ranked, member.ID)
		}
		return ranked
	}
	holder := limit.NewHolder("vm-0000", rank, time.Second)
	for number := range 1000 {
		holder.SetBudget(0, ids.OrganisationID(fmt.Sprint("org-", number)), limit.Budget{Rate: 1000, Burst: 1000})
	}
	for epoch := 1; b.Loop(); epoch++ {
		holder.Apply(0, limit.ShareRecord{Epoch: limit.Epoch(epoch), VMs: vms})
	}
}
