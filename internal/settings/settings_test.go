package settings

import (
	"errors"
	"reflect"
	"strings"
	"testing"

	"spurspread/decision"
)

const minimal = `balancers=2
rank=1
zone=1
dcs=a,b
discovery=ask
limits.most_tries=6
limits.probes=true
rules.cold=23000000
rules.cold_from=0.16
rules.drain_grace=500000
rules.overload_factor=3.0
rules.tip_after=1000000
request_classes.count=1
request_classes.0.slo=300000
request_classes.0.deadline=1200000
request_classes.0.effect=idempotency_key
request_classes.0.key_scope=cell
request_classes.0.window=5000000
specifics.message_aim=60000.0
specifics.tenant_quota_connections=66.0,null
tenants.count=2
tenants.0.portion=0.3
stats.columns=x0,load_share
a.key.nobody.knows=1
`

func TestSettings(t *testing.T) {
	all, err := ParseText([]byte(minimal))
	if err != nil {
		t.Fatal(err)
	}
	s := all.Decision
	if s.Balancers != 2 || s.Zones != 2 || s.Zone != 1 || !s.PollDiscovery || s.Passthrough || !s.AllowProbes ||
		s.AllowCancel ||
		s.InitialCapacity != 0.16 {
		t.Errorf("settings %+v do not match the text", s)
	}
	if c := s.Classes[0]; c.Idempotency != decision.IdempotentWithKey || c.DedupScope != decision.ScopeCell ||
		c.DedupWindow != 5000000 ||
		c.MessageLatencyObjective != 60000 {
		t.Errorf("class %+v, want a key that is known to a cell for 5 s, and an objective of 60 ms", c)
	}
	if s.Tenants[0].ConnectionQuota != 66 || s.Tenants[1].ConnectionQuota != 0 || s.Tenants[0].Share != 0.3 {
		t.Errorf("tenants %+v, want quotas of 66 and 0, and a share of 0.3", s.Tenants)
	}
	if !reflect.DeepEqual(s.LoadReportColumns, []string{"x0", "load_share"}) {
		t.Errorf("load report columns %v, want x0 and load_share", s.LoadReportColumns)
	}
}

// How servers are compared depends on whether weights change and whether loads are reported.
func TestSettingsOfLoad(t *testing.T) {
	for text, want := range map[string][2]bool{
		"": {}, "weights=nominal\nspecifics.tells_load=false": {}, "weights=live": {true, false},
		"weights=rough\nspecifics.tells_load=true": {false, true},
	} {
		s, err := ParseText([]byte(minimal + text + "\n"))
		if err != nil || s.Decision.DynamicWeights != want[0] || s.Decision.ReportsConnectionLoad != want[1] {
			t.Errorf(
				"%q: dynamic weights %v, reports load %v, %v",
				text,
				s.Decision.DynamicWeights,
				s.Decision.ReportsConnectionLoad,
				err,
			)
		}
	}
}

func TestProblemsNameTheKey(t *testing.T) {
	for bad, wanted := range map[string]struct {
		text string
		kind error
	}{
		"rules.cold=":                      {"rules.cold:", ErrNotNumber},
		"limits.most_tries=":               {"limits.most_tries:", ErrNotNumber},
		"request_classes.0.effect=":        {"request_classes.0.effect:", ErrNotAllowed},
		"discovery=ask":                    {"discovery:", ErrNotAllowed},
		"request_classes.0.key_scope=cell": {"request_classes.0.key_scope:", ErrNotAllowed},
	} {
		key, _, _ := strings.Cut(bad, "=")
		text := strings.Replace(minimal, key+"=", key+"=x", 1)
		_, err := ParseText([]byte(text))
		if err == nil || !strings.Contains(err.Error(), wanted.text) || !errors.Is(err, wanted.kind) {
			t.Errorf("invalid value of %s: %v, want %q and %v", key, err, wanted.text, wanted.kind)
		}
	}
	var kept []string
	for _, l := range strings.Split(minimal, "\n") {
		if !strings.HasPrefix(l, "rules.drain_grace") {
			kept = append(kept, l)
		}
	}
	if _, err := ParseText([]byte(strings.Join(kept, "\n"))); err == nil ||
		!strings.Contains(err.Error(), "rules.drain_grace: missing") {
		t.Errorf("without rules.drain_grace: %v, want an error that it is missing", err)
	}
	if _, err := ParseText([]byte("what is this")); !errors.Is(err, ErrNoSeparator) {
		t.Errorf("a line without '=': %v, want %v", err, ErrNoSeparator)
	}
	huge := strings.Replace(minimal, "count=1", "count=9999999", 1)
	if _, err := ParseText([]byte(huge)); !errors.Is(err, ErrTooMany) {
		t.Errorf("a huge count: %v, want %v", err, ErrTooMany)
	}
	if _, err := ParseText(make([]byte, maxTextBytes+1)); !errors.Is(err, ErrTooLong) {
		t.Errorf("a huge text: %v, want %v", err, ErrTooLong)
	}
}

