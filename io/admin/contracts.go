package admin

import (
	"fmt"
	"slices"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

// stored is a contract as it is stored.
type stored struct {
	entry    config.Entry // revision 0 if there is none
	record   config.ContractRecord
	contract *contract.Contract // nil if there is none
}

// readContract decodes an entry; the zero entry stands for no contract.
func readContract(entry config.Entry) (stored, error) {
	if entry.Revision == 0 && len(entry.Value) == 0 {
		return stored{entry: entry}, nil
	}
	record, err := config.Decode[config.ContractRecord](entry)
	if err != nil {
		return stored{}, err
	}
	parsed, err := contract.Parse(entry.Key, []byte(record.Text))
	if err != nil {
		return stored{}, fmt.Errorf("%s at revision %d: %w", entry.Key, entry.Revision, err)
	}
	return stored{entry: entry, record: record, contract: parsed}, nil
}

// current returns the contract that the VM holds.
func (server *Server) current(organisation ids.OrganisationID) (stored, error) {
	entry, _ := server.Control.Entry(config.ContractKey(organisation))
	return readContract(entry)
}

// existing is current for commands that need a contract.
func (server *Server) existing(organisation ids.OrganisationID) (stored, error) {
	found, err := server.current(organisation)
	if err == nil && found.contract == nil {
		err = notFound(fmt.Sprintf("there is no contract for organisation %s", organisation),
			"see `dotterelctl contract list`, or apply a contract")
	}
	return found, err
}

// listContracts answers with all contracts, withdrawn ones included.
func (server *Server) listContracts(call) (any, error) {
	list := List[ContractView]{Items: []ContractView{}}
	for _, key := range server.index.list(config.ContractPrefix) {
		organisation, _ := config.ContractOf(key)
		found, err := server.current(organisation)
		if err != nil {
			return nil, err
		}
		if found.contract != nil {
			list.Items = append(list.Items, viewOf(found))
		}
	}
	return list, nil
}

// showContract answers with one contract and its text.
func (server *Server) showContract(call call) (any, error) {
	found, err := server.existing(ids.OrganisationID(call.PathValue("organisation")))
	if err != nil {
		return nil, err
	}
	view := viewOf(found)
	view.Text, err = textWithoutKeys(found.contract)
	return view, err
}

// applyContract stores a contract. Keys of the stored contract are kept; a key in the text is added if it is new, so
// that contracts can be brought over from elsewhere. Applying a withdrawn contract puts it in force again.
func (server *Server) applyContract(call call) (any, error) {
	change, err := decode[Change](call)
	if err != nil {
		return nil, err
	}
	organisation := ids.OrganisationID(call.PathValue("organisation"))
	wanted, err := contract.Parse(change.File, []byte(change.Text))
	if err != nil {
		return nil, invalid(err.Error(), "correct the contract and apply it again; nothing was changed")
	}
	if wanted.Organisation != organisation {
		return nil, invalid(fmt.Sprintf("the text is the contract of organisation %s, not of %s", wanted.Organisation, organisation),
			"apply it under its own organisation; nothing was changed")
	}
	found, err := server.current(organisation)
	if err != nil {
		return nil, err
	}
	if done, ok := repeated(found, change.ChangeID); ok {
		return server.await(call, done)
	}
	if found.contract != nil {
		if err := keepKeys(wanted, found.contract); err != nil {
			return nil, err
		}
	}
	expected := found.entry.Revision
	if change.Expected != nil {
		expected = *change.Expected
	}
	proposal, err := contractProposal(wanted, false, expected, newChangeID(change.ChangeID))
	if err != nil {
		return nil, err
	}
	return server.submit(call, proposal)
}

// withdrawContract stores a tombstone, which keeps the text.
func (server *Server) withdrawContract(call call) (any, error) {
	found, err := server.existing(ids.OrganisationID(call.PathValue("organisation")))
	if err != nil {
		return nil, err
	}
	changeID := call.URL.Query().Get("change_id")
	if done, ok := repeated(found, changeID); ok {
		return server.await(call, done)
	}
	expected, err := queryRevision(call)
	if err != nil {
		return nil, err
	}
	if expected == nil {
		expected = &found.entry.Revision
	}
	proposal, err := contractProposal(found.contract, true, *expected, newChangeID(changeID))
	if err != nil {
		return nil, err
	}
	return server.submit(call, proposal)
}

// repeated states whether the stored version was written by the change itself.
func repeated(found stored, changeID string) (Changed, bool) {
	if changeID == "" || found.contract == nil || found.record.ChangeID != changeID {
		return Changed{}, false
	}
	return Changed{Entry: found.entry.Key, Revision: found.entry.Revision, ChangeID: changeID}, true
}

// keepKeys carries the stored keys over to the wanted contract. A key that either of them has withdrawn stays withdrawn.
func keepKeys(wanted, stored *contract.Contract) error {
	kept := slices.Clone(stored.Keys)
	for _, key := range wanted.Keys {
		place := slices.IndexFunc(kept, func(old contract.Key) bool { return old.ID == key.ID })
		switch {
		case place < 0:
			kept = append(kept, key)
		case key.Verifier != kept[place].Verifier:
			return invalid(fmt.Sprintf("key %s exists with another verifier", key.ID),
				"leave the key out (stored keys are kept) or give it another id; nothing was changed")
		case kept[place].Withdrawn.IsZero():
			kept[place].Withdrawn = key.Withdrawn
		}
	}
	wanted.Keys = kept
	return nil
}

// contractProposal returns the change that stores the contract.
func contractProposal(wanted *contract.Contract, withdrawn bool, expected ids.Revision, changeID string) (proposal, error) {
	text, err := contract.Format(wanted)
	if err != nil {
		return proposal{}, fmt.Errorf("write contract of %s: %w", wanted.Organisation, err)
	}
	value, err := config.Encode(config.ContractRecord{ChangeID: changeID, Withdrawn: withdrawn, Text: string(text)})
	if err != nil {
		return proposal{}, err
	}
	if len(value) > valueLimit {
		return proposal{}, invalid(fmt.Sprintf("the contract takes %d bytes, more than the %d that the key-value service stores", len(value), valueLimit),
			"make the contract smaller; nothing was changed")
	}
	return proposal{
		key: config.ContractKey(wanted.Organisation), expected: expected, value: value, changeID: changeID,
		mine: func(entry config.Entry) bool {
			record, err := config.Decode[config.ContractRecord](entry)
			return err == nil && record.ChangeID == changeID
		},
		describe: describeContract,
		show:     "dotterelctl contract show " + string(wanted.Organisation),
	}, nil
}

// describeContract returns a version without keys.
func describeContract(entry config.Entry) Version {
	version := Version{Revision: entry.Revision}
	found, err := readContract(config.Entry{Key: entry.Key, Value: entry.Value, Revision: entry.Revision})
	if err != nil || found.contract == nil {
		return version
	}
	version.ChangeID, version.Withdrawn = found.record.ChangeID, found.record.Withdrawn
	version.Text, _ = textWithoutKeys(found.contract)
	return version
}

func textWithoutKeys(full *contract.Contract) (string, error) {
	shown := *full
	shown.Keys = nil
	text, err := contract.Format(&shown)
	if err != nil {
		return "", fmt.Errorf("write contract of %s: %w", full.Organisation, err)
	}
	return string(text), nil
}

func viewOf(found stored) ContractView {
	view := ContractView{
		Organisation: found.contract.Organisation, Revision: found.entry.Revision, ChangeID: found.record.ChangeID,
		Withdrawn: found.record.Withdrawn, Rate: found.contract.Rate, Burst: found.contract.Burst,
		Routes: []ids.RouteName{}, Keys: []KeyView{},
	}
	for _, route := range found.contract.Routes {
		view.Routes = append(view.Routes, route.Name)
	}
	for _, key := range found.contract.Keys {
		shown := KeyView{ID: key.ID, Given: key.Given}
		if !key.Withdrawn.IsZero() {
			withdrawn := key.Withdrawn
			shown.Withdrawn = &withdrawn
		}
		view.Keys = append(view.Keys, shown)
	}
	return view
}

// valueLimit is the largest value in bytes that the platform's key-value service stores.
const valueLimit = 1 << 20
