package fleet

import (
	"encoding/json"
	"net/http"

	"hollylever/agreed"
	"hollylever/joining"
)

// ServeHTTP answers operators' calls under /fleet.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/fleet" && r.Method == http.MethodGet:
		answer(w, f.Status())
	case r.URL.Path == "/fleet/history" && r.Method == http.MethodGet:
		answer(w, f.History())
	case r.URL.Path == "/fleet/propose" && r.Method == http.MethodPost:
		var p joining.Proposal
		reader := json.NewDecoder(r.Body)
		reader.DisallowUnknownFields()
		if err := reader.Decode(&p); err != nil {
			http.Error(w, "not a proposal: "+err.Error(), http.StatusBadRequest)
			return
		}
		o := f.Propose(r.Context(), agreed.Change{ID: p.ID, By: p.By, Why: p.Why, Base: p.Base, Out: p.Out, Back: p.Back, Limits: p.Limits,
			Digest: p.Digest, Source: p.Source, From: p.From, Leave: p.Leave, Return: p.Return})
		answer(w, joining.Answer{ID: o.ID, Version: o.Number, Wrong: o.Wrong, Sure: o.Sure})
	case r.URL.Path == "/fleet" || r.URL.Path == "/fleet/history" || r.URL.Path == "/fleet/propose":
		http.Error(w, "this call is for another method", http.StatusMethodNotAllowed)
	default:
		http.Error(w, "unknown call", http.StatusNotFound)
	}
}

func answer(w http.ResponseWriter, what any) {
	w.Header().Set("Content-Type", "application/json")
	out := json.NewEncoder(w)
	out.SetIndent("", "  ")
	out.Encode(what)
}
