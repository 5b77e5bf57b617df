package channel

import (
	"bytes"
	"encoding/binary"
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/crypto/ssh"
	"pgregory.net/rapid"
)

// The messages of RFC 4253 and RFC 4254 as structs that golang.org/x/crypto/ssh, an independent implementation, can
// encode and decode.
type (
	disconnect struct {
		Reason            uint32 `sshtype:"1"`
		Message, Language string
	}
	ignore struct {
		Data []byte `sshtype:"2"`
	}
	unimplemented struct {
		Seq uint32 `sshtype:"3"`
	}
	debugMsg struct {
		Always         bool `sshtype:"4"`
		Text, Language string
	}
	serviceRequest struct {
		Service string `sshtype:"5"`
	}
	serviceAccept struct {
		Service string `sshtype:"6"`
	}
	globalRequest struct {
		Type      string `sshtype:"80"`
		WantReply bool
		Data      []byte `ssh:"rest"`
	}
	requestSuccess struct {
		Data []byte `ssh:"rest" sshtype:"81"`
	}
	open struct {
		Type                  string `sshtype:"90"`
		ID, Window, MaxPacket uint32
		Data                  []byte `ssh:"rest"`
	}
	openConfirm struct {
		ID, Sender, Window, MaxPacket uint32 `sshtype:"91"`
		Data                          []byte `ssh:"rest"`
	}
	openFailure struct {
		ID, Reason        uint32 `sshtype:"92"`
		Message, Language string
	}
	windowAdjust struct {
		ID, Bytes uint32 `sshtype:"93"`
	}
	dataMsg struct {
		ID   uint32 `sshtype:"94"`
		Data []byte
	}
	extendedData struct {
		ID, Code uint32 `sshtype:"95"`
		Data     []byte
	}
	eofMsg struct {
		ID uint32 `sshtype:"96"`
	}
	closeMsg struct {
		ID uint32 `sshtype:"97"`
	}
	request struct {
		ID        uint32 `sshtype:"98"`
		Type      string
		WantReply bool
		Data      []byte `ssh:"rest"`
	}
	success struct {
		ID uint32 `sshtype:"99"`
	}
	failure struct {
		ID uint32 `sshtype:"100"`
	}
)

// messagePairs returns one message of each type, both as a Message and as the struct for the independent
// implementation.
func messagePairs(a, b, c uint32, s, t []byte, yes bool) []struct {
	ours Message
	rfc  any
} {
	n := string(s)
	return []struct {
		ours Message
		rfc  any
	}{
		{Message{Type: Disconnect, Code: a, Data: s}, disconnect{a, n, ""}},
		{Message{Type: Ignore}, ignore{nil}},
		{Message{Type: Unimplemented, Code: a}, unimplemented{a}},
		{Message{Type: Debug}, debugMsg{}},
		{Message{Type: ServiceRequest, Name: s}, serviceRequest{n}},
		{Message{Type: ServiceAccept, Name: s}, serviceAccept{n}},
		{Message{Type: GlobalRequest, Name: s, WantReply: yes, Data: t}, globalRequest{n, yes, t}},
		{Message{Type: RequestSuccess, Data: t}, requestSuccess{t}},
		{Message{Type: Open, Name: s, Channel: a, Window: b, MaxPacket: c, Data: t}, open{n, a, b, c, t}},
		{
			Message{Type: OpenConfirm, Channel: a, Sender: b, Window: c, MaxPacket: a, Data: t},
			openConfirm{a, b, c, a, t},
		},
		{Message{Type: OpenFailure, Channel: a, Code: b, Data: s}, openFailure{a, b, n, ""}},
		{Message{Type: WindowAdjust, Channel: a, Window: b}, windowAdjust{a, b}},
		{Message{Type: Data, Channel: a, Data: s}, dataMsg{a, s}},
		{Message{Type: ExtendedData, Channel: a, Code: b, Data: s}, extendedData{a, b, s}},
		{Message{Type: EOF, Channel: a}, eofMsg{a}},
		{Message{Type: Close, Channel: a}, closeMsg{a}},
		{Message{Type: Request, Channel: a, Name: s, WantReply: yes, Data: t}, request{a, n, yes, t}},
		{Message{Type: Success, Channel: a}, success{a}},
		{Message{Type: Failure, Channel: a}, failure{a}},
	}
}

