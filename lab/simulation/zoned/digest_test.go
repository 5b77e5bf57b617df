package zoned

import (
	"fmt"
	"testing"
	"time"
)

// runDigests has the hash over all events and the bytes of each member, for runs with the seeds 0, 1 and 2. They detect
// every change in the decisions on zones. An intended change updates them in a separate commit.
var runDigests = []string{
	"754020f1582baeec[194863 182668 150103 181643 135275 166835 148266 154304 66914 60753 49909 76069 " +
		"159674 181753 142402 146330 185605 178081 158939 145316 168022 187016 143366 171153 154264 176997 " +
		"167894 143019 152976 140905]",
	"380d9b6daedfc369[186186 178889 144467 170454 133814 161074 141049 143852 48115 47649 51438 64328 " +
		"141236 161221 138700 137139 185064 171337 135253 139450 156361 179160 147758 164998 160025 177036 " +
		"159135 139153 150546 132602]",
	"2812ed7a76838e4c[177110 189046 127843 168456 127115 167354 129323 155725 53824 49948 49472 66063 " +
		"157703 180454 142712 140953 190002 173821 152314 139009 156247 183020 144109 165909 158126 177082 " +
		"180797 140699 153851 124790]",
}

func TestRunDigests(t *testing.T) {
	for seed, want := range runDigests {
		f := New(smallFleet(), uint64(seed), nil)
		f.RunFor(12 * time.Second)
		f.Crash(f.Zones[1]...)
		f.RunFor(6 * time.Second)
		f.Restart(f.Zones[1][:2]...)
		f.SetPartition([]int{0}, []int{2}, true)
		f.RunFor(8 * time.Second)
		f.SetPartition([]int{0}, []int{2}, false)
		f.Leave(f.Zones[2][0])
		f.RunFor(8 * time.Second)
		if got := fmt.Sprint(f.Hash(), f.bytes()); got != want {
			t.Errorf("seed %d: %q", seed, got)
		}
	}
}
