package siteconfig

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"

	"spurspread/internal/xmlconfig"
)

const (
	// SecretSize is the length of a key in bytes.
	SecretSize = 32

	secretDigits        = 2 * SecretSize // hexadecimal digits in a key file
	maxKeyFileSize      = 2 * secretDigits
	nonOwnerPermissions = 0o077 // permission bits of the group and of others
	fingerprintSize     = 4     // bytes

	usePrimary = "mint"

	makeKeyFix = "create a key file with: spurspread token key FILE" // the fix for most errors about a key file
)

// Keys holds the keys for tokens or for the fleet's datagrams. Exactly one of them is primary.
type Keys struct {
	Key []*Key `xml:"key" least:"1" most:"8" doc:"a key; what is sealed with one that is not listed is refused"`
}

// Key is one of Keys. To rotate keys, add the new key as 'accept' on all machines, then change it to 'mint' and the old
// key to 'accept', and remove the old key after the last token that was encrypted with it has expired.
type Key struct {
	ID   xmlconfig.Name `xml:"id,attr" use:"required" key:"keys" doc:"what the key is called in logs"`
	File xmlconfig.Path `xml:"file,attr" use:"required" doc:"a file of 64 hexadecimal digits that nobody else may read"`
	Use  string         `xml:"use,attr" use:"required" enum:"mint,accept" doc:"mint: new tokens are sealed with it, too; one key of all does that"`

	Secret [SecretSize]byte `xml:"-"` // the secret read from File
}

// IsPrimary reports whether the key encrypts new tokens or datagrams. All other keys only decrypt.
func (k *Key) IsPrimary() bool { return k.Use == usePrimary }

// Fingerprint returns an identifier of a key that depends only on the secret, so that keys can be compared between
// machines that give them different names.
func Fingerprint(secret [SecretSize]byte) string {
	sum := sha256.Sum256(secret[:])
	return fmt.Sprintf("%x", sum[:fingerprintSize])
}

// Check reads the key files, and checks that exactly one key is primary and that all keys differ.
func (k *Keys) Check(file *xmlconfig.File) {
	primaries := 0
	seen := map[[SecretSize]byte]xmlconfig.Name{}
	for _, key := range k.Key {
		if key.IsPrimary() {
			primaries++
		}
		if key.IsPrimary() && primaries > 1 {
			file.AddError(&key.Use, `write use="accept" for all but one`, "a second key mints")
		}
		if !key.load(file) {
			continue
		}
		if other, duplicate := seen[key.Secret]; duplicate {
			file.AddError(&key.File, "create another key file with: spurspread token key FILE",
				"holds the same key as %q", other)
		}
		seen[key.Secret] = key.ID
	}
	if primaries == 0 {
		file.AddError(k, `write use="mint" for one of them`, "no key mints")
	}
}

// load reads the key file into Secret; its path is relative to the site file. If the file can't be used, load reports
// the error to file and returns false.
func (k *Key) load(file *xmlconfig.File) bool {
	path := string(k.File)
	if !filepath.IsAbs(path) {
		path = filepath.Join(filepath.Dir(file.Name), path)
	}
	if !k.checkFile(file, path) {
		return false
	}
	text, err := os.ReadFile(path)
	if err != nil {
		file.AddError(&k.File, makeKeyFix, "can't be read: %v", withoutPath(err))
		return false
	}
	text = bytes.TrimSpace(text)
	if len(text) != secretDigits {
		file.AddError(&k.File, makeKeyFix, "has %d characters and not %d hexadecimal digits", len(text), secretDigits)
		return false
	}
	if _, err := hex.Decode(k.Secret[:], text); err != nil {
		file.AddError(&k.File, makeKeyFix, "holds something else than hexadecimal digits")
		return false
	}
	return true
}

// checkFile checks that path is a small regular file to which only its owner has access.
func (k *Key) checkFile(file *xmlconfig.File, path string) bool {
	info, err := os.Stat(path)
	switch {
	case err != nil:
		file.AddError(&k.File, makeKeyFix, "can't be read: %v", withoutPath(err))
	case !info.Mode().IsRegular():
		file.AddError(&k.File, makeKeyFix, "%s is no plain file", k.File)
	case info.Mode().Perm()&nonOwnerPermissions != 0:
		fix := "chmod 600 " + string(k.File)
		file.AddError(&k.File, fix, "others may read it or write it (mode %04o)", info.Mode().Perm())
	case info.Size() > maxKeyFileSize:
		file.AddError(&k.File, makeKeyFix, "has %d bytes and not %d hexadecimal digits", info.Size(), secretDigits)
	default:
		return true
	}
	return false
}

// withoutPath removes the path from an error of the file system, since the reported error names the key file already.
func withoutPath(err error) error {
	var pathError *fs.PathError
	if errors.As(err, &pathError) {
		return pathError.Err
	}
	return err
}
