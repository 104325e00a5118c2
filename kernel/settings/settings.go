// Package settings reads process settings from flags and environment variables.
// It reports all invalid settings at once, each with the name of its flag.
package settings

import (
	"errors"
	"flag"
	"fmt"
	"io"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/peterbourgon/ff/v3"
)

// EnvPrefix is the prefix of environment variables: the flag "data-dir" can be
// set by GALENA_DATA_DIR.
const EnvPrefix = "GALENA"

// ExitUsage is the exit code for invalid settings.
const ExitUsage = 2

// FlagError is an error in the value of one flag.
type FlagError struct {
	Flag   string
	Reason string
}

// Error implements error.
func (f *FlagError) Error() string {
	return fmt.Sprintf("-%s: %s", f.Flag, f.Reason)
}

// Checker collects errors in settings.
type Checker struct {
	errs []error
}

// Add records an error in the value of a flag.
func (c *Checker) Add(flagName, format string, args ...any) {
	c.errs = append(c.errs, &FlagError{Flag: flagName, Reason: fmt.Sprintf(format, args...)})
}

// Err returns the recorded errors joined, or nil.
func (c *Checker) Err() error {
	return errors.Join(c.errs...)
}

// Required checks that a setting is not empty.
func (c *Checker) Required(flagName, value string) {
	if value == "" {
		c.Add(flagName, "is required")
	}
}

// Address checks that a setting is an "IP:port" address. Host names are rejected.
func (c *Checker) Address(flagName, value string) {
	if value == "" {
		c.Add(flagName, "is required: expected an IP:port address")
		return
	}
	if _, err := netip.ParseAddrPort(value); err != nil {
		c.Add(flagName, "%q is not an IP:port address", value)
	}
}

// Positive checks that a number is greater than zero.
func Positive[N ~int | ~int64 | ~float64](c *Checker, flagName string, value N, unit string) {
	if value <= 0 {
		c.Add(flagName, "%v must be greater than 0 %s", value, unit)
	}
}

// URLs checks a comma-separated list of http or https base URLs.
func (c *Checker) URLs(flagName, value string) {
	for _, u := range SplitList(value) {
		parsed, err := url.Parse(u)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			c.Add(flagName, "%q is not an http:// or https:// URL", u)
		}
	}
}

// WritableDir checks that a directory is writable. It creates the directory if
// it does not exist. A full disk is no invalid setting: what is stored there may be
// removed by the program.
func (c *Checker) WritableDir(flagName, value string) {
	if value == "" {
		c.Add(flagName, "is required: expected a directory")
		return
	}
	if err := os.MkdirAll(value, 0o700); err != nil {
		c.Add(flagName, "cannot create the directory: %v", err)
		return
	}
	probe := filepath.Join(value, ".writable")
	if err := os.WriteFile(probe, nil, 0o600); err != nil {
		c.addUnwritable(flagName, err)
		return
	}
	if err := os.Remove(probe); err != nil {
		c.Add(flagName, "cannot remove the probe file from the directory: %v", err)
	}
}

// addUnwritable records that a directory is not writable, unless only its disk is full.
func (c *Checker) addUnwritable(flagName string, err error) {
	if !errors.Is(err, syscall.ENOSPC) {
		c.Add(flagName, "cannot write to the directory: %v", err)
	}
}

// SplitList splits a comma-separated setting, trims spaces and drops empty parts.
func SplitList(value string) []string {
	var parts []string
	for p := range strings.SplitSeq(value, ",") {
		if p = strings.TrimSpace(p); p != "" {
			parts = append(parts, p)
		}
	}
	return parts
}

// Set is a group of related settings of a program.
type Set interface {
	// RegisterFlags declares the flags. Usage texts state the unit.
	RegisterFlags(fs *flag.FlagSet)
	// Check validates the parsed values and records every error in c.
	Check(c *Checker)
}

// Parse reads args and the environment into sets, then validates all sets.
func Parse(program string, args []string, stderr io.Writer, sets ...Set) error {
	fs := flag.NewFlagSet(program, flag.ContinueOnError)
	fs.SetOutput(stderr)
	for _, s := range sets {
		s.RegisterFlags(fs)
	}
	if err := ff.Parse(fs, args, ff.WithEnvVarPrefix(EnvPrefix)); err != nil {
		return err
	}
	if fs.NArg() > 0 {
		return fmt.Errorf("unexpected argument %q", fs.Arg(0))
	}
	var c Checker
	for _, s := range sets {
		s.Check(&c)
	}
	return c.Err()
}

// ParseOrExit calls Parse on the command line of the process. On invalid
// settings it prints the errors and exits with ExitUsage; after --help it exits
// with 0.
func ParseOrExit(program string, sets ...Set) {
	err := Parse(program, os.Args[1:], os.Stderr, sets...)
	if err == nil {
		return
	}
	if errors.Is(err, flag.ErrHelp) {
		os.Exit(0)
	}
	fmt.Fprintf(os.Stderr, "%s: invalid settings:\n%v\n", program, err)
	os.Exit(ExitUsage)
}
