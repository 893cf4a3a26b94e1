package hollow

import (
	"testing"
)

func tinyPlan(restarts float64) ViewPlan {
	return ViewPlan{Members: 60, RestartsPerSecond: restarts, Restart: AllChanges, Seconds: 30, Observers: 2, Seed: 1}
}

// TestRunView has a calm fleet converged all the time, and one that restarts hardly ever.
func TestRunView(t *testing.T) {
	calm, busy := RunView(tinyPlan(0)), RunView(tinyPlan(2))
	if calm.ConvergedShare < 0.99 || calm.ViewsPerHour > 2*3600/30 {
		t.Errorf("at rest: %+v", calm)
	}
	if busy.ConvergedShare > 0.3 || busy.ViewsPerHour < 3600 {
		t.Errorf("with two restarts a second: %+v", busy)
	}
	if calm.CoreShare <= 0 || calm.HeapBytes <= 0 {
		t.Errorf("costs nothing: %+v", calm)
	}
}

// TestRunViewPastTheBound has more names than the usual settings allow.
func TestRunViewPastTheBound(t *testing.T) {
	plan := tinyPlan(0)
	plan.Members, plan.Seconds = 1500, 2
	v := newPureView(plan)
	v.start()
	for v.now < quietSeconds {
		v.step(false)
	}
	if got := len(v.nodes[0].View().Members); got != plan.Members {
		t.Errorf("%d of %d members are seen", got, plan.Members)
	}
}

// TestRunOutage has a rack lost and back.
func TestRunOutage(t *testing.T) {
	out, err := RunOutage(OutagePlan{tinyPlan(0), 10, 1})
	if err != nil {
		t.Fatal(err)
	}
	if out.LostSeconds < 1 || out.LostSeconds > 10 || out.BackSeconds < 1 || out.BackSeconds > 10 {
		t.Errorf("%+v", out)
	}
}
