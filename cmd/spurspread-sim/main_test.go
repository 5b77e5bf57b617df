package main

import (
	"bytes"
	"encoding/binary"
	"strings"
	"testing"
)

const settingsText = `balancers=1
rank=0
zone=0
dcs=a
discovery=push
limits.most_tries=3
rules.cold=1000000
rules.cold_from=0.5
rules.drain_grace=500000
rules.overload_factor=3
rules.tip_after=1000000
request_classes.count=1
request_classes.0.slo=300000
request_classes.0.deadline=1200000
request_classes.0.effect=read_like
`

var le = binary.LittleEndian

// record encodes an event record: its code and fields, padded with zeros to 40 bytes.
func record(code uint16, fields ...any) []byte {
	b := le.AppendUint16(nil, code)
	for _, f := range fields {
		b, _ = binary.Append(b, le, f)
	}
	return append(b, make([]byte, 40-len(b))...)
}

// batch encodes a batch of records and a tail.
func batch(seq uint32, now uint64, tail []byte, recs ...[]byte) []byte {
	body := append(bytes.Join(recs, nil), tail...)
	out, _ := binary.Append(nil, le, []uint32{seq, uint32(12 + len(body)), uint32(len(recs))})
	out = le.AppendUint64(out, now)
	return append(out, body...)
}

// forInstance encodes the record that selects an instance for the records that follow.
func forInstance(instance uint16) []byte { return record(1120, instance) }

// startBatch encodes the first batch: it starts the instances, and gives each a list of one ready server, number 77.
func startBatch(instances ...uint16) []byte {
	entry, _ := binary.Append(nil, le, uint32(77))
	entry = append(entry, 0, 0, 0, 2)
	entry = append(entry, make([]byte, 14)...)
	recs := [][]byte{record(1090, uint8(0), uint32(len(settingsText)), uint32(1))}
	for _, instance := range instances {
		recs = append(
			recs,
			forInstance(instance),
			record(1000, uint64(instance), uint32(0), uint32(len(settingsText))),
			record(1110, uint8(0), uint8(2), uint64(1)),
		)
	}
	return batch(1, 1000000, append([]byte(settingsText), entry...), recs...)
}

// request encodes a request with a deadline in 1.2 s.
func request(id uint32) []byte { return record(1080, id, uint32(1200000)) }

// actions decodes a reply: it returns the code and the instance of each action, and the bytes that follow the reply.
// Records that select an instance (1120) are not listed.
func actions(t *testing.T, out []byte) (codes, instances []uint16, rest []byte) {
	t.Helper()
	n := le.Uint32(out[8:])
	instance := uint16(0)
	for i := range n {
		r := out[12+16*i:]
		if c := le.Uint16(r); c == 1120 {
			instance = le.Uint16(r[2:])
		} else {
			codes = append(codes, c)
			instances = append(instances, instance)
		}
	}
	return codes, instances, out[8+le.Uint32(out[4:]):]
}

func count(codes []uint16, code uint16) int {
	n := 0
	for _, c := range codes {
		if c == code {
			n++
		}
	}
	return n
}

// Two instances in one host decide independently: each gets the actions for its own request.
func TestTwoInstances(t *testing.T) {
	in := append(startBatch(4, 9), batch(2, 1001000, nil, forInstance(4), request(1), forInstance(9), request(2))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	_, _, rest := actions(t, out.Bytes())
	codes, instances, rest := actions(t, rest)
	if len(rest) != 0 || count(codes, 1040) != 2 || instances[0] != 4 || instances[len(instances)-1] != 9 {
		t.Fatalf("codes %v of instances %v, %d bytes left over; want code 1040 twice, of 4 and then 9, and no bytes",
			codes, instances, len(rest))
	}
}

// An instance that is stopped in the same batch as a request sends no actions, and a later request to it is an error.
func TestStopDiscardsActions(t *testing.T) {
	in := append(startBatch(4), batch(2, 1001000, nil, forInstance(4), request(1), record(1040))...)
	var out bytes.Buffer
	if err := run(bytes.NewReader(in), &out); err != nil {
		t.Fatal(err)
	}
	_, _, rest := actions(t, out.Bytes())
	if codes, _, _ := actions(t, rest); len(codes) != 0 {
		t.Fatalf("actions of a stopped instance: %v, want none", codes)
	}
	err := run(bytes.NewReader(append(in, batch(3, 1002000, nil, forInstance(4), request(2))...)), &out)
	if err == nil || !strings.Contains(err.Error(), "instance 4: not started") {
		t.Fatalf("request to a stopped instance: %v, want the error that it is not started", err)
	}
}

func TestErrorMessages(t *testing.T) {
	for want, in := range map[string][]byte{
		"no instance selected before this record": batch(1, 1, nil, request(1)),
		"list 3: not defined": append(startBatch(4),
			batch(2, 1000001, nil, forInstance(4), record(1110, uint8(3), uint8(1)))...),
		"instance 4: settings": batch(1, 1, []byte("rank=0"), forInstance(4),
			record(1000, uint64(1), uint32(0), uint32(6))),
		"unknown event code": batch(1, 1, nil, forInstance(4), record(7)),
		"header cut short":   {1, 2, 3},
	} {
		if err := run(bytes.NewReader(in), &bytes.Buffer{}); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("want an error with %q, got %v", want, err)
		}
	}
}

// An instance decides the same alone in a host as with another instance beside it.
func TestSplitHosts(t *testing.T) {
	simulate := func(instances ...uint16) []byte {
		in := startBatch(instances...)
		for i := range uint32(50) {
			var recs [][]byte
			for _, instance := range instances {
				recs = append(recs, forInstance(instance), request(i*100+uint32(instance)))
			}
			in = append(in, batch(2+i, 1001000+uint64(i)*1000, nil, recs...)...)
		}
		var out bytes.Buffer
		if err := run(bytes.NewReader(in), &out); err != nil {
			t.Fatal(err)
		}
		return out.Bytes()
	}
	both, alone := simulate(4, 9), simulate(9)
	for len(both) > 0 {
		codesBoth, instances, restBoth := actions(t, both)
		codesAlone, _, restAlone := actions(t, alone)
		var of9 []uint16
		for i, c := range codesBoth {
			if instances[i] == 9 {
				of9 = append(of9, c)
			}
		}
		if string(encodeUint16s(of9)) != string(encodeUint16s(codesAlone)) {
			t.Fatalf("codes %v with another instance, %v alone, want the same", of9, codesAlone)
		}
		both, alone = restBoth, restAlone
	}
}

func encodeUint16s(v []uint16) []byte {
	b, _ := binary.Append(nil, le, v)
	return b
}

// Input that ends before a batch begins is not an error.
func TestCleanEnd(t *testing.T) {
	if err := run(bytes.NewReader(nil), &bytes.Buffer{}); err != nil {
		t.Fatal(err)
	}
}
