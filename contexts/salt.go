package contexts

import (
	"strconv"
	"strings"
)

// Salt returns the cache salt that separates contexts which must not be shared: by
// weight version, and by client account if isolated names one (empty if the account
// shares contexts). Engines and stores find a context only under the salt that it was
// created with.
func Salt(version uint64, isolated string) string {
	s := "w" + strconv.FormatUint(version, 10)
	if isolated != "" {
		s += "-" + isolated
	}
	return s
}

// SaltVersion returns the weight version of a salt; false if the string is not a
// valid salt.
func SaltVersion(salt string) (uint64, bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(salt, "w"), "-")
	v, err := strconv.ParseUint(digits, 10, 64)
	return v, err == nil && strings.HasPrefix(salt, "w")
}
