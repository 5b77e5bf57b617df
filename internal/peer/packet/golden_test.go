package packet

import (
	"encoding/hex"
	"net/netip"
	"os"
	"strings"
	"testing"

	"spurspread/decision/membership"
)

// goldenMessages returns the messages encoded in testdata/version1.txt, of a fleet without zones, by name.
func goldenMessages() map[string]membership.Message {
	sums := make([]uint32, membership.SyncBuckets)
	for i := range sums {
		sums[i] = uint32(i) * 0x01020304
	}
	self := membership.Update{
		ID:          0x0102030405060708,
		State:       membership.Alive,
		Incarnation: 1796171470554,
		Instance:    7,
		Name:        "balancer-1",
		Addr:        netip.MustParseAddrPort("10.0.0.4:7946"),
	}
	dead := membership.Update{ID: 9, State: membership.Dead, Incarnation: 300, ReportedBy: 0xa}
	head := membership.Message{
		From:                0x1122334455667788,
		Incarnation:         1796171470555,
		Instance:            0x99,
		ReceiverState:       membership.Alive,
		ReceiverIncarnation: 5,
		Digest:              0xdddddddddddddddd,
	}
	with := func(change func(*membership.Message)) membership.Message {
		m := head
		change(&m)
		return m
	}
	return map[string]membership.Message{
		"ping": with(func(m *membership.Message) { m.Kind, m.Seq = membership.Ping, 3 }),
		"ack": with(func(m *membership.Message) {
			m.Kind, m.Seq, m.PingsReceived, m.Updates = membership.Ack, 3, 17, []membership.Update{dead}
		}),
		"ask": with(func(m *membership.Message) { m.Kind, m.Seq, m.Target = membership.IndirectPing, 4, 12 }),
		"gossip": with(
			func(m *membership.Message) { m.Kind, m.Updates = membership.Gossip, []membership.Update{self, dead} },
		),
		"compare": with(
			func(m *membership.Message) { m.Kind, m.IsReply, m.BucketSums = membership.SyncSums, true, sums },
		),
		"entries": with(
			func(m *membership.Message) { m.Kind, m.Updates = membership.SyncEntries, []membership.Update{self} },
		),
		"hello": {Kind: Hello, From: 1, Instance: 2},
	}
}

// The datagrams of a fleet without zones are byte for byte those of the program from before zones were introduced,
// which wrote testdata/version1.txt.
func TestVersionOneIsStable(t *testing.T) {
	text, err := os.ReadFile("testdata/version1.txt")
	if err != nil {
		t.Fatal(err)
	}
	messages := goldenMessages()
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	if len(lines) != len(messages) {
		t.Fatalf("%d golden lines for %d messages, want as many", len(lines), len(messages))
	}
	for _, line := range lines {
		name, want, _ := strings.Cut(line, " ")
		m := messages[name]
		e := Envelope{ReceiverInstance: 0xfeed, Counter: 21, Addr: netip.MustParseAddrPort("[fd00::1]:7946")}
		if got := hex.EncodeToString(Encode(nil, e, &m)); got != want {
			t.Errorf("%s:\n got %s\nwant %s", name, got, want)
		}
	}
}
