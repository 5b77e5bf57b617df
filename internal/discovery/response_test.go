package discovery

import (
	"errors"
	"strings"
	"testing"
)

// The body is passed on completely, whatever the sizes of the parts in which a response arrives.
func TestResponseSplits(t *testing.T) {
	for name, c := range map[string]struct{ in, body string }{
		"chunked": {
			"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nab\r\n\r\n3;x=y\r\ncde\r\n0\r\n\r\n",
			"ab\r\ncde",
		},
		"length": {"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcde", "abcde"},
		"empty":  {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
	} {
		for step := 1; step <= len(c.in); step++ {
			var got strings.Builder
			r := responseParser{onBody: func(b []byte) { got.Write(b) }}
			for at := 0; at < len(c.in); at += step {
				if err := r.feed([]byte(c.in[at:min(at+step, len(c.in))])); err != nil {
					t.Fatalf("%s, parts of %d bytes: %v, want no error", name, step, err)
				}
			}
			if got.String() != c.body || r.state != stateComplete {
				t.Fatalf("%s, parts of %d bytes: body %q, state %d, want %q and state %d",
					name, step, got.String(), r.state, c.body, stateComplete)
			}
		}
	}
}

// Responses that are malformed, or have another status than 200, are rejected.
func TestResponseMalformed(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for in, want := range map[string]error{
		"HTTP/1.1 503 Busy\r\n\r\n":                          ErrStatus,
		"SSH-2.0\r\n\r\n":                                    ErrMalformedResponse,
		strings.Repeat("x", maxHeadBytes):                    ErrMalformedResponse,
		chunked + "zz\r\n":                                   ErrMalformedResponse,
		chunked + "ffffffff\r\n":                             ErrMalformedResponse,
		chunked + "-1\r\n":                                   ErrMalformedResponse,
		chunked + "1\r\nab":                                  ErrMalformedResponse,
		chunked + strings.Repeat("0", maxHeadBytes+1):        ErrMalformedResponse,
		"HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\n":      ErrMalformedResponse,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\n": ErrMalformedResponse,
	} {
		r := responseParser{onBody: func([]byte) {}}
		if err := r.feed([]byte(in)); !errors.Is(err, want) {
			t.Errorf("%.40q: %v, want %v", in, err, want)
		}
	}
}
