package session

import "strings"

const (
	// temporarySchema is the name of the schema of temporary objects.
	temporarySchema = "pg_temp"
	// maxArgumentBytes bounds the length of the arguments of set_config that are looked at.
	maxArgumentBytes = 1024
)

// callsSessionFunction reports whether the statement contains a call of set_config or of a function for advisory locks, whose effect
// outlasts the transaction. It ignores quotes, because the body of DO is a quoted text.
func callsSessionFunction(statement string) bool {
	for at := 0; ; {
		underscore := strings.IndexByte(statement[at:], '_')
		if underscore < 0 {
			return false
		}
		start := at + underscore
		for start > at && isLetter(statement[start-1]) {
			start--
		}
		at = start + identifierLength(statement[start:])
		switch name := statement[start:at]; {
		case isKeyword(name, "set_config"):
			if !setsLocally(statement[at:]) {
				return true
			}
		case hasPrefixFold(name, "pg_advisory_lock"), hasPrefixFold(name, "pg_try_advisory_lock"):
			return true
		}
	}
}

func hasPrefixFold(name, prefix string) bool {
	return len(name) >= len(prefix) && strings.EqualFold(name[:len(prefix)], prefix)
}

// setsLocally reports whether the text begins with arguments of set_config the last of which is the literal true, so that the setting ends
// with the transaction.
func setsLocally(text string) bool {
	text = skipBlank(text)
	text = text[:min(len(text), maxArgumentBytes)]
	depth, argument := 0, 0
	for at := 0; at < len(text); at += tokenLength(text[at:]) {
		switch text[at] {
		case '(':
			depth++
		case ')':
			depth--
		case ',':
			if depth == 1 {
				argument = at + 1
			}
		}
		if depth == 0 {
			return text[at] == ')' && isKeyword(strings.TrimSpace(skipBlank(text[argument:at])), "true")
		}
	}
	return false
}

// createsTemporary reports whether the CREATE statement with the given word and text after CREATE creates a temporary object.
func createsTemporary(statement, second, rest string) bool {
	for isKeyword(second, "OR") || isKeyword(second, "REPLACE") {
		second, rest = nextWord(rest)
	}
	return isTemporary(second) || strings.Contains(strings.ToLower(statement), temporarySchema)
}

// selectsIntoTemporary reports whether the statement contains INTO and a word for temporary tables. It ignores quotes, so a
// quoted text may count too.
func selectsIntoTemporary(statement string) bool {
	const into = "INTO"
	for at := 1; at+len(into) < len(statement); at++ {
		if statement[at]|0x20 != 'i' || isLetter(statement[at-1]) || !isKeyword(statement[at:at+len(into)], into) {
			continue
		}
		if next, _ := nextWord(statement[at+len(into):]); isTemporary(next) || isKeyword(next, temporarySchema) {
			return true
		}
	}
	return false
}

// isTemporary reports whether the word marks a temporary object after CREATE or INTO. LOCAL and GLOBAL precede TEMPORARY.
func isTemporary(word string) bool {
	return isKeyword(word, "TEMP") || isKeyword(word, "TEMPORARY") || isKeyword(word, "LOCAL") || isKeyword(word, "GLOBAL")
}

// endsWithTransaction reports whether the effect of a SET statement with the given word and text after SET ends with the
// transaction. A keyword before a period is part of the name of a custom setting, as in SET local.name.
func endsWithTransaction(second, rest string) bool {
	if strings.HasPrefix(skipBlank(rest), ".") {
		return false
	}
	return isKeyword(second, "LOCAL") || isKeyword(second, "TRANSACTION") || isKeyword(second, "CONSTRAINTS")
}
