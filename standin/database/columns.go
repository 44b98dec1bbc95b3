package database

import (
	"context"
	"database/sql/driver"
	"slices"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgtype"
)

// maxCachedTypes bounds the number of statements whose column types are cached; the cache is cleared when it is full.
const maxCachedTypes = 4096

// typeCache caches the column types of statements with expression columns, as found by earlier executions.
type typeCache struct {
	mutex sync.Mutex
	types map[string][]uint32
}

func (typeCache *typeCache) lookup(sql string) []uint32 {
	typeCache.mutex.Lock()
	defer typeCache.mutex.Unlock()
	return typeCache.types[sql]
}

// store caches the types of the values in the first row of a result.
func (typeCache *typeCache) store(sql string, answer *result) {
	if len(answer.rows) == 0 || !slices.ContainsFunc(answer.columns, isExpression) {
		return
	}
	typeCache.mutex.Lock()
	defer typeCache.mutex.Unlock()
	if typeCache.types == nil || len(typeCache.types) >= maxCachedTypes {
		typeCache.types = map[string][]uint32{}
	}
	types, ok := typeCache.types[sql]
	if ok && !slices.Contains(types, 0) {
		return
	}
	types = make([]uint32, len(answer.columns))
	for index, column := range answer.columns {
		types[index] = column.oid
		if value := answer.rows[0][index]; column.oid == 0 && value != nil {
			types[index] = valueOID(value)
		}
	}
	typeCache.types[sql] = types
}

func isExpression(column column) bool { return column.oid == 0 }

// defaultToText returns the columns with type text in place of an unknown type.
func defaultToText(columns []column) []column {
	list := slices.Clone(columns)
	for index := range list {
		if list[index].oid == 0 {
			list[index].oid = pgtype.TextOID
		}
	}
	return list
}

// columns returns the columns of a prepared statement; an OID of 0 marks an expression of unknown type.
func (session *session) columns(entry *prepared) ([]column, error) {
	if entry.columns != nil {
		return entry.columns, nil
	}
	switch entry.kind {
	case kindMemory:
		entry.columns = memoryAnswer.columns
	case kindControl:
		entry.columns = controlColumns(entry.text)
	case kindSleep:
		entry.columns = []column{{"pg_sleep", pgtype.TextOID}}
	case kindFunction:
		entry.columns = []column{functionColumn(entry.name)}
	case kindShow:
		entry.columns = []column{{entry.name, pgtype.TextOID}}
	case kindRead, kindLockingRead, kindWrite:
		if entry.kind == kindWrite && !entry.returning {
			break
		}
		handle, err := session.openHandle()
		if err != nil {
			return nil, err
		}
		columns, err := handle.describe(entry.sql)
		if err != nil {
			return nil, err
		}
		session.inferColumns(handle, entry, columns)
		entry.columns = columns
	}
	return entry.columns, nil
}

// inferColumns sets the types of expression columns: from an earlier execution, from the table of a RETURNING clause,
// or from trial executions with NULL, a number and a text as arguments.
func (session *session) inferColumns(handle *handle, entry *prepared, columns []column) {
	if !slices.ContainsFunc(columns, isExpression) {
		return
	}
	fill := func(types []uint32) {
		for index := range columns {
			if columns[index].oid == 0 && index < len(types) {
				columns[index].oid = types[index]
			}
		}
	}
	fill(session.server.typeCache.lookup(entry.sql))
	if !slices.ContainsFunc(columns, isExpression) {
		return
	}
	if entry.kind == kindWrite {
		fill(returningTypes(handle, entry.statement, columns))
		return
	}
	if entry.words[0] == "EXPLAIN" {
		return
	}
	for _, sql := range []string{entry.sql, withoutCondition(entry.sql)} {
		if !slices.ContainsFunc(columns, isExpression) {
			return
		}
		// A type is used only if it does not depend on the type of the arguments.
		fill(trialTypes(handle, sql, entry.parameters, nil))
		numbers := trialTypes(handle, sql, entry.parameters, int64(1))
		texts := trialTypes(handle, sql, entry.parameters, "x")
		for index := range numbers {
			if index >= len(texts) || numbers[index] != texts[index] {
				numbers[index] = 0
			}
		}
		fill(numbers)
	}
}

// trialTypes executes a query with the same value for each parameter and returns the types of the first row, 0 for
// NULL.
func trialTypes(handle *handle, sql string, parameters int, value driver.Value) []uint32 {
	arguments := make([]driver.Value, parameters)
	for index := range arguments {
		arguments[index] = value
	}
	answer, err := handle.query(context.Background(), "SELECT * FROM ("+sql+"\n) LIMIT 1", arguments)
	if err != nil || len(answer.rows) == 0 {
		return nil
	}
	types := make([]uint32, len(answer.columns))
	for index, value := range answer.rows[0] {
		if value != nil {
			types[index] = valueOID(value)
		}
	}
	return types
}

// withoutCondition removes everything from the first WHERE outside of parentheses on, so that a trial finds a row.
func withoutCondition(sql string) string {
	depth := 0
	for index := 0; index < len(sql); {
		if next := skipQuoted(sql, index); next > index {
			index = next
			continue
		}
		switch sql[index] {
		case '(':
			depth++
		case ')':
			depth--
		}
		if depth == 0 && len(sql) > index+7 && strings.EqualFold(sql[index:index+6], " where") && !isWord(sql[index+6]) {
			return sql[:index]
		}
		index++
	}
	return sql
}

// returningTypes returns the declared types of the columns in the table that the statement changes.
func returningTypes(handle *handle, parsed *statement, columns []column) []uint32 {
	table := ""
	for index, word := range parsed.words[:len(parsed.words)-1] {
		if word == "INTO" || word == "UPDATE" || word == "FROM" {
			table = parsed.words[index+1]
			break
		}
	}
	declared, err := handle.describe("SELECT * FROM " + table)
	if err != nil {
		return nil
	}
	types := make([]uint32, len(columns))
	for index, column := range columns {
		for _, candidate := range declared {
			if strings.EqualFold(candidate.name, column.name) {
				types[index] = candidate.oid
			}
		}
	}
	return types
}
