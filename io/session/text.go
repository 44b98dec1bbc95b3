package session

import "strings"

// class is what the session knows of a statement text from its first words.
type class struct {
	// statements is the number of statements in the text that are not empty.
	statements int
	// begins states that the text is a single BEGIN or START TRANSACTION.
	begins bool
	// beginsReadOnly states that the text begins a transaction declared READ ONLY.
	beginsReadOnly bool
	// readWrite states that a statement asks for a transaction that may write.
	readWrite bool
	// mayEnd states that a statement ends a transaction.
	mayEnd bool
	// commits states that a statement may commit a transaction.
	commits bool
	// selects states that the text is a single statement that begins with SELECT.
	selects bool
	// unsupported states that a statement is COPY, LISTEN, UNLISTEN or NOTIFY.
	unsupported bool
	// pins states that a statement changes the state of the server's session.
	pins bool
}

// classify recognises statements by their first words; it does not parse SQL.
func classify(text string) class {
	var class class
	for rest := text; ; {
		rest = skipBlank(rest)
		if rest == "" {
			break
		}
		if rest[0] == ';' {
			rest = rest[1:]
			continue
		}
		class.statements++
		class.add(rest)
		rest = skipStatement(rest)
	}
	if class.statements != 1 {
		class.begins, class.selects, class.beginsReadOnly = false, false, false
	}
	return class
}

func (class *class) add(statement string) {
	first, rest := word(statement)
	second, rest := word(rest)
	switch {
	case is(first, "SELECT"):
		class.selects = true
	case is(first, "BEGIN"), is(first, "START"):
		class.begins = true
		class.beginsReadOnly = declaresReadOnly(second, rest)
		class.readWrite = class.readWrite || asksForWrites(statement)
	case is(first, "COMMIT"), is(first, "END"):
		class.mayEnd, class.commits = true, true
	case is(first, "PREPARE"):
		class.pins = true
		if is(second, "TRANSACTION") {
			class.mayEnd, class.commits = true, true
		}
	case is(first, "ROLLBACK"), is(first, "ABORT"):
		class.mayEnd = true
		// ROLLBACK AND CHAIN and ROLLBACK PREPARED leave other states behind, which the server reports.
	case is(first, "COPY"), is(first, "LISTEN"), is(first, "UNLISTEN"), is(first, "NOTIFY"):
		class.unsupported = true
	case is(first, "RESET"):
		class.readWrite = class.readWrite || asksForWrites(statement)
	case is(first, "SET"):
		class.readWrite = class.readWrite || asksForWrites(statement)
		if !is(second, "LOCAL") && !is(second, "TRANSACTION") && !is(second, "CONSTRAINTS") {
			class.pins = true
		}
	case is(first, "LOAD"), is(first, "DECLARE"):
		class.pins = true
	case is(first, "CREATE"):
		for _, name := range []string{"TEMP", "TEMPORARY", "LOCAL", "GLOBAL"} {
			if is(second, name) {
				class.pins = true
			}
		}
	}
}

// declaresReadOnly looks for READ ONLY in the modes behind BEGIN; the last of READ ONLY and READ WRITE counts.
func declaresReadOnly(next, rest string) bool {
	readOnly := false
	for next != "" {
		following, remainder := word(rest)
		if is(next, "READ") {
			switch {
			case is(following, "ONLY"):
				readOnly = true
			case is(following, "WRITE"):
				readOnly = false
			}
		}
		next, rest = following, remainder
	}
	return readOnly
}

// asksForWrites looks for READ WRITE and for the settings that make transactions read-only, whatever their new value.
func asksForWrites(statement string) bool {
	statement = statement[:len(statement)-len(skipStatement(statement))]
	if strings.Contains(strings.ToLower(statement), "transaction_read_only") {
		return true
	}
	for next, rest := word(statement); rest != ""; {
		following, remainder := word(rest)
		if is(next, "READ") && is(following, "WRITE") {
			return true
		}
		if following == "" {
			return false
		}
		next, rest = following, remainder
	}
	return false
}

func is(word, keyword string) bool {
	return len(word) == len(keyword) && strings.EqualFold(word, keyword)
}

// word returns the first word, and the text behind it; commas and parentheses before it are skipped.
func word(text string) (first, rest string) {
	text = skipBlank(text)
	for text != "" && (text[0] == ',' || text[0] == '(') {
		text = skipBlank(text[1:])
	}
	end := 0
	for end < len(text) && isLetter(text[end]) {
		end++
	}
	return text[:end], text[end:]
}

func isLetter(char byte) bool {
	return char >= 'a' && char <= 'z' || char >= 'A' && char <= 'Z' || char == '_' || char >= '0' && char <= '9' || char >= 0x80
}

// skipBlank skips white space and comments.
func skipBlank(text string) string {
	for {
		text = strings.TrimLeft(text, " \t\r\n\f\v")
		switch {
		case strings.HasPrefix(text, "--"):
			end := strings.IndexByte(text, '\n')
			if end < 0 {
				return ""
			}
			text = text[end+1:]
		case strings.HasPrefix(text, "/*"):
			text = skipComment(text)
		default:
			return text
		}
	}
}

// skipComment skips a block comment, which may hold others.
func skipComment(text string) string {
	depth := 0
	for at := 0; at < len(text); at++ {
		switch {
		case strings.HasPrefix(text[at:], "/*"):
			depth++
			at++
		case strings.HasPrefix(text[at:], "*/"):
			depth--
			at++
			if depth == 0 {
				return text[at+1:]
			}
		}
	}
	return ""
}

// skipStatement returns the text from the semicolon that ends the statement.
func skipStatement(text string) string {
	for at := 0; at < len(text); {
		switch char := text[at]; {
		case char == ';':
			return text[at:]
		case char == '\'':
			escapes := at > 0 && (text[at-1] == 'e' || text[at-1] == 'E') && (at < 2 || !isLetter(text[at-2]))
			at += quoted(text[at:], '\'', escapes)
		case char == '"':
			at += quoted(text[at:], '"', false)
		case char == '$' && (at == 0 || !isLetter(text[at-1])):
			at += dollarQuoted(text[at:])
		case strings.HasPrefix(text[at:], "--"), strings.HasPrefix(text[at:], "/*"):
			at = len(text) - len(skipBlank(text[at:]))
		default:
			at++
		}
	}
	return ""
}

// quoted returns the length of the quoted text; a doubled quote counts as two adjacent ones.
func quoted(text string, quote byte, escapes bool) int {
	for at := 1; at < len(text); at++ {
		if escapes && text[at] == '\\' {
			at++
			continue
		}
		if text[at] == quote {
			return at + 1
		}
	}
	return len(text)
}

func dollarQuoted(text string) int {
	end := 1
	for end < len(text) && isLetter(text[end]) {
		end++
	}
	if end == len(text) || text[end] != '$' {
		return end
	}
	tag := text[:end+1]
	closing := strings.Index(text[end+1:], tag)
	if closing < 0 {
		return len(text)
	}
	return end + 1 + closing + len(tag)
}
