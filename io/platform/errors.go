package platform

import (
	"context"
	"errors"
	"fmt"

	jujuerrors "github.com/juju/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// Errors that the client wraps; test for them with errors.Is.
const (
	// ErrOutcomeUnknown reports that a write may or may not have taken effect.
	ErrOutcomeUnknown = jujuerrors.ConstError("it is not known whether the write took effect")
	// ErrCompacted reports that the requested revision has been compacted, or that it is of an earlier era; list, then watch from
	// the listed revision.
	ErrCompacted = jujuerrors.ConstError("the service no longer holds the revision")
	// ErrWatchTimeout reports that the service did not answer a progress request in time.
	ErrWatchTimeout = jujuerrors.ConstError("the watch was not confirmed in time")
	// ErrRestored reports that the service was restored from an older copy while or before the call was made, so that its
	// revisions stand for other changes than the caller means.
	ErrRestored = jujuerrors.ConstError("the service was restored from an older copy")
	// ErrLeaseEnded reports that the lease has expired or was revoked, or is of an earlier era.
	ErrLeaseEnded = jujuerrors.ConstError("the lease has ended")
)

// writeError wraps the error of a write in ErrOutcomeUnknown if the write may have taken effect.
func writeError(err error) error {
	switch status.Code(err) {
	case codes.ResourceExhausted, codes.InvalidArgument, codes.FailedPrecondition, codes.OutOfRange,
		codes.PermissionDenied, codes.Unauthenticated, codes.Unimplemented, codes.NotFound, codes.AlreadyExists:
		// The service rejects the call with these codes before it runs the transaction.
		return err
	default:
		return fmt.Errorf("%w: %w", ErrOutcomeUnknown, err)
	}
}

// callError joins the context error that matches the status, so that errors.Is finds context.DeadlineExceeded and
// context.Canceled.
func callError(err error) error {
	switch status.Code(err) {
	case codes.DeadlineExceeded:
		return errors.Join(context.DeadlineExceeded, err)
	case codes.Canceled:
		return errors.Join(context.Canceled, err)
	default:
		return err
	}
}
