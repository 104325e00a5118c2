package main

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// Bounds of the site.
const (
	versionBound   = 8 * time.Second
	versionSettled = 12 * time.Second // 1.5 x version_ms
)

// rolloutCase: new weights are named, and servers crash while they load them. They are back
// soon, under their IDs; the rollout never goes on.
func rolloutCase(root string, trouble bool, rec *record) (int, error) {
	const engines = 5
	c, err := newCluster(root, rec, 3, 2, 189)
	if err != nil {
		return couldnt, err
	}
	defer c.stop()
	stop := make(chan struct{})
	defer close(stop)
	f, err := newFleet(c, engines, 0, 0, stop)
	if err != nil {
		return couldnt, err
	}
	var mu sync.Mutex
	var namedAt time.Time
	late := 0
	var left int
	for i, s := range f.engines {
		s.zone = []string{"zone-c", "zone-b", "zone-b", "zone-a", "zone-a"}[i]
		s.onRun = func(s *server, id string, version int) {
			mu.Lock()
			defer mu.Unlock()
			if version < 2 && !namedAt.IsZero() && time.Since(namedAt) > versionBound {
				late++
				rec.add("broken: %s begins on version %d at %s, %v after version 2 was acknowledged", id, version, s.id, time.Since(namedAt).Round(time.Millisecond))
			}
		}
	}
	if err := c.start(configuration(1, nil)); err != nil {
		return couldnt, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	cl := newClients(c)
	done := make(chan struct{})
	go func() { defer close(done); cl.prompts(ctx, 20) }()
	time.Sleep(6 * time.Second)
	if trouble {
		// The two servers of a zone crash at once, while they load the weights.
		var crash sync.Once
		for _, s := range f.engines {
			s.onOrder = func(first *server) {
				crash.Do(func() {
					for _, s := range f.engines {
						if s.zone == first.zone {
							time.AfterFunc(loadTime/2, s.crashAndRestart)
						}
					}
				})
			}
		}
	}
	acknowledged := false
	for deadline := time.Now().Add(10 * time.Second); !acknowledged && time.Now().Before(deadline); {
		for _, m := range c.control {
			if status, _ := call(http.MethodPost, "http://"+m.address(c.ports.control)+"/version-put", fmt.Sprintf(`{"model":%q,"version":2}`, modelName), 1500*time.Millisecond); status == http.StatusOK {
				acknowledged = true
				break
			}
		}
	}
	if !acknowledged {
		return couldnt, fmt.Errorf("version 2 was not acknowledged")
	}
	mu.Lock()
	namedAt = time.Now()
	mu.Unlock()
	rec.add("version 2 of %s is acknowledged", modelName)
	// More than the rule asks: the servers were away for a few seconds of it.
	time.Sleep(versionBound + versionSettled + 5*time.Second)
	cancel()
	<-done
	for _, s := range f.engines {
		s.mu.Lock()
		if s.version < 2 {
			left++
		}
		rec.add("%s: version %d at the end, started %d times", s.id, s.version, s.restarts+1)
		s.mu.Unlock()
	}
	mu.Lock()
	defer mu.Unlock()
	rec.add("clients: %s", cl.summary())
	rec.add("%d requests began on version 1 later than %v after the acknowledgement; %d of %d servers have it at the end", late, versionBound, left, engines)
	fmt.Printf("%d requests began on version 1 too late; %d of %d servers have it at the end\n", late, left, engines)
	if left > 1 || late > 0 {
		return broken, nil
	}
	return held, nil
}
