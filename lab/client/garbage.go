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

const (
	// garbageTimeout bounds the dial of a connection with a random token, and then the wait for its answer.
	garbageTimeout = 3 * time.Second
	// tokenPrefix is the encoded version of tokens. A token without it would be refused before it is decrypted.
	tokenPrefix = "AQ"
	// tokenLetters is the alphabet of tokens.
	tokenLetters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_"
)

// SendGarbage presents random tokens, each on a new connection and as fast as they are answered, until the context is
// done. It adds the tokens that it has sent to sent, and those that were refused with STALE to answered. An error means
// that it could not connect.
func SendGarbage(ctx context.Context, addr string, rng *rand.Rand, sent, answered *atomic.Int64) error {
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", addr, garbageTimeout)
		if err != nil {
			return err
		}
		text := garbageToken(rng)
		_ = conn.SetDeadline(time.Now().Add(garbageTimeout))
		sent.Add(1)
		if refusedAsStale(conn, rng.Uint64(), text) {
			answered.Add(1)
		}
		_ = conn.Close()
	}
	return nil
}

// garbageToken returns a random text with the length and the alphabet of a token.
func garbageToken(rng *rand.Rand) string {
	var text strings.Builder
	text.WriteString(tokenPrefix)
	for range 200 + 4*rng.IntN(20) - len(tokenPrefix) {
		text.WriteByte(tokenLetters[rng.IntN(len(tokenLetters))])
	}
	return text.String()
}

// refusedAsStale opens a stream with a token on conn, and reports whether the answer is STALE.
func refusedAsStale(conn net.Conn, id uint64, token string) bool {
	if _, err := fmt.Fprintf(conn, "OPEN %x 7f c=index-sync,d=1200,cur=1,tok=%s\r\n", id, token); err != nil {
		return false
	}
	answer, err := bufio.NewReader(conn).ReadString('\n')
	return err == nil && strings.HasPrefix(answer, wordStale+" ")
}
