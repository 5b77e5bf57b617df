package splitmix

import "testing"

// The first numbers of splitmix64 with seed 0 are those of its reference implementation.
func TestReferenceValues(t *testing.T) {
	state := uint64(0)
	for i, want := range []uint64{0xe220a8397b1dcdaf, 0x6e789e6aa1b965f4, 0x06c45d188009454f} {
		state += Gamma
		if got := Mix64(state); got != want {
			t.Errorf("number %d is %x, want %x", i, got, want)
		}
	}
}
