package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pollencourse/pollencourse/internal/app/daemon"
	"github.com/pollencourse/pollencourse/internal/core/event"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/core/settings"
	"github.com/pollencourse/pollencourse/internal/edge/operator"
	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/standin/world"
)

// fleet holds the running daemons of the demo.
type fleet struct {
	callerAddresses   []string
	operatorAddresses []string
	stop              context.CancelFunc
	running           sync.WaitGroup
}

// settingsText returns the settings of one daemon as an INI file.
func settingsText(id string, z world.Zone, platform string) []byte {
	return fmt.Appendf(nil, `[daemon]
id = %s
region = %s
availabilityZone = %s
callerAddress = 127.0.0.1:0
peerAddress = 127.0.0.1:0
operatorAddress = 127.0.0.1:0

[platform]
store = %[4]s
vmList = %[4]s/v1/vms
rater = %[4]s/v1/ratings
vmListInterval = 200ms

[session]
keys = demo-session-key-1

[fleet]
heartbeatInterval = 200ms
entriesLifetime = 0s
chargeFlush = 200ms
`, id, z.Region, z.AvailabilityZone, platform)
}

// startFleet starts one daemon in each availability zone and adds it to the VM list.
func startFleet(ctx context.Context, w *world.Environment) (*fleet, error) {
	ctx, stop := context.WithCancel(ctx)
	f := &fleet{stop: stop}
	for i, z := range zones() {
		id := fmt.Sprintf("entry-%d", i+1)
		cfg, err := settings.Parse(id+".ini", settingsText(id, z, w.PlatformURL))
		if err != nil {
			stop()
			return nil, err
		}
		ls, err := daemon.Listen(cfg)
		if err != nil {
			stop()
			return nil, err
		}
		w.VMList.Set(vmlist.VM{
			ID: id, Kind: vmlist.Entry, Region: z.Region, AvailabilityZone: z.AvailabilityZone,
			Address: ls.Caller.Addr().String(), PeerAddress: ls.Peer.Addr().String(),
		})
		f.callerAddresses = append(f.callerAddresses, ls.Caller.Addr().String())
		f.operatorAddresses = append(f.operatorAddresses, ls.Operator.Addr().String())
		d := daemon.New(cfg, ls, event.Discard())
		f.running.Go(func() { _ = d.Run(ctx) })
	}
	return f, nil
}

// close stops all daemons and waits for them.
func (f *fleet) close() {
	f.stop()
	f.running.Wait()
}

const maxMemberChecks = 50

// applyTemplate stores the template once the first daemon knows all others, at the latest after maxMemberChecks checks,
// and waits until the template is in force on all daemons.
func (f *fleet) applyTemplate(ctx context.Context) (operator.Applied, error) {
	url := "http://" + f.operatorAddresses[0] + "/v1/templates/" + templateName + "?wait=5s&by=demo"
	var out operator.Applied
	for range maxMemberChecks {
		if f.memberCount(ctx) == len(f.operatorAddresses) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, url, bytes.NewReader(templateText()))
	if err != nil {
		return out, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return out, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.StatusCode != http.StatusOK {
		return out, fault.New(fault.Internal, "see the response in the message", "template was not accepted: %s", body)
	}
	return out, json.Unmarshal(body, &out)
}

// memberCount returns the number of daemons that the first daemon knows, itself included.
func (f *fleet) memberCount(ctx context.Context) int {
	var out operator.Status
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+f.operatorAddresses[0]+"/v1/status", nil)
	if err != nil {
		return 0
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	if json.NewDecoder(resp.Body).Decode(&out) != nil {
		return 0
	}
	return len(out.Daemons)
}
