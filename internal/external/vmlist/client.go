package vmlist

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/pollencourse/pollencourse/internal/core/fault"
)

// Kind says what a VM runs.
type Kind string

// The kinds of VMs.
const (
	Entry   Kind = "entry"
	Engine  Kind = "engine"
	Service Kind = "service"
)

// VM is one VM in the platform's list.
type VM struct {
	ID      string `json:"id"`
	Kind    Kind   `json:"kind"`
	Leaving bool   `json:"leaving,omitempty"`
	// Gone is true if the VM no longer exists; clients that read only changes learn it from this entry.
	Gone             bool   `json:"gone,omitempty"`
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
	// Address accepts callers' requests on an entry VM, and orders and requests on a backend server.
	Address string `json:"address"`
	// PeerAddress accepts connections of other daemons; empty if the VM is not an entry VM.
	PeerAddress string `json:"peerAddress,omitempty"`
	// Serves lists the versions or the service that a backend server offers.
	Serves []string `json:"serves,omitempty"`
	// ChecksFencing is true if the engine rejects orders with an old fencing number.
	ChecksFencing bool `json:"checksFencing,omitempty"`
	// Revision is the revision of the list when this VM last changed.
	Revision int64 `json:"revision"`
}

// Snapshot is the list at a revision. A snapshot from [Client.Fetch] holds only the VMs that changed after the revision
// given to Fetch.
type Snapshot struct {
	Revision int64 `json:"revision"`
	VMs      []VM  `json:"vms"`
}

// Client reads the VM list over HTTP.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the VM list at url; timeout bounds each call.
func New(url string, timeout time.Duration) *Client {
	return &Client{url: url, http: &http.Client{Timeout: timeout}}
}

// Fetch returns the VMs that changed after a revision; changed is false if there are none.
func (c *Client) Fetch(ctx context.Context, after int64) (snap Snapshot, changed bool, err error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url+"?after="+strconv.FormatInt(after, 10), nil)
	if err != nil {
		return Snapshot{}, false, err
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return Snapshot{}, false, unavailableError(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode == http.StatusNotModified {
		return Snapshot{}, false, nil
	}
	if resp.StatusCode != http.StatusOK {
		return Snapshot{}, false, unavailableError(errors.Newf("the VM list responded with status %s", resp.Status))
	}
	if err := json.NewDecoder(resp.Body).Decode(&snap); err != nil {
		return Snapshot{}, false, unavailableError(err)
	}
	return snap, true, nil
}

func unavailableError(err error) error {
	return fault.New(fault.Unavailable, "check the platform's VM list; the last one that was read stays in use", "the VM list is unavailable").WithCause(err)
}
