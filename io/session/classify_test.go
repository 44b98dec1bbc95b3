package session

import "testing"

// TestClassify guards against statements that are misclassified because of comments, quotes or several statements in a text.
func TestClassify(t *testing.T) {
	cases := map[string]class{
		"":                              {},
		" ; ;":                          {},
		"select 1":                      {statements: 1, selectOnly: true},
		"(SELECT 1) UNION SELECT 2":     {statements: 1, selectOnly: true},
		"SELECT 1;":                     {statements: 1, selectOnly: true},
		"SELECT 1; SELECT 2":            {statements: 2},
		"SELECT 1; DELETE FROM t":       {statements: 2},
		"SELECTED":                      {statements: 1},
		"-- c\n/* a /* b */ ; */ begin": {statements: 1, begins: true},
		"BEGIN READ ONLY":               {statements: 1, begins: true, beginsReadOnly: true},
		"start transaction isolation level repeatable read, read only":  {statements: 1, begins: true, beginsReadOnly: true},
		"BEGIN READ ONLY, READ WRITE":                                   {statements: 1, begins: true, readWrite: true},
		"BEGIN; INSERT INTO t VALUES (1); END":                          {statements: 3, endsTransaction: true, commits: true},
		"ROLLBACK":                                                      {statements: 1, endsTransaction: true},
		"COPY t FROM STDIN":                                             {statements: 1, unsupported: true},
		"INSERT INTO t VALUES ('; COPY t')":                             {statements: 1},
		"INSERT INTO t VALUES (E'\\'; COPY t')":                         {statements: 1},
		"INSERT INTO t VALUES ('\\'); COPY t":                           {statements: 2, unsupported: true},
		"SELECT $a$; listen x$a$":                                       {statements: 1, selectOnly: true},
		"SELECT $1; listen x":                                           {statements: 2, unsupported: true},
		"SELECT \"a;notify\" /* ; copy */":                              {statements: 1, selectOnly: true},
		"-- c\rSET search_path = a":                                     {statements: 1, pins: true},
		"SELECT 1 AS a$$$; listen x; SELECT 1 AS b$$$":                  {statements: 3, unsupported: true},
		"SELECT 1 AS \xe4$$$; listen x; SELECT $$;$$":                   {statements: 3, unsupported: true},
		"SELECT $$a$$$$;$$":                                             {statements: 1, selectOnly: true},
		"SELECT $1$; listen x; SELECT $1$":                              {statements: 3, unsupported: true},
		"SELECT E'a''\\''; listen x --'":                                {statements: 2, unsupported: true},
		"SELECT E'a'\n'\\''; listen x --'":                              {statements: 2, unsupported: true},
		"SELECT E'a' -- c\r\n -- d\r '\\''; listen x --'":               {statements: 2, unsupported: true},
		"SELECT E'a' '\\'; listen x --'":                                {statements: 2, unsupported: true},
		"SELECT E'a' /*\n*/ '\\'; listen x --'":                         {statements: 2, unsupported: true},
		"SELECT 'a'\n'\\'; listen x --'":                                {statements: 2, unsupported: true},
		"SELECT a$e'\\'; listen x --'":                                  {statements: 2, unsupported: true},
		"SELECT E'a'''\n'b'":                                            {statements: 1, selectOnly: true},
		"SELECT 1 -- ; copy\r; listen x":                                {statements: 2, unsupported: true},
		"SELECT 1 -- ; copy":                                            {statements: 1, selectOnly: true},
		"SET search_path = a":                                           {statements: 1, pins: true},
		"SET LOCAL search_path = a":                                     {statements: 1},
		"SET local /**/ .v = a":                                         {statements: 1, pins: true},
		"SET TRANSACTION READ ONLY":                                     {statements: 1},
		"SET TRANSACTION ISOLATION LEVEL SERIALIZABLE, READ /**/ WRITE": {statements: 1, readWrite: true},
		"SET LOCAL \"transaction_read_only\" = off":                     {statements: 1, readWrite: true},
		"reset Default_Transaction_Read_Only":                           {statements: 1, readWrite: true},
		"SET search_path = a; SELECT transaction_read_only":             {statements: 2, pins: true},
		"CREATE TEMP TABLE t (a int)":                                   {statements: 1, pins: true},
		"create or replace temp view v":                                 {statements: 1, pins: true},
		"CREATE GLOBAL TEMPORARY TABLE t (a int)":                       {statements: 1, pins: true},
		"CREATE FUNCTION pg_temp.f() RETURNS int":                       {statements: 1, pins: true},
		"CREATE TABLE temp (a int)":                                     {statements: 1},
		"SELECT 1 into/**/temporary t":                                  {statements: 1, selectOnly: true, pins: true},
		"WITH a AS (SELECT 1) SELECT 1 INTO pg_temp.t":                  {statements: 1, pins: true},
		"SELECT temp FROM t; INSERT INTO temp VALUES (1)":               {statements: 2},
		"SELECT 1 AS printinto; CREATE TEMP TABLE t (a int)":            {statements: 2, pins: true},
		"EXPLAIN ANALYZE CREATE TEMP TABLE t AS SELECT 1":               {statements: 1, pins: true},
		"SELECT set_config('v', 'a', false)":                            {statements: 1, selectOnly: true, pins: true},
		"SELECT pg_catalog.SET_CONFIG ('v', 'a', $1)":                   {statements: 1, selectOnly: true, pins: true},
		"SELECT set_config('v', 'a, (', /* , false */ TRUE)":            {statements: 1, selectOnly: true},
		"SELECT set_config('v', 'a', true), set_config('w', 'a', 'f')":  {statements: 1, selectOnly: true, pins: true},
		"SELECT set_config('v', 'a', true":                              {statements: 1, selectOnly: true, pins: true},
		"DO $$ BEGIN PERFORM set_config('v', 'a', false); END $$":       {statements: 1, pins: true},
		"SELECT pg_try_advisory_lock(1)":                                {statements: 1, selectOnly: true, pins: true},
		"SELECT pg_advisory_xact_lock(1), my_set_config(1)":             {statements: 1, selectOnly: true},
		"PREPARE TRANSACTION 'x'":                                       {statements: 1, pins: true, endsTransaction: true, commits: true},
		"NOTIFY x":                                                      {statements: 1, unsupported: true},
	}
	for text, want := range cases {
		if got := classify(text); got != want {
			t.Errorf("%q: got %+v, want %+v", text, got, want)
		}
	}
}

// FuzzClassify guards against texts on which the scanner panics or does not terminate.
func FuzzClassify(f *testing.F) {
	for _, seed := range []string{"SELECT 1;", "$$", "'", "E'\\", "/*", "--", "$a$ $a", "\"", "BEGIN READ"} {
		f.Add(seed)
	}
	f.Fuzz(func(_ *testing.T, text string) { classify(text) })
}
