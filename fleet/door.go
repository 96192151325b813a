package fleet

import (
	"encoding/json"
	"net/http"

	"hollylever/consensus"
	"hollylever/fleetconfig"
)

// ServeHTTP answers operators' calls under /fleet.
func (f *Fleet) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == "/fleet" && r.Method == http.MethodGet:
		answer(w, f.Status())
	case r.URL.Path == "/fleet/history" && r.Method == http.MethodGet:
		answer(w, f.History())
	case r.URL.Path == "/fleet/propose" && r.Method == http.MethodPost:
		var p fleetconfig.Proposal
		reader := json.NewDecoder(r.Body)
		reader.DisallowUnknownFields()
		if err := reader.Decode(&p); err != nil {
			http.Error(w, "not a proposal: "+err.Error(), http.StatusBadRequest)
			return
		}
		o := f.Propose(r.Context(), consensus.Proposal{ID: p.ID, Author: p.Author, Reason: p.Reason, BaseRevision: p.BaseRevision, EjectEndpoints: p.EjectEndpoints, UnejectEndpoints: p.UnejectEndpoints, Limits: p.Limits,
			SettingsDigest: p.SettingsDigest, DiscoverySource: p.DiscoverySource, MinListIndex: p.MinListIndex, EvacuateZones: p.EvacuateZones, RestoreZones: p.RestoreZones})
		answer(w, fleetconfig.ProposalResult{ID: o.ID, Revision: o.Revision, Reason: o.Reason, IsFinal: o.IsFinal})
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
