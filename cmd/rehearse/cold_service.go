package main

import (
	"context"
	"sync"
	"time"

	"valveglade/rig"
)

// serviceLog records when each RPC was requested, and whether it was ok. It is safe for concurrent use.
type serviceLog struct {
	mu      sync.Mutex
	records []serviceRecord
}

// serviceRecord is one RPC of a serviceLog.
type serviceRecord struct {
	requestedAt time.Time
	ok          bool
}

// recoveredShare is the share of RPCs that are ok once service has recovered.
const recoveredShare = 0.95

func (s *serviceLog) add(at time.Time, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records = append(s.records, serviceRecord{at, ok})
}

// share returns the share of ok RPCs among those requested from from on, within span.
func (s *serviceLog) share(from time.Time, span time.Duration) float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	requested, ok := 0, 0
	for _, record := range s.records {
		if record.requestedAt.Before(from) || !record.requestedAt.Before(from.Add(span)) {
			continue
		}
		requested++
		if record.ok {
			ok++
		}
	}
	return float64(ok) / float64(max(requested, 1))
}

// recoveredAt returns the first time after a boot from which at least recoveredShare of a span's RPCs were ok, or a minute
// after the boot if there is none.
func (s *serviceLog) recoveredAt(boot time.Time, span time.Duration) time.Time {
	const step, limit = 100 * time.Millisecond, time.Minute
	at := boot
	for at.Before(boot.Add(limit)) && s.share(at, span) < recoveredShare {
		at = at.Add(step)
	}
	return at
}

// loggedCaller records the outcome of each call in a log.
type loggedCaller struct {
	rig.Caller
	log *serviceLog
}

// Call implements rig.Caller.
func (l loggedCaller) Call(ctx context.Context, method, token string, criticality float64, body []byte) ([]byte, error) {
	began := time.Now()
	result, err := l.Caller.Call(ctx, method, token, criticality, body)
	l.log.add(began, err == nil)
	return result, err
}
