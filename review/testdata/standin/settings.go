package main

// The settings of a small deployment, in the form in which a dispatcher reads them: one zone, reads
// that are safe to repeat, writes with a key, and three plans, of which one has a limit.

// baseSettings returns the settings that the cases share. lists says how lists of storage servers
// come: "pushed" or "on_request".
func baseSettings(lists string, shards int) map[string]any {
	return map[string]any{
		"me": 0, "peers_total": 3, "zone": 0, "tier": 0, "tiers": []any{"nodes"},
		"family": "stores", "discovery": lists, "areas": []any{"dc1"}, "kinds": []any{"node-2c"},
		"round_ms": 2.0, "weights": "rough",
		"callers": map[string]any{"marks_retry": false},
		"classes": []any{
			map[string]any{
				"name": "read", "credit": 3.0, "slo_ms": 300.0, "deadline_ms": 1500.0, "late_worth": 0.1,
				"effect": "idempotent", "group": "all", "stream": false, "window_ms": 5000.0,
			},
			map[string]any{
				"name": "save", "credit": 2.0, "slo_ms": 500.0, "deadline_ms": 4000.0, "late_worth": 0.2,
				"effect": "deduplicated", "group": "cell", "stream": false, "window_ms": 4000.0,
			},
		},
		"family_info": map[string]any{
			"class_writes": []any{false, true}, "counts_others": true, "metering_ms": 1000.0,
			"largest": 8, "usual_units": 2.0, "slots_total": shards, "young_limit": 12.0,
			"beyond_share": 0.1, "fair_worth": 0.5,
		},
		"limits": map[string]any{
			"cancel": true, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0, "max_open": 20000,
			"max_retry_after_ms": 2000.0, "may_tell": false, "multiplex": 100, "probes": false,
			"retry_after": true, "second_copies": false, "try_limit": 3,
		},
		"policies": []any{
			map[string]any{
				"name": "basic", "base_rate": 4.0, "guaranteed": 2.0, "weight": 1.0, "value_factor": 0.9,
				"limit": 24.0, "limit_burst": 40.0, "cap_slack": 8.0,
			},
			map[string]any{
				"name": "standard", "base_rate": 6.0, "guaranteed": 7.0, "weight": 2.0, "value_factor": 1.1,
				"limit": 0.0, "limit_burst": 0.0, "cap_slack": 0.0,
			},
			map[string]any{
				"name": "priority", "base_rate": 10.0, "guaranteed": 12.0, "weight": 3.0, "value_factor": 1.5,
				"limit": 0.0, "limit_burst": 0.0, "cap_slack": 0.0,
			},
		},
		"report": map[string]any{"fields": []any{"rif", "lat_ms"}, "how": "answers"},
		"rules": map[string]any{
			"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "drain_grace_ms": 250.0,
			"cold_from": 0.2, "warm_up_ms": 15000.0, "overload_factor": 2.5, "overload_for_ms": 1000.0,
			"free_resends": 3.0, "resend_ratio": 0.1, "resend_span_ms": 5000.0,
		},
	}
}
