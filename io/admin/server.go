package admin

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/go-kit/log"
	"github.com/rcrowley/go-metrics"
)

const (
	headerTimeout = 5 * time.Second
	idleTimeout   = 2 * time.Minute
	// maxBodyBytes bounds the body of a request. A contract of the maximum size of 1 MB takes more when it is quoted in
	// JSON.
	maxBodyBytes = 4 << 20
)

// Option changes a default of the server.
type Option func(*Server)

// WithTLS makes the server use HTTPS with the settings.
func WithTLS(settings *tls.Config) Option {
	return func(server *Server) { server.tls = settings }
}

// WithClock sets the clock for the times at which keys are issued and withdrawn. The default is time.Now.
func WithClock(now func() time.Time) Option {
	return func(server *Server) { server.now = now }
}

// WithPollInterval sets the interval of repeated requests to the key-value service or to other VMs.
func WithPollInterval(pollInterval time.Duration) Option {
	return func(server *Server) { server.pollInterval = pollInterval }
}

// Server serves the administration API of one VM.
type Server struct {
	Dependencies
	index        *index
	tls          *tls.Config
	now          func() time.Time
	pollInterval time.Duration
	http         *http.Server
}

// New returns a server. Call Serve to run it.
func New(dependencies Dependencies, options ...Option) *Server {
	if dependencies.Logger == nil {
		dependencies.Logger = log.NewNopLogger()
	}
	if dependencies.Metrics == nil {
		dependencies.Metrics = metrics.NewRegistry()
	}
	server := &Server{Dependencies: dependencies, index: newIndex(), now: time.Now, pollInterval: defaultPollInterval}
	for _, option := range options {
		option(server)
	}
	server.http = &http.Server{
		Handler: server.Handler(), TLSConfig: server.tls, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
	}
	dependencies.Control.OnChange(server.index.add)
	return server
}

// Serve accepts connections until Shutdown is called. It closes the listener.
func (server *Server) Serve(listener net.Listener) error {
	var err error
	if server.tls != nil {
		err = server.http.ServeTLS(listener, "", "")
	} else {
		err = server.http.Serve(listener)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return fmt.Errorf("serve administration API on %s: %w", listener.Addr(), err)
}

// Shutdown waits for running requests and then closes all connections. The context bounds the wait.
func (server *Server) Shutdown(ctx context.Context) error {
	if err := server.http.Shutdown(ctx); err != nil {
		return errors.Join(fmt.Errorf("stop administration API: %w", err), server.http.Close())
	}
	return nil
}

// Handler returns the API as an HTTP handler.
func (server *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /healthz", server.health)
	mux.HandleFunc("GET /readyz", server.ready)
	mux.HandleFunc("GET /metrics", server.metrics)
	for pattern, handler := range map[string]handler{
		"GET /v1/contracts":                              server.listContracts,
		"GET /v1/contracts/{organisation}":               server.showContract,
		"PUT /v1/contracts/{organisation}":               server.applyContract,
		"DELETE /v1/contracts/{organisation}":            server.withdrawContract,
		"POST /v1/contracts/{organisation}/keys":         server.issueKey,
		"DELETE /v1/contracts/{organisation}/keys/{key}": server.withdrawKey,
		"GET /v1/groups":                                 server.listGroups,
		"PUT /v1/groups/{group}":                         server.applyGroup,
		"GET /v1/status":                                 server.status,
		"GET /v1/refusals/{id}":                          server.explainRefusal,
		"POST /v1/drain/{vm}":                            server.drain,
	} {
		mux.HandleFunc(pattern, server.requireOperator(handler))
	}
	mux.HandleFunc("/", func(writer http.ResponseWriter, request *http.Request) {
		writeProblem(writer, notFound("no such endpoint: "+request.Method+" "+request.URL.Path, "use `dotterelctl`, which knows the endpoints"))
	})
	return mux
}
