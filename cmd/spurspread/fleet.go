package main

import (
	"bufio"
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/netip"
	"runtime/debug"
	"spurspread/decision/lifecycle"
	"spurspread/internal/eventloop"
	"spurspread/internal/peer"
	"spurspread/internal/peer/packet"
	"spurspread/internal/proxy"
	"spurspread/internal/siteconfig"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/sirupsen/logrus"
)

// seedLookupInterval is how often the seeds' names are looked up again, and lookUpTime how long that may take.
const (
	seedLookupInterval = 30 * time.Second
	seedLookupTimeout  = 5 * time.Second
)

// joinSettleTime is in which members have mostly found each other.
const joinSettleTime = 5 * time.Second

// fleetMember is what the process has of membership; nil where the site file does not turn it on.
type fleetMember struct {
	host *peer.Host
	rack string
	stop context.CancelFunc
}

// peerConfig is what a member is started with, nil where it is off.
func peerConfig(s *siteconfig.Site, name string, seed uint64) (*peer.Config, error) {
	f := s.Membership
	if f == nil {
		return nil, nil
	}
	cfg := &peer.Config{
		Name:             cmp.Or(string(f.Member), name),
		RandomSeed:       seed,
		AddressOverrides: map[string]netip.AddrPort{},
	}
	if cfg.Name == "" || len(cfg.Name) > packet.MaxName {
		return nil, fmt.Errorf(
			"fleet: a member's name of 1 to %d characters is needed, not %q",
			packet.MaxName,
			cfg.Name,
		)
	}
	var keys []packet.Key
	for _, k := range f.Keys.Key {
		keys = append(keys, packet.Key{Secret: k.Secret, Primary: k.Use == "mint"})
	}
	var err error
	if cfg.Keyring, err = packet.NewKeyring(keys); err != nil {
		return nil, err
	}
	if cfg.Site, err = localSite(f); err != nil {
		return nil, err
	}
	if cfg.Listen, err = netip.ParseAddrPort(string(f.Listen)); err != nil {
		return nil, fmt.Errorf("fleet: listen %q is not an address and port", f.Listen)
	}
	if f.Advertise != "" {
		if cfg.Advertise, err = netip.ParseAddrPort(string(f.Advertise)); err != nil {
			return nil, fmt.Errorf("fleet: tells %q is not an address and port", f.Advertise)
		}
	}
	if f.Overrides != nil {
		for _, m := range f.Overrides.Member {
			if cfg.AddressOverrides[string(m.Name)], err = netip.ParseAddrPort(string(m.Address)); err != nil {
				return nil, fmt.Errorf("fleet: %q is not an address and port", m.Address)
			}
		}
	}
	return cfg, nil
}

// joinFleet makes this process a member, and has the relay go by the members that are there.
func joinFleet(
	l *eventloop.Loop,
	cfg *peer.Config,
	own *siteconfig.Membership,
	r *proxy.Proxy,
	log *logrus.Logger,
) (*fleetMember, error) {
	cfg.OnTick = r.SetFleet
	host, err := peer.Start(l, *cfg, log)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	// What reading the file and finding the others took, two megabytes and the pages of the program for it, nothing
	// needs again.
	l.After(eventloop.Micros(joinSettleTime.Microseconds()), func() {
		debug.FreeOSMemory()
		releasePages()
	})
	go resolveSeeds(ctx, own.Seeds.Seed, func(addrs []netip.AddrPort) { l.Post(func() { host.SetSeeds(addrs) }) })
	return &fleetMember{host, string(own.Rack), stop}, nil
}

// resolveSeeds finds the seeds' addresses, again and again, outside the loop. A name that can't be found is left out
// until it can.
func resolveSeeds(ctx context.Context, seeds []*siteconfig.Seed, found func([]netip.AddrPort)) {
	for {
		var all []netip.AddrPort
		for _, s := range seeds {
			host, port, err := net.SplitHostPort(string(s.Address))
			if err != nil {
				continue
			}
			limited, cancel := context.WithTimeout(ctx, seedLookupTimeout)
			ips, err := net.DefaultResolver.LookupNetIP(limited, "ip", host)
			cancel()
			number, err2 := net.DefaultResolver.LookupPort(ctx, "udp", port)
			if errors.Join(err, err2) != nil {
				continue
			}
			for _, ip := range ips {
				all = append(all, netip.AddrPortFrom(ip.Unmap(), uint16(number)))
			}
		}
		found(all)
		select {
		case <-ctx.Done():
			return
		case <-time.After(seedLookupInterval):
		}
	}
}

// handleAdmin answers what is asked of the fleet, and leaves all else to the relay.
func (f *fleetMember) handleAdmin(next func(lifecycle.CommandKind) string) func(lifecycle.Command) string {
	return func(c lifecycle.Command) string {
		switch {
		case f != nil && c.Kind == lifecycle.CommandMembers:
			text, err := json.Marshal(f.report())
			if err != nil {
				return "-ERR " + err.Error()
			}
			return "+OK " + string(text)
		case f != nil && c.Kind == lifecycle.CommandRecord:
			return f.publish(c.RecordName, c.RecordValue)
		}
		return next(c.Kind)
	}
}