// Every message is encoded exactly as by the independent implementation, in a packet with valid length and padding, and
// can be parsed again.
func TestAgainstIndependentImplementation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n, s := rapid.Uint32(), rapid.SliceOfN(rapid.Byte(), 0, 300)
		for _, p := range messagePairs(n.Draw(t, "a"), n.Draw(t, "b"), n.Draw(t, "c"), s.Draw(t, "s"), s.Draw(t, "t"),
			rapid.Bool().Draw(t, "yes")) {
			packet := Append(nil, &p.ours)
			payload, size, err := SplitPacket(packet)
			if err != nil || size != len(packet) || size%8 != 0 || size < 16 || packet[4] < 4 {
				t.Fatalf("%+v: %v, size %d of %d bytes; want all, a multiple of 8, and 4 bytes of padding",
					p.ours, err, size, len(packet))
			}
			if want := ssh.Marshal(p.rfc); !bytes.Equal(payload, want) {
				t.Fatalf("%+v\nours %x\nrfc  %x", p.ours, payload, want)
			}
			var got Message
			if err := Parse(payload, &got); err != nil {
				t.Fatalf("parse %+v: %v", p.ours, err)
			}
			if d := cmp.Diff(normalize(p.ours), normalize(got)); d != "" {
				t.Fatal(d)
			}
			if cut := rapid.IntRange(1, len(payload)-1+1).Draw(t, "cut"); cut < len(payload) && len(payload) > 1 {
				_ = Parse(payload[:cut], &got) // must not panic; it may parse or fail
			}
		}
	})
}

// normalize replaces empty slices by nil, for comparison.
func normalize(m Message) Message {
	for _, b := range []*[]byte{&m.Name, &m.Data} {
		if len(*b) == 0 {
			*b = nil
		}
	}
	return m
}

func TestSplitPacket(t *testing.T) {
	good := Append(nil, &Message{Type: EOF, Channel: 7})
	with := func(length uint32, pad byte) []byte {
		b := append([]byte(nil), good...)
		binary.BigEndian.PutUint32(b, length)
		b[4] = pad
		return b
	}
	for name, c := range map[string]struct {
		in  []byte
		n   int
		err error
	}{
		"good":                {append(bytes.Clone(good), 1, 2, 3), len(good), nil},
		"nothing":             {nil, 0, nil},
		"a part of a length":  {good[:3], 0, nil},
		"a length":            {good[:4], 0, nil},
		"all but one byte":    {good[:len(good)-1], 0, nil},
		"length 0":            {with(0, 4), 0, ErrLength},
		"length 1":            {with(1, 4), 0, ErrLength},
		"length 2^31":         {with(1<<31, 4), 0, ErrLength},
		"length 2^32-1":       {with(1<<32-1, 4), 0, ErrLength},
		"length 2^32-4":       {with(1<<32-4, 4), 0, ErrLength},
		"not a multiple of 8": {with(13, 4), 0, ErrLength},
		"over the largest":    {with(MaxPacket-4+8, 4), 0, ErrLength},
		"the largest":         {with(34996-34996%8+4, 4)[:5], 0, nil},
		"no padding":          {with(12, 0), 0, ErrPad},
		"padding 3":           {with(12, 3), 0, ErrPad},
		"only padding":        {with(12, 11), 0, ErrPad},
		"padding too long":    {with(12, 255), 0, ErrPad},
	} {
		payload, n, err := SplitPacket(c.in)
		if n != c.n || !errors.Is(err, c.err) || (n > 0) != (payload != nil) {
			t.Errorf("%s: size %d, %v, want %d, %v", name, n, err, c.n, c.err)
		}
	}
}

func TestSplitIdentification(t *testing.T) {
	for name, c := range map[string]struct {
		in, text string
		n        int
		err      error
	}{
		"good":    {"SSH-2.0-x 1\r\nrest", "SSH-2.0-x 1", 13, nil},
		"lone LF": {"SSH-2.0-x\n", "SSH-2.0-x", 10, nil},
		"1.99":    {"SSH-1.99-x\r\n", "SSH-1.99-x", 12, nil},
		"not yet": {"SSH-2.0-", "", 0, nil},
		"no name": {"SSH-2.0-\r\n", "", 10, ErrIdent},
		"old":     {"SSH-1.5-x\r\n", "", 11, ErrIdent},
		"control": {"SSH-2.0-\x01\r\n", "", 11, ErrIdent},
		"endless": {"SSH-2.0-" + strings.Repeat("x", 300), "", 0, ErrIdent},
		"longest": {"SSH-2.0-" + strings.Repeat("x", 245) + "\r\n", "SSH-2.0-" + strings.Repeat("x", 245), 255, nil},
	} {
		text, n, err := SplitIdentification([]byte(c.in))
		if string(text) != c.text && c.err == nil || n != c.n || !errors.Is(err, c.err) {
			t.Errorf("%s: %q, size %d, %v, want %q, %d, %v", name, text, n, err, c.text, c.n, c.err)
		}
	}
}

