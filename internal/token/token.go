// Package token is the codec of resume tokens: it encrypts a token into one word of text and decrypts it again. It uses
// no sockets and no clock. Whether a valid token may still be used to resume is decided by decision/resume.
//
// A token's text is base64 (RFC 4648, section 5, without padding) of
//
//	1 byte    version, 1
//	4 bytes   the key's fingerprint: the first bytes of its SHA-256 hash
//	24 bytes  random nonce; its first 16 bytes are the token's id
//	n bytes   the body, encrypted by XChaCha20-Poly1305 with all bytes before it as additional data
//
// where the body is, with all numbers big-endian,
//
//	8 x 8 bytes   the fields IssuedAt to ServerStarted of Token, in that order
//	1 + n bytes   length and name of the class
//	1 + n bytes   length and id of the server that may accept the token
//	0 to 2 bytes  zeros, so that the total length is a multiple of three
//
// With one key, no two texts decrypt to the same token and nonce. Rejecting a text does not allocate memory.
package token

import (
	"crypto/cipher"
	"crypto/rand"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"errors"
	"fmt"

	"golang.org/x/crypto/chacha20poly1305"
)

// Maximum lengths in bytes of a name within a token, and of a token's text. A token leaves enough room for the rest of
// a client's first line, which has at most 4 KiB.
const (
	MaxName = 64
	MaxText = maxBytes / 3 * 4

	version         = 1
	fingerprintSize = 4
	headerSize      = 1 + fingerprintSize + chacha20poly1305.NonceSizeX
	numbersSize     = 8 * 8
	minBodySize     = numbersSize + 2
	maxBytes        = (headerSize + minBodySize + 2*MaxName + chacha20poly1305.Overhead + 2) / 3 * 3
	minBytes        = headerSize + minBodySize + chacha20poly1305.Overhead
)

// Errors of Open. Each is final: no retry of the same text can succeed.
var (
	ErrMalformed  = errors.New("malformed token")                        // does not have the format of a token
	ErrUnknownKey = errors.New("token is encrypted with an unknown key") // the key was removed, or never known
	ErrForged     = errors.New("token authentication failed")            // forged, altered or truncated
)

// ID identifies a token. It is the first bytes of the nonce.
type ID [16]byte

// Token is the content of a token. After Keyring.Open, Class and Server point into the ring's buffer.
type Token struct {
	ID            ID
	IssuedAt      int64  // Unix time in milliseconds
	ExpiresAt     int64  // Unix time in milliseconds, from which on the token is rejected
	Stream        uint64 // identifies the stream, and stays the same through all its moves
	Key           uint64 // Key, Group and Tenant are from the client's first line
	Group         uint64
	Tenant        uint64
	LastSequence  uint64 // number of the last message that was forwarded, which no client's cursor can exceed
	ServerStarted int64  // start time of Server as listed by discovery, Unix time in milliseconds
	Class         []byte
	Server        []byte // id of the only server that may accept the token
}

// Key is one key of a Keyring.
type Key struct {
	Secret  [chacha20poly1305.KeySize]byte
	Primary bool // new tokens are encrypted with it; other keys only decrypt
}

// Keyring encrypts tokens with its primary key, and decrypts tokens that were encrypted with any of its keys. It is not
// safe for concurrent use.
type Keyring struct {
	keys    []ringKey
	primary int            // index of the primary key
	buf     [maxBytes]byte // decoded text of the last call of Open
}

type ringKey struct {
	fingerprint [fingerprintSize]byte
	aead        cipher.AEAD
}

// NewKeyring returns a keyring of the given keys. It fails unless exactly one key is primary and all keys differ.
func NewKeyring(keys []Key) (*Keyring, error) {
	r := &Keyring{primary: -1}
	for i, k := range keys {
		aead, err := chacha20poly1305.NewX(k.Secret[:])
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(k.Secret[:])
		fingerprint := [fingerprintSize]byte(sum[:])
		if r.find(fingerprint[:]) != nil {
			return nil, fmt.Errorf("token: a key is listed twice: key %d of %d, fingerprint %x",
				i+1, len(keys), fingerprint)
		}
		if k.Primary && r.primary >= 0 {
			return nil, fmt.Errorf("token: exactly one key must be primary: more than one of %d is", len(keys))
		}
		if k.Primary {
			r.primary = i
		}
		r.keys = append(r.keys, ringKey{fingerprint, aead})
	}
	if r.primary < 0 {
		return nil, fmt.Errorf("token: exactly one key must be primary: none of %d is", len(keys))
	}
	return r, nil
}

