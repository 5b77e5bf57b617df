package restartproto

import (
	"slices"
	"testing"
)

// Ids survive the way to the successor; an offer is not taken for ids, nor ids for an offer.
func TestFinishedIDs(t *testing.T) {
	var ids, got []uint64
	for i := range uint64(2*idsPerPacket + 1) {
		ids = append(ids, 1<<64-1-i)
	}
	packets, err := EncodeFinishedIDs(ids)
	if err != nil {
		t.Fatal(err)
	}
	for _, packet := range packets {
		part, err := DecodeFinishedIDs(packet)
		if err != nil || len(packet) > 8<<10 {
			t.Errorf("packet of %d bytes: %v, want at most 8192 bytes and no error", len(packet), err)
		}
		got = append(got, part...)
		if offer, err := DecodeOffer(packet); err == nil || offer.Ref != NoRef {
			t.Errorf("ids taken for an offer: %v, reference %d, want an error and %d", err, offer.Ref, NoRef)
		}
	}
	if !slices.Equal(got, ids) {
		t.Errorf("%d ids arrived, want the %d that were sent, in order", len(got), len(ids))
	}
	offer, err := ConnectionOffer{Ref: 7, Class: "c", Server: "s"}.Encode()
	if err != nil {
		t.Fatal(err)
	}
	if _, err := DecodeFinishedIDs(offer); err == nil {
		t.Error("an offer was taken for ids")
	}
}
