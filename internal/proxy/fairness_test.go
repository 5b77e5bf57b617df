package proxy

import "testing"

// endlessClient is a client that always has more to read, a byte at a time. It counts the reads.
type endlessClient struct {
	downstream
	reads int
}

func (c *endlessClient) Read(b []byte) (int, error) {
	c.reads++
	return copy(b, "x"), nil
}

// Guards against a client's share of the loop that grows with each turn: reads that several events of a turn cut short
// are continued once in the next turn.
func TestReadsAreContinuedOnce(t *testing.T) {
	h := newHarness(t, 1, sendToFirst, nil)
	h.establish()
	continued := make(chan int)
	h.onLoop(func() {
		r := firstRequest(h)
		client := &endlessClient{downstream: r.downstream}
		r.downstream = client
		for range 3 {
			r.readClient()
		}
		before := client.reads
		h.loop.After(0, func() {
			reads := client.reads - before
			r.close()
			go func() { continued <- reads }()
		})
	})
	if got := <-continued; got != readsPerTurn {
		t.Errorf("%d reads in the next turn, want %d", got, readsPerTurn)
	}
}
