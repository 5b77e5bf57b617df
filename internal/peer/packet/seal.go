package packet

import (
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"
	"spurspread/decision/membership"

	"golang.org/x/crypto/chacha20poly1305"
)

const (
	keySize  = 4
	Overhead = keySize + chacha20poly1305.NonceSizeX + chacha20poly1305.Overhead
	// Hello is not a member's message: it tells who has not been told yet which process of a name this is. Its content
	// counts for nothing else.
	Hello = membership.Entries + 1
)

// Key is one of a site's keys. One seals; all open.
type Key struct {
	Secret [chacha20poly1305.KeySize]byte
	Seals  bool
}

// Ring seals datagrams: the first bytes of the key's SHA-256, a random nonce, and the content sealed with both as
// additional data. It is for one goroutine.
type Ring struct {
	keys []ringKey
	seal int
	buf  []byte
}

type ringKey struct {
	id   [keySize]byte
	aead cipher.AEAD
}

// NewRing returns a ring of keys, of which exactly one seals and no two may be the same.
func NewRing(keys []Key) (*Ring, error) {
	r := &Ring{seal: -1, buf: make([]byte, 0, MaxPlain)}
	seen := map[[keySize]byte]bool{}
	for i, k := range keys {
		aead, err := chacha20poly1305.NewX(k.Secret[:])
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(k.Secret[:])
		id := [keySize]byte(sum[:])
		if seen[id] {
			return nil, fmt.Errorf("packet: key %d is the same as one before it", i)
		}
		seen[id] = true
		if k.Seals {
			if r.seal >= 0 {
				return nil, errors.New("packet: two keys seal")
			}
			r.seal = i
		}
		r.keys = append(r.keys, ringKey{id, aead})
	}
	if r.seal < 0 {
		return nil, errors.New("packet: no key seals")
	}
	return r, nil
}

// Seal appends a datagram with this content.
func (r *Ring) Seal(to, plain []byte) []byte {
	k := &r.keys[r.seal]
	start := len(to)
	to = append(to, k.id[:]...)
	to = append(to, make([]byte, chacha20poly1305.NonceSizeX)...)
	nonce := to[start+keySize:]
	_, _ = rand.Read(nonce) // never fails
	return k.aead.Seal(to, nonce, plain, to[start:start+keySize])
}

// Open returns a datagram's content, which is good until the next call.
func (r *Ring) Open(datagram []byte) ([]byte, error) {
	if len(datagram) <= Overhead || len(datagram) > MaxPlain+Overhead {
		return nil, ErrMalformed
	}
	for i := range r.keys {
		if k := &r.keys[i]; string(k.id[:]) == string(datagram[:keySize]) {
			nonce := datagram[keySize : keySize+chacha20poly1305.NonceSizeX]
			plain, err := k.aead.Open(r.buf[:0], nonce, datagram[keySize+len(nonce):], datagram[:keySize])
			if err != nil {
				return nil, ErrForged
			}
			return plain, nil
		}
	}
	return nil, ErrKey
}

// Window remembers which counts of one sender have come.
type Window struct {
	top  uint64 // the highest; all at or under top-WindowSize count as come
	seen [WindowSize / 64]uint64
}

// WindowSize is how far behind the latest one a datagram may come.
const WindowSize = 1024

// take notes a count, and returns false for one that has come, or may have.
func (w *Window) Take(n uint64) bool {
	if n == 0 || n+WindowSize <= w.top {
		return false
	}
	for ; w.top < n && n-w.top <= WindowSize; w.top++ {
		w.clear(w.top + 1)
	}
	if w.top < n {
		*w = Window{top: n}
	}
	bit := uint64(1) << (n % 64)
	word := &w.seen[n%WindowSize/64]
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

func (w *Window) clear(n uint64) { w.seen[n%WindowSize/64] &^= 1 << (n % 64) }