// report is what MEMBERS answers.
func (f *fleetMember) report() membersReport {
	now := time.Now()
	v := membersReport{
		Degraded:    f.host.Unhealthy(),
		Divisor:     f.host.RateDivisor(),
		Counts:      f.host.Counts(),
		Rack:        f.rack,
		ZonesReport: f.zonesReport(),
	}
	for _, m := range f.host.View() {
		one := memberReport{
			Name: m.Name, Addr: m.Addr.String(), State: m.State.String(), Incarnation: m.Incarnation, RTTMicros: int64(m.RTT),
			LostOut: m.OutboundLoss, LostIn: m.InboundLoss,
		}
		if m.Since > 0 {
			one.SinceMillis = now.UnixMilli() - int64(m.Since/1000)
		}
		if m.LastContact > 0 {
			one.LastReceivedMillis = now.UnixMilli() - int64(m.LastContact/1000)
		}
		v.Members = append(v.Members, one)
	}
	return v
}

// rotateKeys takes the keys of a site file that was read again; all else of its fleet holds until the process ends.
func (f *fleetMember) rotateKeys(cfg *peer.Config) {
	if f != nil && cfg != nil {
		f.host.SetKeyring(cfg.Keyring)
	}
}

// leave has the fleet told that this member goes.
func (f *fleetMember) leave() {
	if f != nil {
		f.host.Leave()
		f.stop()
	}
}

// membersReport is the fleet as a member tells it on the management address. The first member is that member itself.
type membersReport struct {
	Degraded bool           `json:"doubts"`
	Divisor  float64        `json:"divisor"`
	Members  []memberReport `json:"members"`
	Counts   peer.Counts    `json:"counts"`
	Rack     string         `json:"rack,omitempty"`
	*ZonesReport
}

type memberReport struct {
	Name               string  `json:"name"`
	Addr               string  `json:"addr"`
	State              string  `json:"state"`
	Incarnation        uint64  `json:"incarnation"`
	SinceMillis        int64   `json:"since_ms"`
	LastReceivedMillis int64   `json:"heard_ms"`
	RTTMicros          int64   `json:"rtt_us"`
	LostOut            float64 `json:"lost_out"`
	LostIn             float64 `json:"lost_in"`
}

type membersCmd struct {
	Mgmt string `required:"" env:"GW_MGMT" placeholder:"ADDRESS" help:"The management address of the member that is asked."`
	JSON bool   `name:"json" help:"Print what the member answers."`
}

// Help is shown below the command's own line.
func (membersCmd) Help() string {
	return `Asks one member for the fleet as it sees it: state, since when, incarnation, when it was last heard, round trip and the
parts of pings and answers that are lost. A member that doubts itself says so: it was paused, or hears nobody. In a fleet with
zones these are the members of its own zone; a line for each zone, and the records, follow.

Example:
  spurspread members --mgmt 127.0.0.1:9901`
}

// Run asks and prints.
func (c membersCmd) Run(s *streams) error {
	answer, err := callAdmin(c.Mgmt, "MEMBERS")
	if err != nil {
		return err
	}
	if c.JSON {
		_, err = fmt.Fprintln(s.out, answer)
		return err
	}
	var v membersReport
	if err := json.Unmarshal([]byte(answer), &v); err != nil {
		return fmt.Errorf("%s answered something else than a view: %w", c.Mgmt, err)
	}
	if v.Degraded {
		_, _ = fmt.Fprintln(s.out, "this member doubts itself: it was paused, or hears nobody")
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "member\tstate\tsince\tincarnation\theard\tround trip\tlost out\tlost back\taddress")
	for i, m := range v.Members {
		since, heard, rtt := ageText(
			m.SinceMillis,
		)+" ago", ageText(
			m.LastReceivedMillis,
		)+" ago", fmt.Sprintf(
			"%.1f ms",
			float64(m.RTTMicros)/1000,
		)
		if i == 0 {
			since, heard, rtt = "-", "itself", "-"
		}
		_, _ = fmt.Fprintf(
			w,
			"%s\t%s\t%s\t%d\t%s\t%s\t%.0f%%\t%.0f%%\t%s\n",
			m.Name,
			m.State,
			since,
			m.Incarnation,
			heard,
			rtt,
			100*m.LostOut,
			100*m.LostIn,
			m.Addr,
		)
	}
	if err := w.Flush(); err != nil {
		return err
	}
	return v.printZones(s.out)
}

func ageText(millis int64) string {
	return (time.Duration(millis) * time.Millisecond).Round(100 * time.Millisecond).String()
}

// callAdmin makes a call of a management address, and returns what stands behind +OK.
func callAdmin(at, call string) (string, error) {
	c, err := net.DialTimeout("tcp", at, seedLookupTimeout)
	if err != nil {
		return "", err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(seedLookupTimeout))
	if _, err := fmt.Fprint(c, call, "\r\n"); err != nil {
		return "", err
	}
	line, err := bufio.NewReader(c).ReadString('\n')
	if err != nil {
		return "", fmt.Errorf("%s gave no whole answer: %w", at, err)
	}
	if rest, ok := strings.CutPrefix(strings.TrimSpace(line), "+OK "); ok {
		return rest, nil
	}
	return "", fmt.Errorf("%s answered %q", at, strings.TrimSpace(line))
}
