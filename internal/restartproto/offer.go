package restartproto

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"strconv"
)

// OfferVersion is the format version of offers. An offer of another version is rejected.
const OfferVersion = 1

// maxUnanswered bounds the number of client lines without a reply that an offer can list.
const maxUnanswered = 64

// ConnectionOffer describes an established connection to the process that takes it over. It is sent with two
// sockets, first the client's, then the server's. ID, Key, Group, Class, LoadHint, Retry and Reconnected are from the
// client's first line. Times are ages in microseconds, because the processes have different clocks.
type ConnectionOffer struct {
	Version        int     `json:"version"`
	Ref            uint32  `json:"ref"` // the old process's reference, returned in the answer
	ID             uint64  `json:"id"`
	Key            uint64  `json:"key"`
	Group          uint64  `json:"group"`
	Class          string  `json:"class"`
	LoadHint       float64 `json:"hint"`
	HasLoadHint    bool    `json:"has_hint"`
	Retry          bool    `json:"retry"`
	Reconnected    bool    `json:"returned"`
	Server         string  `json:"target"`  // the server's instance id
	EndStatus      uint8   `json:"verdict"` // outcome.Status that follows from the last reply if the connection ends now
	SinceLastReply int64   `json:"quiet"`   // age of the server's last line
	Unanswered     []int64 `json:"waiting"` // ages of the client lines without a reply, oldest first
}

// SocketPath returns the path of the Unix socket on which the process that serves a listen address accepts offers.
func SocketPath(dir string, listen netip.AddrPort) string {
	return basePath(dir, listen) + ".sock"
}

// Encode returns the offer as a packet, and sets its version.
func (o ConnectionOffer) Encode() ([]byte, error) {
	o.Version = OfferVersion
	return json.Marshal(o)
}

// DecodeOffer parses a packet. It returns ErrMalformed, ErrTrailingData, ErrVersion, ErrIncomplete or ErrOutOfRange.
// Along with an error it returns the Ref if that could be read, so that the offer can be rejected.
func DecodeOffer(packet []byte) (ConnectionOffer, error) {
	var o ConnectionOffer
	decoder := json.NewDecoder(bytes.NewReader(packet))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&o); err != nil {
		return o, fmt.Errorf("connection offer: %w: %w", ErrMalformed, err)
	}
	if decoder.More() {
		return o, fmt.Errorf("connection offer: %w", ErrTrailingData)
	}
	return o, o.check()
}

func (o ConnectionOffer) check() error {
	isNegative := func(age int64) bool { return age < 0 }
	switch {
	case o.Version != OfferVersion:
		return fmt.Errorf("connection offer: %w: version %d, not %d", ErrVersion, o.Version, OfferVersion)
	case o.Server == "" || o.Class == "":
		return fmt.Errorf("connection offer: %w", ErrIncomplete)
	case len(o.Unanswered) > maxUnanswered:
		return fmt.Errorf("connection offer: %w: %d unanswered lines", ErrOutOfRange, len(o.Unanswered))
	case isNegative(o.SinceLastReply) || slices.ContainsFunc(o.Unanswered, isNegative):
		return fmt.Errorf("connection offer: %w: a negative age", ErrOutOfRange)
	}
	return nil
}

// EncodeAnswer returns the packet that accepts or rejects the offer with the given Ref.
func EncodeAnswer(ref uint32, accepted bool) []byte {
	sign := byte('-')
	if accepted {
		sign = '+'
	}
	return strconv.AppendUint([]byte{sign}, uint64(ref), 10)
}

// DecodeAnswer parses an answer. The error is ErrMalformedAnswer.
func DecodeAnswer(packet []byte) (ref uint32, accepted bool, err error) {
	if len(packet) == 0 || packet[0] != '+' && packet[0] != '-' {
		return 0, false, fmt.Errorf("%w: %.40q", ErrMalformedAnswer, packet)
	}
	number, err := strconv.ParseUint(string(packet[1:]), 10, 32)
	if err != nil {
		return 0, false, fmt.Errorf("%w: %.40q", ErrMalformedAnswer, packet)
	}
	return uint32(number), packet[0] == '+', nil
}
