package engine

import (
	"context"
	"errors"
	"regexp"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"

	"dotterelgw/io/load/history"
)

// detailPattern extracts the reason and the outcome from the detail of a refusal by the proxy.
var detailPattern = regexp.MustCompile(`^refusal \S*: ([a-z_]+);.* outcome: (not run|rolled back|unknown)`)

// unknownOutcome is the SQLSTATE of an error whose transaction outcome is unknown.
const unknownOutcome = "08007"

// classify records an error and the resulting outcome in the request. beforeEffect is true if the statement that takes
// effect, a single write or a COMMIT, had not been sent yet.
func classify(request *history.Request, err error, beforeEffect bool) {
	request.Error = err.Error()
	request.Outcome = history.Unknown
	var pgErr *pgconn.PgError
	switch {
	case errors.As(err, &pgErr):
		request.SQLState = pgErr.Code
		request.Outcome = history.Refused
		if match := detailPattern.FindStringSubmatch(pgErr.Detail); match != nil {
			request.Reason = match[1]
			if match[2] == "unknown" && !beforeEffect {
				request.Outcome = history.Unknown
			}
			return
		}
		// An error of class XX (internal error) does not tell whether the statement took effect.
		if !beforeEffect && (pgErr.Code == unknownOutcome || strings.HasPrefix(pgErr.Code, "XX")) {
			request.Outcome = history.Unknown
		}
	case beforeEffect || !request.Writes() || pgconn.SafeToRetry(err):
		request.Outcome = history.Failed
	}
	if request.Reason == "" && (errors.Is(err, context.DeadlineExceeded) || pgconn.Timeout(err)) {
		request.Reason = "timeout"
	}
}
