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
	// maxConfigBytes bounds the configuration file, which includes a list of some thousands of servers.
	maxConfigBytes = 64 << 20

	bytesPerMB = 1 << 20

	// The Go runtime's soft memory limit as a fraction of the platform's limit. Near it the garbage collector runs more
	// often. The rest is for stacks, the binary and the kernel's buffers.
	memoryLimitNumerator, memoryLimitDenominator = 5, 8
)

var errNoConfig = errors.New("GW_CONFIG names no configuration file")

// configuration holds the settings from the configuration file, the site file and the environment.
type configuration struct {
	proxy   proxy.Config
	process processConfig
	site    *siteconfig.Site // empty without a site file
	member  *peer.Config     // nil if membership is off
}

// processConfig holds the limits of the process, its admin address, and its name on the platform.
type processConfig struct {
	cores     float64        // CPU cores to use, rounded down but at least 1; 0 means 1
	memoryMB  int64          // 0: unlimited
	sockets   int            // 0: unlimited
	adminAddr netip.AddrPort // invalid without an admin listener
	name      string         // "" if the platform gives none
}

// environmentMemoryLimit is the Go runtime's memory limit at the start of the process, in bytes: that of GOMEMLIMIT.
var environmentMemoryLimit = debug.SetMemoryLimit(-1)

// limitMemory derives the Go runtime's memory limit from that of the platform; without one it restores
// environmentMemoryLimit.
func (process processConfig) limitMemory() {
	limit := environmentMemoryLimit
	if process.memoryMB > 0 {
		limit = process.memoryMB * bytesPerMB * memoryLimitNumerator / memoryLimitDenominator
	}
	debug.SetMemoryLimit(limit)
}

// load reads the platform's configuration file and, if one is given, the site file.
func (c *serveCmd) load(getenv func(string) string) (configuration, error) {
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
	if cfg.member, err = peerConfig(cfg.site, cfg.process.name, cfg.proxy.Seed); err != nil {
		return configuration{}, err
	}
	return cfg, nil
}

// loadPlatformConfig reads the platform's configuration file. GW_LISTEN and GW_DISCOVERY supply the addresses that it
// lacks.
func (c *serveCmd) loadPlatformConfig(getenv func(string) string) (configuration, error) {
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
	if cfg.process, err = parseProcessConfig(root, getenv); err != nil {
		return configuration{}, err
	}
	cfg.proxy.MaxDescriptors = cfg.process.sockets
	cfg.proxy.MemoryLimit = cfg.process.memoryMB * bytesPerMB
	return cfg, nil
}

// readConfig reads a file that contains one JSON object.
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
		err = fmt.Errorf("%s is longer than %d bytes", path, maxConfigBytes)
	}
	return text, err
}

// addressSetting parses the address at key, or fallback if the configuration has none.
func addressSetting(root gjson.Result, key, fallback string) (netip.AddrPort, error) {
	text := cmp.Or(root.Get(key).String(), fallback)
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fmt.Errorf("configuration: %s %q is not an address and port", key, text)
	}
	return addr, nil
}

// seedSetting reads the seed of the balancer's random choices, a hexadecimal number; 0 if there is none.
func seedSetting(root gjson.Result) (uint64, error) {
	text := root.Get("seed")
	if !text.Exists() {
		return 0, nil
	}
	seed, err := strconv.ParseUint(text.String(), 16, 64)
	if err != nil {
		return 0, fmt.Errorf("configuration: seed %q is not hexadecimal, or has more than 64 bits", text.String())
	}
	return seed, nil
}

// parseProcessConfig reads the limits, the name and the admin address. GW_MGMT overrides the admin address in the file,
// so that a successor with the same file can use another one.
func parseProcessConfig(root gjson.Result, getenv func(string) string) (processConfig, error) {
	process := processConfig{
		cores:    root.Get("limits.cores").Float(),
		memoryMB: root.Get("limits.memory_mb").Int(),
		sockets:  int(root.Get("limits.sockets").Int()),
		name:     root.Get("name").Str,
	}
	text := cmp.Or(getenv("GW_MGMT"), root.Get("mgmt").String())
	if text == "" {
		return process, nil
	}
	var err error
	if process.adminAddr, err = netip.ParseAddrPort(text); err != nil {
		return process, fmt.Errorf("management address %q is not an address and port", text)
	}
	return process, nil
}
