// Package answer decides whether an answer of a backend server can belong to the call for which it is taken. Answers carry no identifier of
// their call, and a server may send one twice.
package answer
