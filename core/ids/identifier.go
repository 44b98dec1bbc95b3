package ids

import (
	"strings"
	"unicode"
	"unicode/utf8"
)

// IsIdentifier reports whether a text can be an identifier: it is not empty, valid UTF-8, and has no blank or control character, which end
// fields and lines of the protocols in which identifiers are sent.
func IsIdentifier(text string) bool {
	return text != "" && utf8.ValidString(text) && !strings.ContainsFunc(text, func(char rune) bool {
		return char == ' ' || unicode.IsControl(char)
	})
}
