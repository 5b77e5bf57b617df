package xmlconfig

import (
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"
)

var document = Document{"fleet", "urn:test"}

type fleet struct {
	Name  Name     `xml:"name,attr" use:"required"`
	Wait  Duration `xml:"wait,attr" default:"250ms" min:"10ms" max:"1h"`
	Room  Size     `xml:"room,attr" default:"64KiB"`
	Pace  Rate     `xml:"pace,attr" max:"100/s"`
	Part  Share    `xml:"part,attr" max:"100%"`
	Times Number   `xml:"times,attr"`
	Loud  bool     `xml:"loud,attr" default:"true"`
	At    Address  `xml:"at,attr"`
	Nodes Nodes    `xml:"nodes"`
	Trace *Trace   `xml:"trace"`
}

type Nodes struct {
	Node []*Node `xml:"node" least:"1" most:"3"`
}

type Node struct {
	ID    Name   `xml:"id,attr" use:"required" key:"nodes"`
	Cores int    `xml:"cores,attr" default:"2" min:"1" max:"64"`
	Kind  string `xml:"kind,attr" enum:"fast,slow" default:"fast"`
	Peer  Name   `xml:"peer,attr" ref:"nodes"`
}

type Trace struct {
	File Path `xml:"file,attr" use:"required"`
}

func (n *Node) Check(f *File) {
	if n.Peer == n.ID {
		f.AddError(&n.Peer, "name another", "is its own peer")
	}
}

func doc(attrs, inner string) string {
	return fmt.Sprintf("<fleet xmlns=\"urn:test\"\n%s>\n%s\n</fleet>", attrs, inner)
}

func TestRead(t *testing.T) {
	var got fleet
	err := Read(
		"f.xml",
		[]byte(
			doc(
				`name="main" wait="1.5s" room="2MiB" pace="30/min" part="12.5%" times="2.5" loud="false" `+
					`at="127.0.0.1:80"`,
				`<!-- words --><nodes><node id="a" kind="slow"/><node id="b" cores="8" peer="a"/></nodes>`,
			),
		),
		document,
		&got,
	)
	if err != nil {
		t.Fatal(err)
	}
	if got.Wait.Std() != 1500*time.Millisecond || got.Room != 2<<20 || got.Pace != 0.5 || got.Part != 0.125 ||
		got.Times != 2.5 ||
		got.Loud ||
		got.At != "127.0.0.1:80" ||
		len(got.Nodes.Node) != 2 ||
		got.Nodes.Node[0].Cores != 2 ||
		got.Nodes.Node[0].Kind != "slow" ||
		got.Nodes.Node[1].Peer != "a" ||
		got.Trace != nil {
		t.Errorf("%+v", got)
	}
	got = fleet{}
	if err := Read("f.xml", []byte(doc(`name="x"`, `<nodes><node id="a"/></nodes>`)), document, &got); err != nil {
		t.Fatal(err)
	}
	if got.Wait.Std() != 250*time.Millisecond || got.Room != 64<<10 || !got.Loud {
		t.Errorf("defaults: %+v, want a wait of 250 ms, room for 64 KiB, and loud", got)
	}
}

// All errors of a file are reported together, ordered by line, each with a correction.
func TestAllErrorsAtOnce(t *testing.T) {
	text := doc("name=\"main\"\nwait=\"5\"\nroom=\"2MB\"\nnonsense=\"1\"", `<nodes>
<node id="a" cores="65"/>
<node id="a"/>
<node id="c" peer="d"/>
<node id="e"/>
</nodes>
<trace/>
<trace file="x"/>
<other/>`)
	err := Read("f.xml", []byte(text), document, &fleet{})
	var got []string
	var fieldErrors FieldErrors
	if !errors.As(err, &fieldErrors) {
		t.Fatalf("got %v, want field errors", err)
	}
	for _, f := range fieldErrors {
		got = append(got, fmt.Sprintf("%d %s", f.Line, f.Where))
		if f.Fix == "" || f.What == "" || !strings.HasPrefix(f.Error(), "f.xml:") {
			t.Errorf("field error %+v, want a problem, a correction and the file's name", f)
		}
	}
	want := "3 fleet@wait|4 fleet@room|5 fleet@nonsense|6 nodes|7 node@cores|8 node@id|9 node@peer|12 " +
		"trace@file|13 trace|14 other"
	if strings.Join(got, "|") != want {
		t.Errorf("got  %s\nwant %s\n%v", strings.Join(got, "|"), want, err)
	}
}

