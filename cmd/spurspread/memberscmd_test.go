package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"spurspread/internal/siteconfig"
)

// fakeAdmin is a server for one admin command: it sends the command to the channel and answers with reply.
func fakeAdmin(t *testing.T, reply string) (addr string, command <-chan string) {
	t.Helper()
	ln := listener(t)
	commands := make(chan string, 1)
	go func() {
		c, err := ln.AcceptTCP()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		b := make([]byte, 256)
		n, _ := c.Read(b)
		commands <- string(b[:n])
		_, _ = fmt.Fprintf(c, "%s\r\n", reply)
	}()
	return ln.Addr().String(), commands
}

// withoutZones is the exact report of a member in a fleet without zones.
const withoutZones = `{"doubts":false,"divisor":1,"members":[{"name":"a","addr":"10.0.0.4:7946","state":"alive",` +
	`"incarnation":5,"since_ms":0,"heard_ms":0,"rtt_us":0,"lost_out":0,"lost_in":0}],"counts":{"Sent":0,` +
	`"SentBytes":0,"Taken":0,"Saved":0,"Malformed":0,"Forged":0,"Replayed":0,"Lost":0,"Pauses":0,"Accusations":0}}`

// The report of a member in a fleet without zones has no fields about zones, and its printed form ends with the
// members.
func TestMembersWithoutZones(t *testing.T) {
	var v membersReport
	if err := json.Unmarshal([]byte(withoutZones), &v); err != nil || v.ZonesReport != nil {
		t.Fatalf("parsed as %+v, %v, want no report of zones", v, err)
	}
	if again, err := json.Marshal(v); err != nil || string(again) != withoutZones {
		t.Errorf("encoded again as %s, %v, want the same text", again, err)
	}
	addr, _ := fakeAdmin(t, "+OK "+withoutZones)
	code, out, errOut := command(t, "members", "--mgmt", addr)
	if lines := strings.Count(out, "\n"); code != exitOK || lines != 2 {
		t.Errorf("members: code %d, output %q, errors %q; want code %d and 2 lines", code, out, errOut, exitOK)
	}
}

// Zones and records are printed below the members.
func TestMembersWithZones(t *testing.T) {
	zones := `,"zone":"east-1","region":"east","live":4,"known":5,"zones":[` +
		`{"region":"east","zone":"east-1","state":"reachable","live":2,"known":2,"version":8,"delegates":["a"],` +
		`"own":true,"since_ms":100},{"region":"west","zone":"west-1","state":"cut","live":2,"known":3,"version":9,` +
		`"delegates":["10.2.0.4:7946"],"own":false,"since_ms":2500}],` +
		`"records":[{"name":"limits","version":7,"value":"two words"}]}`
	addr, _ := fakeAdmin(t, "+OK "+strings.TrimSuffix(withoutZones, "}")+zones)
	code, out, errOut := command(t, "members", "--mgmt", addr)
	for _, want := range []string{
		"\n4 members live in all zones, 5 are known; rates are divided by 1.0\n",
		"east    east-1  reachable  own       2     2      8        a\n",
		"west    west-1  cut        2.5s ago  2     3      9        10.2.0.4:7946\n",
		"limits  7        two words\n",
	} {
		if code != exitOK || !strings.Contains(out, want) {
			t.Errorf("members: code %d, want %d and %q in\n%s%s", code, exitOK, want, out, errOut)
		}
	}
}

// The command record sends a valid record to the admin address, and rejects an invalid one without sending it.
func TestRecordCommand(t *testing.T) {
	addr, sent := fakeAdmin(t, "+OK 17")
	code, out, errOut := command(t, "record", "limits", "two words", "--mgmt", addr)
	if got := <-sent; code != exitOK || got != "RECORD limits two words\r\n" || out != "limits has version 17\n" {
		t.Errorf("record: code %d, sent %q, output %q, errors %q; want code %d and version 17",
			code, got, out, errOut, exitOK)
	}
	for _, c := range [][2]string{
		{"two words", "x"},
		{"", "x"},
		{"n", ""},
		{"n", " x"},
		{"n", "a\nb"},
		{strings.Repeat("n", 33), "x"},
		{"n", strings.Repeat("v", 65)},
	} {
		if code, _, errOut := command(t, "record", c[0], c[1], "--mgmt", "127.0.0.1:1"); code != exitFailed ||
			!strings.Contains(errOut, errInvalidRecord.Error()) {
			t.Errorf("record %q: code %d, errors %q; want code %d and %q",
				c, code, errOut, exitFailed, errInvalidRecord)
		}
	}
	closed := listener(t)
	_ = closed.Close()
	code, _, errOut = command(t, "record", "n", "v", "--mgmt", closed.Addr().String())
	if code != exitFailed || errOut == "" {
		t.Errorf("record at a closed address: code %d, errors %q; want code %d and a text", code, errOut, exitFailed)
	}
}

// The example site file names a zone, and is valid once its keys are created.
func TestExampleHasAZone(t *testing.T) {
	text, err := os.ReadFile("../../example/site.xml")
	if err != nil {
		t.Fatal(err)
	}
	dir := t.TempDir()
	file := filepath.Join(dir, "site.xml")
	if err := os.WriteFile(file, text, 0o600); err != nil {
		t.Fatal(err)
	}
	for _, key := range []string{"key-1", "fleet-1"} {
		if code, _, errOut := command(t, "token", "key", filepath.Join(dir, key)); code != exitOK {
			t.Fatal(errOut)
		}
	}
	if code, out, errOut := command(t, "site", "check", file); code != exitOK ||
		!strings.Contains(out, "2 seeds, region east, zone east-1, rack r7") {
		t.Errorf("site check: code %d, output %q, errors %q; want code %d and the zone", code, out, errOut, exitOK)
	}
}

// Names of zones that are too long for datagrams are rejected.
func TestLocalSite(t *testing.T) {
	if at, err := localSite(&siteconfig.Membership{Region: "east", Zone: "east-1"}); err != nil ||
		at.Region != "east" ||
		at.Zone != "east-1" {
		t.Errorf("localSite = %+v, %v, want region east and zone east-1", at, err)
	}
	if _, err := localSite(&siteconfig.Membership{Zone: "a-name-that-has-more-than-32-bytes"}); err == nil {
		t.Error("a zone name of more than 32 bytes was accepted, want an error")
	}
}