func (r *Keyring) find(fingerprint []byte) cipher.AEAD {
	for i := range r.keys {
		if string(r.keys[i].fingerprint[:]) == string(fingerprint) {
			return r.keys[i].aead
		}
	}
	return nil
}

// Seal encrypts t, appends its text to dst and sets t.ID. It panics if Class or Server is longer than MaxName, which
// callers must check.
func (r *Keyring) Seal(dst []byte, t *Token) []byte {
	var raw [maxBytes]byte
	raw[0] = version
	copy(raw[1:], r.keys[r.primary].fingerprint[:])
	nonce := raw[1+fingerprintSize : headerSize]
	_, _ = rand.Read(nonce) // never fails
	copy(t.ID[:], nonce)
	body := raw[headerSize:headerSize]
	for _, n := range t.numbers() {
		body = binary.BigEndian.AppendUint64(body, n)
	}
	for _, name := range [][]byte{t.Class, t.Server} {
		if len(name) > MaxName {
			panic("token: class or server name is too long")
		}
		body = append(append(body, byte(len(name))), name...)
	}
	for (headerSize+len(body)+chacha20poly1305.Overhead)%3 != 0 {
		body = append(body, 0)
	}
	all := r.keys[r.primary].aead.Seal(raw[:headerSize], nonce, body, raw[:headerSize])
	return base64.RawURLEncoding.AppendEncode(dst, all)
}

func (t *Token) numbers() [8]uint64 {
	return [8]uint64{
		uint64(t.IssuedAt),
		uint64(t.ExpiresAt),
		t.Stream,
		t.Key,
		t.Group,
		t.Tenant,
		t.LastSequence,
		uint64(t.ServerStarted),
	}
}

// base64URLAlphabet holds the characters of URL-safe base64.
var base64URLAlphabet = func() (set [256]bool) {
	for _, c := range []byte("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") {
		set[c] = true
	}
	return set
}()

// Open decrypts a token's text into t. The slices of t are valid until the next call of Open. After an error, which is
// ErrMalformed, ErrUnknownKey or ErrForged, t is undefined.
func (r *Keyring) Open(text []byte, t *Token) error {
	// Check before decoding, because the decoder ignores line ends and allocates memory for its errors.
	if len(text) > MaxText || len(text)%4 != 0 {
		return ErrMalformed
	}
	for _, c := range text {
		if !base64URLAlphabet[c] {
			return ErrMalformed
		}
	}
	n, err := base64.RawURLEncoding.Decode(r.buf[:], text)
	if err != nil || n < minBytes || r.buf[0] != version {
		return ErrMalformed
	}
	raw := r.buf[:n]
	aead := r.find(raw[1 : 1+fingerprintSize])
	if aead == nil {
		return ErrUnknownKey
	}
	nonce, sealed := raw[1+fingerprintSize:headerSize], raw[headerSize:]
	body, err := aead.Open(sealed[:0], nonce, sealed, raw[:headerSize])
	if err != nil {
		return ErrForged
	}
	copy(t.ID[:], nonce)
	return t.read(body)
}

// read parses a decrypted body. Even a body that was encrypted by a holder of the key may be invalid.
func (t *Token) read(body []byte) error {
	var n [8]uint64
	for i := range n {
		n[i] = binary.BigEndian.Uint64(body[8*i:])
	}
	t.IssuedAt = int64(n[0])
	t.ExpiresAt = int64(n[1])
	t.Stream = n[2]
	t.Key = n[3]
	t.Group = n[4]
	t.Tenant = n[5]
	t.LastSequence = n[6]
	t.ServerStarted = int64(n[7])
	rest := body[numbersSize:]
	for _, name := range []*[]byte{&t.Class, &t.Server} {
		if len(rest) == 0 || len(rest) <= int(rest[0]) || rest[0] > MaxName {
			return ErrMalformed
		}
		*name, rest = rest[1:1+rest[0]], rest[1+rest[0]:]
	}
	if len(rest) > 2 {
		return ErrMalformed
	}
	for _, b := range rest {
		if b != 0 {
			return ErrMalformed
		}
	}
	return nil
}
