package admin

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"fmt"
	"regexp"

	"github.com/xdg-go/scram"

	"dotterelgw/core/config"
	"dotterelgw/core/contract"
	"dotterelgw/core/ids"
)

const (
	// keyBytes is the number of random bytes in a key, 256 bits.
	keyBytes = 32
	// saltBytes and scramIterations are PostgreSQL's defaults.
	saltBytes       = 16
	scramIterations = 4096
	// keyIDBytes is the number of bytes, from a digest, in an identifier that the operator did not choose.
	keyIDBytes = 4
	// keyAttempts bounds the repetitions against other changes of the same contract.
	keyAttempts = 10
)

var keyIDPattern = regexp.MustCompile(`^[a-z0-9_-]{1,63}$`)

// giveKeyRequest is the body of a request for a key.
type giveKeyRequest struct {
	// KeyID names the key; empty lets the VM choose.
	KeyID ids.KeyID `json:"key_id,omitempty"`
}

// giveKey adds a random key to a contract and answers with it, once.
func (server *Server) giveKey(call call) (any, error) {
	request, err := decode[giveKeyRequest](call)
	if err != nil {
		return nil, err
	}
	changeID := newChangeID(call.URL.Query().Get("change_id"))
	if request.KeyID == "" {
		// The identifier follows from the change id, so that a repeated request cannot give a second key.
		digest := sha256.Sum256([]byte(changeID))
		request.KeyID = ids.KeyID("k" + hex.EncodeToString(digest[:keyIDBytes]))
	}
	if !keyIDPattern.MatchString(string(request.KeyID)) {
		return nil, invalid(fmt.Sprintf("key id %q is not 1 to 63 characters of a-z, 0-9, _ and -", request.KeyID),
			"choose another id or none; nothing was changed")
	}
	organisation := ids.OrganisationID(call.PathValue("organisation"))
	secret, verifier, err := newKey()
	if err != nil {
		return nil, err
	}
	given := contract.Key{ID: request.KeyID, Verifier: verifier, Given: server.now().UTC()}
	changed, err := server.edit(call, organisation, changeID, true, func(edited *contract.Contract) error {
		if _, ok := edited.Key(given.ID); ok {
			return invalid(fmt.Sprintf("organisation %s has had a key %s; a withdrawn key's id is not used again", organisation, given.ID),
				"choose another id or none; nothing was changed")
		}
		edited.Keys = append(edited.Keys, given)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return KeyGiven{Changed: changed, ID: given.ID, User: string(organisation) + "." + string(given.ID), Secret: secret}, nil
}

// withdrawKey marks a key as withdrawn; withdrawing it again has no effect.
func (server *Server) withdrawKey(call call) (any, error) {
	organisation, id := ids.OrganisationID(call.PathValue("organisation")), ids.KeyID(call.PathValue("key"))
	now := server.now().UTC()
	changeID := newChangeID(call.URL.Query().Get("change_id"))
	return server.edit(call, organisation, changeID, false, func(edited *contract.Contract) error {
		for i := range edited.Keys {
			key := &edited.Keys[i]
			if key.ID != id {
				continue
			}
			if !key.Withdrawn.IsZero() {
				return errUnchanged
			}
			key.Withdrawn = now
			return nil
		}
		return notFound(fmt.Sprintf("organisation %s has no key %s", organisation, id),
			"see `dotterelctl contract show "+string(organisation)+"` for its keys")
	})
}

// errUnchanged states that an edit has nothing to change.
var errUnchanged = errors.New("unchanged")

// edit changes the newest version of a contract, and repeats the change on a newer version after a conflict: giving and
// withdrawing a key does not depend on what else changes in the contract. With exact, a stored version counts as this
// change only if it is the same in every byte: a request that was repeated on another VM has the same change id, but made
// another key.
func (server *Server) edit(call call, organisation ids.OrganisationID, changeID string, exact bool,
	change func(*contract.Contract) error,
) (Changed, error) {
	found, err := server.existing(organisation)
	if err != nil {
		return Changed{}, err
	}
	for attempt := 1; ; attempt++ {
		if done, ok := repeated(found, changeID); ok {
			if !exact {
				return server.await(call, done)
			}
			return Changed{}, &Problem{
				Code: CodeConflict, Message: "this change was stored before, and its answer cannot be repeated",
				Next:     "see `dotterelctl contract show " + string(organisation) + "`; withdraw a key whose secret was lost and give another",
				ChangeID: changeID,
			}
		}
		edited := *found.contract
		edited.Keys = append([]contract.Key(nil), found.contract.Keys...)
		err := change(&edited)
		if errors.Is(err, errUnchanged) {
			return server.await(call, Changed{Entry: found.entry.Key, Revision: found.entry.Revision, ChangeID: found.record.ChangeID})
		}
		if err != nil {
			return Changed{}, err
		}
		proposal, err := contractProposal(&edited, found.record.Withdrawn, found.entry.Revision, changeID)
		if err != nil {
			return Changed{}, err
		}
		if exact {
			proposal.mine = func(entry config.Entry) bool { return bytes.Equal(entry.Value, proposal.value) }
		}
		changed, err := server.submit(call, proposal)
		var problem *Problem
		if err == nil || !errors.As(err, &problem) || problem.Code != CodeConflict || attempt >= keyAttempts {
			return changed, err
		}
		ctx, cancel := context.WithTimeout(call.Context(), proposeTimeout)
		entry, err := server.readBack(ctx, config.ContractKey(organisation))
		cancel()
		if err != nil {
			return Changed{}, problemOf(proposal, err)
		}
		if found, err = readContract(entry); err != nil || found.contract == nil {
			return Changed{}, problemOf(proposal, errors.Join(errors.New("the contract cannot be read"), err))
		}
	}
}

// newKey returns a random key and its verifier in the format of pg_authid.
func newKey() (secret, verifier string, err error) {
	secret = base64.RawURLEncoding.EncodeToString(randomBytes(keyBytes))
	// The key has ASCII letters and digits only, so SASLprep would not change it.
	client, err := scram.SHA256.NewClientUnprepped("", secret, "")
	if err != nil {
		return "", "", fmt.Errorf("make verifier: %w", err)
	}
	salt := randomBytes(saltBytes)
	credentials, err := client.GetStoredCredentialsWithError(scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return "", "", fmt.Errorf("make verifier: %w", err)
	}
	encode := base64.StdEncoding.EncodeToString
	return secret, fmt.Sprintf("SCRAM-SHA-256$%d:%s$%s:%s", scramIterations,
		encode(salt), encode(credentials.StoredKey), encode(credentials.ServerKey)), nil
}

func randomBytes(count int) []byte {
	random := make([]byte, count)
	_, _ = rand.Read(random) // never fails
	return random
}
