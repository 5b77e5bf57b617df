package siteconfig

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"spurspread/internal/xmlconfig"
)

const schemaFile = "../../deploy/spurspread.xsd"

// siteDir returns a directory for site files, with the key files that the files in testdata name.
func siteDir(t *testing.T) string {
	t.Helper()
	dir := t.TempDir()
	write := func(name, text string, mode os.FileMode) {
		path := filepath.Join(dir, name)
		if err := errors.Join(os.WriteFile(path, []byte(text), mode), os.Chmod(path, mode)); err != nil {
			t.Fatal(err)
		}
	}
	for i := range 9 {
		write(fmt.Sprint("k", i+1), strings.Repeat(fmt.Sprint("0", i), SecretSize)+"\n", 0o600)
	}
	write("open", strings.Repeat("ab", SecretSize), 0o644)
	write("short", "0123456789\n", 0o600)
	write("large", strings.Repeat("a", 5000), 0o600)
	write("nohex", strings.Repeat("zz", SecretSize), 0o600)
	if err := os.Mkdir(filepath.Join(dir, "folder"), 0o700); err != nil {
		t.Fatal(err)
	}
	return dir
}

// validates reports whether a file is valid against the schema according to xmllint, which is independent of this
// package's parser.
func validates(t *testing.T, path string) bool {
	t.Helper()
	out, err := exec.Command("xmllint", "--nonet", "--noout", "--schema", schemaFile, path).CombinedOutput()
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		t.Fatalf("xmllint (Debian: libxml2-utils): %v", err)
	}
	// exit codes 1: not well-formed, 3 and 4: not valid; any other: the schema or the call is wrong
	if err != nil && exit.ExitCode() != 1 && exit.ExitCode() != 3 && exit.ExitCode() != 4 {
		t.Fatalf("xmllint: %v: %s", err, out)
	}
	return err == nil
}

var expectation = regexp.MustCompile(`<!-- want (.*) -->\n<!-- schema (refuses|accepts) -->`)

// Every broken file is rejected with exactly the expected errors and their line numbers. The schema rejects or accepts
// it as the file says, since it can't express all rules.
func TestBroken(t *testing.T) {
	files, err := filepath.Glob("testdata/broken/*.xml")
	if err != nil || len(files) < 25 {
		t.Fatalf("%d broken files, %v, want at least 25", len(files), err)
	}
	dir := siteDir(t)
	for _, file := range files {
		t.Run(strings.TrimSuffix(filepath.Base(file), ".xml"), func(t *testing.T) {
			text, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			want := expectation.FindSubmatch(text)
			if want == nil {
				t.Fatal("the file has no comment with the expected errors")
			}
			path := filepath.Join(dir, filepath.Base(file))
			if err := os.WriteFile(path, text, 0o600); err != nil {
				t.Fatal(err)
			}
			_, err = Load(path)
			var fieldErrors xmlconfig.FieldErrors
			if !errors.As(err, &fieldErrors) {
				t.Fatalf("got %v, want field errors", err)
			}
			lines := strings.Split(string(want[1]), " | ")
			if len(fieldErrors) != len(lines) {
				t.Errorf("%d errors, want %d:\n%v", len(fieldErrors), len(lines), err)
			}
			for i, f := range fieldErrors {
				if i >= len(lines) {
					break
				}
				place, words, _ := strings.Cut(lines[i], ": ")
				if got := fmt.Sprintf("%d %s", f.Line, f.Where); got != place || !strings.Contains(f.What, words) ||
					f.Fix == "" {
					t.Errorf("got %q %q, want %q %q", got, f.What, place, words)
				}
			}
			if got, accepts := validates(t, path), string(want[2]) == "accepts"; got != accepts {
				t.Errorf("the schema accepts it: %v, want %v", got, accepts)
			}
		})
	}
}

// A file that Load accepts is valid against the schema, and the schema in deploy is the one that the program prints.
func TestAccepted(t *testing.T) {
	if text, err := os.ReadFile(schemaFile); err != nil || !bytes.Equal(text, Schema()) {
		t.Errorf("%s is not what `spurspread site schema` prints (%v)", schemaFile, err)
	}
	dir := siteDir(t)
	const keys = `<keys><key id="f" file="k1" use="mint"/></keys></fleet>`
	for name, body := range map[string]string{
		"least": `name="x"/>`,
		"full": `name="trinidad-main"><!-- a word --><resume life="10m" skew="0s" claims="64" spread="2.2s"><keys>
<key id="old" file="k1" use="accept"/><key id="new" file="` + filepath.Join(dir, "k2") +
			`" use="mint"/></keys></resume></spurspread>`,
		"fleet": `name="x"><fleet member="b-1" listen="127.0.0.1:7946" tells="[::1]:7946">` +
			`<seeds><seed at="b-2.example:7946"/><seed at="127.0.0.2:1"/></seeds>
<reach><member name="b-2" at="127.0.0.3:7"/></reach>` + keys +
			`<resume><keys><key id="t" file="k2" use="mint"/></keys></resume></spurspread>`,
		"zones": `name="x"><fleet listen="127.0.0.1:7946" region="east" zone="east-1" rack="r7"><seeds/>` + keys +
			`</spurspread>`,
		"zone":     `name="x"><fleet listen="127.0.0.1:7946" zone="east-1"><seeds/>` + keys + `</spurspread>`,
		"defaults": `name="a-b_c.9"><resume><keys><key id="k" use="mint" file="k3"/></keys></resume></spurspread>`,
	} {
		path := filepath.Join(dir, name+".xml")
		if err := os.WriteFile(path, []byte(`<spurspread xmlns="urn:spurspread:site:1" `+body), 0o600); err != nil {
			t.Fatal(err)
		}
		if _, err := Load(path); err != nil || !validates(t, path) {
			t.Errorf("%s: Load = %v, want a file that is accepted by Load and the schema", name, err)
		}
	}
	s, err := Load(filepath.Join(dir, "full.xml"))
	if err != nil || s.Resume.Lifetime.Std().Minutes() != 10 || len(s.Resume.Keys.Key) != 2 ||
		s.Resume.Keys.Key[1].Secret[0] != 1 {
		t.Errorf("full.xml: %+v, %v, want a lifetime of 10 minutes and 2 keys", s, err)
	}
	if s, err = Load("../../deploy/spurspread.xml"); err != nil || s.Resume != nil {
		t.Errorf("the site file in deploy turns a feature on: %+v, %v", s, err)
	}
}

func FuzzRead(f *testing.F) {
	files, _ := filepath.Glob("testdata/broken/*.xml")
	for _, file := range files {
		if text, err := os.ReadFile(file); err == nil {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		err := xmlconfig.Read("fuzz.xml", text, document(), &Site{})
		var fieldErrors xmlconfig.FieldErrors
		if err != nil && (!errors.As(err, &fieldErrors) || len(fieldErrors) == 0) {
			t.Errorf("got %v, want field errors or none", err)
		}
	})
}
