package hollow

import (
	"testing"

	"valveglade/logic/owner"
)

// TestRunRoles guards against a role without an owner: another candidate must take the role over within two leases after its
// owner was killed.
func TestRunRoles(t *testing.T) {
	plan := RolePlan{Candidates: 12, Roles: 2, Seconds: 10, Lease: 2, KillOwner: true, Seed: 1}
	cost, err := RunRoles(plan)
	if err != nil {
		t.Fatal(err)
	}
	if cost.TakenOverSeconds <= 0 || cost.TakenOverSeconds > 2*plan.Lease {
		t.Errorf("role taken over after %g s, want more than 0 and at most two leases", cost.TakenOverSeconds)
	}
	if cost.MessagesPerSecond <= 0 || cost.BytesPerSecond <= cost.MessagesPerSecond || cost.PeakPerTick < 1 {
		t.Errorf("implausible load on the voter: %+v", cost)
	}
}

// TestRunQuota guards against simulated leaseholders that a real allocator does not answer, for example because their requests
// are encoded wrongly.
func TestRunQuota(t *testing.T) {
	cost, err := RunQuota(QuotaPlan{Holders: 10, Kinds: 2, Seconds: 1, Seed: 1})
	if err != nil {
		t.Fatal(err)
	}
	if cost.RefusedHolders != 0 || cost.LostShare > 0.5 {
		t.Errorf("the allocator left requests unanswered: %+v", cost)
	}
	if cost.RequestsPerSecond < 100 || cost.CoreShare <= 0 || cost.BytesPerSecond <= 0 {
		t.Errorf("implausible load on the allocator: %+v", cost)
	}
}

// TestRunVoterBurst guards against lost requests of a burst that fits the voter's queue.
func TestRunVoterBurst(t *testing.T) {
	cost, err := RunVoterBurst(BurstPlan{100, t.TempDir()})
	if err != nil {
		t.Fatal(err)
	}
	if cost.Answered != 100 {
		t.Errorf("%d of 100 requests were answered", cost.Answered)
	}
}

// TestDecodeAnswer guards against taking a message of another kind or a truncated one for an allocator's answer.
func TestDecodeAnswer(t *testing.T) {
	message := encodeRoleMessage(owner.Message{Role: "o"})
	if _, ok := decodeAnswer(message); ok {
		t.Error("decoded a vote message as an answer")
	}
	for n := range 20 {
		b := append([]byte("VG\x01\x02\x01o\x01n"), make([]byte, n)...)
		if _, ok := decodeAnswer(b); ok {
			t.Errorf("decoded an answer truncated to %d bytes after its names", n)
		}
	}
}
