package standin

// Method is a method of a site. Times are in seconds.
type Method struct {
	Name, Kind       string
	Target, Deadline float64
	Window, Worth    float64
	Share            int // of all tries, in percent
}

// Methods are those of edinburgh-register, with the figures of its brief.
var Methods = []Method{
	{"plan-lookup", "retryable", 1.6, 3.9, 5, 1, 47},
	{"afford-check", "retryable", 2.3, 7.8, 5, 2, 31},
	{"agreement-record", "dedup", 3.1, 12, 35.121, 3, 22},
}

// Site holds the figures in which the cases differ.
type Site struct {
	MemoryMB, Sockets int
	Cores             int
	MemoryKB          float64
	Callers           int
}

// Config returns the platform's file for one app server of edinburgh-register.
func (s Site) Config(name, address, kernel, roster string) map[string]any {
	var profiles []any
	for _, m := range Methods {
		profiles = append(profiles, map[string]any{"name": m.Name, "idempotency": m.Kind, "onTimeS": m.Target,
			"deadlineS": m.Deadline, "windowS": m.Window, "worth": m.Worth, "lateWorth": 0.2})
	}
	return map[string]any{"name": name, "listen": address, "kernel": kernel, "roster": roster,
		"seed": "8c1f30d27a5be964", "stop_ms": 3200,
		"limits": map[string]any{"cores": 1.0, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"settings": map[string]any{"profiles": profiles, "clients": map[string]any{"marksRetry": false},
			"ceilings": map[string]any{"retryAfter": true, "maxRetryAfterS": 1.0},
			"domain": map[string]any{"below": "none", "callers": s.Callers, "nCores": s.Cores, "memoryKb": s.MemoryKB,
				"runFactor": 4.0, "entryKb": 1.0, "keepaliveMaxS": 30.0, "preemption": "freeze", "signal": "allowance",
				"ownStats": []string{}, "passesDeadline": true, "hangupSeen": true, "readiness": true},
			"rules": map[string]any{"fallS": 1.5, "graceToAnswerS": 0.08, "overloadFactor": 5.0, "rampTimeS": 18.0,
				"startCapacity": 0.2, "stopSendingWithinS": 2.5}}}
}
