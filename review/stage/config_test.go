package stage

// route returns a route of the configuration; fields replace or add to the usual ones.
func route(name, kind, service string, fields map[string]any) map[string]any {
	out := map[string]any{
		"name": "r-" + name, "hostname": hostName, "pathPrefix": "/" + name + "/", "type": kind, "timeoutMs": 25000, "targetLatencyMs": 2000,
		"priority": 1, "service": service, "maxAttempts": 3, "public": false, "sticky": false, "resumable": false,
	}
	for k, v := range fields {
		out[k] = v
	}
	return out
}

// models are the models of the model service, the smallest first.
func models() []string { return []string{"m0", "m1", "m2"} }

// configure writes the configuration: the given routes, a model service and a plain one, and two client accounts.
func (s *site) configure(routes ...map[string]any) {
	var priced []map[string]any
	for i, m := range models() {
		priced = append(priced, map[string]any{"name": m, "cost": []float64{0.015, 0.12, 0.23}[i]})
	}
	s.store.put("config", "main", map[string]any{
		"version": 7, "routes": routes,
		"services": []map[string]any{
			{"name": "quote-writer", "healthPath": "/healthz", "maxConns": 290, "engine": map[string]any{"slots": 48, "kvCapacityTokens": 656342, "models": priced}},
			{"name": "booking-desk", "healthPath": "/healthz", "maxConns": 96},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{
			{"name": "ordinary", "apiKeys": []string{ordinary}},
			{"name": "other", "apiKeys": []string{"key-other"}},
		},
	})
}
