package admin

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/rcrowley/go-metrics"

	"dotterelgw/core/ids"
)

// call is a request of an authenticated operator.
type call struct {
	*http.Request
	operator Operator
}

// handler handles a request and returns the response body, or an error that is sent as a Problem.
type handler func(call call) (any, error)

// requireOperator authenticates requests, calls the handler and writes its result.
func (server *Server) requireOperator(handler handler) http.HandlerFunc {
	return func(writer http.ResponseWriter, request *http.Request) {
		operator, ok := authenticate(server.Operators, request)
		if !ok {
			writer.Header().Set("WWW-Authenticate", "Bearer")
			writeProblem(writer, &Problem{
				Code: CodeUnauthorized, Message: "the credential was not accepted",
				Next: "send an operator's credential in the header Authorization: Bearer; its SHA-256 must be in the settings under [admin]",
			})
			return
		}
		request.Body = http.MaxBytesReader(writer, request.Body, maxBodyBytes)
		body, err := handler(call{Request: request, operator: operator})
		if err != nil {
			_ = server.Logger.Log("level", "warn", "msg", "request refused", "operator", operator.Name,
				"method", request.Method, "path", request.URL.Path, "err", err)
			writeProblem(writer, err)
			return
		}
		writeJSON(writer, http.StatusOK, body)
	}
}

// decode decodes the JSON body of a request. An empty body yields the zero value.
func decode[T any](call call) (T, error) {
	var body T
	if call.ContentLength == 0 {
		return body, nil
	}
	decoder := json.NewDecoder(call.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&body); err != nil {
		return body, invalid("request body: "+err.Error(), "correct the request; the body is JSON")
	}
	return body, nil
}

// queryRevision returns the query parameter "expected", or nil if it is absent.
func queryRevision(call call) (*ids.Revision, error) {
	text := call.URL.Query().Get("expected")
	if text == "" {
		return nil, nil
	}
	number, err := strconv.ParseInt(text, 10, 64)
	if err != nil || number < 0 {
		return nil, invalid("expected is not a revision: "+strconv.Quote(text), "give the revision that the change replaces")
	}
	revision := ids.Revision(number)
	return &revision, nil
}

var statusOf = map[Code]int{
	CodeInvalid:        http.StatusBadRequest,
	CodeUnauthorized:   http.StatusUnauthorized,
	CodeNotFound:       http.StatusNotFound,
	CodeConflict:       http.StatusConflict,
	CodeUnavailable:    http.StatusServiceUnavailable,
	CodeOutcomeUnknown: http.StatusGatewayTimeout,
	CodeOtherVM:        http.StatusMisdirectedRequest,
}

func writeProblem(writer http.ResponseWriter, err error) {
	var problem *Problem
	if !errors.As(err, &problem) {
		problem = &Problem{Code: CodeUnavailable, Message: err.Error(), Next: "try again, also on another VM"}
	}
	writeJSON(writer, statusOf[problem.Code], problem)
}

func writeJSON(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.Header().Set("Cache-Control", "no-store")
	writer.WriteHeader(status)
	// The status line has been sent. An error here means that the client has closed the connection.
	_ = json.NewEncoder(writer).Encode(body)
}

func invalid(message, next string) *Problem {
	return &Problem{Code: CodeInvalid, Message: message, Next: next}
}

func notFound(message, next string) *Problem {
	return &Problem{Code: CodeNotFound, Message: message, Next: next}
}

// health reports that the process is running.
func (server *Server) health(writer http.ResponseWriter, _ *http.Request) {
	writeJSON(writer, http.StatusOK, map[string]any{"vm": server.VM, "healthy": true})
}

// ready reports whether the VM accepts new connections. The load balancer evaluates the status code.
func (server *Server) ready(writer http.ResponseWriter, _ *http.Request) {
	if err := server.Ready(); err != nil {
		writeJSON(writer, http.StatusServiceUnavailable, map[string]any{"vm": server.VM, "ready": false, "reason": err.Error()})
		return
	}
	writeJSON(writer, http.StatusOK, map[string]any{"vm": server.VM, "ready": true})
}

// metrics writes the metrics registry as JSON.
func (server *Server) metrics(writer http.ResponseWriter, _ *http.Request) {
	writer.Header().Set("Content-Type", "application/json")
	metrics.WriteJSONOnce(server.Metrics, writer)
}
