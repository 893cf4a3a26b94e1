package hollow

import (
	"testing"
)

func smallPlan(restartsPerSecond float64) ViewPlan {
	return ViewPlan{Members: 60, RestartsPerSecond: restartsPerSecond, Restart: AllChanges, Seconds: 30, Observers: 2, Seed: 1}
}

// TestRunView guards against views that do not converge in a fleet without changes, and against a simulation in which restarts
// do not reach the views.
func TestRunView(t *testing.T) {
	calm, busy := RunView(smallPlan(0)), RunView(smallPlan(2))
	if calm.ConvergedShare < 0.99 || calm.ViewsPerHour > 2*3600/30 {
		t.Errorf("without restarts: %+v", calm)
	}
	if busy.ConvergedShare > 0.3 || busy.ViewsPerHour < 3600 {
		t.Errorf("with two restarts per second: %+v", busy)
	}
	if calm.CoreShare <= 0 || calm.HeapBytes <= 0 {
		t.Errorf("no CPU time or heap measured: %+v", calm)
	}
}

// TestRunViewAboveNameLimit guards against members that are left out of views because there are more names than the default
// limit allows.
func TestRunViewAboveNameLimit(t *testing.T) {
	plan := smallPlan(0)
	plan.Members, plan.Seconds = 1500, 2
	r := newViewRun(plan)
	r.start()
	for r.now < warmUpSeconds {
		r.step(false)
	}
	if got := len(r.observers[0].View().Members); got != plan.Members {
		t.Errorf("view has %d of %d members", got, plan.Members)
	}
}

// TestRunOutage guards against views that take too long to converge after the failure and the return of ten members.
func TestRunOutage(t *testing.T) {
	cost, err := RunOutage(OutagePlan{smallPlan(0), 10, 1})
	if err != nil {
		t.Fatal(err)
	}
	if cost.LostSeconds < 1 || cost.LostSeconds > 10 || cost.BackSeconds < 1 || cost.BackSeconds > 10 {
		t.Errorf("want 1 to 10 s until converged in both directions: %+v", cost)
	}
}
