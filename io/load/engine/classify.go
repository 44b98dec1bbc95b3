package engine

import (
	"context"
	"errors"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/io/load/history"
)

// detailPattern reads the reason and the outcome from the detail of a proxy's refusal.
var detailPattern = regexp.MustCompile(`^refusal \S*: ([a-z_]+);.* outcome: (not run|rolled back|unknown)`)

// unknownOutcome is the SQLSTATE for an outcome that cannot be known.
const unknownOutcome = "08007"

// classify notes an error in the request. Before states that the part of the request that takes effect, a single
// write or a COMMIT, was not sent yet.
func classify(request *history.Request, err error, before bool) {
	request.Error = err.Error()
	request.Outcome = history.Unknown
	var refused *pgconn.PgError
	switch {
	case errors.As(err, &refused):
		request.SQLState = refused.Code
		request.Outcome = history.Refused
		if match := detailPattern.FindStringSubmatch(refused.Detail); match != nil {
			request.Reason = match[1]
			if match[2] == "unknown" && !before {
				request.Outcome = history.Unknown
			}
			return
		}
		// Errors of class XX say nothing of the effect.
		if !before && (refused.Code == unknownOutcome || strings.HasPrefix(refused.Code, "XX")) {
			request.Outcome = history.Unknown
		}
	case before || !request.Writes() || pgconn.SafeToRetry(err):
		request.Outcome = history.Failed
	}
	if request.Reason == "" && (errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err)) {
		request.Reason = "timeout"
	}
}
