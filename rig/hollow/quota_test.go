package hollow

import (
	"testing"

	"valveglade/logic/owner"
)

// TestRunRoles has one owner of each role, and another after it has died.
func TestRunRoles(t *testing.T) {
	plan := RolePlan{Candidates: 12, Roles: 2, Seconds: 10, Lease: 2, KillOwner: true, Seed: 1}
	cost, err := RunRoles(plan)
	if err != nil {
		t.Fatal(err)
	}
	if cost.TakenOverSeconds <= 0 || cost.TakenOverSeconds > 2*plan.Lease {
		t.Errorf("taken over after %g s", cost.TakenOverSeconds)
	}
	if cost.MessagesPerSecond <= 0 || cost.BytesPerSecond <= cost.MessagesPerSecond || cost.PeakPerTick < 1 {
		t.Errorf("%+v", cost)
	}
}

// TestRunQuota has a real allocator answer hollow holders.
func TestRunQuota(t *testing.T) {
	cost, err := RunQuota(QuotaPlan{Holders: 10, Kinds: 2, Seconds: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if cost.RefusedHolders != 0 || cost.LostShare > 0.5 {
		t.Errorf("few questions are answered: %+v", cost)
	}
	if cost.RequestsPerSecond < 100 || cost.CoreShare <= 0 || cost.BytesPerSecond <= 0 {
		t.Errorf("%+v", cost)
	}
}

// TestRunVoterBurst has a burst that fits the queue answered whole.
func TestRunVoterBurst(t *testing.T) {
	cost, err := RunVoterBurst(BurstPlan{100, t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if cost.Answered != 100 {
		t.Errorf("%d of 100 are answered", cost.Answered)
	}
}

// TestDecodeAnswer refuses what is cut short.
func TestDecodeAnswer(t *testing.T) {
	question := encodeRoleMessage(owner.Message{Role: "o"})
	if _, ok := decodeAnswer(question); ok {
		t.Error("a vote is taken for an answer")
	}
	for n := range 20 {
		b := append([]byte("VG\x01\x02\x01o\x01n"), make([]byte, n)...)
		if _, ok := decodeAnswer(b); ok {
			t.Errorf("an answer cut at %d is taken", n)
		}
	}
}
