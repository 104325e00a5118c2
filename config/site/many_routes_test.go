package site

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// A document with many routes of one host took effect late: each look-up passed over all of them.
func TestManyRoutesOfOneHostDoNotSlowLookups(t *testing.T) {
	fastest := func(routes int) time.Duration {
		table, best := tableOfRoutes(routes), time.Hour
		paths := []string{fmt.Sprintf("/p/r%07d/a?b", routes-1), fmt.Sprintf("/p/r%07d/", routes/2), "/p/no-such/a", "/"}
		for range 50 {
			began := time.Now()
			for range 20 {
				for _, path := range paths {
					table.Route("a.test", path)
				}
			}
			best = min(best, time.Since(began))
		}
		return best
	}
	few, many := fastest(500), fastest(16000)
	require.Less(t, many, 8*few, "32 times the routes; a look-up must not take a quarter of that")
}

// The index returns what a scan of all routes by falling length of prefix returns.
func TestLookupFindsLongestPrefixAmongManyLengths(t *testing.T) {
	d := &Document{}
	for _, prefix := range []string{"/", "/a/", "/a/b/", "/ab/", "/a/b/c/d/", "/longer-than-the-others/", "/%61/"} {
		d.Routes = append(d.Routes, Route{Name: prefix, Host: "A.test", PathPrefix: prefix})
	}
	d.Routes = append(d.Routes, Route{Name: "other", Host: "b.test", PathPrefix: "/a/"})
	table := Compile(d)
	for path, want := range map[string]string{
		"/": "/", "/a": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a/b/c/d": "/a/b/", "/a/b/c/d/e/f": "/a/b/c/d/",
		"/ab/?x=/a/": "/ab/", "/A/": "/", "/longer-than-the-others/y": "/longer-than-the-others/", "/%61/b/": "/%61/",
	} {
		for _, host := range []string{"a.test", "A.TEST", "a.test:80"} {
			r := table.Route(host, path)
			require.NotNil(t, r, path)
			require.Equal(t, want, r.Name, path)
		}
	}
	require.Nil(t, table.Route("b.test", "/"))
	require.Nil(t, table.Route("c.test", "/a/"))
	require.Nil(t, table.Route("a.test", ""))
}

func tableOfRoutes(n int) *Table {
	d := &Document{}
	for i := range n {
		d.Routes = append(d.Routes, Route{Name: fmt.Sprint(i), Host: "a.test", PathPrefix: fmt.Sprintf("/p/r%07d/", i)})
	}
	return Compile(d)
}
