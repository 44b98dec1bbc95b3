package session

import "strings"

// class describes a statement text as far as the first words of its statements tell.
type class struct {
	// statements is the number of non-empty statements in the text.
	statements int
	// begins reports whether the text is a single BEGIN or START TRANSACTION.
	begins bool
	// beginsReadOnly reports whether the text begins a transaction declared as READ ONLY.
	beginsReadOnly bool
	// readWrite reports whether a statement requests transactions that may write.
	readWrite bool
	// endsTransaction reports whether a statement ends a transaction.
	endsTransaction bool
	// commits reports whether a statement may commit a transaction.
	commits bool
	// selectOnly reports whether the text is a single statement that begins with SELECT. For a batch, all its statements are.
	selectOnly bool
	// unsupported reports whether a statement is COPY, LISTEN, UNLISTEN or NOTIFY.
	unsupported bool
	// pins reports whether a statement changes session state on the server, so that the session must keep its connection.
	pins bool
}

// classify recognises statements by their first words. It does not parse SQL.
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
		remaining := skipStatement(rest)
		class.add(rest[:len(rest)-len(remaining)])
		rest = remaining
	}
	if class.statements != 1 {
		class.begins, class.selectOnly, class.beginsReadOnly = false, false, false
	}
	return class
}

// add updates the class with one statement.
func (class *class) add(statement string) {
	first, rest := nextWord(statement)
	second, rest := nextWord(rest)
	class.pins = class.pins || callsSessionFunction(statement)
	switch {
	case isKeyword(first, "SELECT"):
		class.selectOnly = true
		class.pins = class.pins || selectsIntoTemporary(statement)
	case isKeyword(first, "WITH"):
		class.pins = class.pins || selectsIntoTemporary(statement)
	case isKeyword(first, "BEGIN"), isKeyword(first, "START"):
		class.begins = true
		class.beginsReadOnly = declaresReadOnly(second, rest)
		class.readWrite = class.readWrite || requestsReadWrite(statement)
	case isKeyword(first, "COMMIT"), isKeyword(first, "END"):
		class.endsTransaction, class.commits = true, true
	case isKeyword(first, "PREPARE"):
		class.pins = true
		if isKeyword(second, "TRANSACTION") {
			class.endsTransaction, class.commits = true, true
		}
	case isKeyword(first, "ROLLBACK"), isKeyword(first, "ABORT"):
		class.endsTransaction = true
		// ROLLBACK AND CHAIN and ROLLBACK PREPARED lead to other transaction states, which the server reports.
	case isKeyword(first, "COPY"), isKeyword(first, "LISTEN"), isKeyword(first, "UNLISTEN"), isKeyword(first, "NOTIFY"):
		class.unsupported = true
	case isKeyword(first, "RESET"):
		class.readWrite = class.readWrite || requestsReadWrite(statement)
	case isKeyword(first, "SET"):
		class.readWrite = class.readWrite || requestsReadWrite(statement)
		class.pins = class.pins || !endsWithTransaction(second, rest)
	case isKeyword(first, "LOAD"), isKeyword(first, "DECLARE"):
		class.pins = true
	case isKeyword(first, "CREATE"):
		class.pins = class.pins || createsTemporary(statement, second, rest)
	case isKeyword(first, "EXPLAIN"):
		// EXPLAIN ANALYZE runs CREATE TABLE AS and SELECT INTO.
		class.pins = class.pins || strings.Contains(strings.ToLower(statement), "temp")
	}
}

// declaresReadOnly reports whether the modes after BEGIN include READ ONLY. The last of READ ONLY and READ WRITE applies.
func declaresReadOnly(next, rest string) bool {
	readOnly := false
	for next != "" {
		following, remainder := nextWord(rest)
		if isKeyword(next, "READ") {
			switch {
			case isKeyword(following, "ONLY"):
				readOnly = true
			case isKeyword(following, "WRITE"):
				readOnly = false
			}
		}
		next, rest = following, remainder
	}
	return readOnly
}

