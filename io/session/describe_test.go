package session_test

import (
	"encoding/base64"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
)

func b64(data []byte) string { return base64.StdEncoding.EncodeToString(data) }

// describe returns a one-line description of a message.
func describe(message any) string {
	switch message := message.(type) {
	case *pgproto3.Query:
		return fmt.Sprintf("Query %q", message.String)
	case *pgproto3.Parse:
		return fmt.Sprintf("Parse %q %q", message.Name, message.Query)
	case *pgproto3.Bind:
		return fmt.Sprintf("Bind %q %q", message.DestinationPortal, message.PreparedStatement)
	case *pgproto3.Describe:
		return fmt.Sprintf("Describe %c %q", message.ObjectType, message.Name)
	case *pgproto3.Execute:
		return fmt.Sprintf("Execute %q", message.Portal)
	case *pgproto3.DataRow:
		var values []string
		for _, value := range message.Values {
			values = append(values, string(value))
		}
		return "DataRow " + strings.Join(values, ", ")
	case *pgproto3.CommandComplete:
		return "CommandComplete " + string(message.CommandTag)
	case *pgproto3.ReadyForQuery:
		return fmt.Sprintf("ReadyForQuery %c", message.TxStatus)
	case *pgproto3.ErrorResponse:
		return strings.TrimSpace(fmt.Sprintf("ErrorResponse %s %s %s; %s", message.Severity, message.Code, message.Message, message.Detail))
	}
	return strings.TrimPrefix(fmt.Sprintf("%T", message), "*pgproto3.")
}
