package answercause

import "testing"

// Each cause has its own name, because the statistics would add up causes with the same name.
func TestNamesDiffer(t *testing.T) {
	seen := map[string]Cause{}
	for c := range Cause(Count) {
		if other, known := seen[c.String()]; known || c.String() == "" {
			t.Errorf("causes %d and %d have the same or an empty name: %q", c, other, c)
		}
		seen[c.String()] = c
	}
	if Cause(Count).String() != "unknown" {
		t.Errorf("name of a value beyond the causes: %v, want unknown", Cause(Count))
	}
}
