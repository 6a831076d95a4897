package main

// casaSettings are the settings of a small deployment with the figures of casa-photo-store.
func casaSettings(dispatchers, cells int) map[string]any {
	return map[string]any{
		"me": 0, "peers_total": dispatchers, "tier": 0, "tiers": []string{"photo-nodes"},
		"areas": []string{"casa-room-1"}, "zone": 0, "kinds": []string{"node-std", "node-slow"},
		"discovery": "on_request", "family": "stores", "round_ms": 2.0, "weights": "rough",
		"callers": map[string]any{"marks_retry": false},
		"classes": []any{
			map[string]any{
				"name": "photo-read", "credit": 3.0, "slo_ms": 300.0, "deadline_ms": 1500.0, "late_worth": 0.1,
				"effect": "idempotent", "group": "all", "window_ms": 5000.0, "stream": false,
			},
			map[string]any{
				"name": "photo-write", "credit": 2.0, "slo_ms": 500.0, "deadline_ms": 4000.0, "late_worth": 0.2,
				"effect": "deduplicated", "group": "cell", "window_ms": 4000.0, "stream": false,
			},
		},
		"family_info": map[string]any{
			"class_writes": []bool{false, true}, "largest": 8, "usual_units": 2.0, "slots_total": cells,
			"counts_others": true, "metering_ms": 1000.0, "young_limit": 13.0, "fair_worth": 0.4, "beyond_share": 0.1,
		},
		"limits": map[string]any{
			"cancel": true, "conn_idle_ms": 15000.0, "connect_timeout_ms": 250.0, "cpu_us_per_request": 0.0,
			"cpu_us_per_s": 300000, "max_open": 20000, "max_retry_after_ms": 2000.0, "may_tell": false, "multiplex": 100,
			"probes": false, "retry_after": true, "second_copies": false, "try_limit": 3,
		},
		"policies": []any{
			map[string]any{
				"name": "standard", "base_rate": 60.0, "guaranteed": 72.0, "weight": 2.0, "value_factor": 1.2,
				"limit": 0.0, "limit_burst": 0.0, "cap_slack": 0.0,
			},
		},
		"report": map[string]any{"fields": []string{"inflight"}, "how": "answers"},
		"rules": map[string]any{
			"answer_slack_ms": 8.0, "ask_within_ms": 10000.0, "cold_from": 0.19, "drain_grace_ms": 250.0,
			"free_resends": 3.0, "overload_factor": 2.5, "overload_for_ms": 1000.0, "resend_ratio": 0.1,
			"resend_span_ms": 5000.0, "warm_up_ms": 18000.0,
		},
	}
}

func volumeOf(cell int) string {
	return []string{
		"00000003b4d60021", "00000003b4d60022", "00000003b4d60023", "00000003b4d60024"}[cell%4]
}
