package main

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"spurspread/internal/siteconfig"
	"spurspread/internal/token"
)

// tokenCmds are the subcommands of token.
type tokenCmds struct {
	Inspect tokenInspect `cmd:"" help:"Verify a resume token and print its fields."`
	Key     tokenKey     `cmd:"" help:"Create a new key for resume tokens or membership."`
}

// tokenInspect is the command token inspect.
type tokenInspect struct {
	Site  string `required:"" env:"SPURSPREAD_SITE" placeholder:"FILE" help:"The site file that names the keys."`
	Token string `arg:"" help:"The token, as it follows MOVE or tok=."`
}

// Help returns the text that --help shows below the command's summary.
func (tokenInspect) Help() string {
	return `Opens the token with the site's keys and prints its fields. Exits with 1 if it can't be opened.

Example:
  spurspread token inspect --site /etc/spurspread/site.xml AZx3...`
}

// Run opens the token and prints its fields, one per line.
func (c tokenInspect) Run(s *environment) error {
	site, err := siteconfig.Load(c.Site)
	if err != nil {
		return err
	}
	if site.Resume == nil {
		return fmt.Errorf("%s has no element <resume>, so it names no keys", c.Site)
	}
	ring, err := tokenKeyring(&site.Resume.Keys)
	if err != nil {
		return err
	}
	var t token.Token
	if err := ring.Open([]byte(c.Token), &t); err != nil {
		return fmt.Errorf("open token: %w", err)
	}
	return printToken(s.out, &t)
}

// printToken prints the fields of a token. Scripts depend on the names.
func printToken(out io.Writer, t *token.Token) error {
	started := "long ago"
	if t.ServerStarted != 0 {
		started = timestamp(t.ServerStarted)
	}
	expiry := expiryText(time.UnixMilli(t.ExpiresAt))
	fields := []struct{ name, value string }{
		{"id", fmt.Sprintf("%x", t.ID)},
		{"stream", fmt.Sprintf("%016x", t.Stream)},
		{"class", string(t.Class)},
		{"key", fmt.Sprintf("%016x", t.Key)},
		{"group", fmt.Sprintf("%016x", t.Group)},
		{"tenant", fmt.Sprintf("%016x", t.Tenant)},
		{"top", fmt.Sprintf("%d", t.LastSequence)},
		{"minted", timestamp(t.IssuedAt)},
		{"expires", fmt.Sprintf("%s (%s)", timestamp(t.ExpiresAt), expiry)},
		{"server", fmt.Sprintf("%s, started %s", t.Server, started)},
	}
	var text strings.Builder
	for _, field := range fields {
		fmt.Fprintf(&text, "%-9s%s\n", field.name, field.value)
	}
	_, err := io.WriteString(out, text.String())
	return err
}

// timestamp formats a time in Unix milliseconds.
func timestamp(millis int64) string {
	return time.UnixMilli(millis).UTC().Format("2006-01-02T15:04:05.000Z")
}

// expiryText formats the time left until at, such as "in 40s", or returns "expired".
func expiryText(at time.Time) string {
	if left := time.Until(at).Round(time.Second); left > 0 {
		return fmt.Sprintf("in %v", left)
	}
	return "expired"
}

// tokenKey is the command token key.
type tokenKey struct {
	File string `arg:"" help:"The file to write; it must not exist yet."`
}

// Help returns the text that --help shows below the command's summary.
func (tokenKey) Help() string {
	return "Writes 32 random bytes in hexadecimal to a new file that only its owner may access. " +
		`All balancers, and for
resume tokens all index nodes, need the same file. To rotate keys: list the new key as "accept" everywhere, then as
"mint", then remove the old one.

Example:
  spurspread token key /etc/spurspread/key-2`
}

// Run writes a random key to a new file.
func (c tokenKey) Run(s *environment) error {
	secret := make([]byte, siteconfig.SecretSize)
	_, _ = rand.Read(secret) // never returns an error
	file, err := os.OpenFile(c.File, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(file, hex.EncodeToString(secret))
	if err = errors.Join(err, file.Close()); err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s: key %s\n", c.File, siteconfig.Fingerprint([siteconfig.SecretSize]byte(secret)))
	return err
}
