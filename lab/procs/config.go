package procs

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"time"
)

func (p *Proc) sitePath() string { return filepath.Join(p.fleet.Dir, p.Name+".xml") }

func (p *Proc) configPath() string { return filepath.Join(p.fleet.Dir, p.Name+".json") }

// writeSite writes the site file, with a <fleet> element unless the fleet is WithoutMembership.
func (p *Proc) writeSite() error {
	var b bytes.Buffer
	fmt.Fprintf(&b, `<spurspread xmlns="urn:spurspread:site:1" name="rig">%s`, p.fleet.Site)
	if !p.fleet.WithoutMembership {
		p.writeMembership(&b)
	}
	b.WriteString("\n</spurspread>\n")
	return os.WriteFile(p.sitePath(), b.Bytes(), fileMode)
}

// writeMembership writes the <fleet> element. Its <reach> maps every other process to a link of the proxy.
func (p *Proc) writeMembership(b *bytes.Buffer) {
	f := p.fleet
	fmt.Fprintf(b, "\n"+`  <fleet member="%s" listen="%s"%s><seeds>`, p.Name, f.addrs[p.index], p.zoneAttributes())
	for _, addr := range f.seedsOf(p.index) {
		fmt.Fprintf(b, `<seed at="%s"/>`, addr)
	}
	b.WriteString("</seeds><reach>")
	for i, other := range f.Procs {
		if i != p.index {
			fmt.Fprintf(b, `<member name="%s" at="%s"/>`, other.Name, f.Proxy.LinkAddr(p.index, i))
		}
	}
	fmt.Fprintf(b, `</reach><keys><key id="rig" file="%s" use="mint"/></keys></fleet>`, f.keyPath())
}

// zoneAttributes returns the attributes of <fleet> for the process's region and zone.
func (p *Proc) zoneAttributes() (attributes string) {
	if p.fleet.ZoneOf == nil {
		return ""
	}
	region, zone := p.fleet.ZoneOf(p.index)
	if region != "" {
		attributes += fmt.Sprintf(` region="%s"`, region)
	}
	if zone != "" {
		attributes += fmt.Sprintf(` zone="%s"`, zone)
	}
	return attributes
}

// seedsOf returns the seed addresses of a process: those of Seeds, or else the links to the first seedCount processes.
func (f *Fleet) seedsOf(i int) (seeds []netip.AddrPort) {
	if f.Seeds != nil {
		return f.Seeds(i)
	}
	for seed := range min(f.seedCount, len(f.Procs)) {
		if seed != i {
			seeds = append(seeds, f.Proxy.LinkAddr(i, seed))
		}
	}
	return seeds
}

func (p *Proc) writeConfig() error {
	text, err := json.Marshal(p.config())
	if err != nil {
		return err
	}
	return os.WriteFile(p.configPath(), text, fileMode)
}

// config returns the configuration that the platform would give the process, after ModifyConfig. Times are in
// microseconds.
func (p *Proc) config() map[string]any {
	config := map[string]any{
		"name":      p.Name,
		"listen":    p.Listen,
		"mgmt":      p.ManagementAddr,
		"discovery": "127.0.0.1:1",
		"seed":      fmt.Sprintf("%x", time.Now().UnixNano()),
		"limits":    map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024},
		"known": map[string]any{
			"generation": 0,
			"reset":      true,
			"instances":  append([]any{}, p.fleet.KnownServers...),
		},
		"settings": p.settings(),
	}
	if p.fleet.ModifyConfig != nil {
		p.fleet.ModifyConfig(p.index, config)
	}
	return config
}

func (p *Proc) settings() map[string]any {
	return map[string]any{
		"balancers": len(p.fleet.Procs),
		"rank":      p.index,
		"zone":      0,
		"dcs":       []string{"a"},
		"skus":      []string{"m"},
		"discovery": "push",
		"limits": map[string]any{
			"most_tries":      4,
			"probes":          true,
			"may_cancel":      true,
			"retry_after":     true,
			"max_retry_after": 1_000_000,
			"connect_timeout": 75_000,
		},
		"rules": map[string]any{
			"cold":            23_000_000,
			"cold_from":       0.13,
			"drain_grace":     2_500_000,
			"overload_factor": 3,
			"tip_after":       1_000_000,
		},
		"request_classes": []any{map[string]any{
			"name":      "sync",
			"slo":       300_000,
			"deadline":  1_200_000,
			"effect":    "read_like",
			"streaming": true,
		}},
		"specifics": map[string]any{"mode": "proxy", "message_aim": []float64{250_000}},
		"tenants":   []any{},
	}
}
