package token

import (
	"bytes"
	"crypto/sha256"
	"encoding/base64"
	"encoding/hex"
	"errors"
	"testing"

	"golang.org/x/crypto/chacha20poly1305"
	"pgregory.net/rapid"
)

func repeatedSecret(b byte) (k [32]byte) {
	for i := range k {
		k[i] = b
	}
	return k
}

func newKeyring(t testing.TB, keys ...Key) *Keyring {
	t.Helper()
	r, err := NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

func sampleToken() Token {
	return Token{
		IssuedAt: 1_800_000_000_000, ExpiresAt: 1_800_000_060_000, Stream: 7, Key: 0x7f3a9c21e0b4d655, Group: 5,
		Tenant: 9, LastSequence: 41, ServerStarted: 1_799_999_999_999, Class: []byte("index-sync"),
		Server: []byte("s-5be2a07c"),
	}
}

func equalTokens(a, b Token) bool {
	return a.ID == b.ID && a.numbers() == b.numbers() && bytes.Equal(a.Class, b.Class) &&
		bytes.Equal(a.Server, b.Server)
}

// Opening a sealed token returns the same content, and its text is at most MaxText long.
func TestSealOpen(t *testing.T) {
	r := newKeyring(t, Key{repeatedSecret(1), true})
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.SliceOfN(rapid.Byte(), 0, MaxName)
		n := rapid.Uint64()
		in := Token{
			IssuedAt: int64(n.Draw(t, "minted")), ExpiresAt: int64(n.Draw(t, "expires")), Stream: n.Draw(t, "stream"),
			Key: n.Draw(
				t,
				"key",
			), Group: n.Draw(t, "group"), Tenant: n.Draw(t, "tenant"), LastSequence: n.Draw(t, "top"),
			ServerStarted: int64(n.Draw(t, "started")), Class: name.Draw(t, "class"), Server: name.Draw(t, "server"),
		}
		text := r.Seal(nil, &in)
		var out Token
		if err := r.Open(text, &out); err != nil || !equalTokens(in, out) {
			t.Fatalf("opened as %+v, %v, want %+v", out, err, in)
		}
		if len(text) > MaxText {
			t.Fatalf("%d characters, want at most %d", len(text), MaxText)
		}
	})
}

// A text that is built here by the documented format, without Seal, can be opened. So the format can't change
// unnoticed.
func TestStableForm(t *testing.T) {
	key := repeatedSecret(3)
	raw := []byte{1}
	sum := sha256.Sum256(key[:])
	raw = append(raw, sum[:4]...)
	raw = append(raw, bytes.Repeat([]byte{0xab}, 24)...)
	body, err := hex.DecodeString("000001a3185c5000" + "000001a3185d3a60" + "0000000000000007" + "7f3a9c21e0b4d655" +
		"0000000000000005" + "0000000000000009" + "0000000000000029" + "000001a3185c4fff" +
		"0a" + hex.EncodeToString([]byte("index-sync")) + "0a" + hex.EncodeToString([]byte("s-5be2a07c")) + "00")
	if err != nil {
		t.Fatal(err)
	}
	aead, err := chacha20poly1305.NewX(key[:])
	if err != nil {
		t.Fatal(err)
	}
	text := base64.RawURLEncoding.EncodeToString(aead.Seal(raw, raw[5:29], body, raw))
	var got Token
	if err := newKeyring(t, Key{key, true}).Open([]byte(text), &got); err != nil {
		t.Fatal(err)
	}
	want := sampleToken()
	copy(want.ID[:], bytes.Repeat([]byte{0xab}, 16))
	if !equalTokens(got, want) {
		t.Errorf("opened as %+v, want %+v", got, want)
	}
}

