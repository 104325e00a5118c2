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

// Faults that this package injects during a run. Other faults are injected by the
// script that starts the processes.
const (
	FaultNone         = "none"
	FaultStoreFull    = "store_full"
	FaultStoreStalled = "store_stalled"
	FaultSlowLink     = "link_tenth"
	FaultWeightSwap   = "weight_swap"
)

// SwapTargetVersion is the weight version that a swap changes to.
const SwapTargetVersion = "v2"

// slowLinkShare is the share of its bandwidth that a slow link retains.
const slowLinkShare = 0.1

// InjectFault injects a fault. It ignores faults that this package does not inject.
func (s *ExperimentSetup) InjectFault(ctx context.Context, fault string, controlURLs []string) error {
	switch fault {
	case FaultStoreFull:
		return s.setStoreFaults(ctx, 0, store.FaultRequest{CapacityBytes: 1})
	case FaultStoreStalled:
		stalled := true
		return s.setStoreFaults(ctx, 0, store.FaultRequest{Stalled: &stalled})
	case FaultSlowLink:
		for i := range s.StoreURLs {
			if err := s.setStoreFaults(ctx, i, store.FaultRequest{LinkBytesPerSecond: slowLinkShare * float64(s.LinkBytesPerSecond)}); err != nil {
				return err
			}
		}
	case FaultWeightSwap:
		s.WeightVersion = SwapTargetVersion
		return s.Apply(ctx, controlURLs)
	}
	return nil
}

// setStoreFaults sets faults of the store with index i through its fault injection API.
func (s *ExperimentSetup) setStoreFaults(ctx context.Context, i int, faults store.FaultRequest) error {
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
