package main

import (
	"cmp"
	"fmt"
	"net/netip"

	"spurspread/decision/zonedirectory"
	"spurspread/internal/peer"
	"spurspread/internal/peer/packet"
	"spurspread/internal/siteconfig"
	"spurspread/internal/xmlconfig"
)

// peerConfig returns the membership configuration, or nil if membership is off. name is the platform's name of the
// balancer, and is the default for the member name in the site file.
func peerConfig(site *siteconfig.Site, name string, seed uint64) (*peer.Config, error) {
	fleet := site.Membership
	if fleet == nil {
		return nil, nil
	}
	cfg := &peer.Config{Name: cmp.Or(string(fleet.Member), name), RandomSeed: seed}
	// The site file and the platform allow longer names than a datagram has room for.
	if cfg.Name == "" || len(cfg.Name) > packet.MaxName {
		return nil, fmt.Errorf("fleet: member name %q does not have 1 to %d characters",
			cfg.Name, packet.MaxName)
	}
	var err error
	if cfg.Keyring, err = memberKeyring(fleet.Keys); err != nil {
		return nil, err
	}
	if cfg.Site, err = localSite(fleet); err != nil {
		return nil, err
	}
	if cfg.Listen, err = memberAddress("listen ", fleet.Listen); err != nil {
		return nil, err
	}
	if fleet.Advertise != "" {
		if cfg.Advertise, err = memberAddress("tells ", fleet.Advertise); err != nil {
			return nil, err
		}
	}
	cfg.AddressOverrides, err = addressOverrides(fleet.Overrides)
	return cfg, err
}

func memberKeyring(keys siteconfig.Keys) (*packet.Keyring, error) {
	var ring []packet.Key
	for _, key := range keys.Key {
		ring = append(ring, packet.Key{Secret: key.Secret, Primary: key.IsPrimary()})
	}
	return packet.NewKeyring(ring)
}

// memberAddress parses an address of the site file. label precedes the address in an error: the name of the attribute
// and a blank, or "".
func memberAddress(label string, text xmlconfig.Address) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return addr, fmt.Errorf("fleet: %s%q is not an address and port", label, text)
	}
	return addr, nil
}

func addressOverrides(overrides *siteconfig.AddressOverrides) (map[string]netip.AddrPort, error) {
	addrs := map[string]netip.AddrPort{}
	if overrides == nil {
		return addrs, nil
	}
	for _, member := range overrides.Member {
		addr, err := memberAddress("", member.Address)
		if err != nil {
			return nil, err
		}
		addrs[string(member.Name)] = addr
	}
	return addrs, nil
}

// localSite returns the region and zone of this member, or the zero Site if the site file names no zone.
func localSite(fleet *siteconfig.Membership) (zonedirectory.Site, error) {
	for _, name := range []string{string(fleet.Region), string(fleet.Zone)} {
		if len(name) <= zonedirectory.MaxName {
			continue
		}
		return zonedirectory.Site{}, fmt.Errorf(
			"fleet: region or zone %q is longer than %d characters", name, zonedirectory.MaxName)
	}
	return zonedirectory.Site{Region: string(fleet.Region), Zone: string(fleet.Zone)}, nil
}