// requestsReadWrite reports whether the statement contains READ WRITE or names a setting that makes transactions read-only,
// whatever the new value of that setting.
func requestsReadWrite(statement string) bool {
	if strings.Contains(strings.ToLower(statement), "transaction_read_only") {
		return true
	}
	for next, rest := nextWord(statement); rest != ""; {
		following, remainder := nextWord(rest)
		if isKeyword(next, "READ") && isKeyword(following, "WRITE") {
			return true
		}
		if following == "" {
			return false
		}
		next, rest = following, remainder
	}
	return false
}

func isKeyword(word, keyword string) bool {
	return len(word) == len(keyword) && strings.EqualFold(word, keyword)
}

// nextWord returns the first word and the text after it. Commas and opening parentheses before the word are skipped.
func nextWord(text string) (first, rest string) {
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
			// As in PostgreSQL, a carriage return ends the comment too.
			end := strings.IndexAny(text, "\r\n")
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

// skipComment skips a block comment, which may contain nested ones.
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

// skipStatement returns the text from the semicolon that ends the first statement, or "" if there is none.
func skipStatement(text string) string {
	for at := 0; at < len(text); at += tokenLength(text[at:]) {
		if text[at] == ';' {
			return text[at:]
		}
	}
	return ""
}

// tokenLength returns the length of the quoted text, identifier or comment at the start of the text, or 1 for any other character.
func tokenLength(text string) int {
	switch char := text[0]; {
	case char == '\'', char == '"':
		return quotedLength(text, char)
	case char == '$':
		return dollarQuotedLength(text)
	case isLetter(char) && !isDigit(char):
		name := identifierLength(text)
		if strings.HasPrefix(text[name:], "'") && isKeyword(text[:name], "E") {
			return name + escapeStringLength(text[name:])
		}
		return name
	case strings.HasPrefix(text, "--"), strings.HasPrefix(text, "/*"):
		return len(text) - len(skipBlank(text))
	}
	return 1
}

func isDigit(char byte) bool { return char >= '0' && char <= '9' }

// identifierLength returns the length of the identifier at the start of the text. Behind its first letter, it may contain
// dollar signs.
func identifierLength(text string) int {
	end := 0
	for end < len(text) && (isLetter(text[end]) || text[end] == '$') {
		end++
	}
	return end
}

// quotedLength returns the length of the quoted text. Text with a doubled quote counts as two adjacent quoted texts.
func quotedLength(text string, quote byte) int {
	if end := strings.IndexByte(text[1:], quote); end >= 0 {
		return end + 2
	}
	return len(text)
}

// escapeStringLength returns the length of the string, in which a backslash escapes a quote. A doubled quote and the parts
// of a string that goes on behind a line end belong to it, because their backslashes are escapes too.
func escapeStringLength(text string) int {
	for at := 1; at < len(text); at++ {
		switch text[at] {
		case '\\':
			at++
		case '\'':
			next := continuationLength(text[at+1:])
			if next == 0 {
				return at + 1
			}
			at += next
		}
	}
	return len(text)
}

// continuationLength returns the length up to the quote with which a string goes on, or 0 if it has ended: the quote follows
// either at once or behind white space and line comments that contain a line end.
func continuationLength(text string) int {
	lineEnded := false
	for at := 0; at < len(text); at++ {
		switch char := text[at]; {
		case char == '\'' && (at == 0 || lineEnded):
			return at + 1
		case char == '\n', char == '\r':
			lineEnded = true
		case char == ' ', char == '\t', char == '\f', char == '\v':
		case strings.HasPrefix(text[at:], "--"):
			end := strings.IndexAny(text[at:], "\r\n")
			if end < 0 {
				return 0
			}
			at, lineEnded = at+end, true
		default:
			return 0
		}
	}
	return 0
}

// dollarQuotedLength returns the length of the dollar-quoted text, or of the dollar sign and letters that are none. A tag does
// not begin with a digit, which makes a parameter such as $1.
func dollarQuotedLength(text string) int {
	end := 1
	for end < len(text) && isLetter(text[end]) {
		end++
	}
	if end == len(text) || text[end] != '$' || isDigit(text[1]) {
		return end
	}
	tag := text[:end+1]
	closing := strings.Index(text[end+1:], tag)
	if closing < 0 {
		return len(text)
	}
	return end + 1 + closing + len(tag)
}
