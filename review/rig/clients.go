package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

// outcome is what a client saw of a request.
type outcome struct {
	id, path string
	status   int
	sealed   bool
	whole    bool
	body     string
	err      error
	at       time.Time
	took     time.Duration
}

// clients send requests at a steady rate to the front machines.
type clients struct {
	cluster *cluster
	http    *http.Client

	mu       sync.Mutex
	outcomes []outcome
	count    int
}

func newClients(c *cluster) *clients {
	return &clients{cluster: c, http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}}
}

// request sends one request to a front machine and waits for the whole answer.
func (c *clients) request(ctx context.Context, m *machine, method, path, body string, deadline time.Duration, header map[string]string) outcome {
	id := fmt.Sprintf("%016x", rand.Uint64())
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	o := outcome{id: id, path: path, at: time.Now()}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+m.address(c.cluster.ports.front)+path, bytes.NewReader([]byte(body)))
	if err != nil {
		o.err = err
		return o
	}
	req.Host, req.GetBody = host, nil
	req.Header.Set("X-Request-Id", id)
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	req.Header.Set("X-Api-Key", apiKey) // unless header names another one
	for name, value := range header {
		req.Header.Set(name, value)
	}
	response, err := c.http.Do(req)
	if err != nil {
		o.err, o.took = err, time.Since(o.at)
		return o
	}
	defer response.Body.Close()
	content, err := io.ReadAll(response.Body)
	o.status, o.sealed, o.body, o.err, o.took = response.StatusCode, response.Header.Get("X-Response-Seal") != "", string(content), err, time.Since(o.at)
	o.whole = err == nil
	return o
}

// mixed sends requests of all routes until ctx ends.
func (c *clients) mixed(ctx context.Context, perSecond float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		m := c.cluster.front[i%len(c.cluster.front)]
		wg.Add(1)
		go func() {
			defer wg.Done()
			var o outcome
			switch i % 4 {
			case 0, 1:
				o = c.request(context.Background(), m, http.MethodPost, "/ask/"+fmt.Sprint(i), "question", 5*time.Second, promptHeader(i))
			case 2:
				o = c.request(context.Background(), m, http.MethodPost, "/order/"+fmt.Sprint(i), "order", 2500*time.Millisecond, nil)
			default:
				o = c.request(context.Background(), m, http.MethodGet, "/look/"+fmt.Sprint(i), "", 2500*time.Millisecond, nil)
			}
			c.add(o)
		}()
	}
}

// promptHeader declares a short prompt of one shared part and one of its own.
func promptHeader(i int) map[string]string {
	return map[string]string{"X-Model": modelName, "X-Token-Usage": "383,11", "X-Prompt-Prefix": fmt.Sprintf("%x:301,%x:82", 0xa000+i%20, 0xb00000+i)}
}

func (c *clients) add(o outcome) {
	c.mu.Lock()
	c.count++
	c.outcomes = append(c.outcomes, o)
	c.mu.Unlock()
	c.cluster.record.add("client: %s %s: status %d, sealed %v, whole %v, %v, error %v", o.id, o.path, o.status, o.sealed, o.whole, o.took.Round(time.Millisecond), o.err)
}

// summary counts the outcomes.
func (c *clients) summary() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	counts := make(map[string]int)
	for _, o := range c.outcomes {
		switch {
		case o.status == 0 && errors.Is(o.err, context.DeadlineExceeded):
			counts["no answer"]++
		case o.status == 0:
			counts["connection ended or refused"]++
		case !o.whole:
			counts["broken off"]++
		default:
			counts[fmt.Sprint(o.status)]++
		}
	}
	var list []string
	for name, n := range counts {
		list = append(list, fmt.Sprintf("%s: %d", name, n))
	}
	return fmt.Sprintf("%d requests; %s", len(c.outcomes), strings.Join(list, ", "))
}

// prompts sends prompts until ctx ends.
func (c *clients) prompts(ctx context.Context, perSecond float64) {
	ticker := time.NewTicker(time.Duration(float64(time.Second) / perSecond))
	defer ticker.Stop()
	var wg sync.WaitGroup
	defer wg.Wait()
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		wg.Add(1)
		go func() {
			defer wg.Done()
			c.add(c.request(context.Background(), c.cluster.front[i%len(c.cluster.front)], http.MethodPost, "/ask/"+fmt.Sprint(i), "question", 5*time.Second, promptHeader(i)))
		}()
	}
}
