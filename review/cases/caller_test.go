package cases

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"time"
)

// Answer is what a caller got for one request.
type Answer struct {
	ID         string
	SentAt     time.Time
	AnsweredAt time.Time
	// Status is 0 if the connection ended without the head of an answer.
	Status int
	Header http.Header
	Body   []byte
	// Complete is true if the answer arrived whole.
	Complete bool
	Err      error
}

// Call is one request of a caller.
type Call struct {
	ID, Method, Path string
	Header           map[string]string
	Body             []byte
	Timeout          time.Duration
}

// Host is the host name of all routes.
const Host = "quotes.example"

// Send sends a request to a daemon on a connection of its own, without retries.
func Send(address string, call Call) Answer {
	a := Answer{ID: call.ID, SentAt: time.Now()}
	req, err := http.NewRequest(call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		a.Err = err
		return a
	}
	req.Host = Host
	req.Header.Set("X-Request-Id", call.ID)
	for k, v := range call.Header {
		req.Header.Set(k, v)
	}
	tr := &http.Transport{
		DisableKeepAlives: true, DisableCompression: true,
		DialContext: (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := &http.Client{Transport: tr, Timeout: call.Timeout}
	resp, err := client.Do(req)
	if err != nil {
		a.Err, a.AnsweredAt = err, time.Now()
		return a
	}
	defer resp.Body.Close()
	a.Status, a.Header = resp.StatusCode, resp.Header
	a.Body, a.Err = io.ReadAll(resp.Body)
	a.Complete, a.AnsweredAt = a.Err == nil, time.Now()
	return a
}

// Config returns a configuration with a streaming, an unsafe and a safe route, as on karamu-quotes.
func Config(version int64) map[string]any {
	return map[string]any{
		"version": version,
		"routes": []map[string]any{
			{
				"name": "rewrite", "hostname": Host, "pathPrefix": "/rewrite/", "type": "streaming", "timeoutMs": 25000, "targetLatencyMs": 2000,
				"targetGapMs": 1000, "priority": 0, "service": "quote-writer", "maxAttempts": 3, "public": false, "sticky": true, "resumable": true,
			},
			{
				"name": "deposit", "hostname": Host, "pathPrefix": "/deposit/", "type": "unsafe", "timeoutMs": 1500, "targetLatencyMs": 300,
				"priority": 2, "service": "booking-desk", "maxAttempts": 1, "public": false,
			},
			{
				"name": "price", "hostname": Host, "pathPrefix": "/price/", "type": "safe", "timeoutMs": 1500, "targetLatencyMs": 300,
				"priority": 2, "service": "booking-desk", "maxAttempts": 2, "public": false,
			},
		},
		"services": []map[string]any{
			{"name": "quote-writer", "healthPath": "/healthz", "maxConns": 290},
			{"name": "booking-desk", "healthPath": "/healthz", "maxConns": 96},
		},
		"limits":  map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 4194304, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants": []map[string]any{{"name": "caterer", "apiKeys": []string{Key}, "priority": 1}},
	}
}

// Key is the key of the only tenant.
const Key = "n2ctnfzs989anu6wsjnb"
