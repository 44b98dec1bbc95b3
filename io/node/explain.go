package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"dotterelgw/core/ids"
	"dotterelgw/core/position"
	"dotterelgw/io/proxy"
)

// Answer is the answer to a question where an operation would go now.
type Answer struct {
	// VM is the VM that answered, and AvailabilityZone its zone.
	VM               ids.VMID             `json:"vm"`
	AvailabilityZone ids.AvailabilityZone `json:"availability_zone"`
	proxy.Explanation
}

// explain serves questions of operators where an operation would go now.
func (node *Node) explain(writer http.ResponseWriter, request *http.Request) {
	query := request.URL.Query()
	written, err := parsePosition(query.Get("written"))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	explanation, err := node.proxy.Explain(proxy.Question{
		Route: ids.RouteName(query.Get("route")), Organisation: ids.OrganisationID(query.Get("organisation")),
		Operation: proxy.OperationKind(query.Get("operation")), Written: written,
	})
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	settings := node.currentSettings()
	writer.Header().Set("Content-Type", "application/json")
	// An error means that the operator's tool has gone.
	_ = json.NewEncoder(writer).Encode(Answer{VM: settings.VM, AvailabilityZone: settings.AvailabilityZone, Explanation: explanation})
}

// errNoGroup reports a position without the group of its log, as it would be taken for one of whatever group the route leads to.
var errNoGroup = errors.New("the position names no group, write GROUP:TERM.LOG")

// parsePosition parses GROUP:TERM.LOG; an empty text is the zero value.
func parsePosition(text string) (position.GroupPosition, error) {
	if text == "" {
		return position.GroupPosition{}, nil
	}
	separator := strings.LastIndexByte(text, ':')
	if separator <= 0 {
		return position.GroupPosition{}, fmt.Errorf("%q: %w", text, errNoGroup)
	}
	term, log, _ := strings.Cut(text[separator+1:], ".")
	parsedTerm, err := strconv.ParseUint(term, 10, 64)
	if err != nil {
		return position.GroupPosition{}, fmt.Errorf("term of position %q: %w", text, err)
	}
	parsedLog, err := strconv.ParseUint(log, 10, 64)
	if err != nil {
		return position.GroupPosition{}, fmt.Errorf("log of position %q: %w", text, err)
	}
	return position.In(ids.GroupID(text[:separator]), position.Position{Term: ids.Term(parsedTerm), Log: ids.LogPosition(parsedLog)}), nil
}
