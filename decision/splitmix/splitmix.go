// Package splitmix has the hash of a number that decisions share. It is a leaf: it knows nothing of this module.
package splitmix

// Gamma is the increment of splitmix64: its multiples tell several hashes of one number apart.
const Gamma = 0x9e3779b97f4a7c15

const (
	shift1      = 30
	multiplier1 = 0xbf58476d1ce4e5b9
	shift2      = 27
	multiplier2 = 0x94d049bb133111eb
	shift3      = 31
)

// Mix64 is the finalizer of splitmix64: a one-to-one mapping in which each bit of the result depends on all of x.
func Mix64(x uint64) uint64 {
	x = (x ^ x>>shift1) * multiplier1
	x = (x ^ x>>shift2) * multiplier2
	return x ^ x>>shift3
}
