//go:build review

package main

// trinidad returns the settings of a small deployment of the site trinidad-main, for one of n balancers. Times are
// microseconds.
func trinidad(rank, n int, zone int) map[string]any {
	return map[string]any{
		"balancers": n, "rank": rank, "zone": zone,
		"dcs":       []string{"chaguanas", "san-fernando", "arima"},
		"skus":      []string{"fast", "standard", "slow"},
		"discovery": "ask", "weights": "nominal", "worth_by": "request", "tick": 2000,
		"callers": map[string]any{"marks_retry": false},
		"limits": map[string]any{
			"most_tries": 4, "probes": true, "may_cancel": true, "retry_after": true, "max_retry_after": 1000000,
			"connect_timeout": 75000, "second_copies": false, "peers": false, "conn_idle": 5000000, "most_held": 1000000,
		},
		"rules": map[string]any{
			"answer_slack": 8000, "ask_every": 10000000, "cold": 23000000, "cold_from": 0.13, "drain_grace": 2500000,
			"overload_factor": 3.0, "tip_after": 1000000,
		},
		"fees": map[string]any{"cross_zone": 0.1, "moves": 0.039, "probe": 0.0016},
		"request_classes": []map[string]any{
			{
				"name": "index-sync", "slo": 300000, "deadline": 1200000, "effect": "read_like", "key_scope": "all",
				"streaming": true, "worth": 5.0, "window": 5000000,
			},
			{
				"name": "metadata-watch", "slo": 500000, "deadline": 2000000, "effect": "read_like", "key_scope": "all",
				"streaming": true, "worth": 1.0, "window": 5000000,
			},
		},
		"specifics": map[string]any{
			"mode": "proxy", "groups": true, "message_aim": []float64{250000, 50000}, "tells_delay": true, "tells_load": false,
		},
		"stats": map[string]any{"columns": []string{}, "via": "off"},
	}
}

// headquarters returns the settings of a small deployment of the site hq-live-feed, for one of n balancers.
func headquarters(rank, n, zone int) map[string]any {
	class := func(name string, aim, deadline, worth float64) map[string]any {
		return map[string]any{
			"name": name, "slo": aim, "deadline": deadline, "effect": "read_like", "key_scope": "all", "streaming": true,
			"worth": worth, "window": 5000000,
		}
	}
	return map[string]any{
		"balancers": n, "rank": rank, "zone": zone,
		"dcs":       []string{"ulaanbaatar", "darkhan", "erdenet"},
		"skus":      []string{"new-box", "old-box"},
		"discovery": "ask", "weights": "rough", "worth_by": "request", "tick": 4000,
		"callers": map[string]any{"marks_retry": true},
		"limits": map[string]any{
			"most_tries": 6, "probes": false, "may_cancel": true, "retry_after": false, "connect_timeout": 100000,
			"second_copies": false, "peers": false, "conn_idle": 15000000, "most_held": 1000000,
		},
		"rules": map[string]any{
			"answer_slack": 8000, "ask_every": 10000000, "cold": 23000000, "cold_from": 0.13, "drain_grace": 300000,
			"overload_factor": 3.0, "tip_after": 1500000,
		},
		"fees": map[string]any{"cross_zone": 0.1, "moves": 0.012, "probe": 0.0},
		"request_classes": []map[string]any{
			class("order-status", 500000, 3000000, 5), class("catalogue-feed", 500000, 3000000, 1),
			class("stock-check", 300000, 1800000, 5),
		},
		"specifics": map[string]any{
			"mode": "proxy", "groups": true, "message_aim": []float64{150000, 150000, 150000}, "tells_delay": true,
			"tells_load": true,
		},
		"stats": map[string]any{"columns": []string{}, "via": "off"},
	}
}
