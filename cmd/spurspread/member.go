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

// joinSettleTime is the time in which a new member has usually found the others. After it, memory that only the start
// needed is released.
const joinSettleTime = 5 * time.Second

// fleetMember is this process as a member of the fleet of balancers. In a process without membership it is nil; all
// methods that other types call accept nil.
type fleetMember struct {
	host      *peer.Host
	rack      string             // reported only
	stopSeeds context.CancelFunc // stops the goroutine that looks up seeds
	seedsDone chan struct{}      // closed when that goroutine has ended
}

// joinFleet starts membership on the event loop, and the goroutine that looks up the addresses of seeds.
func joinFleet(
	loop *eventloop.Loop, cfg *peer.Config, site *siteconfig.Membership, log *logrus.Logger,
) (*fleetMember, error) {
	host, err := peer.Start(loop, *cfg, log)
	if err != nil {
		return nil, err
	}
	// Reading the files and finding the others uses about two megabytes, and pages of the program file, that are not
	// needed again.
	loop.After(eventloop.Micros(joinSettleTime.Microseconds()), func() {
		debug.FreeOSMemory()
		releasePages()
	})
	ctx, cancel := context.WithCancel(context.Background())
	f := &fleetMember{host: host, rack: string(site.Rack), stopSeeds: cancel, seedsDone: make(chan struct{})}
	go func() { // owned by f: close stops it and waits for it
		defer close(f.seedsDone)
		resolveSeeds(ctx, site.Seeds.Seed, func(addrs []netip.AddrPort) {
			loop.Post(func() { host.SetSeeds(addrs) })
		})
	}()
	return f, nil
}

// leave announces to the fleet that this member leaves, and stops the lookup of seeds.
func (f *fleetMember) leave() {
	if f != nil {
		f.host.Leave()
		f.stopSeeds()
	}
}

// close stops the lookup of seeds, and waits at most stopTimeout until it has ended.
func (f *fleetMember) close() {
	if f != nil {
		f.stopSeeds()
		waitWithTimeout(f.seedsDone, stopTimeout)
	}
}

// rotateKeys applies the keys of a reloaded site file. All other membership settings stay as they were at the start of
// the process. cfg is nil if the file turns membership off; then the keys stay as well, until the process is restarted.
func (f *fleetMember) rotateKeys(cfg *peer.Config) {
	if f != nil && cfg != nil {
		f.host.SetKeyring(cfg.Keyring)
	}
}

// handleAdmin returns a handler that answers the admin commands about the fleet and passes all others to next.
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

// replyMembers returns the reply to the admin command MEMBERS.
func (f *fleetMember) replyMembers() string {
	text, err := json.Marshal(f.report())
	if err != nil {
		return "-ERR " + err.Error()
	}
	return "+OK " + string(text)
}

// replyRecord publishes a record, and returns the reply to the admin command RECORD.
func (f *fleetMember) replyRecord(name, value string) string {
	record, err := f.host.Publish(name, value)
	if err != nil {
		return "-ERR " + err.Error()
	}
	return fmt.Sprintf("+OK %d", record.Version)
}
