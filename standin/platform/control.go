package platform

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// switchesHandler serves the switches, the call counts and changes of the VM list.
//
//	GET    /switches   the switches; POST changes those in the body
//	GET    /counts     the call counts; ?reset=true resets them
//	GET    /vms        the VM list without lag; PUT replaces it
//	PUT    /vms/ID     adds or replaces a VM; DELETE removes it
//	POST   /compact    drops the history, which cancels watches from older revisions
func (platform *Platform) switchesHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /switches", func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, http.StatusOK, platform.Switches())
	})
	mux.HandleFunc("POST /switches", func(writer http.ResponseWriter, request *http.Request) {
		// The body is validated first, so that the change cannot fail after some fields were set.
		raw, err := io.ReadAll(request.Body)
		if err != nil || !decode(writer, bytes.NewReader(raw), &Switches{}) {
			return
		}
		reply(writer, http.StatusOK, platform.injector.change(func(switches *Switches) { _ = json.Unmarshal(raw, switches) }))
	})
	mux.HandleFunc("GET /counts", func(writer http.ResponseWriter, request *http.Request) {
		reply(writer, http.StatusOK, platform.injector.counts(request.URL.Query().Get("reset") == "true"))
	})
	mux.HandleFunc("GET /vms", func(writer http.ResponseWriter, _ *http.Request) {
		reply(writer, http.StatusOK, vmsBody{VMs: platform.VMs()})
	})
	mux.HandleFunc("PUT /vms", func(writer http.ResponseWriter, request *http.Request) {
		var body vmsBody
		if decode(writer, request.Body, &body) {
			platform.SetVMs(body.VMs)
			reply(writer, http.StatusOK, vmsBody{VMs: platform.VMs()})
		}
	})
	mux.HandleFunc("PUT /vms/{id}", func(writer http.ResponseWriter, request *http.Request) {
		vm := VM{}
		if decode(writer, request.Body, &vm) {
			vm.ID = request.PathValue("id")
			reply(writer, http.StatusOK, vmsBody{VMs: platform.vms.upsert(vm)})
		}
	})
	mux.HandleFunc("DELETE /vms/{id}", func(writer http.ResponseWriter, request *http.Request) {
		reply(writer, http.StatusOK, vmsBody{VMs: platform.vms.remove(request.PathValue("id"))})
	})
	mux.HandleFunc("POST /compact", func(writer http.ResponseWriter, _ *http.Request) {
		platform.Compact()
		reply(writer, http.StatusOK, struct{}{})
	})
	return mux
}

func decode(writer http.ResponseWriter, body io.Reader, into any) bool {
	decoder := json.NewDecoder(body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		http.Error(writer, fmt.Sprintf("request body: %v", err), http.StatusBadRequest)
		return false
	}
	return true
}

func reply(writer http.ResponseWriter, status int, body any) {
	writer.Header().Set("Content-Type", "application/json")
	writer.WriteHeader(status)
	_ = json.NewEncoder(writer).Encode(body)
}
