// Package site reads the project's own settings, the site file: XML as deploy/spurspread.xsd says. What the platform
// tells a balancer stays in the platform's JSON; the site file holds what the platform has no word for, and all of it
// is off unless the file turns it on. The package knows the file and the secrets that it names, and not who uses them.
package siteconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"spurspread/internal/xmlconfig"
)

// Document is what a site file's root looks like.
var Document = xmlconfig.Document{Root: "spurspread", Namespace: "urn:spurspread:site:1"}

// Site is a whole site file.
type Site struct {
	Name       xmlconfig.Name `xml:"name,attr" use:"required" doc:"what the installation is called"`
	Channels   *Channels      `xml:"channels" doc:"SSH-style multiplexed channels; off where absent"`
	Membership *Membership    `xml:"fleet" doc:"the balancers know of each other; off where absent"`
	Resume     *Resume        `xml:"resume" doc:"connections that move carry a token and continue where they left off; off where absent"`
}

// Membership says how this balancer is a member of the fleet. See docs/operate/membership.md.
type Membership struct {
	Member    xmlconfig.Name    `xml:"member,attr" doc:"what this member is called; the platform's name of the balancer if not given"`
	Listen    xmlconfig.Address `xml:"listen,attr" use:"required" doc:"where this member takes datagrams"`
	Advertise xmlconfig.Address `xml:"tells,attr" doc:"the address that other members are told; that of listen if not given"`
	Region    xmlconfig.Name    `xml:"region,attr" doc:"the region that the zone belongs to; takes a zone, too"`
	Zone      xmlconfig.Name    `xml:"zone,attr" doc:"the failure domain that this member stands in: it has the full view of its members, and summaries of the others"`
	Rack      xmlconfig.Name    `xml:"rack,attr" doc:"the rack or switch within the zone; shown, and decides nothing"`
	Seeds     Seeds             `xml:"seeds" doc:"members that are asked for the others at the start; any of them may be down"`
	Overrides *AddressOverrides `xml:"reach" doc:"members that are reached from here at other addresses than they tell"`
	Keys      Keys              `xml:"keys" doc:"what seals datagrams; all members have the same"`
}

// Check holds the rule that a region is told of a zone only.
func (f *Membership) Check(file *xmlconfig.File) {
	if f.Region != "" && f.Zone == "" {
		file.Fault(&f.Region, `add zone="..." beside it, or remove the region`, "a region without a zone")
	}
}

// Seeds are members that know the others.
type Seeds struct {
	Seed []*Seed `xml:"seed" most:"64"`
}

// Seed is one of them.
type Seed struct {
	Address xmlconfig.Place `xml:"at,attr" use:"required" key:"seeds" doc:"a host, by name or address, and the port where it takes datagrams; this member itself is passed over"`
}

// AddressOverrides has the addresses of members as they are from here.
type AddressOverrides struct {
	Member []*AddressOverride `xml:"member" most:"4096"`
}

// AddressOverride is one of them.
type AddressOverride struct {
	Name    xmlconfig.Name    `xml:"name,attr" use:"required" key:"reached" doc:"the member"`
	Address xmlconfig.Address `xml:"at,attr" use:"required" doc:"where it is reached from here"`
}

// Resume says how connections continue elsewhere with a token. See docs/protocol/resume.md.
type Resume struct {
	Lifetime   xmlconfig.Duration `xml:"life,attr" default:"60s" min:"1s" max:"10m" doc:"how long a token may be presented after it was given"`
	Skew       xmlconfig.Duration `xml:"skew,attr" default:"2s" min:"0s" max:"30s" doc:"how far the clocks of balancers and nodes may be apart"`
	MaxClaims  int                `xml:"claims,attr" default:"16384" min:"64" max:"1048576" doc:"tokens remembered at once, some 150 bytes each; at the bound new ones are refused"`
	MoveSpread xmlconfig.Duration `xml:"spread,attr" default:"1500ms" min:"100ms" max:"2200ms" doc:"over how long the moves off a draining node are spread"`
	Keys       Keys               `xml:"keys" doc:"what seals tokens; balancers and nodes have the same"`
}

// Channels says who speaks multiplexed channels, and how much of them. See docs/protocol/channels.md.
type Channels struct {
	Clients      bool               `xml:"clients,attr" default:"true" doc:"a client whose first line begins with SSH- has a connection with channels"`
	Upstreams    bool               `xml:"nodes,attr" default:"true" doc:"hops share trunks, to nodes that speak channels"`
	MaxChannels  int                `xml:"most,attr" default:"256" min:"1" max:"4096" doc:"channels on one client connection"`
	OpenRate     xmlconfig.Rate     `xml:"opens,attr" default:"200/s" min:"1/s" max:"100000/s" doc:"channels that one client connection may open, as many at once as in a second"`
	Window       xmlconfig.Size     `xml:"window,attr" default:"64KiB" min:"4KiB" max:"1MiB" doc:"bytes that a peer may send on a channel before they are taken; less where memory is short"`
	FirstPacket  xmlconfig.Duration `xml:"first-packet,attr" default:"2s" min:"100ms" max:"3s" doc:"after the identification, until the service is asked for"`
	Idle         xmlconfig.Duration `xml:"idle,attr" default:"30s" min:"1s" max:"10m" doc:"without a word from a client: one without channels is ended, one with channels is asked, and ended after as long again"`
	UpstreamPool *UpstreamPool      `xml:"trunks" doc:"the shared connections to nodes"`
}

