package admin

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	"time"

	"dotterelgw/core/config"
	"dotterelgw/core/ids"
	"dotterelgw/io/control"
)

const (
	// proposeTimeout bounds a change with all its attempts. One attempt of io/control takes up to 5 s.
	proposeTimeout = 6 * time.Second
	// readTimeout bounds one read from the key-value service.
	readTimeout = time.Second
	// defaultWaitTimeout bounds the wait until a change is in force, which takes up to 18 s at the planned size.
	defaultWaitTimeout = 20 * time.Second
	// defaultPollInterval is the interval of repeated requests to the key-value service or to other VMs.
	defaultPollInterval = 100 * time.Millisecond
	// maxHistorySteps bounds the number of versions that searchHistory reads.
	maxHistorySteps = 20
)

// proposal is a change of one configuration entry.
type proposal struct {
	key      string
	expected ids.Revision
	value    []byte
	changeID string
	// wrote reports whether the stored version was written by this change.
	wrote func(entry config.Entry) bool
	// describe returns the version in an entry without secrets, for conflicts.
	describe func(entry config.Entry) Version
	// showCommand is the dotterelctl command that shows the stored version.
	showCommand string
}

// conflictError reports that another change was stored, and holds the stored entry.
type conflictError struct{ current config.Entry }

// Error implements error.Error.
func (*conflictError) Error() string { return "another change was stored in the meantime" }

// errNotAcknowledged means that the change is stored, but not yet acknowledged by a majority of the VMs.
var errNotAcknowledged = errors.New("stored, but not acknowledged by a majority")

// errOutcomeUnknown means that the change may have been stored.
var errOutcomeUnknown = errors.New("the outcome could not be found out in time")

// propose stores the change. If the outcome of an attempt is unknown, it reads the entry back. The change took effect if
// it wrote the current version or one of the versions before it. If the entry is still at the expected revision, propose
// repeats the attempt with the same expected revision, so that at most one attempt can succeed.
func (server *Server) propose(ctx context.Context, proposal proposal) (ids.Revision, error) {
	unknown := false
	for ctx.Err() == nil {
		revision, err := server.Control.Propose(ctx, proposal.key, proposal.expected, proposal.value)
		switch {
		case err == nil:
			return revision, nil
		case revision != 0 && errors.Is(err, control.ErrNoMajority):
			return revision, errNotAcknowledged
		case errors.Is(err, control.ErrConflict):
		case errors.Is(err, control.ErrUnknownOutcome):
			unknown = true
		case unknown:
			// An earlier attempt may have taken effect, regardless of this error.
		default:
			return 0, err
		}
		current, err := server.readBack(ctx, proposal.key)
		if err != nil {
			unknown = true
			continue
		}
		if proposal.wrote(current) {
			return current.Revision, nil
		}
		if current.Revision != proposal.expected {
			// The change may have been stored by an attempt of this VM, or through another VM under the same change id.
			revision, found, err := server.searchHistory(ctx, proposal, current)
			if err != nil && unknown {
				return 0, errors.Join(errOutcomeUnknown, err)
			}
			if found {
				return revision, nil
			}
			return 0, &conflictError{current: current}
		}
		// The entry is still at the expected revision, but this attempt may arrive later. Repeat it: at most one succeeds.
		unknown = true
		server.waitPollInterval(ctx)
	}
	if unknown {
		return 0, errOutcomeUnknown
	}
	return 0, ctx.Err()
}

// readBack reads the entry and retries until the service answers. An absent entry has revision 0.
func (server *Server) readBack(ctx context.Context, key string) (config.Entry, error) {
	for {
		readContext, cancel := context.WithTimeout(ctx, readTimeout)
		entry, _, err := server.Reader.Get(readContext, key)
		cancel()
		if err == nil {
			return entry, nil
		}
		if ctx.Err() != nil {
			return config.Entry{}, err
		}
		server.waitPollInterval(ctx)
	}
}

// searchHistory searches for the change in the versions between the expected and the current one, newest first.
func (server *Server) searchHistory(ctx context.Context, proposal proposal, current config.Entry) (ids.Revision, bool, error) {
	for range maxHistorySteps {
		if current.Revision <= proposal.expected+1 {
			return 0, false, nil
		}
		readContext, cancel := context.WithTimeout(ctx, readTimeout)
		earlier, ok, err := server.Reader.GetAt(readContext, proposal.key, current.Revision-1)
		cancel()
		if err != nil {
			return 0, false, err
		}
		if !ok || earlier.Revision <= proposal.expected {
			return 0, false, nil
		}
		if proposal.wrote(earlier) {
			return earlier.Revision, true, nil
		}
		current = earlier
	}
	return 0, false, errors.New("too many changes since")
}

