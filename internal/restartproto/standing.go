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

// StandingVersion is the form of a standing connection's packet; another one is refused.
const StandingVersion = 1

// maxWaiting bounds the lines of a client that have no answer yet.
const maxWaiting = 64

// Standing is what the new version is told of one connection that stands, beside its two sockets: the client's, then
// the target's. Times are told as ages in microseconds, since each process has a clock of its own.
type Standing struct {
	Version  int     `json:"version"`
	Ref      uint32  `json:"ref"` // the old process's name for it, told back in the answer
	ID       uint64  `json:"id"`
	Key      uint64  `json:"key"`
	Group    uint64  `json:"group"`
	Class    string  `json:"class"`
	Hint     float64 `json:"hint"`
	HasHint  bool    `json:"has_hint"`
	Retry    bool    `json:"retry"`
	Returned bool    `json:"returned"`
	Target   string  `json:"target"`  // the server's instance id
	Verdict  uint8   `json:"verdict"` // what its last words make of its end
	Quiet    int64   `json:"quiet"`   // age of the last line that came back
	Waiting  []int64 `json:"waiting"` // ages of the client's lines that have no answer yet, oldest first
}

// SocketPath is where the process that serves the clients' address takes standing connections.
func SocketPath(dir string, listen netip.AddrPort) string {
	note := Path(dir, listen)
	return strings.TrimSuffix(note, filepath.Ext(note)) + ".sock"
}

// Encode is the packet for one connection.
func (s Standing) Encode() ([]byte, error) {
	s.Version = StandingVersion
	return json.Marshal(s)
}

// DecodeStanding reads such a packet strictly. The Ref is told as far as it was read, so that it can be refused.
func DecodeStanding(b []byte) (Standing, error) {
	var s Standing
	d := json.NewDecoder(bytes.NewReader(b))
	d.DisallowUnknownFields()
	if err := d.Decode(&s); err != nil {
		return s, fmt.Errorf("standing connection: %w", err)
	}
	switch {
	case d.More():
		return s, errors.New("standing connection: more than one value")
	case s.Version != StandingVersion:
		return s, fmt.Errorf("standing connection: version %d, not %d", s.Version, StandingVersion)
	case s.Target == "" || s.Class == "":
		return s, errors.New("standing connection: no target or class")
	case s.Quiet < 0 || len(s.Waiting) > maxWaiting:
		return s, errors.New("standing connection: out of range")
	}
	for _, age := range s.Waiting {
		if age < 0 {
			return s, errors.New("standing connection: out of range")
		}
	}
	return s, nil
}

// Answer is the packet that takes a connection or refuses it.
func Answer(ref uint32, taken bool) []byte {
	sign := byte('-')
	if taken {
		sign = '+'
	}
	return strconv.AppendUint([]byte{sign}, uint64(ref), 10)
}

// ParseAnswer reads one.
func ParseAnswer(b []byte) (ref uint32, taken bool, err error) {
	if len(b) < 2 || b[0] != '+' && b[0] != '-' {
		return 0, false, errors.New("neither taken nor refused")
	}
	n, err := strconv.ParseUint(string(b[1:]), 10, 32)
	return uint32(n), b[0] == '+', err
}
