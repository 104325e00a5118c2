package entry

import (
	"time"

	"github.com/galenaarch/galenaarch/catalogue"
	"github.com/galenaarch/galenaarch/config"
)

// storeSyncInterval is the interval for checking the configured stores for
// changes.
const storeSyncInterval = 500 * time.Millisecond

func storesOf(list []config.Store) []catalogue.Store {
	stores := make([]catalogue.Store, 0, len(list))
	for _, s := range list {
		stores = append(stores, catalogue.Store{
			Name: s.Name, URL: s.URL, LinkBytesPerSecond: float64(s.LinkBytesPerSecond), CapacityBytes: s.CapacityBytes,
		})
	}
	return stores
}
