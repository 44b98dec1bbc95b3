package contract

import (
	"fmt"
	"slices"
	"strings"
)

// maxDisplayedBytes is the length at which an error message truncates a value.
const maxDisplayedBytes = 80

// Violation is a value or key of a contract that violates a rule, or a syntax error.
type Violation struct {
	// File is the file or key that holds the contract. It is empty if the contract was not parsed from text.
	File string
	// Line is the line of a syntax error, 0 for other violations.
	Line int
	// Key is the path of the invalid key, such as routes[0].name.
	Key string
	// Value is the invalid value as displayed to operators. It never contains any part of a verifier.
	Value string
	// Rule is the rule that the value violates.
	Rule string
}

// String formats the violation as "FILE:LINE: KEY = VALUE: RULE" and omits the empty parts.
func (violation Violation) String() string {
	var parts []string
	switch {
	case violation.File != "" && violation.Line > 0:
		parts = append(parts, fmt.Sprintf("%s:%d", violation.File, violation.Line))
	case violation.File != "":
		parts = append(parts, violation.File)
	}
	if violation.Key != "" {
		key := violation.Key
		if violation.Value != "" {
			key += " = " + violation.Value
		}
		parts = append(parts, key)
	}
	return strings.Join(append(parts, violation.Rule), ": ")
}

// Violations is an error that holds every violation found.
type Violations []Violation

// Error implements error. It returns one line for each violation, sorted.
func (violations Violations) Error() string {
	lines := make([]string, len(violations))
	for i, violation := range violations {
		lines[i] = violation.String()
	}
	slices.Sort(lines)
	return strings.Join(lines, "\n")
}

// displayValue formats a value for an error message. It returns an empty string for whole tables and for any value that may
// contain a verifier: all keys of the table keys except id, since an unknown key may be a misspelt verifier, and any text
// with SCRAM in it.
func displayValue(path string, value any) string {
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
	if len(text) > maxDisplayedBytes {
		text = text[:maxDisplayedBytes] + "..."
	}
	return text
}
