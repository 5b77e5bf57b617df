package packet

import (
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"errors"
	"fmt"

	"golang.org/x/crypto/chacha20poly1305"
)

const (
	fingerprintSize = 4 // bytes
	// Overhead is the number of bytes by which an encrypted datagram is longer than its content.
	Overhead = fingerprintSize + chacha20poly1305.NonceSizeX + chacha20poly1305.Overhead
)

// Errors of NewKeyring.
var (
	// ErrDuplicateKey is returned if two keys are equal.
	ErrDuplicateKey = errors.New("packet: a key is listed twice")
	// ErrPrimaryKey is returned unless exactly one key is primary.
	ErrPrimaryKey = errors.New("packet: exactly one key must be primary")
)

// Key is one of a fleet's keys. The primary key encrypts; every key decrypts.
type Key struct {
	Secret  [chacha20poly1305.KeySize]byte
	Primary bool
}

// Keyring encrypts and decrypts datagrams with XChaCha20-Poly1305. A datagram consists of the key's fingerprint (the
// first bytes of its SHA-256), a random nonce and the ciphertext; the fingerprint is authenticated as additional data.
// A Keyring must not be used concurrently.
type Keyring struct {
	keys    []keyringEntry
	primary int    // index in keys
	buf     []byte // content of the last datagram that was opened
}

type keyringEntry struct {
	fingerprint [fingerprintSize]byte
	aead        cipher.AEAD
}

// NewKeyring returns a keyring of the given keys, or an error that wraps ErrDuplicateKey or ErrPrimaryKey.
func NewKeyring(keys []Key) (*Keyring, error) {
	const none = -1
	r := &Keyring{primary: none, buf: make([]byte, 0, MaxPlaintext)}
	for i, key := range keys {
		entry, err := newKeyringEntry(key)
		if err != nil {
			return nil, err
		}
		if r.find(entry.fingerprint) != nil {
			return nil, fmt.Errorf("%w: key %d of %d", ErrDuplicateKey, i+1, len(keys))
		}
		r.keys = append(r.keys, entry)
		if !key.Primary {
			continue
		}
		if r.primary != none {
			return nil, fmt.Errorf("%w: keys %d and %d are", ErrPrimaryKey, r.primary+1, i+1)
		}
		r.primary = i
	}
	if r.primary == none {
		return nil, fmt.Errorf("%w: none of %d is", ErrPrimaryKey, len(keys))
	}
	return r, nil
}

func newKeyringEntry(key Key) (keyringEntry, error) {
	aead, err := chacha20poly1305.NewX(key.Secret[:])
	if err != nil {
		return keyringEntry{}, fmt.Errorf("packet: %w", err)
	}
	hash := sha256.Sum256(key.Secret[:])
	return keyringEntry{fingerprint: [fingerprintSize]byte(hash[:]), aead: aead}, nil
}

// find returns the key with the given fingerprint, nil if there is none.
func (r *Keyring) find(fingerprint [fingerprintSize]byte) *keyringEntry {
	for i := range r.keys {
		if r.keys[i].fingerprint == fingerprint {
			return &r.keys[i]
		}
	}
	return nil
}

// Seal encrypts plaintext with the primary key and appends the datagram to dst.
func (r *Keyring) Seal(dst, plaintext []byte) []byte {
	key := &r.keys[r.primary]
	start := len(dst)
	dst = append(dst, key.fingerprint[:]...)
	dst = append(dst, make([]byte, chacha20poly1305.NonceSizeX)...)
	nonce := dst[start+fingerprintSize:]
	_, _ = rand.Read(nonce) // never fails
	return key.aead.Seal(dst, nonce, plaintext, dst[start:start+fingerprintSize])
}

// Open decrypts a datagram and returns its content, which is valid until the next call. It returns ErrMalformed,
// ErrUnknownKey or ErrForged.
func (r *Keyring) Open(datagram []byte) ([]byte, error) {
	if len(datagram) <= Overhead || len(datagram) > MaxPlaintext+Overhead {
		return nil, ErrMalformed
	}
	fingerprint, rest := datagram[:fingerprintSize], datagram[fingerprintSize:]
	key := r.find([fingerprintSize]byte(fingerprint))
	if key == nil {
		return nil, ErrUnknownKey
	}
	nonce, sealed := rest[:chacha20poly1305.NonceSizeX], rest[chacha20poly1305.NonceSizeX:]
	plaintext, err := key.aead.Open(r.buf[:0], nonce, sealed, fingerprint)
	if err != nil {
		return nil, ErrForged
	}
	return plaintext, nil
}
