package fleet

import (
	"encoding/json"
	"net/http"

	"hollylever/agreed"
	"hollylever/joining"
)

// calls are those that the admin endpoint hands on, and the method of each.
var calls = map[string]string{"/fleet": http.MethodGet, "/fleet/history": http.MethodGet, "/fleet/propose": http.MethodPost}

// ServeHTTP answers the operators' calls under /fleet. The admin endpoint bounds the body and the time of each.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, known := calls[r.URL.Path]
	switch {
	case !known:
		http.Error(w, "unknown call", http.StatusNotFound)
	case r.Method != method:
		http.Error(w, "this call is for another method", http.StatusMethodNotAllowed)
	case r.URL.Path == "/fleet":
		writeJSON(w, f.Status())
	case r.URL.Path == "/fleet/history":
		writeJSON(w, f.History())
	default:
		f.servePropose(w, r)
	}
}

// servePropose answers with what became of a proposal, in proposalTimeout at most.
func (f *Fleet) servePropose(w http.ResponseWriter, r *http.Request) {
	var p joining.Proposal
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		http.Error(w, "not a proposal: "+err.Error(), http.StatusBadRequest)
		return
	}
	result := f.Propose(r.Context(), agreed.Change{
		ID: p.ID, By: p.By, Why: p.Why, Base: p.Base, Out: p.Out, Back: p.Back, Limits: p.Limits,
		Digest: p.Digest, Source: p.Source, From: p.From, Leave: p.Leave, Return: p.Return,
	})
	writeJSON(w, joining.Answer{ID: result.ID, Version: result.Number, Wrong: result.Wrong, Sure: result.Sure})
}

// writeJSON writes an answer in lines for people. A caller that has gone is owed nothing.
func writeJSON(w http.ResponseWriter, content any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(content)
}
