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
	keyIDSize = 4
	Overhead  = keyIDSize + chacha20poly1305.NonceSizeX + chacha20poly1305.Overhead
	// Hello is not a member's message: it tells who has not been told yet which process of a name this is. Its content
	// counts for nothing else.
	Hello = membership.SyncEntries + 1
)

// Key is one of a site's keys. One seals; all open.
type Key struct {
	Secret  [chacha20poly1305.KeySize]byte
	Primary bool
}

// Keyring seals datagrams: the first bytes of the key's SHA-256, a random nonce, and the content sealed with both as
// additional data. It is for one goroutine.
type Keyring struct {
	keys    []keyringEntry
	primary int
	buf     []byte
}

type keyringEntry struct {
	id   [keyIDSize]byte
	aead cipher.AEAD
}

// NewKeyring returns a ring of keys, of which exactly one seals and no two may be the same.
func NewKeyring(keys []Key) (*Keyring, error) {
	r := &Keyring{primary: -1, buf: make([]byte, 0, MaxPlaintext)}
	seen := map[[keyIDSize]byte]bool{}
	for i, k := range keys {
		aead, err := chacha20poly1305.NewX(k.Secret[:])
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(k.Secret[:])
		id := [keyIDSize]byte(sum[:])
		if seen[id] {
			return nil, fmt.Errorf("packet: key %d is the same as one before it", i)
		}
		seen[id] = true
		if k.Primary {
			if r.primary >= 0 {
				return nil, errors.New("packet: two keys seal")
			}
			r.primary = i
		}
		r.keys = append(r.keys, keyringEntry{id, aead})
	}
	if r.primary < 0 {
		return nil, errors.New("packet: no key seals")
	}
	return r, nil
}

// Seal appends a datagram with this content.
func (r *Keyring) Seal(to, plain []byte) []byte {
	k := &r.keys[r.primary]
	start := len(to)
	to = append(to, k.id[:]...)
	to = append(to, make([]byte, chacha20poly1305.NonceSizeX)...)
	nonce := to[start+keyIDSize:]
	_, _ = rand.Read(nonce) // never fails
	return k.aead.Seal(to, nonce, plain, to[start:start+keyIDSize])
}

// Open returns a datagram's content, which is good until the next call.
func (r *Keyring) Open(datagram []byte) ([]byte, error) {
	if len(datagram) <= Overhead || len(datagram) > MaxPlaintext+Overhead {
		return nil, ErrMalformed
	}
	for i := range r.keys {
		if k := &r.keys[i]; string(k.id[:]) == string(datagram[:keyIDSize]) {
			nonce := datagram[keyIDSize : keyIDSize+chacha20poly1305.NonceSizeX]
			plain, err := k.aead.Open(r.buf[:0], nonce, datagram[keyIDSize+len(nonce):], datagram[:keyIDSize])
			if err != nil {
				return nil, ErrForged
			}
			return plain, nil
		}
	}
	return nil, ErrUnknownKey
}

// ReplayWindow remembers which counts of one sender have come.
type ReplayWindow struct {
	highest uint64 // the highest; all at or under top-WindowSize count as come
	seen    [ReplayWindowSize / 64]uint64
}

// ReplayWindowSize is how far behind the latest one a datagram may come.
const ReplayWindowSize = 1024

// take notes a count, and returns false for one that has come, or may have.
func (w *ReplayWindow) Accept(n uint64) bool {
	if n == 0 || n+ReplayWindowSize <= w.highest {
		return false
	}
	for ; w.highest < n && n-w.highest <= ReplayWindowSize; w.highest++ {
		w.clear(w.highest + 1)
	}
	if w.highest < n {
		*w = ReplayWindow{highest: n}
	}
	bit := uint64(1) << (n % 64)
	word := &w.seen[n%ReplayWindowSize/64]
	if *word&bit != 0 {
		return false
	}
	*word |= bit
	return true
}

func (w *ReplayWindow) clear(n uint64) { w.seen[n%ReplayWindowSize/64] &^= 1 << (n % 64) }
