package membership_test

import (
	"testing"

	"dotterelgw/core/ids"
	"dotterelgw/core/membership"
)

func server(id ids.BackendServerID, started int64, address string) membership.Member {
	return membership.Member{ID: id, StartedMS: started, Address: address}
}

// Guards against a promotion that counts a log as known although no server that answered has it.
func TestUnheard(t *testing.T) {
	record := membership.Record{Members: []membership.Member{server("a", 1, "h1"), server("b", 1, "h2"), server("c", 1, "h3")}}
	for name, test := range map[string]struct {
		answered []membership.Member
		want     []ids.BackendServerID
	}{
		"all answered":                         {record.Members, nil},
		"none answered":                        {nil, []ids.BackendServerID{"a", "b", "c"}},
		"one of three":                         {record.Members[:1], []ids.BackendServerID{"b", "c"}},
		"restarted with its log, another id":   {append([]membership.Member{server("d", 9, "h3")}, record.Members[:2]...), nil},
		"restarted empty under its id":         {append([]membership.Member{server("c", 9, "h3")}, record.Members[:2]...), []ids.BackendServerID{"c"}},
		"older server at the address":          {append([]membership.Member{server("d", 0, "h3")}, record.Members[:2]...), []ids.BackendServerID{"c"}},
		"new server elsewhere":                 {append([]membership.Member{server("d", 9, "h4")}, record.Members[:2]...), []ids.BackendServerID{"c"}},
		"address taken, new id not registered": {record.Members[:2], []ids.BackendServerID{"c"}},
	} {
		t.Run(name, func(t *testing.T) {
			var got []ids.BackendServerID
			for _, member := range record.Unheard(test.answered) {
				got = append(got, member.ID)
			}
			if len(got) != len(test.want) {
				t.Fatalf("unheard %v, want %v", got, test.want)
			}
			for index, id := range got {
				if id != test.want[index] {
					t.Errorf("unheard %v, want %v", got, test.want)
				}
			}
		})
	}
}

// Guards against a promotion that needs only the members that are known of an incomplete record.
func TestUnheardOfIncompleteRecord(t *testing.T) {
	members := []membership.Member{server("a", 1, "h1"), server("b", 1, "h2")}
	incomplete := membership.Record{Incomplete: true}
	for name, record := range map[string]membership.Record{
		"empty": incomplete, "with members": incomplete.Union(membership.Record{Members: members}),
	} {
		if unheard := record.Unheard(members); len(unheard) <= membership.MaxUnheard {
			t.Errorf("%s: %d unheard members", name, len(unheard))
		}
	}
}

// Guards against a record that grows without bound or loses the newest members.
func TestUnion(t *testing.T) {
	var record membership.Record
	for started := range int64(100) {
		record = record.Union(membership.Record{Members: []membership.Member{server("a", started, "h1"), server("a", started, "h1")}})
	}
	if len(record.Members) != 32 || !record.Contains(server("a", 99, "h1")) {
		t.Errorf("%d members, the newest included: %t", len(record.Members), record.Contains(server("a", 99, "h1")))
	}
}
