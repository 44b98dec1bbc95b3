package database

import (
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"
)

// kind determines how a statement is executed.
type kind int

const (
	kindRead kind = iota
	kindWrite
	kindLockingRead
	kindEmpty
	kindBegin
	kindCommit
	kindRollback
	kindSavepoint
	kindRelease
	kindRollbackTo
	kindSet
	kindSetTransaction
	kindReset
	kindShow
	kindDiscard
	kindDeallocate
	kindSleep
	kindControl
	kindFunction
	kindMemory
)

// statement is one parsed statement.
type statement struct {
	kind kind
	// text is the statement as received, sql its form for SQLite.
	text, sql string
	// words are the first eight words in upper case.
	words []string
	// parameters is the highest parameter number.
	parameters int
	// tag is the command tag without its row count.
	tag string
	// returning is set if a write returns rows.
	returning bool
	// sleep is the duration of pg_sleep.
	sleep time.Duration
	// name and value are the arguments of SET, SHOW, SAVEPOINT and similar statements; local is set for SET LOCAL.
	name, value string
	local       bool
}

var (
	sleepPattern     = regexp.MustCompile(`(?is)^select\s+pg_sleep\s*\(\s*([0-9.]+)\s*\)$`)
	setPattern       = regexp.MustCompile(`(?is)^set\s+(?:(session|local)\s+)?([a-z_0-9.]+)\s*(?:=|\s+to\s)\s*(.*)$`)
	lockPattern      = regexp.MustCompile(`(?is)\s+for\s+(?:no\s+key\s+)?(?:update|share)(?:\s+nowait|\s+skip\s+locked)?$`)
	serialPattern    = regexp.MustCompile(`(?i)\b(big|small)?serial(\s+primary\s+key)?\b`)
	returningPattern = regexp.MustCompile(`(?i)\breturning\b`)
	readOnlyPattern  = regexp.MustCompile(`(?i)\bread\s+(only|write)\b`)
	lastWordPattern  = regexp.MustCompile(`([A-Za-z_0-9]+)"?$`)
)

// parse classifies a statement given without its final semicolon.
func parse(text string) *statement {
	parsed := &statement{text: text, words: words(text, 8)}
	if len(parsed.words) == 0 {
		parsed.kind = kindEmpty
		return parsed
	}
	if strings.HasPrefix(text, "SELECT * FROM group_") && isControl(text) {
		parsed.kind, parsed.tag = kindControl, "SELECT"
		return parsed
	}
	parsed.tag = parsed.words[0]
	if match := sleepPattern.FindStringSubmatch(text); match != nil {
		seconds, _ := strconv.ParseFloat(match[1], 64)
		parsed.kind, parsed.tag, parsed.sleep = kindSleep, "SELECT", time.Duration(seconds*float64(time.Second))
		return parsed
	}
	if name := functionName(text); name != "" {
		parsed.kind, parsed.tag, parsed.name = kindFunction, "SELECT", name
		return parsed
	}
	if parsed.parseCommand() {
		return parsed
	}
	parsed.parseQuery()
	return parsed
}

// parseCommand classifies the statements that are not passed to SQLite as written; it returns false for any other.
func (parsed *statement) parseCommand() bool {
	second := ""
	if len(parsed.words) > 1 {
		second = parsed.words[1]
	}
	if match := lastWordPattern.FindStringSubmatch(parsed.text); match != nil {
		parsed.name = match[1]
	}
	switch parsed.words[0] {
	case "BEGIN":
		parsed.kind = kindBegin
	case "START":
		parsed.kind, parsed.tag = kindBegin, "START TRANSACTION"
	case "COMMIT", "END":
		parsed.kind, parsed.tag = kindCommit, "COMMIT"
	case "ROLLBACK", "ABORT":
		parsed.kind, parsed.tag = kindRollback, "ROLLBACK"
		if slices.Contains(parsed.words, "TO") {
			parsed.kind = kindRollbackTo
		}
	case "SAVEPOINT":
		parsed.kind = kindSavepoint
	case "RELEASE":
		parsed.kind = kindRelease
	case "SET":
		if second == "TRANSACTION" || second == "SESSION" && len(parsed.words) > 2 && parsed.words[2] == "CHARACTERISTICS" {
			parsed.kind = kindSetTransaction
			return true
		}
		match := setPattern.FindStringSubmatch(parsed.text)
		if match == nil {
			return false
		}
		parsed.kind, parsed.local = kindSet, strings.EqualFold(match[1], "local")
		parsed.name, parsed.value = strings.ToLower(match[2]), unquote(match[3])
	case "RESET":
		parsed.kind, parsed.name = kindReset, strings.ToLower(strings.TrimSpace(parsed.text[len("RESET"):]))
	case "SHOW":
		parsed.kind, parsed.name = kindShow, strings.ToLower(strings.TrimSpace(parsed.text[len("SHOW"):]))
		if parsed.name == "transaction isolation level" {
			parsed.name = "transaction_isolation"
		}
	case "DISCARD":
		parsed.kind, parsed.tag = kindDiscard, "DISCARD ALL"
	case "DEALLOCATE":
		parsed.kind = kindDeallocate
	default:
		return false
	}
	return true
}

// parseQuery classifies a statement that SQLite executes.
func (parsed *statement) parseQuery() {
	parsed.sql, parsed.parameters = toSQLite(parsed.text)
	switch parsed.words[0] {
	case "SELECT", "VALUES", "EXPLAIN", "TABLE":
		parsed.kind, parsed.tag = kindRead, "SELECT"
		if location := lockPattern.FindStringIndex(parsed.sql); location != nil {
			parsed.kind, parsed.sql = kindLockingRead, parsed.sql[:location[0]]
		}
	case "WITH":
		parsed.kind, parsed.tag = kindRead, "SELECT"
		for _, word := range words(parsed.text, 1<<16) {
			if word == "INSERT" || word == "UPDATE" || word == "DELETE" || word == "REPLACE" {
				parsed.kind, parsed.tag = kindWrite, word
				break
			}
		}
	default:
		parsed.kind = kindWrite
	}
	switch parsed.tag {
	case "CREATE", "DROP", "ALTER":
		if len(parsed.words) > 1 {
			object := parsed.words[1]
			if object == "UNIQUE" || object == "TEMP" || object == "TEMPORARY" {
				object = parsed.words[min(2, len(parsed.words)-1)]
			}
			parsed.tag += " " + object
		}
		if parsed.tag == "CREATE TABLE" {
			parsed.sql = serialPattern.ReplaceAllStringFunc(parsed.sql, func(match string) string {
				if strings.Contains(strings.ToLower(match), "primary") {
					return "INTEGER PRIMARY KEY AUTOINCREMENT"
				}
				return "BIGINT"
			})
		}
	case "INSERT", "UPDATE", "DELETE", "REPLACE":
		parsed.returning = returningPattern.MatchString(parsed.text)
	}
}

// accessMode reports whether the statement contains READ ONLY, and whether it contains an access mode at all.
func (parsed *statement) accessMode() (readOnly, given bool) {
	match := readOnlyPattern.FindStringSubmatch(parsed.text)
	return match != nil && strings.EqualFold(match[1], "only"), match != nil
}

// unquote removes the quotes of a SET value.
func unquote(value string) string {
	value = strings.TrimSpace(value)
	if len(value) >= 2 && (value[0] == '\'' || value[0] == '"') && value[len(value)-1] == value[0] {
		quote := value[:1]
		return strings.ReplaceAll(value[1:len(value)-1], quote+quote, quote)
	}
	return value
}
