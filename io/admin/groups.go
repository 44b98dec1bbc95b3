package admin

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"regexp"
	"strings"

	"github.com/BurntSushi/toml"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
)

// groupFile is a group in TOML, or in JSON in the format of the stored record.
type groupFile struct {
	Group       ids.GroupID  `toml:"group" json:"group"`
	Connections int          `toml:"connections" json:"connections"`
	Slots       int          `toml:"slots" json:"slots"`
	Servers     []serverFile `toml:"servers" json:"servers"`
}

type serverFile struct {
	ID               ids.BackendServerID  `toml:"id" json:"id"`
	Address          string               `toml:"address" json:"address"`
	AvailabilityZone ids.AvailabilityZone `toml:"availability_zone" json:"availability_zone"`
}

var namePattern = regexp.MustCompile(`^[A-Za-z0-9_.-]{1,63}$`)

// listGroups returns all groups.
func (server *Server) listGroups(call) (any, error) {
	groups, err := server.groups()
	return List[GroupView]{Items: groups}, err
}

func (server *Server) groups() ([]GroupView, error) {
	groups := []GroupView{}
	for _, key := range server.index.list(config.GroupPrefix) {
		entry, ok := server.Control.Entry(key)
		if !ok {
			continue
		}
		record, err := config.Decode[config.GroupRecord](entry)
		if err != nil {
			return nil, err
		}
		group := GroupView{GroupRecord: record, Revision: entry.Revision}
		if view := server.Groups.View(record.Group); view != nil {
			group.Term = view.Term
			if view.Primary >= 0 && view.Primary < len(view.Servers) {
				group.Primary = view.Servers[view.Primary].ID
			}
			for _, known := range view.Servers {
				if known.Reachable {
					group.Reachable++
				}
			}
		}
		groups = append(groups, group)
	}
	return groups, nil
}

// applyGroup stores a group's record. The record has no change id, so a stored record with the same content counts as
// the same change.
func (server *Server) applyGroup(call call) (any, error) {
	change, err := decode[Change](call)
	if err != nil {
		return nil, err
	}
	record, err := parseGroup(change)
	if err != nil {
		return nil, err
	}
	if name := ids.GroupID(call.PathValue("group")); record.Group != name {
		return nil, invalid(fmt.Sprintf("the text describes group %s, not %s", record.Group, name),
			"apply it under its own name; nothing was changed")
	}
	value, err := config.Encode(record)
	if err != nil {
		return nil, err
	}
	key := config.GroupKey(record.Group)
	entry, _ := server.Control.Entry(key)
	changeID := newChangeID(change.ChangeID)
	if equalJSON(entry.Value, value) {
		return server.awaitInForce(call, ChangeResult{Entry: key, Revision: entry.Revision, ChangeID: changeID})
	}
	expected := entry.Revision
	if change.Expected != nil {
		expected = *change.Expected
	}
	return server.submit(call, proposal{
		key: key, expected: expected, value: value, changeID: changeID,
		wrote: func(entry config.Entry) bool { return equalJSON(entry.Value, value) },
		describe: func(entry config.Entry) Version {
			return Version{Revision: entry.Revision, Text: string(entry.Value)}
		},
		showCommand: "dotterelctl status",
	})
}

// decodeGroup decodes JSON if the text begins with a brace, otherwise TOML. It rejects unknown settings.
func decodeGroup(text string) (groupFile, error) {
	var file groupFile
	if strings.HasPrefix(strings.TrimSpace(text), "{") {
		decoder := json.NewDecoder(strings.NewReader(text))
		decoder.DisallowUnknownFields()
		return file, decoder.Decode(&file)
	}
	meta, err := toml.Decode(text, &file)
	if unknown := meta.Undecoded(); err == nil && len(unknown) > 0 {
		err = fmt.Errorf("unknown setting %s", unknown[0])
	}
	return file, err
}

// parseGroup decodes and validates a group.
func parseGroup(change Change) (config.GroupRecord, error) {
	invalidGroup := func(format string, arguments ...any) (config.GroupRecord, error) {
		prefix := ""
		if change.File != "" {
			prefix = change.File + ": "
		}
		return config.GroupRecord{}, invalid(prefix+fmt.Sprintf(format, arguments...), "correct the group and apply it again; nothing was changed")
	}
	file, err := decodeGroup(change.Text)
	if err != nil {
		return invalidGroup("%v", err)
	}
	switch {
	case !namePattern.MatchString(string(file.Group)):
		return invalidGroup("group %q is not 1 to 63 characters of A-Z, a-z, 0-9, _, . and -", file.Group)
	case file.Connections <= 0:
		return invalidGroup("connections must be above 0: the connections that each server accepts")
	case file.Slots <= 0:
		return invalidGroup("slots must be above 0: the statements that each server runs at a time")
	case len(file.Servers) == 0:
		return invalidGroup("servers must name at least one server")
	}
	record := config.GroupRecord{Group: file.Group, Connections: file.Connections, Slots: file.Slots}
	seen := map[string]bool{}
	for _, server := range file.Servers {
		address, err := netip.ParseAddrPort(server.Address)
		switch {
		case !namePattern.MatchString(string(server.ID)):
			return invalidGroup("server %q is not 1 to 63 characters of A-Z, a-z, 0-9, _, . and -", server.ID)
		case err != nil || address.Port() == 0:
			return invalidGroup("server %s: address %q is not a numeric IP address with a port", server.ID, server.Address)
		case server.AvailabilityZone == "":
			return invalidGroup("server %s: availability_zone is missing", server.ID)
		case seen[string(server.ID)] || seen[server.Address]:
			return invalidGroup("server %s: its id or address appears twice", server.ID)
		}
		seen[string(server.ID)], seen[server.Address] = true, true
		record.Servers = append(record.Servers, config.ServerRecord{
			ID: server.ID, Address: server.Address, AvailabilityZone: server.AvailabilityZone,
		})
	}
	return record, nil
}

// equalJSON reports whether two JSON values are equal apart from white space. An empty a equals nothing.
func equalJSON(a, b []byte) bool {
	var left, right bytes.Buffer
	return len(a) > 0 && json.Compact(&left, a) == nil && json.Compact(&right, b) == nil && bytes.Equal(left.Bytes(), right.Bytes())
}
