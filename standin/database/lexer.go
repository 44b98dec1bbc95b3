package database

import (
	"strings"
)

// skipQuoted returns the index after the quoted string, quoted name or comment that begins at start, or start if there
// is none.
func skipQuoted(sql string, start int) int {
	switch character := sql[start]; {
	case character == '\'' || character == '"':
		for index := start + 1; index < len(sql); index++ {
			if sql[index] != character {
				continue
			}
			if index+1 < len(sql) && sql[index+1] == character {
				index++
				continue
			}
			return index + 1
		}
		return len(sql)
	case strings.HasPrefix(sql[start:], "--"):
		if end := strings.IndexByte(sql[start:], '\n'); end >= 0 {
			return start + end + 1
		}
		return len(sql)
	case strings.HasPrefix(sql[start:], "/*"):
		if end := strings.Index(sql[start+2:], "*/"); end >= 0 {
			return start + 2 + end + 2
		}
		return len(sql)
	}
	return start
}

// splitStatements splits a simple query into its statements; empty ones are omitted.
func splitStatements(sql string) []string {
	var statements []string
	begin := 0
	add := func(end int) {
		if text := strings.TrimSpace(sql[begin:end]); text != "" {
			statements = append(statements, text)
		}
	}
	for index := 0; index < len(sql); {
		if next := skipQuoted(sql, index); next > index {
			index = next
			continue
		}
		if sql[index] == ';' {
			add(index)
			begin = index + 1
		}
		index++
	}
	add(len(sql))
	return statements
}

func isDigit(character byte) bool { return character >= '0' && character <= '9' }

func isWord(character byte) bool {
	return character == '_' || isDigit(character) || character|0x20 >= 'a' && character|0x20 <= 'z'
}

// casts maps the PostgreSQL type names of a :: cast to the types of a SQLite CAST.
var casts = map[string]string{
	"int": "INTEGER", "int4": "INTEGER", "int8": "INTEGER", "integer": "INTEGER", "bigint": "INTEGER",
	"smallint": "INTEGER", "int2": "INTEGER", "text": "TEXT", "varchar": "TEXT", "float8": "REAL", "real": "REAL",
	"bytea": "BLOB", "boolean": "INTEGER", "bool": "INTEGER",
}

// toSQLite rewrites $1 as ?1 and $1::type as a CAST outside of quotes, and returns the number of parameters.
func toSQLite(sql string) (string, int) {
	var text strings.Builder
	count := 0
	for index := 0; index < len(sql); {
		if next := skipQuoted(sql, index); next > index {
			text.WriteString(sql[index:next])
			index = next
			continue
		}
		if sql[index] != '$' || index+1 == len(sql) || !isDigit(sql[index+1]) || index > 0 && isWord(sql[index-1]) {
			text.WriteByte(sql[index])
			index++
			continue
		}
		number, end := 0, index+1
		for ; end < len(sql) && isDigit(sql[end]) && number < 1<<16; end++ {
			number = number*10 + int(sql[end]-'0')
		}
		count = max(count, number)
		parameter := "?" + sql[index+1:end]
		if strings.HasPrefix(sql[end:], "::") {
			word := end + 2
			for word < len(sql) && isWord(sql[word]) {
				word++
			}
			if cast, ok := casts[strings.ToLower(sql[end+2:word])]; ok {
				parameter, end = "CAST("+parameter+" AS "+cast+")", word
			}
		}
		text.WriteString(parameter)
		index = end
	}
	return text.String(), count
}

// words returns up to limit words outside of quotes, in upper case; all other characters separate words.
func words(sql string, limit int) []string {
	var list []string
	for index := 0; index < len(sql) && len(list) < limit; {
		if next := skipQuoted(sql, index); next > index {
			index = next
			continue
		}
		if !isWord(sql[index]) {
			index++
			continue
		}
		end := index
		for end < len(sql) && isWord(sql[end]) {
			end++
		}
		list = append(list, strings.ToUpper(sql[index:end]))
		index = end
	}
	return list
}
