package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/core/member"
	"dotterelgw/core/relay"
)

func entry(key, value string, revision ids.Revision) config.Entry {
	return config.Entry{Key: key, Value: []byte(value), Revision: revision}
}

func deleted(key string, revision ids.Revision) config.Entry {
	return config.Entry{Key: key, Revision: revision}
}

// sameBeforeDash compares values up to the first dash. The rest stands for a heartbeat counter.
func sameBeforeDash(_ string, one, other []byte) bool {
	return string(one[:slices.Index(one, '-')]) == string(other[:slices.Index(other, '-')])
}

// describe formats changes as key=value@revision.
func describe(changes []config.Entry) []string {
	var lines []string
	for _, change := range changes {
		lines = append(lines, fmt.Sprintf("%s=%s@%v", change.Key, change.Value, change.Revision))
	}
	return lines
}

// Guards against changes that never reach a VM which gets them from a relay: deletions, keys that are created again, listings
// after the service lost its history, replies that arrive out of order, and numbers that a restored service gives out again.
func TestSince(t *testing.T) {
	for name, test := range map[string]struct {
		apply    func(changeLog *relay.ChangeLog)
		after    ids.Revision
		keys     int
		want     []string
		complete bool
	}{
		"no listing": {apply: func(*relay.ChangeLog) {}, after: 5},
		"before the first listing": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.Apply([]config.Entry{entry("a", "1-1", 3)}, 3, 0)
		}, after: 3},
		"older than the first listing": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
		}, after: 6},
		"older than the first listing, one key created": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3), entry("b", "1-1", 6)}, 7, 0)
		}, after: 4, keys: 1, want: []string{"b=1-1@6"}, complete: true},
		"older than the first listing, one key deleted": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3), entry("b", "1-1", 6)}, 7, 0)
		}, after: 4, keys: 2},
		"changes after the listing": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3), entry("b", "1-1", 4)}, 7, 0)
			changeLog.Apply([]config.Entry{entry("b", "2-1", 9), deleted("a", 8)}, 9, 0)
		}, after: 7, want: []string{"a=@8", "b=2-1@9"}, complete: true},
		"heartbeat only": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
			changeLog.Apply([]config.Entry{entry("a", "1-2", 8)}, 8, 0)
		}, after: 7, complete: true},
		"heartbeat of another writer, under a lease": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
			leased := entry("a", "1-2", 8)
			leased.Leased = true
			changeLog.Apply([]config.Entry{leased}, 8, 0)
		}, after: 7, want: []string{"a=1-2@8"}, complete: true},
		"key expired and created again": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
			changeLog.Apply([]config.Entry{deleted("a", 8)}, 8, 0)
			changeLog.Apply([]config.Entry{entry("a", "1-1", 9)}, 9, 0)
		}, after: 7, want: []string{"a=1-1@9"}, complete: true},
		"key missing in a second listing": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3), entry("b", "1-1", 4)}, 7, 0)
			changeLog.List([]config.Entry{entry("b", "1-1", 4)}, 12, 0)
		}, after: 7, want: []string{"a=@12"}, complete: true},
		"listing out of order": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
			changeLog.Apply([]config.Entry{entry("b", "1-1", 9)}, 9, 0)
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 8, 0)
		}, after: 7, want: []string{"b=1-1@9"}, complete: true},
		"revision of an earlier era, whose number is not reached yet": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
			changeLog.List([]config.Entry{entry("a", "1-2", ids.NewRevision(1, 3))}, ids.NewRevision(1, 5), 0)
		}, after: 7, keys: 1},
		"revision of an earlier era, as many keys": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
			changeLog.List([]config.Entry{entry("b", "1-1", ids.NewRevision(1, 3))}, ids.NewRevision(1, 9), 0)
		}, after: 7, keys: 0},
		"number given out again": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3)}, 7, 0)
			changeLog.List([]config.Entry{entry("a", "1-1", ids.NewRevision(1, 3))}, ids.NewRevision(1, 5), 0)
			changeLog.Apply([]config.Entry{entry("a", "2-1", ids.NewRevision(1, 6))}, ids.NewRevision(1, 6), 0)
		}, after: ids.NewRevision(1, 5), want: []string{"a=2-1@1.6"}, complete: true},
		"key deleted between two eras": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", 3), entry("b", "1-1", 4)}, 7, 0)
			changeLog.List([]config.Entry{entry("b", "1-1", ids.NewRevision(1, 4))}, ids.NewRevision(1, 5), 0)
		}, after: ids.NewRevision(1, 0), keys: 0, want: []string{"b=1-1@1.4"}, complete: true},
		"listing of an earlier era": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "1-1", ids.NewRevision(1, 3))}, ids.NewRevision(1, 5), 0)
			changeLog.List(nil, 9, 0)
		}, after: ids.NewRevision(1, 4), keys: 1, complete: true},
		"change older than the entry": {apply: func(changeLog *relay.ChangeLog) {
			changeLog.List([]config.Entry{entry("a", "2-1", 6)}, 7, 0)
			changeLog.Apply([]config.Entry{deleted("a", 5)}, 8, 0)
		}, after: 7, complete: true},
	} {
		t.Run(name, func(t *testing.T) {
			changeLog := relay.NewChangeLog(sameBeforeDash)
			test.apply(changeLog)
			changes, complete := changeLog.Since(test.after, test.keys)
			if got := describe(changes); complete != test.complete || !slices.Equal(got, test.want) {
				t.Errorf("changes %v, complete %t, want %v, %t", got, complete, test.want, test.complete)
			}
		})
	}
}

