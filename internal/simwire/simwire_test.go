package simwire

import (
	"bytes"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"io"
	"math"
	"reflect"
	"runtime"
	"strings"
	"testing"

	"spurspread/decision"
	"spurspread/decision/outcome"
)

var le = binary.LittleEndian

// encodeRecord returns an event record from hexadecimal text, padded to its size.
func encodeRecord(t testing.TB, text string) []byte {
	t.Helper()
	b, err := hex.DecodeString(strings.ReplaceAll(text, " ", ""))
	if err != nil || len(b) > eventSize {
		t.Fatalf("record %q: %v", text, err)
	}
	return append(b, make([]byte, eventSize-len(b))...)
}

// encodeBatch returns a batch of the records and the tail.
func encodeBatch(sequence uint32, now uint64, tail []byte, records ...[]byte) []byte {
	body := append(bytes.Join(records, nil), tail...)
	out := le.AppendUint32(nil, sequence)
	out = le.AppendUint32(out, uint32(minBatchLength+len(body)))
	out = le.AppendUint32(out, uint32(len(records)))
	out = le.AppendUint64(out, now)
	return append(out, body...)
}

// decodeOne decodes the only record of a batch with the given tail.
func decodeOne(t *testing.T, tail []byte, record string) (Record, error) {
	t.Helper()
	b, err := NewReader(bytes.NewReader(encodeBatch(1, 5, tail, encodeRecord(t, record)))).Next()
	if err != nil {
		t.Fatal(err)
	}
	return b.Record(0)
}

func TestEventsByteForByte(t *testing.T) {
	for name, c := range map[string]struct {
		record string
		want   decision.Event
	}{
		"request": {
			"3804 c4913a5d 80a90300 0000 107cf3d901648e2b 0000 e02e0000 01 640ad2557c3bf091",
			decision.Request{
				ID: 0x5d3a91c4, TimeLeft: 240000, Group: 0x2b8e6401d9f37c10, LoadHint: 12000, HasLoadHint: true,
				Key: 0x91f03b7c55d20a64,
			},
		},
		"mid-flow request": {
			"3804 01000000 02000000 0300 0000000000000000 0400 00000000 1a 0000000000000000",
			decision.Request{
				ID: 1, TimeLeft: 2, Class: 3, Tenant: 4, Retry: true, MidConnection: true, Reconnected: true,
			},
		},
		"timer":     {"f203 4d00000000000000", decision.TimerFired{Token: 77}},
		"withdrawn": {"0604 192b6f0e", decision.RequestCancelled{ID: 0x0e6f2b19}},
		"established": {
			"1a04 c4913a5d 02 074a1203 44480000",
			decision.Established{ID: 0x5d3a91c4, Attempt: 2, Server: 0x03124a07, SetupTime: 18500},
		},
		"note": {
			"2e04 c4913a5d 01 074a1203 02 00002041",
			decision.ConnectionMetric{
				ID: 0x5d3a91c4, Attempt: 1, Server: 0x03124a07, Kind: decision.MessageLatencyMetric, Value: 10,
			},
		},
		"outcome": {
			"fc03 c4913a5d 00 074a1203 c800 44480000 01 00",
			decision.AttemptEnded{
				ID: 0x5d3a91c4, Server: 0x03124a07, Status: outcome.OK, Duration: 18500, RequestClosed: true,
			},
		},
		"outcome with report": {
			"fc03 c4913a5d 00 074a1203 5602 44480000 00 02 0000803f 00000040",
			decision.AttemptEnded{
				ID: 0x5d3a91c4, Server: 0x03124a07, Status: outcome.Reset, Duration: 18500,
				LoadReport: decision.LoadReport{Count: 2, Values: [4]float32{1, 2}},
			},
		},
		"probe result": {
			"6a04 074a1203 f601 44480000 01 0000003f",
			decision.ProbeResult{
				Server: 0x03124a07, Status: outcome.ConnectFailed, Duration: 18500,
				LoadReport: decision.LoadReport{Count: 1, Values: [4]float32{0.5}},
			},
		},
		"open": {
			"4c04 01000000 0200 0300 0500000000000000 06000000 07000000 0800000000000000 01 09000000",
			decision.ExistingConnection{Request: decision.Request{
				ID: 1, Class: 2, Tenant: 3, Key: 5, TimeLeft: 6, LoadHint: 7, HasLoadHint: true,
				Group: 8,
			}, Server: 9},
		},
	} {
		got, err := decodeOne(t, nil, c.record)
		if err != nil || got.Kind != BalancerEvent || !reflect.DeepEqual(got.Event, c.want) {
			t.Errorf("%s: %v, %#v, want %#v", name, err, got.Event, c.want)
		}
	}
}

