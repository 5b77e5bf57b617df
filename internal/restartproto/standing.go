package restartproto

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
)

// OfferVersion is the form of a standing connection's packet; another one is refused.
const OfferVersion = 1

// maxUnanswered bounds the lines of a client that have no answer yet.
const maxUnanswered = 64

// ConnectionOffer is what the new version is told of one connection that stands, beside its two sockets: the client's, then
// the target's. Times are told as ages in microseconds, since each process has a clock of its own.
type ConnectionOffer struct {
	Version        int     `json:"version"`
	Ref            uint32  `json:"ref"` // the old process's name for it, told back in the answer
	ID             uint64  `json:"id"`
	Key            uint64  `json:"key"`
	Group          uint64  `json:"group"`
	Class          string  `json:"class"`
	Hint           float64 `json:"hint"`
	HasHint        bool    `json:"has_hint"`
	Retry          bool    `json:"retry"`
	Returned       bool    `json:"returned"`
	Server         string  `json:"target"`  // the server's instance id
	Verdict        uint8   `json:"verdict"` // what its last words make of its end
	SinceLastReply int64   `json:"quiet"`   // age of the last line that came back
	Unanswered     []int64 `json:"waiting"` // ages of the client's lines that have no answer yet, oldest first
}

// SocketPath is where the process that serves the clients' address takes standing connections.
func SocketPath(dir string, listen netip.AddrPort) string {
	note := AnnouncementPath(dir, listen)
	return strings.TrimSuffix(note, filepath.Ext(note)) + ".sock"
}

// Encode is the packet for one connection.
func (s ConnectionOffer) Encode() ([]byte, error) {
	s.Version = OfferVersion
	return json.Marshal(s)
}

// DecodeOffer reads such a packet strictly. The Ref is told as far as it was read, so that it can be refused.
func DecodeOffer(b []byte) (ConnectionOffer, error) {
	var s ConnectionOffer
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("standing connection: %w", err)
	}
	switch {
	case d.More():
		return s, errors.New("standing connection: more than one value")
	case s.Version != OfferVersion:
		return s, fmt.Errorf("standing connection: version %d, not %d", s.Version, OfferVersion)
	case s.Server == "" || s.Class == "":
		return s, errors.New("standing connection: no target or class")
	case s.SinceLastReply < 0 || len(s.Unanswered) > maxUnanswered:
		return s, errors.New("standing connection: out of range")
	}
	for _, age := range s.Unanswered {
		if age < 0 {
			return s, errors.New("standing connection: out of range")
		}
	}
	return s, nil
}

// EncodeAnswer is the packet that takes a connection or refuses it.
func EncodeAnswer(ref uint32, taken bool) []byte {
	sign := byte('-')
	if taken {
		sign = '+'
	}
	return strconv.AppendUint([]byte{sign}, uint64(ref), 10)
}

// DecodeAnswer reads one.
func DecodeAnswer(b []byte) (ref uint32, taken bool, err error) {
	if len(b) < 2 || b[0] != '+' && b[0] != '-' {
		return 0, false, errors.New("neither taken nor refused")
	}
	n, err := strconv.ParseUint(string(b[1:]), 10, 32)
	return uint32(n), b[0] == '+', err
}
