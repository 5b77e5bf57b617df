// Package splitmix implements the 64-bit integer hash that several packages of decisions use. It imports nothing of
// this module.
package splitmix

// Gamma is the increment of splitmix64. Adding its multiples to a number yields several distinct hashes of that number.
const Gamma = 0x9e3779b97f4a7c15

const (
	shift1      = 30
	multiplier1 = 0xbf58476d1ce4e5b9
	shift2      = 27
	multiplier2 = 0x94d049bb133111eb
	shift3      = 31
)

// Mix64 returns the splitmix64 finalizer of x, a one-to-one mapping in which each bit of the result depends on all of
// x.
func Mix64(x uint64) uint64 {
	x = (x ^ x>>shift1) * multiplier1
	x = (x ^ x>>shift2) * multiplier2
	return x ^ x>>shift3
}
