package database

import (
	"strconv"
	"strings"

	"github.com/jackc/pgx/v5/pgtype"
)

// token is a word, a quoted name, a parameter or any other single character of a statement.
type token struct {
	text string
	// parameter is the number of a parameter such as $1, 0 for other tokens.
	parameter int
}

// tokens splits a statement into tokens. String literals become empty tokens; comments are dropped.
func tokens(sql string) []token {
	var list []token
	for index := 0; index < len(sql); {
		start := index
		if next := skipQuoted(sql, index); next > index {
			index = next
			if sql[start] == '"' {
				list = append(list, token{text: strings.ToUpper(strings.Trim(sql[start:index], `"`))})
			} else if sql[start] == '\'' {
				list = append(list, token{})
			}
			continue
		}
		switch {
		case sql[index] == '$' && index+1 < len(sql) && isDigit(sql[index+1]):
			index++
			for index < len(sql) && isDigit(sql[index]) {
				index++
			}
			number, _ := strconv.Atoi(sql[start+1 : index])
			list = append(list, token{text: "$", parameter: number})
		case isWord(sql[index]):
			for index < len(sql) && isWord(sql[index]) {
				index++
			}
			list = append(list, token{text: strings.ToUpper(sql[start:index])})
		default:
			index++
			if text := sql[start:index]; strings.TrimSpace(text) != "" {
				list = append(list, token{text: text})
			}
		}
	}
	return list
}

// inferParameters returns the types of parameters that are compared with, assigned to or inserted into a BOOLEAN or
// BYTEA column, and 0 for all others. SQLite stores booleans as numbers and byte strings as blobs, which untyped text
// does not match; for other columns, column affinity converts the text.
func inferParameters(handle *handle, parsed *statement) []uint32 {
	types := make([]uint32, parsed.parameters)
	if parsed.parameters == 0 {
		return types
	}
	list := tokens(parsed.text)
	declared := map[string]uint32{}
	for index := 0; index+1 < len(list); index++ {
		switch list[index].text {
		case "FROM", "INTO", "UPDATE", "JOIN":
			columns, err := handle.describe(`SELECT * FROM "` + list[index+1].text + `"`)
			if err != nil {
				continue
			}
			for _, column := range columns {
				if column.oid == pgtype.BoolOID || column.oid == pgtype.ByteaOID {
					declared[strings.ToUpper(column.name)] = column.oid
				}
			}
			if list[index].text == "INTO" {
				insertTypes(list[index+2:], columns, types)
			}
		}
	}
	for index := 2; index < len(list); index++ {
		if number := list[index].parameter; number > 0 && isComparison(list[index-1].text) {
			column := index - 2
			if isComparison(list[column].text) && column > 0 {
				column--
			}
			if oid := declared[list[column].text]; oid != 0 {
				types[number-1] = oid
			}
		}
	}
	return types
}

func isComparison(text string) bool { return text == "=" || text == "<" || text == ">" || text == "!" }

// insertTypes assigns the column types to the parameters of INSERT INTO table [(columns)] VALUES (...), (...).
func insertTypes(list []token, columns []column, types []uint32) {
	oids := make([]uint32, 0, len(columns))
	index := 0
	if index < len(list) && list[index].text == "(" {
		for index++; index < len(list) && list[index].text != ")"; index++ {
			for _, column := range columns {
				if strings.EqualFold(column.name, list[index].text) {
					oids = append(oids, column.oid)
				}
			}
		}
		index++
	} else {
		for _, column := range columns {
			oids = append(oids, column.oid)
		}
	}
	if index >= len(list) || list[index].text != "VALUES" {
		return
	}
	depth, place := 0, 0
	for ; index < len(list); index++ {
		switch list[index].text {
		case "(":
			if depth++; depth == 1 {
				place = 0
			}
		case ")":
			depth--
		case ",":
			if depth == 1 {
				place++
			}
		}
		number := list[index].parameter
		if number > 0 && depth == 1 && place < len(oids) && (oids[place] == pgtype.BoolOID || oids[place] == pgtype.ByteaOID) {
			types[number-1] = oids[place]
		}
	}
}
