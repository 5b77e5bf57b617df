package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"os"
	"spurspread/internal/siteconfig"
	"spurspread/internal/token"
	"time"
)

type tokenCmds struct {
	Inspect tokenInspect `cmd:"" help:"Tell what a resume token says, and whether its seal holds."`
	Key     tokenKey     `cmd:"" help:"Make a new key for resume tokens."`
}

type tokenInspect struct {
	Site  string `required:"" env:"SPURSPREAD_SITE" placeholder:"FILE" help:"The site file that names the keys."`
	Token string `arg:"" help:"The token, as it stood behind MOVE or tok=."`
}

// Help is shown below the command's own line.
func (tokenInspect) Help() string {
	return `Opens the token with the site's keys and prints what it says. Exits with 1 if it does not open.

Example:
  spurspread token inspect --site /etc/spurspread/site.xml AZx3...`
}

// Run prints a line for each thing that the token says.
func (c tokenInspect) Run(s *streams) error {
	at, err := siteconfig.Load(c.Site)
	if err != nil {
		return err
	}
	if at.Resume == nil {
		return fmt.Errorf("%s has no element <resume>, so it names no keys", c.Site)
	}
	ring, err := tokenRing(&at.Resume.Keys)
	if err != nil {
		return err
	}
	var t token.Token
	if err := ring.Open([]byte(c.Token), &t); err != nil {
		return fmt.Errorf("the token does not open: %w", err)
	}
	started := "long ago"
	if t.ServerStarted != 0 {
		started = timestamp(t.ServerStarted)
	}
	_, err = fmt.Fprintf(
		s.out,
		"id       %x\nstream   %016x\nclass    %s\nkey      %016x\ngroup    %016x\ntenant   %016x\ntop      %d\n"+
			"minted   %s\nexpires  %s (%s)\nserver   %s, started %s\n",
		t.ID,
		t.Stream,
		t.Class,
		t.Key,
		t.Group,
		t.Tenant,
		t.LastSequence,
		timestamp(t.IssuedAt),
		timestamp(t.ExpiresAt),
		expiryText(time.UnixMilli(t.ExpiresAt)),
		t.Server,
		started,
	)
	return err
}

func timestamp(millis int64) string {
	return time.UnixMilli(millis).UTC().Format("2006-01-02T15:04:05.000Z")
}

func expiryText(at time.Time) string {
	if left := time.Until(at).Round(time.Second); left > 0 {
		return fmt.Sprintf("in %v", left)
	}
	return "expired"
}

type tokenKey struct {
	File string `arg:"" help:"The file to write; it must not exist yet."`
}

// Help is shown below the command's own line.
func (tokenKey) Help() string {
	return `Writes 32 random bytes in hexadecimal to a new file that nobody else may read. Balancers and index nodes need
the same file. To rotate: list the new key as "accept" everywhere, then as "mint", then remove the old one.

Example:
  spurspread token key /etc/spurspread/key-2`
}

// Run makes the file.
func (c tokenKey) Run(s *streams) error {
	secret := make([]byte, siteconfig.SecretSize)
	_, _ = rand.Read(secret) // never fails
	f, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(f, hex.EncodeToString(secret))
	if err = errors.Join(err, f.Close()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: key %s\n", c.File, siteconfig.Fingerprint([siteconfig.SecretSize]byte(secret)))
	return err
}
