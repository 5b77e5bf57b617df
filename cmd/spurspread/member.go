package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"runtime/debug"
	"time"

	"github.com/sirupsen/logrus"

	"spurspread/decision/lifecycle"
	"spurspread/internal/eventloop"
	"spurspread/internal/peer"
	"spurspread/internal/siteconfig"
)

// joinSettleTime is in which a new member has mostly found the others.
const joinSettleTime = 5 * time.Second

// fleetMember is this process as a member of the fleet of balancers. All methods may be called on nil, which is a
// process without membership.
type fleetMember struct {
	host      *peer.Host
	rack      string             // shown only
	stopSeeds context.CancelFunc // ends the goroutine that looks up seeds
	seedsDone chan struct{}      // closed when it has ended
}

// joinFleet starts membership on the loop, and the goroutine that looks up the addresses of seeds.
func joinFleet(
	loop *eventloop.Loop, cfg *peer.Config, site *siteconfig.Membership, log *logrus.Logger,
) (*fleetMember, error) {
	host, err := peer.Start(loop, *cfg, log)
	if err != nil {
		return nil, err
	}
	// Reading the files and finding the others takes some two megabytes and pages of the program that are not needed
	// again.
	loop.After(eventloop.Micros(joinSettleTime.Microseconds()), func() {
		debug.FreeOSMemory()
		releasePages()
	})
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleetMember{host: host, rack: string(site.Rack), stopSeeds: cancel, seedsDone: make(chan struct{})}
	go func() { // owned by f: close ends it and waits for it
		defer close(f.seedsDone)
		resolveSeeds(ctx, site.Seeds.Seed, func(addrs []netip.AddrPort) {
			loop.Post(func() { host.SetSeeds(addrs) })
		})
	}()
	return f, nil
}

// leave announces to the fleet that this member leaves.
func (f *fleetMember) leave() {
	if f != nil {
		f.host.Leave()
		f.stopSeeds()
	}
}

// close ends the lookup of seeds, and waits for that at most stopTimeout.
func (f *fleetMember) close() {
	if f != nil {
		f.stopSeeds()
		waitWithTimeout(f.seedsDone, stopTimeout)
	}
}

// rotateKeys uses the keys of a site file that has been reloaded. All other settings of the fleet stay until the
// process ends.
func (f *fleetMember) rotateKeys(cfg *peer.Config) {
	if f != nil && cfg != nil {
		f.host.SetKeyring(cfg.Keyring)
	}
}

// handleAdmin answers the commands about the fleet, and hands on all others.
func (f *fleetMember) handleAdmin(next func(lifecycle.CommandKind) string) func(lifecycle.Command) string {
	return func(command lifecycle.Command) string {
		switch {
		case f != nil && command.Kind == lifecycle.CommandMembers:
			return f.replyMembers()
		case f != nil && command.Kind == lifecycle.CommandRecord:
			return f.replyRecord(command.RecordName, command.RecordValue)
		}
		return next(command.Kind)
	}
}

// replyMembers is the reply to MEMBERS.
func (f *fleetMember) replyMembers() string {
	text, err := json.Marshal(f.report())
	if err != nil {
		return "-ERR " + err.Error()
	}
	return "+OK " + string(text)
}

// replyRecord publishes a record, and is the reply to RECORD.
func (f *fleetMember) replyRecord(name, value string) string {
	record, err := f.host.Publish(name, value)
	if err != nil {
		return "-ERR " + err.Error()
	}
	return fmt.Sprintf("+OK %d", record.Version)
}