func TestHostRecords(t *testing.T) {
	tail, _ := hex.DecodeString(
		"074a1203000000020000803f00000000000000000000" + "f211902c010000020000c03f000020145d0000000000",
	)
	got, err := decodeOne(t, tail, "4204 00 00000000 02000000")
	want := []decision.ServerEntry{
		{Server: 0x03124a07, StableID: 0x03124a07, State: decision.Ready, Weight: 1},
		{Server: 0x2c9011f2, StableID: 0x2c9011f2, Zone: 1, State: decision.Ready, Weight: 1.5, StartedAt: 0x5d1420},
	}
	if err != nil || got.Kind != ServerList || !reflect.DeepEqual(got.Entries, want) {
		t.Errorf("server list: %v, %+v, want %+v", err, got.Entries, want)
	}
	if got, err = decodeOne(t, nil, "5604 00 02 2900000000000000"); err != nil || got.Kind != ListUpdate ||
		got.ListKind != decision.UpdateCached {
		t.Errorf("list update: %v, %+v, want a cached list", err, got)
	}
	if got, err = decodeOne(t, []byte("a=b"), "e803 0900000000000000 00000000 03000000"); err != nil ||
		got.Kind != Start || got.Seed != 9 || string(got.SettingsText) != "a=b" {
		t.Errorf("start: %v, %+v, want seed 9 and settings a=b", err, got)
	}
	if got, err = decodeOne(t, nil, "6004 0300"); err != nil || got.Kind != SelectInstance || got.Instance != 3 {
		t.Errorf("select instance: %v, %+v, want instance 3", err, got)
	}
	if got, err = decodeOne(t, nil, "1004"); err != nil || got.Kind != Stop {
		t.Errorf("stop: %v, %+v, want kind %v", err, got, Stop)
	}
	if got, err = decodeOne(t, []byte("hi"), "2404 01000000 00000000 02000000"); err != nil || got.Kind != Ignored {
		t.Errorf("message from a peer: %v, %+v, want kind %v", err, got, Ignored)
	}
}

func TestActionsByteForByte(t *testing.T) {
	var r Reply
	r.Begin(12)
	actions := []decision.Action{
		decision.StartAttempt{ID: 0x5d3a91c4, Timeout: 80000, Server: 0x03124a07},
		decision.SetTimer{Delay: 500000, Token: 77},
		decision.WatchDiscovery{On: true},
		decision.FetchServerList{},
		decision.Reject{ID: 1, RetryAfter: 2},
		decision.Fail{ID: 3},
		decision.CancelAttempt{ID: 4, Attempt: 5},
		decision.MoveConnection{ID: 6},
		decision.ProbeServer{Server: 7},
		decision.StartAttempt{ID: 8, Timeout: -1},
	}
	if err := r.Add(3, actions); err != nil {
		t.Fatal(err)
	}
	want := "0c000000 b4000000 0b000000" +
		"6004 0300 000000000000000000000000" +
		"1004 c4913a5d 80380100 074a1203 0000" +
		"6a04 20a10700 4d00000000000000 0000" +
		"e803 01 00000000000000000000000000" +
		"f203 0000000000000000000000000000" +
		"fc03 01000000 02000000 000000000000" +
		"2e04 03000000 00000000000000000000" +
		"4204 04000000 05 000000000000000000" +
		"0604 06000000 00000000000000000000" +
		"2404 07000000 00000000000000000000" +
		"1004 08000000 00000000 00000000 0000"
	if got := hex.EncodeToString(r.Bytes()); got != strings.ReplaceAll(want, " ", "") {
		t.Fatalf("got  %s\nwant %s", got, strings.ReplaceAll(want, " ", ""))
	}
	r.Begin(1)
	if got := hex.EncodeToString(r.Bytes()); got != "010000000400000000000000" {
		t.Fatalf("empty reply %s, want only a header of sequence 1", got)
	}
}

func TestUnknownActionIsAnError(t *testing.T) {
	var r Reply
	r.Begin(1)
	if err := r.Add(0, []decision.Action{nil}); !errors.Is(err, ErrUnknownAction) {
		t.Fatalf("got %v, want %v", err, ErrUnknownAction)
	}
}

