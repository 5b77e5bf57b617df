package restartproto

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"syscall"
)

// Version is the format version of both files, and part of the paths of the files and the socket. A file of another
// version is rejected.
const Version = 1

// replaceFile writes value as JSON to a temporary file beside path and renames it to path, so that a reader sees either
// the old value or the new one, never part of one.
func replaceFile(path string, value any) error {
	text, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	file, err := os.CreateTemp(filepath.Dir(path), ".spurspread-handover-*")
	if err != nil {
		return fmt.Errorf("hot restart: %w", err)
	}
	_, err = file.Write(text)
	err = errors.Join(err, file.Close())
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return fmt.Errorf("hot restart: %w", err)
	}
	return nil
}

// readFile reads JSON of at most maxBytes into value. It rejects unknown fields.
func readFile(path string, maxBytes int64, value any) error {
	// Without O_NONBLOCK, opening a FIFO or another special file could block forever.
	file, err := os.OpenFile(path, os.O_RDONLY|syscall.O_NONBLOCK, 0)
	if err != nil {
		return err
	}
	defer func() { _ = file.Close() }()
	if info, err := file.Stat(); err != nil || !info.Mode().IsRegular() {
		return errors.Join(fmt.Errorf("hot restart: %s: %w", path, ErrNotRegular), err)
	}
	text, err := io.ReadAll(io.LimitReader(file, maxBytes+1))
	if err != nil {
		return err
	}
	if int64(len(text)) > maxBytes {
		return fmt.Errorf("hot restart: %s: %w: over %d bytes", path, ErrTooLarge, maxBytes)
	}
	decoder := json.NewDecoder(bytes.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(value); err != nil {
		return fmt.Errorf("hot restart: %s: %w: %w", path, ErrMalformed, err)
	}
	return nil
}

func checkVersion(path string, version int) error {
	if version != Version {
		return fmt.Errorf("hot restart: %s: %w: it is of version %d, not %d", path, ErrVersion, version, Version)
	}
	return nil
}