// UpstreamPool are the limits of the shared connections to nodes.
type UpstreamPool struct {
	ChannelsPerConnection int                `xml:"channels,attr" default:"128" min:"1" max:"4096" doc:"on one trunk"`
	ConnectionsPerServer  int                `xml:"each,attr" default:"4" min:"1" max:"64" doc:"trunks to one node"`
	MaxConnections        int                `xml:"all,attr" default:"256" min:"1" max:"4096" doc:"trunks of one balancer"`
	Idle                  xmlconfig.Duration `xml:"idle,attr" default:"10s" min:"100ms" max:"10m" doc:"without a channel, until a trunk is closed"`
	PlainOnlyTTL          xmlconfig.Duration `xml:"plain,attr" default:"10m" min:"1s" max:"24h" doc:"so long it is remembered that a node speaks plain lines only"`
}

// Keys are the keys that tokens, or the fleet's datagrams, are sealed with.
type Keys struct {
	Key []*Key `xml:"key" least:"1" most:"8" doc:"a key; what is sealed with one that is not listed is refused"`
}

// Key is one of them. To rotate: add the new one as 'accept' everywhere, then make it 'mint', and remove the old one
// once the last token that it sealed has expired.
type Key struct {
	ID   xmlconfig.Name `xml:"id,attr" use:"required" key:"keys" doc:"what the key is called in logs"`
	File xmlconfig.Path `xml:"file,attr" use:"required" doc:"a file of 64 hexadecimal digits that nobody else may read"`
	Use  string         `xml:"use,attr" use:"required" enum:"mint,accept" doc:"mint: new tokens are sealed with it, too; one key of all does that"`

	Secret [SecretSize]byte `xml:"-"` // what File holds
}

// IsPrimary reports whether new tokens, or datagrams, are sealed with the key.
func (k *Key) IsPrimary() bool { return k.Use == "mint" }

// SecretSize is the length of a key, in bytes.
const SecretSize = 32

// Load reads the site file at path, with the secrets that it names. An error of type form.Faults tells all that is
// wrong with it.
func Load(path string) (*Site, error) {
	s := &Site{}
	if err := xmlconfig.Load(path, Document, s); err != nil {
		return nil, err
	}
	return s, nil
}

// Schema is the text of deploy/spurspread.xsd.
func Schema() []byte {
	return xmlconfig.Schema(
		Document,
		Site{},
		"Settings of one installation of spurspread. Printed by: spurspread site schema",
	)
}

// Check reads the keys' files and holds the rules on keys: one of them mints, and none is the same as another.
func (k *Keys) Check(f *xmlconfig.File) {
	minting, held := 0, map[[SecretSize]byte]xmlconfig.Name{}
	for _, key := range k.Key {
		if key.Use == "mint" {
			if minting++; minting > 1 {
				f.Fault(&key.Use, `write use="accept" for all but one`, "a second key mints")
			}
		}
		if !key.load(f) {
			continue
		}
		if other, same := held[key.Secret]; same {
			f.Fault(&key.File, "make a key of its own: spurspread token key FILE", "holds the same key as %q", other)
		}
		held[key.Secret] = key.ID
	}
	if minting == 0 {
		f.Fault(k, `write use="mint" for one of them`, "no key mints")
	}
}

// load reads the key's file, and says what is wrong with it.
func (k *Key) load(f *xmlconfig.File) bool {
	path := string(k.File)
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(f.Name), path)
	}
	const makeOne = "make one: spurspread token key FILE"
	info, err := os.Stat(path)
	switch {
	case err != nil:
		f.Fault(&k.File, makeOne, "can't be read: %v", withoutPath(err))
		return false
	case !info.Mode().IsRegular():
		f.Fault(&k.File, makeOne, "%s is no plain file", k.File)
		return false
	case info.Mode().Perm()&0o077 != 0:
		f.Fault(
			&k.File,
			"chmod 600 "+string(k.File),
			"others may read it or write it (mode %04o)",
			info.Mode().Perm(),
		)
		return false
	case info.Size() > 4*SecretSize:
		f.Fault(&k.File, makeOne, "has %d bytes and not %d hexadecimal digits", info.Size(), 2*SecretSize)
		return false
	}
	text, err := os.ReadFile(path)
	if err != nil {
		f.Fault(&k.File, makeOne, "can't be read: %v", withoutPath(err))
		return false
	}
	if text = bytes.TrimSpace(text); len(text) != 2*SecretSize {
		f.Fault(&k.File, makeOne, "has %d characters and not %d hexadecimal digits", len(text), 2*SecretSize)
		return false
	}
	if _, err := hex.Decode(k.Secret[:], text); err != nil {
		f.Fault(&k.File, makeOne, "holds something else than hexadecimal digits")
		return false
	}
	return true
}

// withoutPath leaves out the path, which the fault's place tells already.
func withoutPath(err error) error {
	if e, ok := err.(*fs.PathError); ok {
		return e.Err
	}
	return err
}

// Fingerprint names a key by what it is, so that balancers and nodes agree on it whatever they call it.
func Fingerprint(secret [SecretSize]byte) string {
	sum := sha256.Sum256(secret[:])
	return fmt.Sprintf("%x", sum[:4])
}

// DefaultUpstreamPool are the limits where a site file names none.
func DefaultUpstreamPool() *UpstreamPool {
	t := &UpstreamPool{}
	xmlconfig.Defaults(t)
	return t
}
