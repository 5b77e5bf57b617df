package eventloop

import (
	"fmt"
	"testing"
)

// benchSizes are the numbers of entries for which the cost is measured.
var benchSizes = []int{2_000, 5_000, 20_000, 80_000}

// Each set-up sets and cancels a deadline about four times, while all other deadlines stay.
func BenchmarkDeadlineSetAndCancel(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var d deadlines
			for i := range n {
				d.set(Micros(i*7919%n), func() {})
			}
			at := 0
			for b.Loop() {
				at = (at + 7919) % n
				d.cancel(d.set(Micros(at), func() {}))
			}
		})
	}
}

// Each connection takes and frees a slot, while all other slots stay in use.
func BenchmarkSlotPutAndDrop(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s Slots[*Conn]
			for range n {
				s.Put(&Conn{})
			}
			c := &Conn{}
			for b.Loop() {
				s.Drop(s.Put(c))
			}
		})
	}
}
