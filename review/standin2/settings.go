package standin2

// Register returns the settings of a small plan server of the instalment register, with the figures of its brief.
func Register() map[string]any {
	return map[string]any{
		"profiles": []any{
			map[string]any{"name": "plan-lookup", "idempotency": "retryable", "onTimeS": 1.6, "deadlineS": 3.9, "windowS": 5.0,
				"worth": 1.0, "lateWorth": 0.2},
			map[string]any{"name": "afford-check", "idempotency": "retryable", "onTimeS": 2.3, "deadlineS": 7.8, "windowS": 5.0,
				"worth": 2.0, "lateWorth": 0.2},
			map[string]any{"name": "agreement-record", "idempotency": "dedup", "onTimeS": 3.1, "deadlineS": 12.0,
				"windowS": 35.121, "worth": 3.0, "lateWorth": 0.2}},
		"domain": map[string]any{"nCores": 4, "callers": 3, "memoryKb": 13164.0, "entryKb": 27.8, "runFactor": 4.0,
			"below": "none", "keepaliveMaxS": 30.0, "preemption": "freeze", "signal": "allowance", "passesDeadline": true,
			"hangupSeen": true, "justStarted": false, "ownStats": []any{"core_use", "on_cores", "heap_share", "links"}},
		"rules": map[string]any{"fallS": 1.5, "graceToAnswerS": 0.08, "overloadFactor": 5.0, "rampTimeS": 18.0,
			"startCapacity": 0.2, "stopSendingWithinS": 2.5},
		"clients":  map[string]any{"marksRetry": false},
		"ceilings": map[string]any{"retryAfter": true, "maxRetryAfterS": 1.0},
	}
}
