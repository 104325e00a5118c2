package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"
)

// The tenants of the case and their keys.
const (
	ward, guest       = "tenant-ward", "tenant-guest"
	wardKey, guestKey = "ward1x2y3z4k5j6h7", "guest7h6j5k4z3y2x"
)

// wallConfiguration is configuration with two tenants. wardIsolated says whether the first
// one is isolated.
func wallConfiguration(version int, wardIsolated bool, lookTimeout int) string {
	route := func(name, prefix string, timeout int) map[string]any {
		return map[string]any{"name": name, "host": host, "path_prefix": prefix, "kind": "streaming", "timeout_ms": timeout, "target_latency_ms": 800, "priority": 1, "service": engineService, "max_attempts": 2, "public": false, "sticky": true, "resumable": true, "target_gap_ms": 200}
	}
	return mustJSON(map[string]any{
		"version": version,
		"routes":  []map[string]any{route("ask", "/ask/", 5000), route("long", "/long/", lookTimeout)},
		"services": []map[string]any{{"name": engineService, "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false, "engine": map[string]any{
			"slots": 64, "kv_capacity_tokens": 77104, "kv_token_bytes": 163840, "link_mbps": 550000.0, "moves": true, "backups": true, "managed": true, "stride": 4,
			"max_inflight": 12, "pin_ms": 4000.0, "hold_ms": 2000.0, "handle_s": 5.0, "models": []map[string]any{{"name": modelName}},
		}}},
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []map[string]any{
			{"name": ward, "api_keys": []string{wardKey}, "priority": 1, "isolated": wardIsolated},
			{"name": guest, "api_keys": []string{guestKey}, "priority": 1, "isolated": false},
		},
	})
}

// kvCache is the cache of an engine: parts under a salt, behind the parts before them. It
// remembers which tenant's request made each.
type kvCache struct {
	mu     sync.Mutex
	makers map[string]string
}

// use runs a prompt on the cache. It returns the parts that were used and that another
// tenant's request had made, as PART made by TENANT.
func (k *kvCache) use(salt, prefix, tenant string) (foreign []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key, cached := salt, true
	for part := range strings.SplitSeq(prefix, ",") {
		key += "|" + strings.TrimSpace(part)
		maker, known := k.makers[key]
		cached = cached && known
		if cached && maker != tenant {
			foreign = append(foreign, part+" made by "+maker)
		}
		if !known {
			k.makers[key] = tenant
		}
	}
	return foreign
}

// wallCase: the configuration changes, and a tenant is isolated from then on. Requests of
// another tenant still use KV cache that its requests made.
func wallCase(root string, trouble bool, rec *record) (int, error) {
	c, err := newCluster(root, rec, 3, 2, 189)
	if err != nil {
		return couldnt, err
	}
	defer c.stop()
	stop := make(chan struct{})
	defer close(stop)
	f, err := newFleet(c, 2, 0, 0, stop)
	if err != nil {
		return couldnt, err
	}
	var mu sync.Mutex
	foreign := make(map[string][]string) // by request
	for _, s := range f.engines {
		cache := &kvCache{makers: make(map[string]string)}
		s.work = func(s *server, w http.ResponseWriter, r *http.Request, _ []byte) {
			id, salt, tenant := r.Header.Get("X-Request-Id"), r.Header.Get("X-Cache-Salt"), r.Header.Get("X-Tenant")
			used := cache.use(salt, r.Header.Get("X-Prompt-Prefix"), tenant)
			mu.Lock()
			foreign[id] = used
			mu.Unlock()
			rec.add("%s: runs %s of %s under salt %q, prompt %s; of other tenants: %v", s.id, id, tenant, salt, r.Header.Get("X-Prompt-Prefix"), used)
			w.Header().Set("Content-Type", "text/event-stream")
			w.Header().Set("X-Weight-Versions", "1")
			for i := 1; i <= 3; i++ {
				_, _ = io.WriteString(w, fmt.Sprintf("id: %d\ndata: piece %d of %s\n\n", i, i, id))
				w.(http.Flusher).Flush()
				time.Sleep(10 * time.Millisecond)
			}
		}
	}
	if err := c.start(wallConfiguration(1, false, 10000)); err != nil {
		return couldnt, err
	}
	rec.add("configuration 1 is acknowledged: no tenant is isolated")
	time.Sleep(4 * time.Second)
	cl := newClients(c)
	ask := func(key string, n, first int) (ids []string) {
		for i := range n {
			o := cl.request(context.Background(), c.front[i%len(c.front)], http.MethodPost, "/ask/x", "question", 5*time.Second, map[string]string{
				"X-Api-Key": key, "X-Model": modelName, "X-Token-Usage": "2382,11", "X-Prompt-Prefix": fmt.Sprintf("c0ffee01:2300,%x:82", first+i),
			})
			cl.add(o)
			if o.status == http.StatusOK && o.whole {
				ids = append(ids, o.id)
			}
			time.Sleep(100 * time.Millisecond)
		}
		return ids
	}
	ask(wardKey, 12, 0x1000)
	if !c.publish(wallConfiguration(2, trouble, 9000)) {
		return couldnt, fmt.Errorf("configuration 2 was not acknowledged")
	}
	rec.add("configuration 2 is acknowledged: %s isolated: %v", ward, trouble)
	// All machines obey it config_apply_ms (2 s) after the acknowledgement.
	time.Sleep(4 * time.Second)
	ids := ask(guestKey, 12, 0x2000)
	if len(ids) == 0 {
		return couldnt, fmt.Errorf("no request of %s was answered", guest)
	}
	broke := 0
	for _, id := range ids {
		mu.Lock()
		used := foreign[id]
		mu.Unlock()
		if len(used) > 0 && trouble { // without the change, no tenant is isolated
			broke++
			rec.add("broken: %s of %s used %v, and %s is isolated", id, guest, used, ward)
		}
	}
	fmt.Printf("%d of %d requests of %s used KV cache of %s (isolated: %v)\n", broke, len(ids), guest, ward, trouble)
	rec.add("%d of %d requests of %s broke the rule", broke, len(ids), guest)
	if broke > 0 {
		return broken, nil
	}
	return held, nil
}