// Guards against unbounded memory for deletions, and against replies that contain only some of them.
func TestManyDeletions(t *testing.T) {
	changeLog := relay.NewChangeLog(nil)
	changeLog.List([]config.Entry{entry("kept", "1", 1)}, 1, 0)
	const deletions = 5000
	for index := range deletions {
		key, revision := fmt.Sprint("key", index), ids.Revision(2*index+2)
		changeLog.Apply([]config.Entry{entry(key, "1", revision), deleted(key, revision+1)}, revision+1, 0)
	}
	if _, complete := changeLog.Since(1, 0); complete {
		t.Error("changes are reported as complete although deletions were dropped")
	}
	last := ids.Revision(2*deletions + 1)
	if changes, complete := changeLog.Since(last-2, 0); !complete || len(changes) != 1 {
		t.Errorf("%d changes, complete %t, want the last deletion", len(changes), complete)
	}
}

// Guards against an age of the records that is computed from an older reply than the newest.
func TestConfirmedNeverGoesBack(t *testing.T) {
	changeLog := relay.NewChangeLog(nil)
	changeLog.List(nil, 5, 3*time.Second)
	changeLog.Apply(nil, 5, 2*time.Second)
	changeLog.Apply(nil, 4, 9*time.Second)
	if got := changeLog.ConfirmedAt(); got != 3*time.Second {
		t.Errorf("confirmed at %v, want 3s", got)
	}
}

// Guards against a datagram that claims to be complete up to a revision but contains only some changes of that revision.
func TestCut(t *testing.T) {
	changes := []config.Entry{entry("a", "12", 3), entry("b", "12", 5), entry("c", "12", 5), entry("d", "12", 6)}
	for name, test := range map[string]struct {
		bytes, want int
		upTo        ids.Revision
		all         bool
	}{
		"all":                      {bytes: 12, want: 4, upTo: 9, all: true},
		"all but the last":         {bytes: 11, want: 3, upTo: 5},
		"revision not split":       {bytes: 8, want: 1, upTo: 4},
		"first revision too large": {bytes: 2, want: 0, upTo: 2},
		"only the first fits":      {bytes: 3, want: 1, upTo: 4},
	} {
		t.Run(name, func(t *testing.T) {
			part, upTo, all := relay.Truncate(changes, 9, test.bytes)
			if len(part) != test.want || upTo != test.upTo || all != test.all {
				t.Errorf("%d changes up to %d, all %t, want %d, %d, %t", len(part), upTo, all, test.want, test.upTo, test.all)
			}
		})
	}
}

// Guards, in fleets of any size, against every VM watching the store, against VMs with only one source, against VMs that serve
// far more others than the rest, and against records that are passed on by more than two VMs.
func TestChoose(t *testing.T) {
	for name, test := range map[string]struct{ vms, zones, relays, mostServed int }{
		"alone": {1, 1, 1, 0}, "small": {8, 4, 2, 8}, "grown": {90, 4, 2, 24}, "large": {295, 6, 3, 73}, "planned": {2400, 23, 14, 110},
	} {
		t.Run(name, func(t *testing.T) {
			var vms []member.Member
			for index := range test.vms {
				vms = append(vms, member.Member{ID: ids.VMID(fmt.Sprint("vm", index)), Zone: ids.AvailabilityZone(fmt.Sprint("z", index%test.zones))})
			}
			roles := make(map[ids.VMID]relay.Role)
			served := make(map[ids.VMID]int)
			relays := 0
			for _, vm := range vms {
				role := relay.Choose(vm, vms)
				roles[vm.ID] = role
				if slices.Contains(role.Sources, vm.ID) {
					t.Errorf("%s queries itself", vm.ID)
				}
				if role.Relay {
					relays++
					continue
				}
				if len(role.Sources) < 2 {
					t.Errorf("%s queries %v, want 2 VMs at least", vm.ID, role.Sources)
				}
				for _, one := range role.Sources {
					served[one]++
				}
			}
			if relays != test.relays {
				t.Errorf("%d relays, want %d", relays, test.relays)
			}
			for vm, count := range served {
				if count > test.mostServed {
					t.Errorf("%s serves %d VMs, want %d at most", vm, count, test.mostServed)
				}
			}
			for vm, role := range roles {
				for _, source := range role.Sources {
					if known := roles[source]; role.FromRelays != known.Relay && !(known.Relay && known.Collector) {
						t.Errorf("%s queries %s as a relay: %t", vm, source, role.FromRelays)
					}
				}
			}
		})
	}
}
