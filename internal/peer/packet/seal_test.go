package packet

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func key(b byte, seals bool) Key { return Key{Secret: [32]byte{b}, Primary: seals} }

func ring(t *testing.T, keys ...Key) *Keyring {
	t.Helper()
	r, err := NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Whoever has the key opens it; a withdrawn key, a changed bit and garbage are told apart, and none opens.
func TestSeal(t *testing.T) {
	old, both, fresh := ring(t, key(1, true)), ring(t, key(1, false), key(2, true)), ring(t, key(2, true))
	sealed := old.Seal(nil, []byte("content"))
	if got, err := both.Open(sealed); err != nil || string(got) != "content" {
		t.Fatalf("%q, %v", got, err)
	}
	if _, err := fresh.Open(sealed); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("a withdrawn key: %v", err)
	}
	for i := range sealed {
		bad := bytes.Clone(sealed)
		bad[i] ^= 1
		if _, err := both.Open(bad); err == nil {
			t.Fatalf("opens with byte %d changed", i)
		}
	}
	for _, n := range []int{0, Overhead, MaxPlaintext + Overhead + 1} {
		if _, err := both.Open(make([]byte, n)); !errors.Is(err, ErrMalformed) {
			t.Errorf("%d bytes: %v", n, err)
		}
	}
	for _, keys := range [][]Key{nil, {key(1, false)}, {key(1, true), key(2, true)}, {key(1, true), key(1, false)}} {
		if _, err := NewKeyring(keys); err == nil {
			t.Errorf("a ring of %v", keys)
		}
	}
}

// A count is taken once, in any order within the window, and never behind it; against a plain set.
func TestWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var w ReplayWindow
		seen, top := map[uint64]bool{}, uint64(0)
		for range rapid.IntRange(1, 200).Draw(r, "n") {
			n := uint64(rapid.IntRange(0, 3000).Draw(r, "count"))
			want := n > 0 && !seen[n] && n+ReplayWindowSize > top
			if got := w.Accept(n); got != want {
				r.Fatalf("%d after %d at most: %v, want %v", n, top, got, want)
			}
			if want {
				seen[n], top = true, max(top, n)
			}
		}
	})
}