// waitPollInterval waits for the poll interval or until the context ends.
func (server *Server) waitPollInterval(ctx context.Context) {
	select {
	case <-time.After(server.pollInterval):
	case <-ctx.Done():
	}
}

// submit stores a proposal, logs it and, if the call has wait=true, waits until it is in force.
func (server *Server) submit(call call, proposal proposal) (ChangeResult, error) {
	ctx, cancel := context.WithTimeout(call.Context(), proposeTimeout)
	defer cancel()
	revision, err := server.propose(ctx, proposal)
	if err != nil && !errors.Is(err, errNotAcknowledged) {
		return ChangeResult{}, problemFor(proposal, err)
	}
	_ = server.Logger.Log("level", "info", "msg", "configuration changed", "operator", call.operator.Name,
		"key", proposal.key, "revision", revision, "change_id", proposal.changeID)
	changeResult := ChangeResult{Entry: proposal.key, Revision: revision, Replaced: proposal.expected, ChangeID: proposal.changeID}
	if err != nil {
		inForce := false
		changeResult.InForce = &inForce
		changeResult.Missing, _ = server.Control.UnconfirmedVMs(ctx, revision)
	}
	return server.awaitInForce(call, changeResult)
}

// problemFor returns the Problem for a proposal that failed with the error.
func problemFor(proposal proposal, err error) *Problem {
	var conflict *conflictError
	switch {
	case errors.As(err, &conflict):
		current := proposal.describe(conflict.current)
		yours := proposal.describe(config.Entry{Key: proposal.key, Value: proposal.value, Revision: proposal.expected})
		return &Problem{
			Code: CodeConflict, Message: "another change was stored in the meantime; yours was not",
			Next:     "compare both versions (`" + proposal.showCommand + "` shows the stored one), then apply again",
			ChangeID: proposal.changeID, Current: &current, Yours: &yours,
		}
	case errors.Is(err, control.ErrNoMajority):
		return &Problem{
			Code: CodeUnavailable, Message: "nothing was changed: this VM does not hear from a majority of the VMs",
			Next: "try again on another VM, or when `dotterelctl status` shows a majority", ChangeID: proposal.changeID,
		}
	case errors.Is(err, errOutcomeUnknown), errors.Is(err, control.ErrUnknownOutcome):
		return &Problem{
			Code: CodeOutcomeUnknown, Message: "it is not known whether the change was stored: the key-value service does not answer",
			Next:     "repeat the request with the same change id, or look with `" + proposal.showCommand + "` when the service answers again",
			ChangeID: proposal.changeID,
		}
	default:
		return &Problem{
			Code: CodeUnavailable, Message: "nothing was changed: " + err.Error(),
			Next: "try again when the key-value service answers; see `dotterelctl status`", ChangeID: proposal.changeID,
		}
	}
}

// awaitInForce waits until the change is in force if the call has wait=true, and sets InForce and Missing. The query
// parameter timeout bounds the wait.
func (server *Server) awaitInForce(call call, changeResult ChangeResult) (ChangeResult, error) {
	if call.URL.Query().Get("wait") != "true" {
		return changeResult, nil
	}
	timeout := defaultWaitTimeout
	if text := call.URL.Query().Get("timeout"); text != "" {
		given, err := time.ParseDuration(text)
		if err != nil || given <= 0 {
			given = defaultWaitTimeout
		}
		timeout = min(given, 5*time.Minute)
	}
	ctx, cancel := context.WithTimeout(call.Context(), timeout)
	defer cancel()
	for {
		missing, err := server.Control.UnconfirmedVMs(ctx, changeResult.Revision)
		inForce := err == nil && len(missing) == 0
		changeResult.Missing = missing
		if inForce || ctx.Err() != nil {
			changeResult.InForce = &inForce
			return changeResult, nil
		}
		server.waitPollInterval(ctx)
	}
}

// newChangeID returns the given identifier, or a random one if it is empty.
func newChangeID(given string) string {
	if given != "" {
		return given
	}
	random := make([]byte, 16)
	_, _ = rand.Read(random) // never fails
	return hex.EncodeToString(random)
}
