package packet

import (
	"bytes"
	"errors"
	"testing"

	"pgregory.net/rapid"
)

func key(secret byte, primary bool) Key { return Key{Secret: [32]byte{secret}, Primary: primary} }

func newKeyring(t *testing.T, keys ...Key) *Keyring {
	t.Helper()
	r, err := NewKeyring(keys)
	if err != nil {
		t.Fatal(err)
	}
	return r
}

// Every key of a keyring decrypts. A withdrawn key, an altered bit and an invalid length are rejected.
func TestSeal(t *testing.T) {
	oldRing := newKeyring(t, key(1, true))
	bothRing := newKeyring(t, key(1, false), key(2, true))
	newRing := newKeyring(t, key(2, true))
	sealed := oldRing.Seal(nil, []byte("content"))
	if got, err := bothRing.Open(sealed); err != nil || string(got) != "content" {
		t.Fatalf("decrypted with a secondary key: %q, %v, want content", got, err)
	}
	if _, err := newRing.Open(sealed); !errors.Is(err, ErrUnknownKey) {
		t.Errorf("a withdrawn key: %v, want %v", err, ErrUnknownKey)
	}
	for i := range sealed {
		altered := bytes.Clone(sealed)
		altered[i] ^= 1
		if _, err := bothRing.Open(altered); err == nil {
			t.Fatalf("a datagram with byte %d altered is decrypted", i)
		}
	}
	for _, length := range []int{0, Overhead, MaxPlaintext + Overhead + 1} {
		if _, err := bothRing.Open(make([]byte, length)); !errors.Is(err, ErrMalformed) {
			t.Errorf("datagram of %d bytes: %v, want %v", length, err, ErrMalformed)
		}
	}
}

// NewKeyring rejects keys without exactly one primary key, and equal keys.
func TestInvalidKeyrings(t *testing.T) {
	for _, c := range []struct {
		keys []Key
		want error
	}{
		{nil, ErrPrimaryKey},
		{[]Key{key(1, false)}, ErrPrimaryKey},
		{[]Key{key(1, true), key(2, true)}, ErrPrimaryKey},
		{[]Key{key(1, true), key(1, false)}, ErrDuplicateKey},
	} {
		if _, err := NewKeyring(c.keys); !errors.Is(err, c.want) {
			t.Errorf("%d keys: %v, want %v", len(c.keys), err, c.want)
		}
	}
}

// A counter is accepted once, in any order within the window, and never below the window. The model is a set.
func TestReplayWindow(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		var w ReplayWindow
		seen, highest := map[uint64]bool{}, uint64(0)
		for range rapid.IntRange(1, 200).Draw(r, "n") {
			counter := uint64(rapid.IntRange(0, 3000).Draw(r, "counter"))
			want := counter > 0 && !seen[counter] && counter+ReplayWindowSize > highest
			if got := w.Accept(counter); got != want {
				r.Fatalf("counter %d with %d as the highest before: %v, want %v", counter, highest, got, want)
			}
			if want {
				seen[counter] = true
				highest = max(highest, counter)
			}
		}
	})
}
