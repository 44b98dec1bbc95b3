package database

import (
	"encoding/json"
	"net/http"
	"slices"
	"sync"
)

// Switches holds the fault-injection switches; the zero value injects no fault.
type Switches struct {
	// LagMS is the replay lag in milliseconds: the time between receiving and replaying a record.
	LagMS int `json:"lag_ms"`
	// FrozenReplay stops replay; records are still received.
	FrozenReplay bool `json:"frozen_replay"`
	// Partitioned names the peers that cannot communicate with the server: VM names (application_name at start-up),
	// hosts or addresses of clients, ids or addresses of servers, "replication" for all servers, "all" for all peers.
	Partitioned []string `json:"partitioned"`
	// Frozen makes the server behave like a paused process: it accepts TCP connections but sends nothing.
	Frozen bool `json:"frozen"`
	// LateAnswerMS delays each response to users other than ControlUser by this number of milliseconds.
	LateAnswerMS int `json:"late_answer_ms"`
	// LoseAnswerAfterCommit is the number of coming commits that take effect and then close the connection without a
	// response.
	LoseAnswerAfterCommit int `json:"lose_answer_after_commit"`
	// CrossedAnswer is the number of coming responses to users other than ControlUser that are sent twice.
	CrossedAnswer int `json:"crossed_answer"`
	// Leaving is the value of the column leaving of group_status().
	Leaving bool `json:"leaving"`
	// RejectConnections refuses new connections with SQLSTATE 57P03.
	RejectConnections bool `json:"reject_connections"`
	// Kill closes all connections once and is reset to false.
	Kill bool `json:"kill"`
}

type switches struct {
	mutex   sync.Mutex
	current Switches
	changed chan struct{}
}

func newSwitches() *switches { return &switches{changed: make(chan struct{})} }

func (switches *switches) state() Switches {
	switches.mutex.Lock()
	defer switches.mutex.Unlock()
	return switches.current
}

func (switches *switches) watch() <-chan struct{} {
	switches.mutex.Lock()
	defer switches.mutex.Unlock()
	return switches.changed
}

// update changes the state and wakes all goroutines that wait for a change.
func (switches *switches) update(change func(*Switches) error) (Switches, error) {
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

// consume decrements the counter of a fault and reports whether it was positive.
func (switches *switches) consume(counter func(*Switches) *int) bool {
	switches.mutex.Lock()
	defer switches.mutex.Unlock()
	count := counter(&switches.current)
	if *count <= 0 {
		return false
	}
	*count--
	return true
}

// blocks reports whether the server is frozen or a peer with any of the names is partitioned.
func (state *Switches) blocks(names ...string) bool {
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

// CurrentSwitches returns the switches.
func (server *Server) CurrentSwitches() Switches { return server.switches.state() }

// Change changes the switches; change must not call the server.
func (server *Server) Change(change func(*Switches)) {
	state, _ := server.switches.update(func(state *Switches) error { change(state); return nil })
	server.applyKill(state)
}

// applyKill closes all connections if the Kill switch was set, and resets it.
func (server *Server) applyKill(state Switches) {
	if state.Kill {
		_, _ = server.switches.update(func(state *Switches) error { state.Kill = false; return nil })
		server.closeConnections()
	}
}

// SwitchesHandler returns the handler of GET and POST /switches. POST changes the fields in its body; both return the state.
func (server *Server) SwitchesHandler() http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		state := server.switches.state()
		switch request.Method {
		case http.MethodGet:
		case http.MethodPost:
			decoder := json.NewDecoder(http.MaxBytesReader(writer, request.Body, 1<<20))
			decoder.DisallowUnknownFields()
			next, err := server.switches.update(func(state *Switches) error { return decoder.Decode(state) })
			if err != nil {
				http.Error(writer, err.Error(), http.StatusBadRequest)
				return
			}
			server.applyKill(next)
			state = server.switches.state()
		default:
			http.Error(writer, "use GET or POST", http.StatusMethodNotAllowed)
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(state)
	})
}
