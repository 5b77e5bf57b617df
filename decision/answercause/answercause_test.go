package answercause

import "testing"

// Each cause has a name of its own: the statistics would add up what shares one.
func TestNamesDiffer(t *testing.T) {
	seen := map[string]Cause{}
	for c := range Cause(Count) {
		if other, known := seen[c.String()]; known || c.String() == "" {
			t.Errorf("causes %d and %d are both called %q", c, other, c)
		}
		seen[c.String()] = c
	}
	if Cause(Count).String() != "unknown" {
		t.Errorf("beyond the causes: %v", Cause(Count))
	}
}
