package deployment

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"spurspread/internal/token"
)

const (
	// memoryMB is a balancer's memory limit.
	memoryMB = 192
	// descriptors and platformDescriptors are a balancer's limits of descriptors.
	descriptors         = 8192
	platformDescriptors = 1024
	// Each process of each balancer has its own seed, computed from the deployment's seed, the balancer's rank, and
	// the number of the balancer's starts.
	seedsPerDeployment = 1000
	seedsPerBalancer   = 100
	// secretFileMode makes the key file, and the files that refer to it, readable by the owner only.
	secretFileMode = 0o600
)

// writeSiteFiles writes the site file, and the key file if tokens are enabled. With neither tokens nor channels it
// writes nothing.
func (d *Deployment) writeSiteFiles() error {
	if !d.cfg.Tokens && !d.cfg.Channels {
		return nil
	}
	text := `<spurspread xmlns="urn:spurspread:site:1" name="lab">` + "\n"
	switch {
	case d.cfg.Channels && d.cfg.PlatformLimits:
		text += `<channels clients="true" nodes="false"/>` + "\n"
	case d.cfg.Channels:
		text += `<channels most="1024" opens="2000/s"><trunks channels="1024"/></channels>` + "\n"
	}
	var err error
	if d.cfg.Tokens {
		err = d.writeKey()
		text += `<resume><keys><key id="lab" file="key" use="mint"/></keys></resume>` + "\n"
	}
	d.sitePath = filepath.Join(d.cfg.Dir, "site.xml")
	return errors.Join(err, os.WriteFile(d.sitePath, []byte(text+"</spurspread>\n"), secretFileMode))
}

// writeKey generates the key for resume tokens, and writes the key file for the balancers.
func (d *Deployment) writeKey() error {
	var secret [32]byte
	_, _ = rand.Read(secret[:]) // never fails
	d.keys = []token.Key{{Secret: secret, Primary: true}}
	path := filepath.Join(d.cfg.Dir, "key")
	return os.WriteFile(path, []byte(hex.EncodeToString(secret[:])), secretFileMode)
}

// balancerConfig returns the configuration that the platform would give a balancer.
func (d *Deployment) balancerConfig(b *Balancer) map[string]any {
	sockets := descriptors
	if d.cfg.PlatformLimits {
		sockets = platformDescriptors
	}
	seed := d.cfg.Seed*seedsPerDeployment + uint64(b.rank*seedsPerBalancer+b.starts)
	return map[string]any{
		"name":      fmt.Sprint("n", b.rank),
		"listen":    b.listen,
		"mgmt":      b.managementAddr,
		"discovery": d.Discovery.Addr(),
		"seed":      fmt.Sprintf("%x", seed),
		"limits": map[string]any{
			"cores":     1,
			"memory_mb": memoryMB,
			"sockets":   sockets,
		},
		"known": d.Discovery.FullList(),
		"settings": map[string]any{
			"balancers": d.cfg.Balancers,
			"rank":      b.rank,
			"zone":      0,
			"dcs":       []string{"a"},
			"skus":      []string{"m"},
			"discovery": "ask",
			"limits":    attemptLimits(),
			"rules":     balancingRules(),
			"request_classes": []any{
				requestClass(IndexSync, 300*time.Millisecond, IndexSyncDeadline, 5),
				requestClass(MetadataWatch, 500*time.Millisecond, 2*time.Second, 1),
			},
			"specifics": map[string]any{
				"mode":        "proxy",
				"groups":      true,
				"message_aim": []float64{250_000, 50_000},
				"tells_delay": true,
				"tells_load":  false,
			},
			"tenants": []any{},
		},
	}
}

// attemptLimits returns the platform's limits for attempts; times are in microseconds.
func attemptLimits() map[string]any {
	return map[string]any{
		"most_tries":      4,
		"probes":          true,
		"may_cancel":      true,
		"retry_after":     true,
		"max_retry_after": 1_000_000,
		"connect_timeout": 75_000,
	}
}

// balancingRules returns the platform's settings for balancing decisions; times are in microseconds.
func balancingRules() map[string]any {
	return map[string]any{
		"answer_slack":    8000,
		"ask_every":       10_000_000,
		"cold":            23_000_000,
		"cold_from":       0.13,
		"drain_grace":     2_500_000,
		"overload_factor": 3,
		"tip_after":       1_000_000,
	}
}

// requestClass returns the configuration of one class of streams with its latency objective, deadline and weight.
func requestClass(name string, objective, deadline time.Duration, weight float64) map[string]any {
	return map[string]any{
		"name":      name,
		"slo":       objective.Microseconds(),
		"deadline":  deadline.Microseconds(),
		"effect":    "read_like",
		"streaming": true,
		"worth":     weight,
	}
}