// A header from PutDataHeader, the data and the padding are the same bytes as the packet from Append. Encoding and
// parsing a DATA message allocates no memory.
func TestPutDataHeader(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		data := rapid.SliceOfN(rapid.Byte(), 0, 64).Draw(t, "data")
		var head DataHeader
		pad := PutDataHeader(&head, 9, len(data))
		got := append(append(append([]byte(nil), head[:]...), data...), pad...)
		if want := Append(nil, &Message{Type: Data, Channel: 9, Data: data}); !bytes.Equal(got, want) {
			t.Fatalf("%x\n%x", got, want)
		}
	})
	data, buf := make([]byte, MaxData), make([]byte, 0, MaxPacket)
	packet := Append(nil, &Message{Type: Data, Channel: 9, Data: data})
	if len(packet) > MaxPacket {
		t.Fatalf("the longest packet has %d bytes, want at most %d", len(packet), MaxPacket)
	}
	m := Message{Type: Data, Channel: 9, Data: data}
	var read Message
	if n := testing.AllocsPerRun(100, func() {
		var head DataHeader
		_ = PutDataHeader(&head, 9, len(data))
		buf = Append(buf[:0], &m)
		payload, _, _ := SplitPacket(packet)
		if Parse(payload, &read) != nil || len(read.Data) != len(data) {
			t.Fatal("packet was not parsed")
		}
	}); n != 0 {
		t.Errorf("%v allocations, want 0", n)
	}
}

// Any payload is either rejected or survives encoding and parsing unchanged. The independent implementation
// decodes the same from a DATA message.
func FuzzParse(f *testing.F) {
	for _, p := range messagePairs(1, 2, 3, []byte("name"), []byte("data"), true) {
		f.Add(ssh.Marshal(p.rfc))
	}
	f.Add([]byte{90, 0, 0, 0, 200})
	f.Add([]byte{94, 0, 0, 0, 1, 255, 255, 255, 255})
	f.Fuzz(func(t *testing.T, payload []byte) {
		var m Message
		if err := Parse(payload, &m); err != nil {
			return
		}
		again := Append(nil, &m)
		back, _, err := SplitPacket(again)
		if len(payload) > MaxData {
			return
		}
		if err != nil {
			t.Fatalf("%+v: %v", m, err)
		}
		var same Message
		if err := Parse(back, &same); m.Type != Ignore && m.Type != Debug && isKnownType(m.Type) &&
			(err != nil || cmp.Diff(normalize(m), normalize(same)) != "") {
			t.Errorf("%x: parsed as %+v, again as %+v, %v; want the same", payload, m, same, err)
		}
		if m.Type == Data {
			var rfc dataMsg
			if err := ssh.Unmarshal(payload, &rfc); err != nil || rfc.ID != m.Channel ||
				!bytes.Equal(rfc.Data, m.Data) {
				t.Errorf("%x: the independent implementation decodes %+v, %v, want %+v", payload, rfc, err, m)
			}
		}
	})
}

func isKnownType(t Type) bool {
	return t >= Disconnect && t <= ServiceAccept || t >= GlobalRequest && t <= RequestFailure ||
		t >= Open && t <= Failure
}

func FuzzSplitPacket(f *testing.F) {
	f.Add(Append(nil, &Message{Type: EOF, Channel: 7}))
	f.Add([]byte{0, 0, 0, 12, 255})
	f.Fuzz(func(t *testing.T, buf []byte) {
		payload, n, err := SplitPacket(buf)
		if err == nil && n > 0 && (n > len(buf) || len(payload) == 0 || len(payload) > n-9) {
			t.Errorf("%x: packet of %d bytes, payload of %d, want 1 to the packet without 9 bytes",
				buf, n, len(payload))
		}
		_, _, _ = SplitIdentification(buf)
	})
}
