package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// MaxObjectBytes is the largest body that the store accepts.
const MaxObjectBytes = 1 << 20

// Errors that users of [Client] distinguish; ErrAmbiguous marks an error of kind Unavailable.
var (
	ErrNotFound  = errors.New("object does not exist")
	ErrConflict  = errors.New("object has another version")
	ErrAmbiguous = errors.New("the write may have taken effect")
)

// Object is one stored object; versions are unique and increasing over all objects of the store.
type Object struct {
	Key     string `json:"key"`
	Version int64  `json:"version"`
	Deleted bool   `json:"deleted,omitempty"`
	Body    []byte `json:"body,omitempty"`
}

// Page is one page of a list; Revision is the highest version in the store when the page was read.
type Page struct {
	Items    []Object `json:"items"`
	Revision int64    `json:"revision"`
	More     bool     `json:"more"`
}

// Client calls the store and limits the rate of its calls.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
	limiter *rate.Limiter
	log     *event.Log

	calls       atomic.Int64
	waitedCalls atomic.Int64
	openWatches atomic.Int64
	health      health
}

// health records whether the last call got a response, and when this last changed.
type health struct {
	mu    sync.Mutex
	down  bool
	since time.Time
}

// New returns a client of the store at base that makes at most callsPerSecond calls per second. The timeout bounds each
// call, except that a watch runs until its context ends.
func New(base string, timeout time.Duration, callsPerSecond int, log *event.Log) *Client {
	return &Client{
		base:    strings.TrimSuffix(base, "/"),
		http:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16, MaxConnsPerHost: 64}},
		timeout: timeout,
		limiter: rate.NewLimiter(rate.Limit(callsPerSecond), callsPerSecond),
		log:     log,
	}
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key string) (Object, error) {
	resp, body, err := c.call(ctx, http.MethodGet, c.objectURL(key), nil, nil)
	if err != nil {
		return Object{}, unavailableError(err)
	}
	switch resp.StatusCode {
	case http.StatusOK:
		return Object{Key: key, Version: versionFromETag(resp), Body: body}, nil
	case http.StatusNotFound:
		return Object{}, ErrNotFound
	default:
		return Object{}, unavailableError(errors.Newf("the store responded with status %s", resp.Status))
	}
}

// Create writes a new object and returns its version, or [ErrConflict] if the key exists.
func (c *Client) Create(ctx context.Context, key string, body []byte) (int64, error) {
	return c.write(ctx, http.MethodPut, key, body, "If-None-Match", "*")
}

// Update writes an object and returns its new version, or [ErrConflict] if its current version is not the given one.
func (c *Client) Update(ctx context.Context, key string, body []byte, version int64) (int64, error) {
	return c.write(ctx, http.MethodPut, key, body, "If-Match", etag(version))
}

// Delete removes an object, or returns [ErrConflict] if its version is not the given one.
func (c *Client) Delete(ctx context.Context, key string, version int64) error {
	_, err := c.write(ctx, http.MethodDelete, key, nil, "If-Match", etag(version))
	return err
}

func (c *Client) write(ctx context.Context, method, key string, body []byte, condition, value string) (int64, error) {
	if len(body) > MaxObjectBytes {
		return 0, fault.New(fault.TooLarge, "split it; the store accepts at most 1 MiB", "object %s has %d bytes", key, len(body))
	}
	header := http.Header{condition: {value}}
	resp, _, err := c.call(ctx, method, c.objectURL(key), header, body)
	if err != nil {
		return 0, unavailableError(errors.Mark(err, ErrAmbiguous))
	}
	switch resp.StatusCode {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return versionFromETag(resp), nil
	case http.StatusPreconditionFailed:
		return 0, ErrConflict
	case http.StatusNotFound:
		return 0, ErrNotFound
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return 0, unavailableError(errors.Newf("the store responded with status %s", resp.Status))
	default:
		return 0, unavailableError(errors.Mark(errors.Newf("the store responded with status %s", resp.Status), ErrAmbiguous))
	}
}

// List reads one page of at most limit objects with a prefix, in key order, starting after a key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) (Page, error) {
	return c.listPage(ctx, prefix, after, limit, url.Values{})
}

func (c *Client) listPage(ctx context.Context, prefix, after string, limit int, q url.Values) (Page, error) {
	q.Set("prefix", prefix)
	q.Set("after", after)
	q.Set("limit", strconv.Itoa(limit))
	resp, body, err := c.call(ctx, http.MethodGet, c.base+"/v1/objects?"+q.Encode(), nil, nil)
	if err != nil {
		return Page{}, unavailableError(err)
	}
	if resp.StatusCode != http.StatusOK {
		return Page{}, unavailableError(errors.Newf("the store responded with status %s", resp.Status))
	}
	var p Page
	if err := json.Unmarshal(body, &p); err != nil {
		return Page{}, unavailableError(err)
	}
	return p, nil
}

