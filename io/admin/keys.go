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
	// saltBytes and scramIterations have the values of PostgreSQL's defaults.
	saltBytes       = 16
	scramIterations = 4096
	// keyIDBytes is the number of bytes of a digest in a generated key identifier.
	keyIDBytes = 4
	// maxKeyAttempts bounds the attempts to change a contract that other changes keep modifying.
	maxKeyAttempts = 10
)

var keyIDPattern = regexp.MustCompile(`^[a-z0-9_-]{1,63}$`)

// issueKeyRequest is the body of a request for a key.
type issueKeyRequest struct {
	// KeyID is the identifier of the key. The VM generates one if it is empty.
	KeyID ids.KeyID `json:"key_id,omitempty"`
}

// issueKey adds a random key to a contract and returns it. The secret cannot be retrieved later.
func (server *Server) issueKey(call call) (any, error) {
	request, err := decode[issueKeyRequest](call)
	if err != nil {
		return nil, err
	}
	changeID := newChangeID(call.URL.Query().Get("change_id"))
	if request.KeyID == "" {
		// The identifier is derived from the change id, so that a repeated request cannot issue a second key.
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
	issued := contract.Key{ID: request.KeyID, Verifier: verifier, IssuedAt: server.now().UTC()}
	changeResult, err := server.editContract(call, organisation, changeID, true, func(edited *contract.Contract) error {
		if _, ok := edited.Key(issued.ID); ok {
			return invalid(fmt.Sprintf("organisation %s has had a key %s; a withdrawn key's id is not used again", organisation, issued.ID),
				"choose another id or none; nothing was changed")
		}
		edited.Keys = append(edited.Keys, issued)
		return nil
	})
	if err != nil {
		return nil, err
	}
	return KeyIssued{ChangeResult: changeResult, ID: issued.ID, User: string(organisation) + "." + string(issued.ID), Secret: secret}, nil
}

// withdrawKey marks a key as withdrawn. Withdrawing it again has no effect.
func (server *Server) withdrawKey(call call) (any, error) {
	organisation, id := ids.OrganisationID(call.PathValue("organisation")), ids.KeyID(call.PathValue("key"))
	now := server.now().UTC()
	changeID := newChangeID(call.URL.Query().Get("change_id"))
	return server.editContract(call, organisation, changeID, false, func(edited *contract.Contract) error {
		for i := range edited.Keys {
			key := &edited.Keys[i]
			if key.ID != id {
				continue
			}
			if !key.WithdrawnAt.IsZero() {
				return errUnchanged
			}
			key.WithdrawnAt = now
			return nil
		}
		return notFound(fmt.Sprintf("organisation %s has no key %s", organisation, id),
			"see `dotterelctl contract show "+string(organisation)+"` for its keys")
	})
}

// errUnchanged is returned by the change function of editContract if there is nothing to change.
var errUnchanged = errors.New("unchanged")

// editContract changes the newest version of a contract. After a conflict it repeats the change on the newer version,
// since issuing and withdrawing a key do not depend on other changes of the contract. If exact is set, a stored version
// counts as this change only if it is byte for byte the same: a request that was repeated on another VM has the same
// change id, but another key.
func (server *Server) editContract(call call, organisation ids.OrganisationID, changeID string, exact bool,
	change func(*contract.Contract) error,
) (ChangeResult, error) {
	found, err := server.requireContract(organisation)
	if err != nil {
		return ChangeResult{}, err
	}
	for attempt := 1; ; attempt++ {
		if done, ok := alreadyApplied(found, changeID); ok {
			if !exact {
				return server.awaitInForce(call, done)
			}
			return ChangeResult{}, &Problem{
				Code: CodeConflict, Message: "this change was stored before, and its answer cannot be repeated",
				Next:     "see `dotterelctl contract show " + string(organisation) + "`; withdraw a key whose secret was lost and give another",
				ChangeID: changeID,
			}
		}
		edited := *found.contract
		edited.Keys = append([]contract.Key(nil), found.contract.Keys...)
		err := change(&edited)
		if errors.Is(err, errUnchanged) {
			return server.awaitInForce(call, ChangeResult{Entry: found.entry.Key, Revision: found.entry.Revision, ChangeID: found.record.ChangeID})
		}
		if err != nil {
			return ChangeResult{}, err
		}
		proposal, err := contractProposal(&edited, found.record.Withdrawn, found.entry.Revision, changeID)
		if err != nil {
			return ChangeResult{}, err
		}
		if exact {
			proposal.wrote = func(entry config.Entry) bool { return bytes.Equal(entry.Value, proposal.value) }
		}
		changeResult, err := server.submit(call, proposal)
		var problem *Problem
		if err == nil || !errors.As(err, &problem) || problem.Code != CodeConflict || attempt >= maxKeyAttempts {
			return changeResult, err
		}
		ctx, cancel := context.WithTimeout(call.Context(), proposeTimeout)
		entry, err := server.readBack(ctx, config.ContractKey(organisation))
		cancel()
		if err != nil {
			return ChangeResult{}, problemFor(proposal, err)
		}
		if found, err = readContract(entry); err != nil || found.contract == nil {
			return ChangeResult{}, problemFor(proposal, errors.Join(errors.New("the contract cannot be read"), err))
		}
	}
}

// newKey returns a random key and its SCRAM verifier in the format of pg_authid.
func newKey() (secret, verifier string, err error) {
	secret = base64.RawURLEncoding.EncodeToString(randomBytes(keyBytes))
	// SASLprep would not change the key, since it is ASCII.
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
