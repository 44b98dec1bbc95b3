package contract

import (
	"fmt"
	"slices"
	"strings"
)

// shownLength bounds the part of a value that an error shows.
const shownLength = 80

// Fault is one violation of a rule.
type Fault struct {
	// File is the file or key that holds the contract; empty if the contract was not read from text.
	File string
	// Line is the line of a syntax error, 0 for other faults.
	Line int
	// Key is the path of the faulty key, such as routes[0].name.
	Key string
	// Value is the faulty value as shown to staff; it never holds a verifier.
	Value string
	// Rule is the rule that the value violates.
	Rule string
}

// String returns the fault as one line.
func (fault Fault) String() string {
	var parts []string
	switch {
	case fault.File != "" && fault.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", fault.File, fault.Line))
	case fault.File != "":
		parts = append(parts, fault.File)
	}
	if fault.Key != "" {
		key := fault.Key
		if fault.Value != "" {
			key += " = " + fault.Value
		}
		parts = append(parts, key)
	}
	return strings.Join(append(parts, fault.Rule), ": ")
}

// Faults is the error that holds every fault found.
type Faults []Fault

// Error implements error.Error, one fault a line.
func (faults Faults) Error() string {
	lines := make([]string, len(faults))
	for i, fault := range faults {
		lines[i] = fault.String()
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// show returns the value for a fault. Nothing of a verifier is shown, nor of an unknown key below keys, which may be a
// misspelt verifier, nor of whole tables.
func show(path string, value any) string {
	if strings.HasPrefix(path, "keys") && !strings.HasSuffix(path, ".id") {
		return ""
	}
	text := fmt.Sprintf("%#v", value)
	switch value.(type) {
	case string, int64, float64, bool, int:
	default:
		return ""
	}
	if strings.Contains(text, "SCRAM") {
		return ""
	}
	if len(text) > shownLength {
		text = text[:shownLength] + "..."
	}
	return text
}