// Any text other than a sealed one is rejected with the right error, and without an allocation.
func TestRejected(t *testing.T) {
	previous, current := Key{repeatedSecret(1), false}, Key{repeatedSecret(2), true}
	r := newKeyring(t, previous, current)
	tok := sampleToken()
	good := r.Seal(nil, &tok)
	previous.Primary = true
	older := newKeyring(t, previous).Seal(nil, &tok)
	var out Token
	if err := r.Open(older, &out); err != nil {
		t.Errorf("sealed with the previous key: %v, want no error", err)
	}
	change := func(at int) []byte {
		b := bytes.Clone(good)
		b[at] = "AB"[map[bool]int{true: 1}[b[at] == 'A']]
		return b
	}
	for name, c := range map[string]struct {
		text []byte
		want error
	}{
		"nothing":           {nil, ErrMalformed},
		"a word":            {[]byte("abcd"), ErrMalformed},
		"garbage":           {bytes.Repeat([]byte{0xff}, 200), ErrMalformed},
		"letters":           {bytes.Repeat([]byte("A"), 200), ErrMalformed},
		"too long":          {bytes.Repeat([]byte("A"), 4000), ErrMalformed},
		"a line end inside": {append(append(bytes.Clone(good[:8]), "\r\n\r\n"...), good[8:]...), ErrMalformed},
		"another version":   {change(0), ErrMalformed},
		"another key":       {change(2), ErrUnknownKey},
		"another nonce":     {change(12), ErrForged},
		"another body":      {change(60), ErrForged},
		"another seal":      {change(len(good) - 1), ErrForged},
		"cut by four":       {good[:len(good)-4], ErrForged},
		"cut by one":        {good[:len(good)-1], ErrMalformed},
		"longer":            {append(bytes.Clone(good), "AAAA"...), ErrForged},
		"of a removed key":  {newKeyring(t, Key{repeatedSecret(9), true}).Seal(nil, &tok), ErrUnknownKey},
	} {
		t.Run(name, func(t *testing.T) {
			if err := r.Open(c.text, &out); !errors.Is(err, c.want) {
				t.Errorf("%v, want %v", err, c.want)
			}
			if n := testing.AllocsPerRun(100, func() { _ = r.Open(c.text, &out) }); n != 0 {
				t.Errorf("%v allocations, want 0", n)
			}
		})
	}
}

func TestNewKeyRing(t *testing.T) {
	for name, keys := range map[string][]Key{
		"no key":             nil,
		"no primary key":     {{repeatedSecret(1), false}},
		"two primary keys":   {{repeatedSecret(1), true}, {repeatedSecret(2), true}},
		"the same key twice": {{repeatedSecret(1), true}, {repeatedSecret(1), false}},
	} {
		if _, err := NewKeyring(keys); err == nil {
			t.Errorf("%s: NewKeyring returned no error", name)
		}
	}
}

// Only sealed texts open. A text that opens but is not among those sealed here, such as one from another fuzzing
// process, must hold the same token.
func FuzzOpen(f *testing.F) {
	r := newKeyring(f, Key{repeatedSecret(1), true})
	tok := sampleToken()
	f.Add(r.Seal(nil, &tok))
	f.Add([]byte("AQAA"))
	f.Add(bytes.Repeat([]byte("A"), MaxText))
	sealed := map[string]bool{}
	for range 4 {
		text := r.Seal(nil, &tok)
		sealed[string(text)] = true
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		var out Token
		if err := r.Open(text, &out); err == nil && !sealed[string(text)] && out.numbers() != tok.numbers() {
			t.Errorf("%q, which was not sealed here, opens to %+v", text, out)
		}
	})
}

// A body is rejected if it has bytes beyond its fields and padding, even when a holder of the key sealed it.
func FuzzBody(f *testing.F) {
	f.Add(make([]byte, minBodySize))
	f.Add(append(make([]byte, numbersSize), 65, 0))
	f.Add(append(make([]byte, numbersSize), 0, 0, 0, 1))
	f.Fuzz(func(t *testing.T, body []byte) {
		if len(body) < minBodySize {
			return
		}
		var out Token
		if out.read(body) == nil && len(body) > minBodySize+len(out.Class)+len(out.Server)+2 {
			t.Errorf("%x with bytes beyond its fields is read as %+v, want an error", body, out)
		}
	})
}

func BenchmarkSeal(b *testing.B) {
	r, tok := newKeyring(b, Key{repeatedSecret(1), true}), sampleToken()
	dst := make([]byte, 0, MaxText)
	b.ReportAllocs()
	for b.Loop() {
		dst = r.Seal(dst[:0], &tok)
	}
}

func BenchmarkOpen(b *testing.B) {
	r, tok := newKeyring(b, Key{repeatedSecret(2), false}, Key{repeatedSecret(1), true}), sampleToken()
	text := r.Seal(nil, &tok)
	var out Token
	b.ReportAllocs()
	for b.Loop() {
		if err := r.Open(text, &out); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkRefuse(b *testing.B) {
	r, tok := newKeyring(b, Key{repeatedSecret(1), true}), sampleToken()
	text := r.Seal(nil, &tok)
	text[60] ^= 1
	var out Token
	b.ReportAllocs()
	for b.Loop() {
		if err := r.Open(text, &out); err == nil {
			b.Fatal("opened")
		}
	}
}
