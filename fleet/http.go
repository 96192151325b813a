package fleet

import (
	"encoding/json"
	"net/http"

	"hollylever/consensus"
	"hollylever/fleetconfig"
)

// allowedMethods maps the path of each call that the admin endpoint forwards to its HTTP method.
var allowedMethods = map[string]string{
	"/fleet":         http.MethodGet,
	"/fleet/history": http.MethodGet,
	"/fleet/propose": http.MethodPost,
}

// ServeHTTP serves the calls under /fleet. The admin endpoint limits the body size and the duration of each call.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	method, known := allowedMethods[r.URL.Path]
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

// servePropose makes a proposal and responds with its result, within proposalTimeout.
func (f *Fleet) servePropose(w http.ResponseWriter, r *http.Request) {
	var p fleetconfig.Proposal
	decoder := json.NewDecoder(r.Body)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&p); err != nil {
		http.Error(w, "not a proposal: "+err.Error(), http.StatusBadRequest)
		return
	}
	result := f.Propose(r.Context(), consensus.Proposal{
		ID: p.ID, Author: p.Author, Reason: p.Reason, BaseRevision: p.BaseRevision,
		EjectEndpoints: p.EjectEndpoints, UnejectEndpoints: p.UnejectEndpoints,
		EvacuateZones: p.EvacuateZones, RestoreZones: p.RestoreZones, Limits: p.Limits,
		SettingsDigest: p.SettingsDigest, DiscoverySource: p.DiscoverySource, MinListIndex: p.MinListIndex,
	})
	writeJSON(w, fleetconfig.ProposalResult{
		ID: result.ID, Revision: result.Revision, Reason: result.Reason, IsFinal: result.IsFinal,
	})
}

// writeJSON writes the response as indented JSON, for human readers. It ignores write errors, which occur when the
// client has disconnected.
func writeJSON(w http.ResponseWriter, content any) {
	w.Header().Set("Content-Type", "application/json")
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(content)
}
