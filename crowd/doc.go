// Package crowd tests the system's own processes with clients that keep to no limit: heads and
// bodies that are too large, never end, or stop just short of their end on connections that stay
// open. The package has tests only; they run apart from all others.
package crowd