func TestMalformed(t *testing.T) {
	good := encodeBatch(1, 5, nil, encodeRecord(t, "1004"))
	long := append([]byte(nil), good...)
	le.PutUint32(long[4:], 1<<31)
	short := append([]byte(nil), good...)
	le.PutUint32(short[4:], 3)
	count := append([]byte(nil), good...)
	le.PutUint32(count[8:], 1<<30)
	for name, c := range map[string]struct {
		in   []byte
		want error
	}{
		"header cut": {good[:7], io.ErrUnexpectedEOF}, "body cut": {good[:30], io.ErrUnexpectedEOF},
		"oversized": {long, ErrMalformedFrame}, "undersized": {short, ErrMalformedFrame},
		"too many records": {count, ErrMalformedFrame},
		"clock":            {encodeBatch(1, math.MaxUint64, nil), ErrMalformedFrame},
	} {
		if _, err := NewReader(bytes.NewReader(c.in)).Next(); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", name, err, c.want)
		}
	}
	if _, err := decodeOne(t, nil, "0100"); !errors.Is(err, ErrUnknownEvent) {
		t.Errorf("unknown code: %v, want %v", err, ErrUnknownEvent)
	}
	for name, record := range map[string]string{
		"unknown outcome":    "fc03 c4913a5d 00 074a1203 0100 44480000 01 00",
		"report of 5 values": "fc03 c4913a5d 00 074a1203 c800 44480000 01 05",
		"offset past tail":   "4204 00 01000000 01000000",
		"huge count":         "4204 00 00000000 ffffffff",
		"list 16":            "4204 10 00000000 00000000",
		"update of kind 4":   "5604 00 04",
		"padding not zero":   "1004 0000 01",
		"settings past tail": "e803 0900000000000000 00000000 03000000",
		"message past tail":  "2404 01000000 00000000 02000000",
	} {
		if _, err := decodeOne(t, nil, record); !errors.Is(err, ErrMalformedRecord) {
			t.Errorf("%s: %v, want %v", name, err, ErrMalformedRecord)
		}
	}
}

// A batch whose length field is too large must not allocate memory for bytes that never arrive.
func TestWrongLengthAllocatesLittle(t *testing.T) {
	in := encodeBatch(1, 5, nil)
	le.PutUint32(in[4:], maxFrame)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	_, err := NewReader(bytes.NewReader(in)).Next()
	runtime.ReadMemStats(&after)
	if !errors.Is(err, io.ErrUnexpectedEOF) || after.TotalAlloc-before.TotalAlloc > 8<<20 {
		t.Fatalf("%v, %d bytes allocated, want an unexpected EOF and at most 8 MiB",
			err, after.TotalAlloc-before.TotalAlloc)
	}
}

// FuzzFrame checks that the decoder rejects or decodes any input without a panic, and that a server list has no more
// entries than the input has room for.
func FuzzFrame(f *testing.F) {
	f.Add(encodeBatch(1, 5, nil))
	f.Add(
		encodeBatch(
			2,
			5,
			[]byte("two servers known"),
			encodeRecord(f, "6004 0300"),
			encodeRecord(f, "1004"),
			encodeRecord(f, "e803 09 00000000000000 00000000 03000000"),
		),
	)
	f.Add(encodeBatch(3, 5, make([]byte, 44),
		encodeRecord(f, "4204 00 00000000 02000000"), encodeRecord(f, "5604 00 02 29")))
	f.Add(encodeBatch(4, 5, nil,
		encodeRecord(f, "fc03 c4913a5d 00 074a1203 c800 44480000 01 04"), encodeRecord(f, "4c04 01")))
	f.Add(encodeBatch(5, 5, nil, encodeRecord(f, "4204 00 ffffffff ffffffff"))[:50])
	f.Fuzz(func(t *testing.T, in []byte) {
		reader := NewReader(bytes.NewReader(in))
		for {
			b, err := reader.Next()
			if err != nil {
				return
			}
			for i := range b.Count {
				r, err := b.Record(i)
				if err == nil && r.Kind == ServerList && len(r.Entries)*entrySize > len(in) {
					t.Fatalf("%d entries from %d bytes, want no more than fit", len(r.Entries), len(in))
				}
			}
		}
	})
}
