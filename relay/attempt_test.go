package relay

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAttemptEventOwner(t *testing.T) {
	cases := []struct {
		request string
		number  int
		event   string
		want    EventOwner
	}{
		{"r", 1, "r", OwnerThis},
		{"r", 1, "cmpl-r", OwnerThis},
		{"r", 2, "r~2", OwnerThis},
		{"r", 2, "chatcmpl-r~2", OwnerThis},
		{"r", 2, "r", OwnerOther},
		{"r", 2, "cmpl-r", OwnerOther},
		{"r", 1, "r~2", OwnerOther},
		{"r", 12, "r~2", OwnerOther},
		{"r", 2, "r~12", OwnerOther},
		{"r", 1, "cmpl-8r3", OwnerUnknown},
		{"r", 2, "r~x", OwnerUnknown},
		{"r", 2, "r~1", OwnerUnknown},
		{"r", 2, "", OwnerUnknown},
		{"a~2", 1, "a~2", OwnerThis},
		{"a~2", 2, "a~2~2", OwnerThis},
		{"a~2", 2, "a~2", OwnerOther},
	}
	for _, c := range cases {
		got := Attempt{RequestID: c.request, Number: c.number}.EventOwner(c.event)
		require.Equal(t, c.want, got, "%s attempt %d, event %s", c.request, c.number, c.event)
	}
}
