// Package token is the codec of resume tokens: it seals a token into one word of text and opens it again. It knows no
// sockets, no clock and no claims: whether a token that opens may be honoured is decided by decision/resume.
//
// A token's text is base64 (RFC 4648, section 5, without padding) of
//
//	1 byte    version, 1
//	4 bytes   the key's fingerprint: the first bytes of its SHA-256
//	24 bytes  nonce, drawn at random; its first 16 bytes are the token's id
//	n bytes   the body, sealed by XChaCha20-Poly1305 with all before it as additional data
//
// and the body, all numbers big-endian, is
//
//	8 x 8 bytes  the fields IssuedAt to ServerStarted of Token, in their order
//	1 + n bytes  the class's name, its length first
//	1 + n bytes  the id of the server that it names, its length first
//	0 to 2       zero bytes, so that the whole is a multiple of three bytes
//
// There is one text for a token and a nonce: no other text opens to the same. A text that does not open costs no
// allocation, whatever it is.
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

// Limits of the texts within a token, and of the whole. A token leaves room for the rest of a first line of 4 KiB.
const (
	MaxName = 64
	MaxText = maxBytes / 3 * 4

	version  = 1
	keySize  = 4
	head     = 1 + keySize + chacha20poly1305.NonceSizeX
	numbers  = 8 * 8
	minBody  = numbers + 2
	maxBytes = (head + minBody + 2*MaxName + chacha20poly1305.Overhead + 2) / 3 * 3
	minBytes = head + minBody + chacha20poly1305.Overhead
)

// Errors of Open. Each is final: no retry of the same text can succeed.
var (
	ErrMalformed  = errors.New("no token")                             // not the form of a token
	ErrUnknownKey = errors.New("sealed with a key that is not listed") // withdrawn, or never known
	ErrForged     = errors.New("seal is broken")                       // forged, altered or cut off
)

// ID identifies a token: the first bytes of its nonce.
type ID [16]byte

// Token is the content of a token. Class and Server point into the ring's buffer after Open.
type Token struct {
	ID            ID
	IssuedAt      int64  // Unix time in milliseconds
	ExpiresAt     int64  // Unix time in milliseconds; not honoured from then on
	Stream        uint64 // the stream, through all its moves
	Key           uint64 // Key, Group and Tenant are those of the client's first line
	Group         uint64
	Tenant        uint64
	LastSequence  uint64 // number of the last message that was forwarded: no cursor can be beyond it
	ServerStarted int64  // when the named server started, Unix time in milliseconds, as discovery lists it
	Class         []byte
	Server        []byte // the one server that may honour it
}

// Key is one key of a ring.
type Key struct {
	Secret  [chacha20poly1305.KeySize]byte
	Primary bool // tokens are sealed with it, and not only opened
}

// KeyRing seals with one key and opens with any of several. It is not for use by several goroutines at once.
type KeyRing struct {
	keys       []ringKey
	sealingKey int
	buf        [maxBytes]byte // what Open decodes into
}

type ringKey struct {
	id   [keySize]byte
	aead cipher.AEAD
}

// NewKeyRing returns a ring of keys. It fails unless exactly one of them issues tokens and no two are the same.
func NewKeyRing(keys []Key) (*KeyRing, error) {
	r := &KeyRing{sealingKey: -1}
	for i, k := range keys {
		aead, err := chacha20poly1305.NewX(k.Secret[:])
		if err != nil {
			return nil, err
		}
		sum := sha256.Sum256(k.Secret[:])
		id := [keySize]byte(sum[:])
		if r.find(id[:]) != nil {
			return nil, fmt.Errorf("token: key %d has the fingerprint %x of one before it", i, id)
		}
		if k.Primary && r.sealingKey >= 0 {
			return nil, errors.New("token: two keys mint")
		}
		if k.Primary {
			r.sealingKey = i
		}
		r.keys = append(r.keys, ringKey{id, aead})
	}
	if r.sealingKey < 0 {
		return nil, errors.New("token: no key mints")
	}
	return r, nil
}

func (r *KeyRing) find(id []byte) cipher.AEAD {
	for i := range r.keys {
		if string(r.keys[i].id[:]) == string(id) {
			return r.keys[i].aead
		}
	}
	return nil
}

// Seal appends the text of t to dst and sets t.ID. It panics if the name of the class or server is over MaxName, which
// callers check.
func (r *KeyRing) Seal(dst []byte, t *Token) []byte {
	var raw [maxBytes]byte
	raw[0] = version
	copy(raw[1:], r.keys[r.sealingKey].id[:])
	nonce := raw[1+keySize : head]
	_, _ = rand.Read(nonce) // never fails
	copy(t.ID[:], nonce)
	body := raw[head:head]
	for _, n := range t.numbers() {
		body = binary.BigEndian.AppendUint64(body, n)
	}
	for _, name := range [][]byte{t.Class, t.Server} {
		if len(name) > MaxName {
			panic("token: a name is too long")
		}
		body = append(append(body, byte(len(name))), name...)
	}
	for (head+len(body)+chacha20poly1305.Overhead)%3 != 0 {
		body = append(body, 0)
	}
	all := r.keys[r.sealingKey].aead.Seal(raw[:head], nonce, body, raw[:head])
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

// plain holds the letters of base64 in its URL form.
var plain = func() (set [256]bool) {
	for _, c := range []byte("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_") {
		set[c] = true
	}
	return set
}()

// Open parses a token's text into t. What t then points to is valid until the next Open. After an error (ErrMalformed,
// ErrUnknownKey or ErrForged) t is undefined.
func (r *KeyRing) Open(text []byte, t *Token) error {
	// Checked before decoding: the decoder ignores line ends, and its errors cost an allocation.
	if len(text) > MaxText || len(text)%4 != 0 {
		return ErrMalformed
	}
	for _, c := range text {
		if !plain[c] {
			return ErrMalformed
		}
	}
	n, err := base64.RawURLEncoding.Decode(r.buf[:], text)
	if err != nil || n < minBytes || r.buf[0] != version {
		return ErrMalformed
	}
	raw := r.buf[:n]
	aead := r.find(raw[1 : 1+keySize])
	if aead == nil {
		return ErrUnknownKey
	}
	nonce, sealed := raw[1+keySize:head], raw[head:]
	body, err := aead.Open(sealed[:0], nonce, sealed, raw[:head])
	if err != nil {
		return ErrForged
	}
	copy(t.ID[:], nonce)
	return t.read(body)
}

// read reads a body that was sealed by a holder of the key.
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
	rest := body[numbers:]
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