// All problems are reported at once, each with its key and kind, in the order in which keys are read.
func TestAllProblemsAtOnce(t *testing.T) {
	text := strings.NewReplacer("rank=1\n", "", "rules.cold=23000000", "rules.cold=-1",
		"limits.most_tries=6", "limits.most_tries=0").Replace(minimal)
	_, err := ParseText([]byte(text))
	var invalid *InvalidError
	if !errors.As(err, &invalid) {
		t.Fatalf("got %v, want an InvalidError", err)
	}
	want := []KeyError{
		{"rank", "missing", ErrMissing},
		{"rules.cold", `"-1" is not a number from 0 to 1e+15`, ErrNotNumber},
		{"limits.most_tries", "0 is not greater than 0", ErrNotPositive},
	}
	var got []KeyError
	for _, problem := range invalid.Problems {
		got = append(got, *problem)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("%+v; want %+v", got, want)
	}
	var first *KeyError
	if !errors.As(err, &first) || first.Key != "rank" || !errors.Is(err, ErrNotPositive) || errors.Is(err, ErrTooMany) {
		t.Errorf("first problem %v of %v, want rank: %v", first, err, ErrNotPositive)
	}
	const all = "settings: rank: missing\nrules.cold: \"-1\" is not a number from 0 to 1e+15\n" +
		"limits.most_tries: 0 is not greater than 0"
	if err.Error() != all {
		t.Errorf("%q; want %q", err, all)
	}
}

// minimalJSON holds the settings of minimal in the form of a balancer's configuration file.
const minimalJSON = `{"balancers":2,"rank":1,"zone":1,"dcs":["a","b"],"discovery":"ask",
"limits":{"most_tries":6,"probes":true},
"rules":{"cold":23000000,"cold_from":0.16,"drain_grace":500000,"overload_factor":3.0,"tip_after":1000000},
"request_classes":[{"slo":300000,"deadline":1200000,"effect":"idempotency_key","key_scope":"cell","window":5000000}],
"specifics":{"message_aim":[60000.0],"tenant_quota_connections":[66.0,null]},
"tenants":[{"portion":0.3},{}],"stats":{"columns":["x0","load_share"]},"a":{"key":{"nobody":{"knows":1}}},"empty":[]}`

func TestJSONGivesTheSameSettings(t *testing.T) {
	text, err1 := ParseText([]byte(minimal))
	json, err2 := ParseJSON([]byte(minimalJSON))
	if err1 != nil || err2 != nil || !reflect.DeepEqual(text, json) {
		t.Fatalf("%v, %v\ntext %+v\njson %+v", err1, err2, text, json)
	}
	for _, bad := range []string{"", "[]", "{", "7", `{"rank":"x"}`, `{"request_classes":{"count":-1}}`} {
		if _, err := ParseJSON([]byte(bad)); err == nil {
			t.Errorf("%q was accepted, want an error", bad)
		}
	}
}

func TestNames(t *testing.T) {
	s, err := ParseJSON([]byte(strings.Replace(minimalJSON, `"slo"`, `"name":"index sync","slo"`, 1)))
	if err != nil || !reflect.DeepEqual(s.ClassNames, []string{"index_sync"}) ||
		!reflect.DeepEqual(s.ZoneNames, []string{"a", "b"}) ||
		s.ConnectTimeout != 1_000_000 ||
		s.ReportsMessageLatency {
		t.Errorf("got %+v, %v, want class index_sync, zones a and b, and a connect timeout of 1 s", s, err)
	}
}

// A broken configuration file, as a reload may find it, is rejected as a whole, with an error that names the key.
func TestBrokenSettingsAreRejected(t *testing.T) {
	good := `{"balancers":2,"rank":1,"zone":1,"dcs":["a"],"discovery":"push",
		"limits":{"most_tries":3},"rules":{"cold":1,"cold_from":0.2,"drain_grace":1,"overload_factor":2,"tip_after":1},
		"request_classes":[{"name":"sync","slo":300,"deadline":1000,"effect":"read_like"},
			{"name":"watch","slo":300,"deadline":2000,"effect":"non_idempotent"}]}`
	if _, err := ParseJSON([]byte(good)); err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ name, text, want string }{
		{"empty", ``, "not a JSON object"},
		{"cut off", good[:len(good)/2], "not a JSON object"},
		{"short of a key", strings.Replace(good, `"deadline":1000,`, ``, 1), "request_classes.0.deadline: missing"},
		{
			"deadline not over 0", strings.Replace(good, `"deadline":1000`, `"deadline":0`, 1),
			"request_classes.0.deadline: 0 is not greater than 0",
		},
		{
			"deadline below 0", strings.Replace(good, `"deadline":1000`, `"deadline":-5`, 1),
			"request_classes.0.deadline:",
		},
		{
			"attempts not over 0", strings.Replace(good, `"most_tries":3`, `"most_tries":0`, 1),
			"limits.most_tries: 0 is not greater than 0",
		},
		{"an unknown effect", strings.Replace(good, `"read_like"`, `"sometimes"`, 1), "request_classes.0.effect:"},
		{"a class named twice", strings.Replace(good, `"watch"`, `"sync"`, 1), `class name "sync" is used twice`},
	} {
		if _, err := ParseJSON([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v; want %q", c.name, err, c.want)
		}
	}
}
