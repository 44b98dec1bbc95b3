package admin

import (
	"fmt"
	"slices"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

// storedContract is a configuration entry of a contract with its decoded record and contract.
type storedContract struct {
	entry    config.Entry // revision 0 if there is no contract
	record   config.ContractRecord
	contract *contract.Contract // nil if there is no contract
}

// readContract decodes an entry. The zero entry means that there is no contract.
func readContract(entry config.Entry) (storedContract, error) {
	if entry.Revision == 0 && len(entry.Value) == 0 {
		return storedContract{entry: entry}, nil
	}
	record, err := config.Decode[config.ContractRecord](entry)
	if err != nil {
		return storedContract{}, err
	}
	parsed, err := contract.Parse(entry.Key, []byte(record.Text))
	if err != nil {
		return storedContract{}, fmt.Errorf("%s at revision %d: %w", entry.Key, entry.Revision, err)
	}
	return storedContract{entry: entry, record: record, contract: parsed}, nil
}

// currentContract returns the contract as held by this VM, or a zero contract if there is none.
func (server *Server) currentContract(organisation ids.OrganisationID) (storedContract, error) {
	entry, _ := server.Control.Entry(config.ContractKey(organisation))
	return readContract(entry)
}

// requireContract returns the contract as held by this VM, or a Problem if there is none.
func (server *Server) requireContract(organisation ids.OrganisationID) (storedContract, error) {
	found, err := server.currentContract(organisation)
	if err == nil && found.contract == nil {
		err = notFound(fmt.Sprintf("there is no contract for organisation %s", organisation),
			"see `dotterelctl contract list`, or apply a contract")
	}
	return found, err
}

// listContracts returns all contracts, including withdrawn ones.
func (server *Server) listContracts(call) (any, error) {
	list := List[ContractView]{Items: []ContractView{}}
	for _, key := range server.index.list(config.ContractPrefix) {
		organisation, _ := config.ParseContractKey(key)
		found, err := server.currentContract(organisation)
		if err != nil {
			return nil, err
		}
		if found.contract != nil {
			list.Items = append(list.Items, contractView(found))
		}
	}
	return list, nil
}

// showContract returns one contract with its text.
func (server *Server) showContract(call call) (any, error) {
	found, err := server.requireContract(ids.OrganisationID(call.PathValue("organisation")))
	if err != nil {
		return nil, err
	}
	view := contractView(found)
	view.Text, err = textWithoutKeys(found.contract)
	return view, err
}

// applyContract stores a contract. Keys of the stored contract are merged. New keys in the text are added, so that a
// contract can be copied from another fleet. Applying a withdrawn contract puts it in force again.
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
	found, err := server.currentContract(organisation)
	if err != nil {
		return nil, err
	}
	if done, ok := alreadyApplied(found, change.ChangeID); ok {
		return server.awaitInForce(call, done)
	}
	if found.contract != nil {
		if err := mergeKeys(wanted, found.contract); err != nil {
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

// withdrawContract stores a tombstone that includes the text of the contract.
func (server *Server) withdrawContract(call call) (any, error) {
	found, err := server.requireContract(ids.OrganisationID(call.PathValue("organisation")))
	if err != nil {
		return nil, err
	}
	changeID := call.URL.Query().Get("change_id")
	if done, ok := alreadyApplied(found, changeID); ok {
		return server.awaitInForce(call, done)
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

// alreadyApplied reports whether the stored version was written by the change itself, and returns its result.
func alreadyApplied(found storedContract, changeID string) (ChangeResult, bool) {
	if changeID == "" || found.contract == nil || found.record.ChangeID != changeID {
		return ChangeResult{}, false
	}
	return ChangeResult{Entry: found.entry.Key, Revision: found.entry.Revision, ChangeID: changeID}, true
}

// mergeKeys copies the stored keys to the wanted contract. A key that is withdrawn in either contract stays withdrawn.
func mergeKeys(wanted, stored *contract.Contract) error {
	merged := slices.Clone(stored.Keys)
	for _, key := range wanted.Keys {
		position := slices.IndexFunc(merged, func(old contract.Key) bool { return old.ID == key.ID })
		switch {
		case position < 0:
			merged = append(merged, key)
		case key.Verifier != merged[position].Verifier:
			return invalid(fmt.Sprintf("key %s exists with another verifier", key.ID),
				"leave the key out (stored keys are kept) or give it another id; nothing was changed")
		case merged[position].WithdrawnAt.IsZero():
			merged[position].WithdrawnAt = key.WithdrawnAt
		}
	}
	wanted.Keys = merged
	return nil
}

// contractProposal returns the proposal that stores the contract, or its tombstone if withdrawn is set.
func contractProposal(wanted *contract.Contract, withdrawn bool, expected ids.Revision, changeID string) (proposal, error) {
	text, err := contract.Format(wanted)
	if err != nil {
		return proposal{}, fmt.Errorf("write contract of %s: %w", wanted.Organisation, err)
	}
	value, err := config.Encode(config.ContractRecord{ChangeID: changeID, Withdrawn: withdrawn, Text: string(text)})
	if err != nil {
		return proposal{}, err
	}
	if len(value) > maxValueBytes {
		return proposal{}, invalid(fmt.Sprintf("the contract takes %d bytes, more than the %d that the key-value service stores", len(value), maxValueBytes),
			"make the contract smaller; nothing was changed")
	}
	return proposal{
		key: config.ContractKey(wanted.Organisation), expected: expected, value: value, changeID: changeID,
		wrote: func(entry config.Entry) bool {
			record, err := config.Decode[config.ContractRecord](entry)
			return err == nil && record.ChangeID == changeID
		},
		describe:    describeContract,
		showCommand: "dotterelctl contract show " + string(wanted.Organisation),
	}, nil
}

// describeContract returns the version in the entry without keys.
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

func contractView(found storedContract) ContractView {
	view := ContractView{
		Organisation: found.contract.Organisation, Revision: found.entry.Revision, ChangeID: found.record.ChangeID,
		Withdrawn: found.record.Withdrawn, Rate: found.contract.Rate, Burst: found.contract.Burst,
		Routes: []ids.RouteName{}, Keys: []KeyView{},
	}
	for _, route := range found.contract.Routes {
		view.Routes = append(view.Routes, route.Name)
	}
	for _, key := range found.contract.Keys {
		shown := KeyView{ID: key.ID, Given: key.IssuedAt}
		if !key.WithdrawnAt.IsZero() {
			withdrawn := key.WithdrawnAt
			shown.Withdrawn = &withdrawn
		}
		view.Keys = append(view.Keys, shown)
	}
	return view
}

// maxValueBytes is the limit of the platform's key-value service for the size of a value.
const maxValueBytes = 1 << 20
