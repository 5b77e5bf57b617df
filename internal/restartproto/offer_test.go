package restartproto

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

func sampleOffer() ConnectionOffer {
	return ConnectionOffer{
		Version: OfferVersion, Ref: 1<<32 - 1, ID: 1<<64 - 1, Key: 1 << 63, Group: 7, Class: "index-sync",
		LoadHint: 1.5, HasLoadHint: true, Retry: true, Reconnected: true, Server: "s-1", EndStatus: 3,
		SinceLastReply: 5, Unanswered: []int64{9, 0},
	}
}

func TestOfferRoundTrip(t *testing.T) {
	packet, err := sampleOffer().Encode()
	if err != nil {
		t.Fatal(err)
	}
	got, err := DecodeOffer(packet)
	if err != nil {
		t.Fatal(err)
	}
	if d := cmp.Diff(sampleOffer(), got); d != "" {
		t.Error(d)
	}
}

// An offer that is malformed, incomplete, of another version or out of range is rejected. Its Ref is returned if it
// could be read.
func TestDecodeOfferRejects(t *testing.T) {
	good, err := sampleOffer().Encode()
	if err != nil {
		t.Fatal(err)
	}
	many := strings.Repeat("1,", maxUnanswered) + "1"
	for _, c := range []struct {
		name, old, new, want string
		kind                 error
	}{
		{"another version", `"version":1`, `"version":2`, "version 2", ErrVersion},
		{"an unknown field", `"version":1`, `"version":1,"x":0`, "unknown field", ErrMalformed},
		{"no server", `"s-1"`, `""`, "no target", ErrIncomplete},
		{"no class", `"index-sync"`, `""`, "no target or class", ErrIncomplete},
		{"a negative age", `"quiet":5`, `"quiet":-5`, "out of range", ErrOutOfRange},
		{"a negative age of a line", `[9,0]`, `[9,-1]`, "out of range", ErrOutOfRange},
		{"too many lines", `[9,0]`, "[" + many + "]", "out of range", ErrOutOfRange},
		{"an id over 64 bits", `"id":`, `"id":9`, "cannot unmarshal", ErrMalformed},
		{"two values", `]}`, `]}{}`, "more than one", ErrTrailingData},
		{"cut off", `]}`, ``, "unexpected EOF", ErrMalformed},
	} {
		text := strings.Replace(string(good), c.old, c.new, 1)
		got, err := DecodeOffer([]byte(text))
		if err == nil || !strings.Contains(err.Error(), c.want) || !errors.Is(err, c.kind) {
			t.Errorf("%s: %v; want %q, %v", c.name, err, c.want, c.kind)
		}
		if got.Ref != 1<<32-1 && c.name != "cut off" { // the decoder sets no fields from truncated JSON
			t.Errorf("%s: ref %d, want %d", c.name, got.Ref, uint32(1<<32-1))
		}
	}
}

func TestAnswers(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		ref, got, err := DecodeAnswer(EncodeAnswer(1<<32-1, accepted))
		if ref != 1<<32-1 || got != accepted || err != nil {
			t.Errorf("answer %v decoded as ref %d, %v, %v, want ref %d", accepted, ref, got, err, uint32(1<<32-1))
		}
	}
	for _, text := range []string{"", "+", "7", "*7", "+x", "-4294967296", "+ 7", "++7"} {
		if _, _, err := DecodeAnswer([]byte(text)); !errors.Is(err, ErrMalformedAnswer) {
			t.Errorf("%q was not rejected as a malformed answer: %v", text, err)
		}
	}
}

// Any packet is either rejected or decoded, and a decoded offer survives encoding and decoding unchanged.
func FuzzDecodeOffer(f *testing.F) {
	good, err := sampleOffer().Encode()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good)
	f.Add([]byte(`{"version":1}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		s, err := DecodeOffer(b)
		if err != nil {
			return
		}
		again, err := s.Encode()
		if err != nil {
			t.Fatal(err)
		}
		if got, err := DecodeOffer(again); err != nil || fmt.Sprintf("%+v", got) != fmt.Sprintf("%+v", s) {
			t.Errorf("decoded again as %+v, %v, want %+v", got, err, s)
		}
	})
}

func TestSocketPath(t *testing.T) {
	if got := SocketPath("/tmp", listenAddr); got != "/tmp/spurspread-127.0.0.1_8081.v1.sock" {
		t.Errorf("socket path %q, want the directory, address and version", got)
	}
}
