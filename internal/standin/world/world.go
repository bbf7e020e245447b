package world

import (
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/pollencourse/pollencourse/internal/external/vmlist"
	"github.com/pollencourse/pollencourse/internal/standin/booking"
	"github.com/pollencourse/pollencourse/internal/standin/engine"
	"github.com/pollencourse/pollencourse/internal/standin/platform"
)

// Zone names an availability zone and its region.
type Zone struct {
	Region           string `json:"region"`
	AvailabilityZone string `json:"availabilityZone"`
}

// EngineGroup is a group of engines of one spec in an availability zone.
type EngineGroup struct {
	Zone  Zone        `json:"zone"`
	Count int         `json:"count"`
	Spec  engine.Spec `json:"spec"`
}

// BookingGroup is a group of booking servers of one service in an availability zone.
type BookingGroup struct {
	Zone    Zone   `json:"zone"`
	Count   int    `json:"count"`
	Service string `json:"service"`
}

// Layout lists the stand-ins to start.
type Layout struct {
	Engines     []EngineGroup  `json:"engines"`
	Bookings    []BookingGroup `json:"bookings"`
	RatingDelay time.Duration  `json:"ratingDelay"`
}

// Environment is a running set of stand-ins. Engines and Bookings map the IDs of the VMs to their addresses.
type Environment struct {
	PlatformURL string                     `json:"platformURL"`
	Engines     map[string]string          `json:"engines"`
	Bookings    map[string]string          `json:"bookings"`
	VMs         []vmlist.VM                `json:"vms"`
	Store       *platform.Store            `json:"-"`
	VMList      *platform.VMList           `json:"-"`
	EngineByID  map[string]*engine.Engine  `json:"-"`
	BookingByID map[string]*booking.Server `json:"-"`

	servers []*http.Server
}

// Start starts all stand-ins of a layout.
func Start(layout Layout) (*Environment, error) {
	w := &Environment{
		Engines: map[string]string{}, Bookings: map[string]string{},
		EngineByID: map[string]*engine.Engine{}, BookingByID: map[string]*booking.Server{},
		Store: platform.NewStore(), VMList: platform.NewVMList(),
	}
	if err := w.startPlatform(layout); err != nil {
		return nil, err
	}
	for _, g := range layout.Engines {
		if err := w.startEngines(g); err != nil {
			return nil, err
		}
	}
	for _, g := range layout.Bookings {
		if err := w.startBookings(g); err != nil {
			return nil, err
		}
	}
	for _, vm := range w.VMs {
		w.VMList.Set(vm)
	}
	return w, nil
}

func (w *Environment) startPlatform(layout Layout) error {
	mux := http.NewServeMux()
	w.Store.Register(mux)
	w.VMList.Register(mux)
	(&platform.Rater{Delay: layout.RatingDelay}).Register(mux)
	addr, err := w.serve(mux)
	w.PlatformURL = "http://" + addr
	return err
}

func (w *Environment) startEngines(g EngineGroup) error {
	for range g.Count {
		e := engine.New(g.Spec)
		addr, err := w.serve(e.Handler())
		if err != nil {
			return err
		}
		id := fmt.Sprintf("engine-%d", len(w.Engines)+1)
		w.Engines[id], w.EngineByID[id] = addr, e
		vm := w.backendVM(id, vmlist.Engine, g.Zone, addr)
		for v := range g.Spec.Serves {
			vm.Serves = append(vm.Serves, v)
		}
		vm.ChecksFencing = g.Spec.ChecksFencing
		w.VMs = append(w.VMs, vm)
	}
	return nil
}

func (w *Environment) startBookings(g BookingGroup) error {
	for range g.Count {
		b := booking.New()
		addr, err := w.serve(b.Handler())
		if err != nil {
			return err
		}
		id := fmt.Sprintf("booking-%d", len(w.Bookings)+1)
		w.Bookings[id], w.BookingByID[id] = addr, b
		vm := w.backendVM(id, vmlist.Service, g.Zone, addr)
		vm.Serves = []string{g.Service}
		w.VMs = append(w.VMs, vm)
	}
	return nil
}

func (w *Environment) backendVM(id string, kind vmlist.Kind, z Zone, addr string) vmlist.VM {
	return vmlist.VM{ID: id, Kind: kind, Region: z.Region, AvailabilityZone: z.AvailabilityZone, Address: addr}
}

func (w *Environment) serve(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	srv := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	w.servers = append(w.servers, srv)
	go func() { _ = srv.Serve(l) }()
	return l.Addr().String(), nil
}

// Close stops all stand-ins.
func (w *Environment) Close() {
	for _, s := range w.servers {
		_ = s.Close()
	}
}
