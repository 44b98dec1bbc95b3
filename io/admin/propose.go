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
	// proposeTimeout bounds a change with all its repetitions; one attempt of io/control takes up to 5 s.
	proposeTimeout = 6 * time.Second
	// readTimeout bounds one read from the key-value service.
	readTimeout = time.Second
	// defaultWait bounds the wait until a change is in force; at the planned size that takes up to 18 s.
	defaultWait = 20 * time.Second
	// defaultPause is the pause between questions to the key-value service or to other VMs.
	defaultPause = 100 * time.Millisecond
	// historySteps bounds the versions that are read back in search of a change.
	historySteps = 20
)

// proposal is a change of one entry.
type proposal struct {
	key      string
	expected ids.Revision
	value    []byte
	changeID string
	// mine states whether a stored version was written by this change.
	mine func(entry config.Entry) bool
	// describe returns a version without secrets, for conflicts.
	describe func(entry config.Entry) Version
	// show is the command that shows the current version.
	show string
}

// conflictError reports that another change was stored.
type conflictError struct{ current config.Entry }

// Error implements error.Error.
func (*conflictError) Error() string { return "another change was stored in the meantime" }

// errNotAcknowledged reports that the change is stored, but that no majority of the VMs holds it yet.
var errNotAcknowledged = errors.New("stored, but not acknowledged by a majority")

// errNotSettled reports that the outcome could not be found out in time.
var errNotSettled = errors.New("the outcome could not be found out in time")

// propose stores the change. While the outcome of an attempt is unknown, it reads back the entry: if the change is
// there, or is among the versions before the current one, it took effect. If the entry still has the expected revision,
// it repeats the attempt with the same expected revision, which at most one attempt can replace.
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
			// An earlier attempt may have taken effect, whatever this one reports.
		default:
			return 0, err
		}
		current, err := server.readBack(ctx, proposal.key)
		if err != nil {
			unknown = true
			continue
		}
		if proposal.mine(current) {
			return current.Revision, nil
		}
		if current.Revision != proposal.expected {
			// The change may have been stored by an attempt of this VM, or through another VM under the same change id.
			revision, found, err := server.searchHistory(ctx, proposal, current)
			if err != nil && unknown {
				return 0, errors.Join(errNotSettled, err)
			}
			if found {
				return revision, nil
			}
			return 0, &conflictError{current: current}
		}
		// The entry still has the expected revision, and an earlier attempt may yet arrive; the next attempt decides.
		unknown = true
		server.sleep(ctx)
	}
	if unknown {
		return 0, errNotSettled
	}
	return 0, ctx.Err()
}

// readBack reads the entry until the service answers. An absent entry has revision 0.
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
		server.sleep(ctx)
	}
}

// searchHistory looks for the change among the versions between the expected and the current one.
func (server *Server) searchHistory(ctx context.Context, proposal proposal, current config.Entry) (ids.Revision, bool, error) {
	for range historySteps {
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
		if proposal.mine(earlier) {
			return earlier.Revision, true, nil
		}
		current = earlier
	}
	return 0, false, errors.New("too many changes since")
}

func (server *Server) sleep(ctx context.Context) {
	select {
	case <-time.After(server.pause):
	case <-ctx.Done():
	}
}

// submit carries out a proposal of an operator and waits until it is in force if the call asks for it.
func (server *Server) submit(call call, proposal proposal) (Changed, error) {
	ctx, cancel := context.WithTimeout(call.Context(), proposeTimeout)
	defer cancel()
	revision, err := server.propose(ctx, proposal)
	if err != nil && !errors.Is(err, errNotAcknowledged) {
		return Changed{}, problemOf(proposal, err)
	}
	_ = server.Logger.Log("level", "info", "msg", "configuration changed", "operator", call.operator.Name,
		"key", proposal.key, "revision", revision, "change_id", proposal.changeID)
	changed := Changed{Entry: proposal.key, Revision: revision, Replaced: proposal.expected, ChangeID: proposal.changeID}
	if err != nil {
		inForce := false
		changed.InForce = &inForce
		changed.Missing, _ = server.Control.InForce(ctx, revision)
	}
	return server.await(call, changed)
}

// problemOf explains why a proposal was not stored.
func problemOf(proposal proposal, err error) *Problem {
	var conflict *conflictError
	switch {
	case errors.As(err, &conflict):
		current := proposal.describe(conflict.current)
		yours := proposal.describe(config.Entry{Key: proposal.key, Value: proposal.value, Revision: proposal.expected})
		return &Problem{
			Code: CodeConflict, Message: "another change was stored in the meantime; yours was not",
			Next:     "compare both versions (`" + proposal.show + "` shows the stored one), then apply again",
			ChangeID: proposal.changeID, Current: &current, Yours: &yours,
		}
	case errors.Is(err, control.ErrNoMajority):
		return &Problem{
			Code: CodeUnavailable, Message: "nothing was changed: this VM does not hear from a majority of the VMs",
			Next: "try again on another VM, or when `dotterelctl status` shows a majority", ChangeID: proposal.changeID,
		}
	case errors.Is(err, errNotSettled), errors.Is(err, control.ErrUnknownOutcome):
		return &Problem{
			Code: CodeOutcomeUnknown, Message: "it is not known whether the change was stored: the key-value service does not answer",
			Next:     "repeat the request with the same change id, or look with `" + proposal.show + "` when the service answers again",
			ChangeID: proposal.changeID,
		}
	default:
		return &Problem{
			Code: CodeUnavailable, Message: "nothing was changed: " + err.Error(),
			Next: "try again when the key-value service answers; see `dotterelctl status`", ChangeID: proposal.changeID,
		}
	}
}

// await fills in whether the change is in force, if the call has wait=true.
func (server *Server) await(call call, changed Changed) (Changed, error) {
	if call.URL.Query().Get("wait") != "true" {
		return changed, nil
	}
	timeout := defaultWait
	if text := call.URL.Query().Get("timeout"); text != "" {
		given, err := time.ParseDuration(text)
		if err != nil || given <= 0 {
			given = defaultWait
		}
		timeout = min(given, 5*time.Minute)
	}
	ctx, cancel := context.WithTimeout(call.Context(), timeout)
	defer cancel()
	for {
		missing, err := server.Control.InForce(ctx, changed.Revision)
		inForce := err == nil && len(missing) == 0
		changed.Missing = missing
		if inForce || ctx.Err() != nil {
			changed.InForce = &inForce
			return changed, nil
		}
		server.sleep(ctx)
	}
}

// newChangeID returns the given identifier or a random one.
func newChangeID(given string) string {
	if given != "" {
		return given
	}
	random := make([]byte, 16)
	_, _ = rand.Read(random) // never fails
	return hex.EncodeToString(random)
}