func TestRejected(t *testing.T) {
	one := `<nodes><node id="a"/></nodes>`
	for text, want := range map[string]string{
		"":                                      "f.xml:1: the file holds no element",
		"<fleet":                                "f.xml:1: not well-formed XML",
		doc(`name="m"`, "<nodes>"):              "f.xml:4: not well-formed XML",
		"<fleet name=\"m\">" + one + "</fleet>": `put xmlns="urn:test" on the root element`,
		"<other xmlns=\"urn:test\"/>":           "the root element is <fleet>",

		"<!DOCTYPE x [<!ENTITY a \"b\">]><fleet/>":                  "a document type is not read",
		doc(`name="m"`, one+"\n\n  words"):                          `f.xml:5: fleet: text "words" between elements`,
		doc(`name="m" name="n"`, one):                               "fleet@name: stands twice",
		doc(`name="m" x:name="n" xmlns:x="urn:x"`, one):             "other namespaces are not read",
		doc(`name="m"`, `<nodes/>`):                                 "at least 1 is needed",
		doc(`name="m"`, `<nodes><node id="a" peer="a"/></nodes>`):   "is its own peer; name another",
		doc(`name="m" wait="0s"`, one):                              "0s is under 10ms; write 10ms to 1h",
		doc(`name="m" part="101%"`, one):                            "101% is over 100%; write 100% or less",
		doc(`name="m" loud="yes"`, one):                             `"yes" is no 'true' or 'false'`,
		doc(`name="m" times="-1"`, one):                             `"-1" is no number`,
		doc(`name="m" room="99999999999GiB"`, one):                  "is no number of bytes",
		doc(`name=""`, one):                                         `"" is no name`,
		doc(`name="m"`, `<nodes><node id="a" kind="odd"/></nodes>`): "is no word of fast, slow",

		doc(`name="m"`, strings.Repeat("<nodes>", 20)+strings.Repeat("</nodes>", 20)): "inside each other",

		doc(`name="m"`, one) + "<fleet/>": "once",
		doc(`name="m"`, "<?php x?>"+one):  "the instruction <?php?> is not read",
		"\xff\xfe":                        "f.xml:1: ",
	} {
		err := Read("f.xml", []byte(text), document, &fleet{})
		if err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s\ngot  %v\nwant %s", text, err, want)
		}
	}
}

// Any file is either accepted or rejected with errors whose line numbers are within the file.
func TestAnyFile(t *testing.T) {
	parts := []string{
		"<fleet xmlns=\"urn:test\"", " name=\"m\"", " wait='1s'", ">", "/>", "\n", "<nodes>", "</nodes>",
		"<node id=\"a\"/>",
		"</fleet>", "<!--", "-->", "&amp;", "&", "<", "'", "\"", "<trace file='x'/>", "words", "<![CDATA[", "]]>",
	}
	rapid.Check(t, func(t *rapid.T) {
		text := strings.Join(rapid.SliceOfN(rapid.SampledFrom(parts), 0, 40).Draw(t, "parts"), "")
		err := Read("f.xml", []byte(text), document, &fleet{})
		var fieldErrors FieldErrors
		if err != nil && (!errors.As(err, &fieldErrors) || len(fieldErrors) == 0) {
			t.Fatalf("got %v, want field errors or none", err)
		}
		if err == nil {
			return
		}
		for _, f := range fieldErrors {
			if f.Line < 1 || f.Line > strings.Count(text, "\n")+1 {
				t.Fatalf("%q: %v, want a line of the file", text, f)
			}
		}
	})
}
