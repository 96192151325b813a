package main

// workload is a class of requests in the settings.
func workload(name, effect string, dedup, expected, hardStop, worth float64, keepOrder bool) map[string]any {
	w := map[string]any{"name": name, "effect": effect, "group": "all", "dedupWindow": dedup, "expectedTime": expected, "hardStop": hardStop,
		"value": worth, "tardyValue": 0.0, "stream": false}
	if keepOrder {
		w["keepOrder"] = true
	}
	return w
}

// baseSettings are those of a small deployment.
func baseSettings(zones, types []string, allowed, invariants map[string]any, workloads ...map[string]any) map[string]any {
	return map[string]any{
		"allowed": allowed, "balancers": 1, "beyondShareValue": 0.2, "clients": map[string]any{"marksRetry": false},
		"extra":     map[string]any{"mode": "through", "originKind": -1},
		"goal":      map[string]any{"whole": 0.8, "worstWindow": 0.1, "worstClass": 0.1, "worstTenant": 0.0},
		"hostTypes": types, "invariants": invariants, "layer": 0, "me": 0, "quantum": 5.0,
		"report": map[string]any{"fields": []string{}, "source": "silent"}, "serviceType": "cache", "tenants": []any{},
		"tiers": []string{"cache"}, "valuePer": "request", "weights": "nominal", "workloads": workloads, "zone": zones[0], "zones": zones,
	}
}

// rigaSettings are those of riga-match-cache: lists are pushed, and only draining binds.
func rigaSettings() map[string]any {
	s := baseSettings([]string{"riga-centrs", "riga-plavnieki", "jelgava"}, []string{"fast-1", "mid-1", "slow-1"},
		map[string]any{"cancelling": true, "connIdle": 60000.0, "dialTimeout": 250.0, "cpuUsPerS": 400000, "maxRetryAfter": 2000.0, "mostHeld": 20000,
			"mostTrips": 6, "peers": false, "probing": false, "retryAfter": true, "secondCopies": true, "streamsPerConn": 100},
		map[string]any{"answerSlack": 20.0, "drainGrace": 250.0, "fallMultiple": 2.0, "startCapacity": 0.22, "tipAfter": 2000.0, "warmUp": 15000.0,
			"onlyDrainingBinds": true, "deadlineDrift": 2000.0},
		workload("match-read", "free", 7500, 800, 2000, 5, false),
		workload("turn-submit", "guarded", 7500, 750, 1500, 2, false),
		workload("shop-buy", "single_shot", 7500, 1200, 4000, 2, false))
	s["registryMode"] = "automatic"
	return s
}

// kzSettings are those of kz-charge-map: lists come on a watch.
func kzSettings() map[string]any {
	s := baseSettings([]string{"almaty-1", "almaty-2", "astana-1"}, []string{"fast-single", "twin-core", "slow-single"},
		map[string]any{"cancelling": true, "connIdle": 10000.0, "dialTimeout": 250.0, "cpuUsPerS": 400000, "maxRetryAfter": 2000.0, "mostHeld": 20000,
			"mostTrips": 3, "peers": false, "probing": false, "retryAfter": true, "secondCopies": true, "streamsPerConn": 100},
		map[string]any{"answerSlack": 20.0, "askEvery": 10000.0, "drainGrace": 2500.0, "fallMultiple": 2.5, "startCapacity": 0.14, "tipAfter": 3000.0, "warmUp": 23000.0},
		workload("station-lookup", "free", 4000, 600, 1500, 3, false),
		workload("slot-booking", "single_shot", 4000, 500, 1200, 8, false),
		workload("fault-report", "guarded", 4000, 500, 1000, 2, false))
	s["registryMode"] = "subscribe"
	return s
}
