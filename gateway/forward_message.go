package gateway

import (
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenaarch/galenaarch/dispatch"
)

// Headers between entry instances. A request with forwardHeader is accepted at the peer listener
// only, and each response of a gateway to it has forwardResultHeader.
const (
	forwardHeader       = "Galena-Forward"
	forwardResultHeader = "Galena-Forward-Result"
)

// maxForwardedServers bounds the servers named in these headers.
const maxForwardedServers = 64

// forwardedRequest is what an instance tells another one about a request that it passes on.
type forwardedRequest struct {
	// from is the instance that passes the request on, document its version of the site
	// document.
	from     string
	document uint64
	// service is the one that the request goes to.
	service string
	// elapsed is the time since the request arrived, left that until its deadline.
	elapsed, left time.Duration
	// ran are the servers that may have run the request.
	ran []string
	// software is what the stream is bound to, nil for nothing; lastEvent is the ID of the
	// last event that the client has.
	software  *dispatch.Software
	lastEvent string
	// sinceEvent is the time since the client was sent that event; 0 if the stream has not begun.
	sinceEvent time.Duration
	// decision is nil from an instance that does not pass it on.
	decision *forwardDecision
}

// encode returns the value of forwardHeader.
func (f *forwardedRequest) encode() string {
	v := url.Values{
		"from": {f.from}, "document": {strconv.FormatUint(f.document, 10)}, "service": {f.service},
		"elapsed_us": {strconv.FormatInt(f.elapsed.Microseconds(), 10)}, "left_us": {strconv.FormatInt(f.left.Microseconds(), 10)},
	}
	if len(f.ran) > 0 {
		v["ran"] = f.ran
	}
	if f.software != nil {
		v.Set("software_service", f.software.Service)
		v.Set("software", f.software.Version)
	}
	if f.lastEvent != "" {
		v.Set("last_event", f.lastEvent)
	}
	if f.sinceEvent > 0 {
		v.Set("since_event_us", strconv.FormatInt(f.sinceEvent.Microseconds(), 10))
	}
	if f.decision != nil {
		v.Set("decision", f.decision.encode())
	}
	return v.Encode()
}

// decodeForwardedRequest decodes the value of forwardHeader.
func decodeForwardedRequest(value string) (*forwardedRequest, error) {
	v, err := url.ParseQuery(value)
	if err != nil {
		return nil, eris.Wrap(err, "decode the mark of a forwarded request")
	}
	document, documentErr := strconv.ParseUint(v.Get("document"), 10, 64)
	elapsed, elapsedErr := decodeMicroseconds(v.Get("elapsed_us"))
	left, leftErr := decodeMicroseconds(v.Get("left_us"))
	if documentErr != nil || elapsedErr != nil || leftErr != nil || v.Get("service") == "" || len(v["ran"]) > maxForwardedServers {
		return nil, eris.New("mark of a forwarded request is malformed")
	}
	f := &forwardedRequest{from: v.Get("from"), document: document, service: v.Get("service"), elapsed: elapsed, left: left, ran: v["ran"], lastEvent: v.Get("last_event")}
	if v.Has("software_service") {
		f.software = &dispatch.Software{Service: v.Get("software_service"), Version: v.Get("software")}
	}
	if v.Has("since_event_us") {
		if f.sinceEvent, err = decodeMicroseconds(v.Get("since_event_us")); err != nil {
			return nil, err
		}
	}
	if v.Has("decision") {
		if f.decision, err = decodeForwardDecision(v.Get("decision")); err != nil {
			return nil, err
		}
	}
	return f, nil
}

// maxForwardedTime bounds the times in a mark, one day.
const maxForwardedTime = 24 * time.Hour

func decodeMicroseconds(text string) (time.Duration, error) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 || n > maxForwardedTime.Microseconds() {
		return 0, eris.Errorf("%q is no time", text)
	}
	return time.Duration(n) * time.Microsecond, nil
}

// forwardResult is what an instance tells another one about its response to a forwarded request.
type forwardResult struct {
	// generated is set if the response is that of the instance, not of a server; retry if it
	// has not run and another instance may serve it.
	generated, retry bool
	// cut is set if the instance does not reach the servers of the service, stops if it takes
	// no requests at all.
	cut, stops bool
	// ran are the servers that may have run the request here, sends counts the attempts that
	// reached a server.
	ran   []string
	sends int
	// software is what the stream is bound to, nil for nothing.
	software *dispatch.Software
}

// encode returns the value of forwardResultHeader.
func (f *forwardResult) encode() string {
	v := url.Values{"sends": {strconv.Itoa(f.sends)}}
	if f.generated {
		v.Set("generated", "1")
	}
	for name, set := range map[string]bool{"retry": f.retry, "cut": f.cut, "stops": f.stops} {
		if set {
			v.Set(name, "1")
		}
	}
	if len(f.ran) > 0 {
		v["ran"] = f.ran
	}
	if f.software != nil {
		v.Set("software_service", f.software.Service)
		v.Set("software", f.software.Version)
	}
	return v.Encode()
}

// decodeForwardResult decodes the value of forwardResultHeader.
func decodeForwardResult(value string) (*forwardResult, error) {
	v, err := url.ParseQuery(value)
	if err != nil {
		return nil, eris.Wrap(err, "decode the result of a forwarded request")
	}
	sends, err := strconv.Atoi(v.Get("sends"))
	if err != nil || sends < 0 || len(v["ran"]) > maxForwardedServers {
		return nil, eris.New("result of a forwarded request is malformed")
	}
	f := &forwardResult{generated: v.Has("generated"), retry: v.Has("retry"), cut: v.Has("cut"), stops: v.Has("stops"), ran: v["ran"], sends: sends}
	if v.Has("software_service") {
		f.software = &dispatch.Software{Service: v.Get("software_service"), Version: v.Get("software")}
	}
	return f, nil
}

// forwardedServers lists servers for a header. An instance that may have run the request counts as one.
func forwardedServers(servers map[string]bool) []string {
	list := slices.Sorted(maps.Keys(servers))
	return list[:min(len(list), maxForwardedServers)]
}

// forwardHeaders returns the headers of a client's request to pass on to another instance.
func (c *call) forwardHeaders(from http.Header, lastEventID string) http.Header {
	h := c.gateway.dialect.StripHopByHop(from)
	now := time.Now()
	f := forwardedRequest{
		from: c.gateway.instance, document: c.gateway.routing.Load().documentVersion(), service: c.service.Name,
		elapsed: max(0, now.Sub(c.startedAt)), left: max(0, c.deadline.Sub(now)-forwardMargin), ran: forwardedServers(c.ranServers), software: c.software.Load(), decision: c.forwardDecision(),
	}
	if lastEventID != c.request.LastEventID {
		f.lastEvent = lastEventID
	}
	if at := c.lastEventAt.Load(); at != 0 {
		f.sinceEvent = max(time.Microsecond, now.Sub(fromMonotonic(at)))
	}
	h.Set(forwardHeader, f.encode())
	h.Del(forwardResultHeader)
	return h
}

// forwardMargin is what a forwarded request has less time for than at its own instance, so that
// the response returns before the deadline.
const forwardMargin = 10 * time.Millisecond
