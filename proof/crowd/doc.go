// Package crowd tests the PostgreSQL proxy against crowds of callers that send too much, too slowly or only in part: the process must
// live, stay within its memory and connections, and serve an ordinary caller.
package crowd
