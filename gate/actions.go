package gate

// actions implements rpc.Actions: the module calls its methods to carry out its decisions, such as to start or to push
// back an RPC. The caller holds g.mu, except in New.
type actions[T any] Gate[T]

func (a *actions[T]) criticality(i int) float64 {
	return a.settings.Methods[a.slots[i].method].Criticality
}

func (a *actions[T]) gate() *Gate[T] { return (*Gate[T])(a) }

func (a *actions[T]) addJob(i int, action Action) {
	s := &a.slots[i]
	a.jobs = append(a.jobs, Job[T]{Action: action, RPC: ID{i, s.generation}, Request: s.request})
}

func (a *actions[T]) BlockingLimit(method int) int {
	if a.permits == nil {
		return 0
	}
	return a.permits.BlockingLimit(method)
}

// Start queues a job to run an RPC, which takes its permit and no longer counts as waiting. The run is recorded as
// started at once, before the job is taken from the queue: with the permits by RunStarted, and in the entry of the RPC's
// token. holdsPermit is set even if permits is nil; releasePermit then only clears it.
func (a *actions[T]) Start(i int) {
	a.gate().stopWaiting(i)
	a.slots[i].holdsPermit = true
	if a.permits != nil {
		a.permits.RunStarted(a.slots[i].method, a.criticality(i))
	}
	// The runner of the token's entry may be another attempt with the same token; the entry becomes started only if this
	// attempt is its runner.
	if s := &a.slots[i]; s.entry != nil && s.entry.runner == (ID{i, s.generation}) {
		s.entry.state = started
	}
	a.addJob(i, Run)
}

func (a *actions[T]) Stop(i int)         { a.addJob(i, Pause) }
func (a *actions[T]) Call(int, float64)  {} // methods with downstream calls are refused before they reach the gate
func (a *actions[T]) Skip(int)           {}
func (a *actions[T]) Abort(i int)        { a.gate().answer(i, Job[T]{Action: Abort}) }
func (a *actions[T]) Publish(v float64)  { a.credit = v }
func (a *actions[T]) Wake(after float64) { a.wakeAfter = after }
func (a *actions[T]) Release(i int)      { a.gate().setState(i, free) }

func (a *actions[T]) PushBack(i int, noRetry bool, retryAfter float64) {
	a.gate().answer(i, Job[T]{Action: PushBack, NoRetry: noRetry, RetryAfter: retryAfter})
}

func (a *actions[T]) Remember(i int, ttl float64) {
	s := &a.slots[i]
	if s.token == "" {
		return // the module also remembers reads by their subject, which the gate does not know
	}
	s.entry = a.tokens.remember(tokenID{s.method, s.token}, s.bodyDigest, ID{i, s.generation}, a.now+s.clockSkew+ttl)
}

func (a *actions[T]) Forget(i int) {
	if s := &a.slots[i]; s.entry != nil && s.entry.runner == (ID{i, s.generation}) {
		a.endedFollowers = append(a.endedFollowers, a.tokens.forget(s.entry)...)
		s.entry = nil
	}
}

func (a *actions[T]) Follow(i int) {
	a.gate().stopWaiting(i) // a follower does not run
	if e := a.slots[i].entry; e.isVerified() {
		a.endedFollowers = append(a.endedFollowers, i)
	} else {
		e.followers = append(e.followers, i)
	}
}

func (a *actions[T]) Health(healthy bool) {
	a.healthy = healthy
	notify(a.changed)
}

func (a *actions[T]) Reap(idle float64) {
	a.idleTimeout = idle
	notify(a.changed)
}

func (a *actions[T]) Log(text string) {
	a.messages = append(a.messages, text)
	notify(a.changed)
}
