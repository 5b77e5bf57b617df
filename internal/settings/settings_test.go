package settings

import (
	"reflect"
	"spurspread/decision"
	"strings"
	"testing"
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
		t.Errorf("%+v", s)
	}
	if c := s.Classes[0]; c.Idempotency != decision.IdempotentWithKey || c.DedupScope != decision.ScopeCell ||
		c.DedupWindow != 5000000 ||
		c.MessageLatencyObjective != 60000 {
		t.Errorf("%+v", c)
	}
	if s.Tenants[0].ConnectionQuota != 66 || s.Tenants[1].ConnectionQuota != 0 || s.Tenants[0].Share != 0.3 {
		t.Errorf("%+v", s.Tenants)
	}
	if !reflect.DeepEqual(s.LoadReportColumns, []string{"x0", "load_share"}) {
		t.Errorf("%v", s.LoadReportColumns)
	}
}

// What weights mean, and that loads are told, decide how servers are compared.
func TestSettingsOfLoad(t *testing.T) {
	for text, want := range map[string][2]bool{
		"": {}, "weights=nominal\nspecifics.tells_load=false": {}, "weights=live": {true, false},
		"weights=rough\nspecifics.tells_load=true": {false, true},
	} {
		s, err := ParseText([]byte(minimal + text + "\n"))
		if err != nil || s.Decision.DynamicWeights != want[0] || s.Decision.ReportsConnectionLoad != want[1] {
			t.Errorf(
				"%q: live %v, told %v, %v",
				text,
				s.Decision.DynamicWeights,
				s.Decision.ReportsConnectionLoad,
				err,
			)
		}
	}
}

func TestSettingsNameWhatIsWrong(t *testing.T) {
	for bad, want := range map[string]string{
		"rules.cold=":                      "rules.cold:",
		"limits.most_tries=":               "limits.most_tries:",
		"request_classes.0.effect=":        "request_classes.0.effect:",
		"discovery=ask":                    "discovery:",
		"request_classes.0.key_scope=cell": "request_classes.0.key_scope:",
	} {
		key, _, _ := strings.Cut(bad, "=")
		text := strings.Replace(minimal, key+"=", key+"=x", 1)
		if _, err := ParseText([]byte(text)); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s unreadable: %v", key, err)
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
		t.Errorf("missing: %v", err)
	}
	if _, err := ParseText([]byte("what is this")); err == nil {
		t.Error("a line without '=' passed")
	}
	if _, err := ParseText([]byte(strings.Replace(minimal, "count=1", "count=9999999", 1))); err == nil {
		t.Error("a huge count passed")
	}
}

// The same settings as the configuration of a real balancer has them.
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
			t.Errorf("%q passed", bad)
		}
	}
}

func TestNames(t *testing.T) {
	s, err := ParseJSON([]byte(strings.Replace(minimalJSON, `"slo"`, `"name":"index sync","slo"`, 1)))
	if err != nil || !reflect.DeepEqual(s.ClassNames, []string{"index_sync"}) ||
		!reflect.DeepEqual(s.ZoneNames, []string{"a", "b"}) ||
		s.ConnectTimeout != 1_000_000 ||
		s.ReportsDelay {
		t.Errorf("%+v, %v", s, err)
	}
}

// Each kind of broken file that a retune may bring is refused whole, with the key at fault named.
func TestBrokenRetunesAreRefused(t *testing.T) {
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
		{"deadline not over 0", strings.Replace(good, `"deadline":1000`, `"deadline":0`, 1), "request_classes.0.deadline: 0 is not over 0"},
		{"deadline below 0", strings.Replace(good, `"deadline":1000`, `"deadline":-5`, 1), "request_classes.0.deadline:"},
		{"attempts not over 0", strings.Replace(good, `"most_tries":3`, `"most_tries":0`, 1), "limits.most_tries: 0 is not over 0"},
		{"an unknown effect", strings.Replace(good, `"read_like"`, `"sometimes"`, 1), "request_classes.0.effect:"},
		{"a class named twice", strings.Replace(good, `"watch"`, `"sync"`, 1), `"sync" is named twice`},
	} {
		if _, err := ParseJSON([]byte(c.text)); err == nil || !strings.Contains(err.Error(), c.want) {
			t.Errorf("%s: %v; want %q", c.name, err, c.want)
		}
	}
}
