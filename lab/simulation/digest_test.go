package simulation

import (
	"testing"

	"spurspread/lab/scenario"
)

// runDigests has, for each script, the hash over all events of a run with 8 members and seed 3. The hashes detect every
// change in the decisions of package membership. An intended change updates them in a separate commit.
var runDigests = map[string]string{
	"loss":      "762a4ad666b8ae63",
	"one-sided": "1271da918df229d2",
	"pause":     "392885d0b779dd9f",
	"quiet":     "afcff7fc4e4b5cb1",
	"return":    "a5b13bf3865542f8",
	"split":     "db9e10dc1f4acf73",
	"storm":     "5d33bc70b4d23d0c",
	"tired":     "bc108e4019eb53fe",
	"weak":      "f99ff8473863a643",
}

func TestRunDigests(t *testing.T) {
	if len(runDigests) != len(scenario.Names()) {
		t.Errorf("%d digests for %d scripts, want as many", len(runDigests), len(scenario.Names()))
	}
	for _, name := range scenario.Names() {
		r, err := Run(name, 8, 3, BalancerMembers(3), nil)
		if err != nil {
			t.Fatal(err)
		}
		if r.Hash != runDigests[name] {
			t.Errorf("%q: %q,", name, r.Hash)
		}
	}
}
