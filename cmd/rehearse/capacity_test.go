package main

import (
	"os"
	"strings"
	"testing"

	"valveglade/rig/slope"
)

// TestCapacityPage checks that the tables of the capacity page are those of the committed result file: they get out of date if
// one is changed without the other.
func TestCapacityPage(t *testing.T) {
	result, err := slope.ReadResult("../../docs/capacity/scale.json")
	if err != nil {
		t.Fatal(err)
	}
	page, err := os.ReadFile("../../docs/CAPACITY.md")
	if err != nil {
		t.Fatal(err)
	}
	var want strings.Builder
	if err := writeCapacity(&want, result); err != nil {
		t.Fatal(err)
	}
	_, rest, found := strings.Cut(string(page), capacityBegin)
	got, _, ended := strings.Cut(rest, capacityEnd)
	if !found || !ended {
		t.Fatal("docs/CAPACITY.md has no generated part between the two markers")
	}
	if got = capacityBegin + got + capacityEnd + "\n"; got != want.String() {
		t.Errorf("the tables of the page differ from docs/capacity/scale.json: run `rehearse capacity docs/capacity/scale.json`\n%s",
			want.String())
	}
}

// TestBudgetRowMarksExtrapolation checks that a value within the sizes that were run is marked as measured, and one beyond the
// largest of them as extrapolated.
func TestBudgetRowMarksExtrapolation(t *testing.T) {
	points := []slope.Point{{X: 1, Y: 2}, {X: 2, Y: 4}, {X: 3, Y: 6}, {X: 4, Y: 8}}
	fit, err := slope.Linear(points)
	if err != nil {
		t.Fatal(err)
	}
	series := slope.Series{Name: "s", Unit: "B", Against: "members", Points: points, Fit: fit, Largest: 4, ClockFactor: 1}
	within := budgetRow(budget{name: "memory", series: "s", limit: 5, design: 4}, series)
	if strings.Contains(within, "worked out") || !strings.Contains(within, "2.5, measured") {
		t.Errorf("within the sizes that were run: %s", within)
	}
	beyond := budgetRow(budget{name: "memory", series: "s", limit: 20, design: 100}, series)
	if strings.Contains(beyond, "measured") || !strings.Contains(beyond, "10, worked out") {
		t.Errorf("beyond the sizes that were run: %s", beyond)
	}
}
