// Command spurspread is one balancer for long-lived connections: it takes clients in, has the decision module place
// them on egress targets, and passes their lines on until they end or move.
package main

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strconv"
	"strings"

	"github.com/sirupsen/logrus"
	"github.com/tidwall/gjson"
	"golang.org/x/sys/unix"

	"spurspread/internal/loop"
	"spurspread/internal/relay"
	"spurspread/internal/settings"
)

func main() {
	if err := run(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, "spurspread:", oneLine(err))
		os.Exit(1)
	}
}

// oneLine joins what several errors say.
func oneLine(err error) string { return strings.ReplaceAll(err.Error(), "\n", "; ") }

// limits are what the machine gives the process; 0 where it does not say.
type limits struct {
	cores    float64
	memoryMB int64
	sockets  int
}

func run(getenv func(string) string) error {
	// Asked for before all else: a SIGHUP would end the process, and a SIGTERM cut off whoever is there.
	signals := make(chan os.Signal, 16)
	signal.Notify(signals, unix.SIGTERM, unix.SIGINT, unix.SIGHUP)
	defer signal.Stop(signals)
	cfg, lim, err := configure(getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(max(1, int(lim.cores)))
	lim.limitMemory()
	out := newOutput(os.Stderr)
	defer out.close()
	log := logrus.New()
	log.SetOutput(out)

	l, err := loop.New()
	if err != nil {
		return err
	}
	r, err := relay.New(l, cfg, log)
	if err != nil {
		return errors.Join(err, l.Close())
	}
	go func() {
		for s := range signals {
			if s == unix.SIGHUP {
				reload(getenv, l, r, log)
			} else {
				l.Post(r.Drain)
			}
		}
	}()
	log.WithField("listen", r.Addr()).Info("started")
	return errors.Join(l.Run(), l.Close())
}

// reload reads the configuration again, outside the loop. One that can't be used changes nothing.
func reload(getenv func(string) string, l *loop.Loop, r *relay.Relay, log *logrus.Logger) {
	cfg, lim, err := configure(getenv)
	if err != nil {
		log.Error("the configuration stays as it was: ", oneLine(err))
		return
	}
	lim.limitMemory()
	l.Post(func() { r.Reload(cfg) })
}

// limitMemory has the collector work harder near the limit; the rest is for stacks, the binary and the kernel's
// buffers.
func (lim limits) limitMemory() {
	if lim.memoryMB > 0 {
		debug.SetMemoryLimit(lim.memoryMB << 20 * 5 / 8)
	}
}

// configure reads GW_CONFIG's file. The plain variables stand in for what it does not have.
func configure(getenv func(string) string) (relay.Config, limits, error) {
	var cfg relay.Config
	path := getenv("GW_CONFIG")
	if path == "" {
		return cfg, limits{}, errors.New("GW_CONFIG names no configuration file")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return cfg, limits{}, fmt.Errorf("configuration: %w", err)
	}
	root := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !root.IsObject() {
		return cfg, limits{}, fmt.Errorf("configuration: %s is not a JSON object", path)
	}
	if cfg.Listen, err = address(root, "listen", getenv("GW_LISTEN")); err != nil {
		return cfg, limits{}, err
	}
	if cfg.Discovery, err = address(root, "discovery", getenv("GW_DISCOVERY")); err != nil {
		return cfg, limits{}, err
	}
	if cfg.Settings, err = settings.ParseJSON([]byte(root.Get("settings").Raw)); err != nil {
		return cfg, limits{}, fmt.Errorf("configuration: %w", err)
	}
	if seed := root.Get("seed"); seed.Exists() {
		if cfg.Seed, err = strconv.ParseUint(seed.String(), 16, 64); err != nil {
			return cfg, limits{}, fmt.Errorf("configuration: seed %q is not hexadecimal", seed.String())
		}
	}
	cfg.Known = []byte(root.Get("known").Raw)
	lim := limits{root.Get("limits.cores").Float(), root.Get("limits.memory_mb").Int(), int(root.Get("limits.sockets").Int())}
	cfg.Descriptors, cfg.Memory = lim.sockets, lim.memoryMB<<20
	return cfg, lim, nil
}

func address(root gjson.Result, name, otherwise string) (netip.AddrPort, error) {
	text := root.Get(name).String()
	if text == "" {
		text = otherwise
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil {
		return addr, fmt.Errorf("configuration: %s %q is not an address and port", name, text)
	}
	return addr, nil
}
