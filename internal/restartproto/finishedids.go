package restartproto

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
)

// NoRef is the reference in answers that are not about an offer. No offer has it.
const NoRef = 0

// idsPerPacket is the number of ids in one packet: with 21 bytes each it stays under 8 KiB.
const idsPerPacket = 256

// finishedIDs is the packet that tells the successor ids of requests that have finished. A process of an older version
// takes it for a malformed offer, and rejects it with NoRef.
type finishedIDs struct {
	Version int      `json:"version"`
	Ref     uint32   `json:"ref"`
	IDs     []uint64 `json:"finished"`
}

// EncodeFinishedIDs returns packets that list the ids, in order.
func EncodeFinishedIDs(ids []uint64) (packets [][]byte, err error) {
	for part := range slices.Chunk(ids, idsPerPacket) {
		packet, err := json.Marshal(finishedIDs{Version: OfferVersion, Ref: NoRef, IDs: part})
		if err != nil {
			return nil, err
		}
		packets = append(packets, packet)
	}
	return packets, nil
}

// DecodeFinishedIDs parses a packet of EncodeFinishedIDs. It returns ErrMalformed for any other packet.
func DecodeFinishedIDs(packet []byte) ([]uint64, error) {
	var finished finishedIDs
	decoder := json.NewDecoder(bytes.NewReader(packet))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(&finished)
	if err != nil || finished.Version != OfferVersion || finished.Ref != NoRef || len(finished.IDs) == 0 {
		return nil, fmt.Errorf("finished ids: %w", ErrMalformed)
	}
	return finished.IDs, nil
}
