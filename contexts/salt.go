package contexts

import (
	"strconv"
	"strings"
)

// Separators between the weight version of a salt and what follows it.
const (
	isolatedSeparator = "-"
	groupSeparator    = "+"
)

// Scope is the set of client accounts whose requests share contexts: one isolated
// account, or all accounts that are not isolated.
type Scope struct {
	// Isolated names the isolated account; empty for the others.
	Isolated string
	// Group identifies the set of accounts that are isolated; empty if there are none. It
	// separates what the others share from what they shared with an account before it was
	// isolated. It is not used if Isolated is set.
	Group string
}

// Salt returns the cache salt that separates contexts which must not be shared: by
// weight version and by scope. Engines and stores find a context only under the salt
// that it was created with.
func Salt(version uint64, scope Scope) string {
	s := "w" + strconv.FormatUint(version, 10)
	switch {
	case scope.Isolated != "":
		s += isolatedSeparator + scope.Isolated
	case scope.Group != "":
		s += groupSeparator + scope.Group
	}
	return s
}

// ParseSalt returns the weight version and the scope of a salt; false if the string is
// not a valid salt.
func ParseSalt(salt string) (version uint64, scope Scope, ok bool) {
	rest, ok := strings.CutPrefix(salt, "w")
	digits := rest
	if i := strings.IndexAny(rest, isolatedSeparator+groupSeparator); i >= 0 {
		digits = rest[:i]
		if name := rest[i+1:]; rest[i:i+1] == isolatedSeparator {
			scope.Isolated = name
		} else {
			scope.Group = name
		}
	}
	version, err := strconv.ParseUint(digits, 10, 64)
	return version, scope, ok && err == nil
}
