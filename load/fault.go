package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/standin/store"
)

// Faults that this package injects during a run. Others are injected by the script
// that starts the processes.
const (
	FaultNone       = "none"
	FaultStoreFull  = "store_full"
	FaultStoreStall = "store_stalled"
	FaultLinkTenth  = "link_tenth"
	FaultWeightSwap = "weight_swap"
)

// SwapVersion is the weight version that a swap changes to.
const SwapVersion = "v2"

// slowLinkShare is the share of its rate that a slow link retains.
const slowLinkShare = 0.1

// Inject injects a fault. Faults that others inject are ignored.
func (s *Setup) Inject(ctx context.Context, fault string, controlURLs []string) error {
	switch fault {
	case FaultStoreFull:
		return s.setStoreFaults(ctx, 0, store.Faults{CapacityBytes: 1})
	case FaultStoreStall:
		stalled := true
		return s.setStoreFaults(ctx, 0, store.Faults{Stalled: &stalled})
	case FaultLinkTenth:
		for i := range s.StoreURLs {
			if err := s.setStoreFaults(ctx, i, store.Faults{LinkBytesPerSecond: slowLinkShare * float64(s.LinkRate)}); err != nil {
				return err
			}
		}
	case FaultWeightSwap:
		s.WeightVersion = SwapVersion
		return s.Apply(ctx, controlURLs)
	}
	return nil
}

func (s *Setup) setStoreFaults(ctx context.Context, i int, faults store.Faults) error {
	raw, err := json.Marshal(faults)
	if err != nil {
		return eris.Wrap(err, "encode faults")
	}
	url := s.StoreURLs[i] + "/admin/faults"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(raw))
	if err != nil {
		return eris.Wrapf(err, "build request to %s", url)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return eris.Wrapf(err, "set faults of store %s", url)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("set faults of store %s: status %d", url, resp.StatusCode)
	}
	return nil
}
