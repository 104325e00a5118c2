package contexts

import (
	"strconv"
	"strings"
)

// Salt separates contexts that must not be shared: by weight version, and by
// account where an account is isolated. Engines and stores find a context only
// under the salt that it was made under.
func Salt(version uint64, isolated string) string {
	s := "w" + strconv.FormatUint(version, 10)
	if isolated != "" {
		s += "-" + isolated
	}
	return s
}

// SaltVersion is the weight version in a salt; false for what is no salt.
func SaltVersion(salt string) (uint64, bool) {
	digits, _, _ := strings.Cut(strings.TrimPrefix(salt, "w"), "-")
	v, err := strconv.ParseUint(digits, 10, 64)
	return v, err == nil && strings.HasPrefix(salt, "w")
}
