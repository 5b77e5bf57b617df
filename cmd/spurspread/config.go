package main

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"net/netip"
	"os"
	"runtime/debug"
	"strconv"

	"github.com/tidwall/gjson"

	"spurspread/internal/peer"
	"spurspread/internal/proxy"
	"spurspread/internal/settings"
	"spurspread/internal/siteconfig"
)

const (
	// maxConfigBytes bounds the configuration file, with its list of some thousands of servers.
	maxConfigBytes = 64 << 20

	bytesPerMB = 1 << 20

	// The garbage collector works harder from this part of the memory limit on. The rest is for stacks, the binary and
	// the kernel's buffers.
	heapPart, heapParts = 5, 8
)

var errNoConfig = errors.New("GW_CONFIG names no configuration file")

// configuration is what both files and the environment say.
type configuration struct {
	proxy  proxy.Config
	limits limits
	site   *siteconfig.Site // empty where no site file is named
	member *peer.Config     // nil where membership is off
}

// limits are what the process may use, and what the platform calls it. 0 is no limit.
type limits struct {
	cores     float64
	memoryMB  int64
	sockets   int
	adminAddr netip.AddrPort // not valid where there is no admin listener
	name      string
}

// environmentMemoryLimit is the collector's limit that the process was started with, in bytes: that of GOMEMLIMIT.
var environmentMemoryLimit = debug.SetMemoryLimit(-1)

// limitMemory sets the collector's limit to the platform's or, where that gives none, to environmentMemoryLimit.
func (lim limits) limitMemory() {
	limit := environmentMemoryLimit
	if lim.memoryMB > 0 {
		limit = lim.memoryMB * bytesPerMB * heapPart / heapParts
	}
	debug.SetMemoryLimit(limit)
}

// load reads the platform's configuration and the site file.
func (c *serve) load(getenv func(string) string) (configuration, error) {
	cfg, err := c.loadPlatformConfig(getenv)
	if err != nil {
		return configuration{}, err
	}
	cfg.site = &siteconfig.Site{}
	if c.Site == "" {
		return cfg, nil
	}
	if cfg.site, err = siteconfig.Load(c.Site); err != nil {
		return configuration{}, err
	}
	cfg.proxy.Channels = channelsConfig(cfg.site)
	if cfg.proxy.Resume, err = resumeConfig(cfg.site); err != nil {
		return configuration{}, err
	}
	if cfg.member, err = peerConfig(cfg.site, cfg.limits.name, cfg.proxy.Seed); err != nil {
		return configuration{}, err
	}
	return cfg, nil
}

// loadPlatformConfig reads the platform's configuration file. Where it lacks an address, the environment has it.
func (c *serve) loadPlatformConfig(getenv func(string) string) (configuration, error) {
	root, err := readConfig(c.Config)
	if err != nil {
		return configuration{}, err
	}
	var cfg configuration
	if cfg.proxy.Listen, err = addressSetting(root, "listen", getenv("GW_LISTEN")); err != nil {
		return configuration{}, err
	}
	if cfg.proxy.Discovery, err = addressSetting(root, "discovery", getenv("GW_DISCOVERY")); err != nil {
		return configuration{}, err
	}
	if cfg.proxy.Settings, err = settings.ParseJSON([]byte(root.Get("settings").Raw)); err != nil {
		return configuration{}, fmt.Errorf("configuration: %w", err)
	}
	if cfg.proxy.Seed, err = seedSetting(root); err != nil {
		return configuration{}, err
	}
	cfg.proxy.CachedList = []byte(root.Get("known").Raw)
	if cfg.limits, err = limitSettings(root, getenv); err != nil {
		return configuration{}, err
	}
	cfg.proxy.MaxDescriptors = cfg.limits.sockets
	cfg.proxy.MemoryLimit = cfg.limits.memoryMB * bytesPerMB
	return cfg, nil
}

// readConfig reads the JSON object in a file.
func readConfig(path string) (gjson.Result, error) {
	if path == "" {
		return gjson.Result{}, errNoConfig
	}
	text, err := readLimited(path)
	if err != nil {
		return gjson.Result{}, fmt.Errorf("configuration: %w", err)
	}
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return gjson.Result{}, fmt.Errorf("configuration: %s is not a JSON object", path)
	}
	return root, nil
}

// readLimited reads a file of at most maxConfigBytes.
func readLimited(path string) ([]byte, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxConfigBytes+1))
	if err == nil && len(text) > maxConfigBytes {
		err = fmt.Errorf("%s has over %d bytes", path, maxConfigBytes)
	}
	return text, err
}

func addressSetting(root gjson.Result, key, fallback string) (netip.AddrPort, error) {
	text := cmp.Or(root.Get(key).String(), fallback)
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fmt.Errorf("configuration: %s %q is not an address and port", key, text)
	}
	return addr, nil
}

// seedSetting reads the seed of the balancer's random choices; 0 where there is none.
func seedSetting(root gjson.Result) (uint64, error) {
	text := root.Get("seed")
	if !text.Exists() {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text.String(), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("configuration: seed %q is not hexadecimal", text.String())
	}
	return seed, nil
}

// limitSettings reads the limits. For the admin address, GW_MGMT comes before the file, so that a new process beside
// the old one with the same file can have its own.
func limitSettings(root gjson.Result, getenv func(string) string) (limits, error) {
	lim := limits{
		cores:    root.Get("limits.cores").Float(),
		memoryMB: root.Get("limits.memory_mb").Int(),
		sockets:  int(root.Get("limits.sockets").Int()),
		name:     root.Get("name").Str,
	}
	text := cmp.Or(getenv("GW_MGMT"), root.Get("mgmt").String())
	if text == "" {
		return lim, nil
	}
	var err error
	if lim.adminAddr, err = netip.ParseAddrPort(text); err != nil {
		return lim, fmt.Errorf("management address %q is not an address and port", text)
	}
	return lim, nil
}
