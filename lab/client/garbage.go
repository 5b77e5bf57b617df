package client

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// garbageTimeout is how long a bad client waits for the error that it is owed.
const garbageTimeout = 3 * time.Second

// SendGarbage presents tokens that nobody sealed, one connection after another, as fast as it is answered, until the
// context is done. It counts what it has sent, and what was answered as it should be.
func SendGarbage(ctx context.Context, addr string, rng *rand.Rand, sent, answered *atomic.Int64) error {
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
	var word strings.Builder
	for ctx.Err() == nil {
		c, err := net.DialTimeout("tcp", addr, garbageTimeout)
		if err != nil {
			return err
		}
		word.Reset()
		word.WriteString("AQ") // the version that there is
		for range 200 + 4*rng.IntN(20) - 2 {
			word.WriteByte(letters[rng.IntN(len(letters))])
		}
		_ = c.SetDeadline(time.Now().Add(garbageTimeout))
		sent.Add(1)
		if _, err := fmt.Fprintf(c, "OPEN %x 7f c=index-sync,d=1200,cur=1,tok=%s\r\n", rng.Uint64(),
			word.String()); err == nil {
			if got, err := bufio.NewReader(c).ReadString('\n'); err == nil && strings.HasPrefix(got, "STALE ") {
				answered.Add(1)
			}
		}
		_ = c.Close()
	}
	return nil
}
