package database

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// State holds the fault-injection switches; the zero value is a healthy server.
type State struct {
	// LagMS is the time in milliseconds between receiving and replaying a record.
	LagMS int `json:"lag_ms"`
	// FrozenReplay stops replay; records are still received.
	FrozenReplay bool `json:"frozen_replay"`
	// Partitioned names the peers that are cut off: VM names (application_name at start-up), hosts or addresses of
	// clients, ids or addresses of servers, "replication" for all servers, "all" for everyone.
	Partitioned []string `json:"partitioned"`
	// Frozen stops the server as a paused process: it accepts TCP connections and answers nothing.
	Frozen bool `json:"frozen"`
	// LateAnswerMS delays each answer on ordinary connections by this number of milliseconds.
	LateAnswerMS int `json:"late_answer_ms"`
	// LoseAnswerAfterCommit is the number of commits that take effect and then cut the connection without an answer.
	LoseAnswerAfterCommit int `json:"lose_answer_after_commit"`
	// CrossedAnswer is the number of answers on ordinary connections that are delivered twice.
	CrossedAnswer int `json:"crossed_answer"`
	// Leaving is reported by group_status().
	Leaving bool `json:"leaving"`
	// RejectConnections refuses new connections with 57P03.
	RejectConnections bool `json:"reject_connections"`
	// Kill cuts all connections once; it reads as false afterwards.
	Kill bool `json:"kill"`
}

type switches struct {
	mutex   sync.Mutex
	current State
	changed chan struct{}
}

func newSwitches() *switches { return &switches{changed: make(chan struct{})} }

func (switches *switches) state() State {
	switches.mutex.Lock()
	defer switches.mutex.Unlock()
	return switches.current
}

func (switches *switches) watch() <-chan struct{} {
	switches.mutex.Lock()
	defer switches.mutex.Unlock()
	return switches.changed
}

// update changes the state and wakes everyone who waits for a change.
func (switches *switches) update(change func(*State) error) (State, error) {
	switches.mutex.Lock()
	defer switches.mutex.Unlock()
	next := switches.current
	next.Partitioned = slices.Clone(next.Partitioned)
	if err := change(&next); err != nil {
		return switches.current, err
	}
	switches.current = next
	close(switches.changed)
	switches.changed = make(chan struct{})
	return next, nil
}

// take uses up one of a counted fault and states whether there was one.
func (switches *switches) take(counter func(*State) *int) bool {
	switches.mutex.Lock()
	defer switches.mutex.Unlock()
	count := counter(&switches.current)
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// blocks states whether a peer with any of the names is cut off or the server is frozen.
func (state *State) blocks(names ...string) bool {
	if state.Frozen {
		return true
	}
	for _, name := range state.Partitioned {
		if name == "all" || name != "" && slices.Contains(names, name) {
			return true
		}
	}
	return false
}

// State returns the switches.
func (server *Server) State() State { return server.switches.state() }

// Set changes the switches.
func (server *Server) Set(change func(*State)) {
	state, _ := server.switches.update(func(state *State) error { change(state); return nil })
	server.switched(state)
}

// switched carries out the switches that are actions.
func (server *Server) switched(state State) {
	if state.Kill {
		_, _ = server.switches.update(func(state *State) error { state.Kill = false; return nil })
		server.cutAll()
	}
}

// Switches returns the handler of GET and POST /switches; POST merges the fields that it gets and answers the state.
func (server *Server) Switches() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		state := server.switches.state()
		switch request.Method {
		case http.MethodGet:
		case http.MethodPost:
			decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, 1<<20))
			decoder.DisallowUnknownFields()
			next, err := server.switches.update(func(state *State) error { return decoder.Decode(state) })
			if err != nil {
				http.Error(writer, err.Error(), http.StatusBadRequest)
				return
			}
			server.switched(next)
			state = server.switches.state()
		default:
			http.Error(writer, "use GET or POST", http.StatusMethodNotAllowed)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(state)
	})
}
