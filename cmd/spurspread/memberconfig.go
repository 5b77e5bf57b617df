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

// peerConfig is the configuration of a member; nil where membership is off. The platform's name of the balancer stands
// in for a member name that the site file does not give.
func peerConfig(site *siteconfig.Site, name string, seed uint64) (*peer.Config, error) {
	fleet := site.Membership
	if fleet == nil {
		return nil, nil
	}
	cfg := &peer.Config{Name: cmp.Or(string(fleet.Member), name), RandomSeed: seed}
	if cfg.Name == "" || len(cfg.Name) > packet.MaxName {
		return nil, fmt.Errorf("fleet: a member's name of 1 to %d characters is needed, not %q",
			packet.MaxName, cfg.Name)
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

// memberAddress parses an address of the site file; what names it in an error.
func memberAddress(what string, text xmlconfig.Address) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(string(text))
	if err != nil {
		return addr, fmt.Errorf("fleet: %s%q is not an address and port", what, text)
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

// localSite is the region and zone of this member; the zero Site where the site file names no zone.
func localSite(fleet *siteconfig.Membership) (zonedirectory.Site, error) {
	for _, name := range []string{string(fleet.Region), string(fleet.Zone)} {
		if len(name) <= zonedirectory.MaxName {
			continue
		}
		return zonedirectory.Site{}, fmt.Errorf(
			"fleet: %q is longer than the %d characters that a region or zone may have", name, zonedirectory.MaxName)
	}
	return zonedirectory.Site{Region: string(fleet.Region), Zone: string(fleet.Zone)}, nil
}
