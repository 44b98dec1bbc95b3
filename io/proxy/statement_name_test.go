package proxy

import (
	"strings"
	"testing"

	"dotterelgw/core/statement"
)

// FuzzServerStatementName guards against two shapes that get the same name on backend servers, so that one session runs the prepared
// statement of another, and against names that are not one field of a line.
func FuzzServerStatementName(f *testing.F) {
	long := strings.Repeat("a", maxEncodedShape)
	for _, pair := range [][2]string{
		{"READ a", "READ  a"},
		{"READ a_20", "READ a "},
		{"READ A", "READ a"},
		{"READ " + long, "READ " + long + " "},
		{"WRITE \n", "WRITE \r"},
		{"READ _", "READ _5f"},
		{"WRITE", "WRITE "},
	} {
		f.Add(pair[0], pair[1])
	}
	prepared := func(shape string) (statement.Prepared, bool) {
		access, _, _ := strings.Cut(shape, " ")
		return statement.Prepared{Text: shape, Writes: access == "WRITE"}, access == "READ" || access == "WRITE"
	}
	f.Fuzz(func(t *testing.T, one, other string) {
		first, valid := prepared(one)
		second, otherValid := prepared(other)
		if !valid || !otherValid {
			// A shape begins with its access.
			return
		}
		name := serverStatementName(first)
		if one != other && name == serverStatementName(second) {
			t.Errorf("%q and %q are both called %q", one, other, name)
		}
		if strings.ContainsFunc(name, func(char rune) bool { return char <= ' ' || char > '~' }) {
			t.Errorf("%q is called %q", one, name)
		}
	})
}