// ListVersions reads the keys and versions of all objects with a prefix, without their bodies.
func (c *Client) ListVersions(ctx context.Context, prefix string) (Page, error) {
	return c.listAllPages(ctx, prefix, url.Values{"fields": {"version"}})
}

// listPageObjects is the page size of ListAll and ListVersions.
const listPageObjects = 500

// ListAll reads all objects with a prefix; the revision is that of the first page.
func (c *Client) ListAll(ctx context.Context, prefix string) (Page, error) {
	return c.listAllPages(ctx, prefix, url.Values{})
}

func (c *Client) listAllPages(ctx context.Context, prefix string, q url.Values) (Page, error) {
	all := Page{}
	after := ""
	for {
		p, err := c.listPage(ctx, prefix, after, listPageObjects, q)
		if err != nil {
			return Page{}, err
		}
		all.Items = append(all.Items, p.Items...)
		if all.Revision == 0 {
			all.Revision = p.Revision
		}
		if !p.More || len(p.Items) == 0 {
			return all, nil
		}
		after = p.Items[len(p.Items)-1].Key
	}
}

// Watch calls fn for each change of objects with a prefix after a revision, until ctx or the stream ends.
func (c *Client) Watch(ctx context.Context, prefix string, from int64, fn func(Object)) error {
	q := url.Values{"prefix": {prefix}, "from": {strconv.FormatInt(from, 10)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.base+"/v1/watch?"+q.Encode(), nil)
	if err != nil {
		return err
	}
	if err := c.waitForRateLimit(ctx); err != nil {
		return err
	}
	resp, err := c.http.Do(req)
	c.updateHealth(err)
	if err != nil {
		return unavailableError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return unavailableError(errors.Newf("the store responded with status %s", resp.Status))
	}
	c.openWatches.Add(1)
	defer c.openWatches.Add(-1)
	return readEvents(json.NewDecoder(resp.Body), fn)
}

func readEvents(dec *json.Decoder, fn func(Object)) error {
	for {
		var o Object
		if err := dec.Decode(&o); err != nil {
			return unavailableError(err)
		}
		if o.Key != "" {
			fn(o)
		}
	}
}

func (c *Client) call(ctx context.Context, method, target string, header http.Header, body []byte) (*http.Response, []byte, error) {
	if err := c.waitForRateLimit(ctx); err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(body))
	if err != nil {
		return nil, nil, err
	}
	for k, v := range header {
		req.Header[k] = v
	}
	// Keeps the transport from resending a conditional write, which would conflict with its own first sending.
	req.GetBody = nil
	resp, err := c.http.Do(req)
	if err != nil {
		c.updateHealth(err)
		return nil, nil, err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	c.updateHealth(err)
	return resp, data, err
}

func (c *Client) waitForRateLimit(ctx context.Context) error {
	c.calls.Add(1)
	if c.limiter.Allow() {
		return nil
	}
	c.waitedCalls.Add(1)
	return c.limiter.Wait(ctx)
}

// updateHealth records whether a call got a response, and logs when the store becomes unavailable or returns.
func (c *Client) updateHealth(err error) {
	if errors.Is(err, context.Canceled) {
		return
	}
	c.health.mu.Lock()
	defer c.health.mu.Unlock()
	down := err != nil
	if down == c.health.down {
		return
	}
	c.health.down, c.health.since = down, time.Now()
	if down {
		c.log.Emit(event.StoreUnavailable, "error", err.Error())
		return
	}
	c.log.Emit(event.StoreReturned)
}

// Down reports whether the last call got no response, and when this last changed.
func (c *Client) Down() (bool, time.Time) {
	c.health.mu.Lock()
	defer c.health.mu.Unlock()
	return c.health.down, c.health.since
}

// Dump shows the number of calls, of calls that waited for the rate limit and of open watches.
func (c *Client) Dump() any {
	down, since := c.Down()
	return struct {
		Calls       int64     `json:"calls"`
		CallsWaited int64     `json:"callsWaited"`
		Watches     int64     `json:"watches"`
		Down        bool      `json:"down"`
		Since       time.Time `json:"since"`
	}{c.calls.Load(), c.waitedCalls.Load(), c.openWatches.Load(), down, since}
}

func (c *Client) objectURL(key string) string {
	return c.base + "/v1/objects/" + (&url.URL{Path: key}).EscapedPath()
}

func unavailableError(err error) error {
	return fault.New(fault.Unavailable, "check the platform's store; the daemon retries the call", "the platform's store is unavailable").WithCause(err)
}

func etag(version int64) string { return `"` + strconv.FormatInt(version, 10) + `"` }

func versionFromETag(resp *http.Response) int64 {
	n, _ := strconv.ParseInt(strings.Trim(resp.Header.Get("ETag"), `"`), 10, 64)
	return n
}
