package gate

// actions is the gate as the module sees it.
type actions[T any] Gate[T]

func (a *actions[T]) criticality(i int) float64 {
	return a.settings.Methods[a.slots[i].method].Criticality
}

func (a *actions[T]) gate() *Gate[T] { return (*Gate[T])(a) }

func (a *actions[T]) job(i int, do Action) {
	s := &a.slots[i]
	a.jobs = append(a.jobs, Job[T]{Action: do, RPC: ID{i, s.life}, Request: s.who})
}

func (a *actions[T]) BlockingLimit(method int) int {
	if a.permits == nil {
		return 0
	}
	return a.permits.BlockingLimit(method)
}

func (a *actions[T]) Start(i int) {
	a.gate().unwait(i)
	a.slots[i].runs = true
	if a.permits != nil {
		a.permits.RunStarted(a.slots[i].method, a.criticality(i))
	}
	if s := &a.slots[i]; s.entry != nil && s.entry.runner == (ID{i, s.life}) {
		s.entry.state = started
	}
	a.job(i, Run)
}

func (a *actions[T]) Stop(i int)         { a.job(i, Pause) }
func (a *actions[T]) Call(int, float64)  {} // methods that may call are refused before they get here
func (a *actions[T]) Skip(int)           {}
func (a *actions[T]) Abort(i int)        { a.gate().answer(i, Job[T]{Action: Abort}) }
func (a *actions[T]) Publish(v float64)  { a.credit = v }
func (a *actions[T]) Wake(after float64) { a.wake = after }
func (a *actions[T]) Release(i int)      { a.gate().move(i, free) }

func (a *actions[T]) PushBack(i int, last bool, after float64) {
	a.gate().answer(i, Job[T]{Action: PushBack, NoRetry: last, RetryAfter: after})
}

func (a *actions[T]) Remember(i int, span float64) {
	s := &a.slots[i]
	if s.token == "" {
		return // what is read about is not told here
	}
	s.entry = a.tokens.remember(tokenID{s.method, s.token}, s.body, ID{i, s.life}, a.now+s.ahead+span)
}

func (a *actions[T]) Forget(i int) {
	if s := &a.slots[i]; s.entry != nil && s.entry.runner == (ID{i, s.life}) {
		a.ended = append(a.ended, a.tokens.forget(s.entry)...)
		s.entry = nil
	}
}

func (a *actions[T]) Follow(i int) {
	a.gate().unwait(i) // it runs nothing
	if e := a.slots[i].entry; e.proven() {
		a.ended = append(a.ended, i)
	} else {
		e.followers = append(e.followers, i)
	}
}

func (a *actions[T]) Health(good bool) {
	a.healthy = good
	signal(a.changed)
}

func (a *actions[T]) Reap(idle float64) {
	a.reap = idle
	signal(a.changed)
}

func (a *actions[T]) Log(text string) {
	a.notes = append(a.notes, text)
	signal(a.changed)
}
