package platform

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/pollencourse/pollencourse/internal/external/vmlist"
)

// VMList is the stand-in for the VM list.
type VMList struct {
	mu       sync.Mutex
	revision int64
	vms      map[string]vmlist.VM
	// down closes the connection of every call that reads the list.
	down bool
}

// NewVMList returns an empty list.
func NewVMList() *VMList { return &VMList{vms: map[string]vmlist.VM{}} }

// Set adds or replaces a VM.
func (l *VMList) Set(vm vmlist.VM) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision++
	vm.Revision = l.revision
	l.vms[vm.ID] = vm
}

// Register adds the list's API, and its contents and fault under /control/, to a mux.
func (l *VMList) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET /v1/vms", l.handleList)
	mux.HandleFunc("POST /control/vms", l.handleSet)
	mux.HandleFunc("POST /control/vmlist", l.handleControl)
}

func (l *VMList) handleList(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.FormValue("after"), 10, 64)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down {
		panic(http.ErrAbortHandler)
	}
	if after >= l.revision {
		w.WriteHeader(http.StatusNotModified)
		return
	}
	snap := vmlist.Snapshot{Revision: l.revision}
	for _, vm := range l.vms {
		if vm.Revision > after {
			snap.VMs = append(snap.VMs, vm)
		}
	}
	slices.SortFunc(snap.VMs, func(a, b vmlist.VM) int { return strings.Compare(a.ID, b.ID) })
	writeJSON(w, snap)
}

func (l *VMList) handleSet(w http.ResponseWriter, r *http.Request) {
	var vm vmlist.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil || vm.ID == "" {
		http.Error(w, "send a VM with an id", http.StatusBadRequest)
		return
	}
	l.Set(vm)
}

func (l *VMList) handleControl(w http.ResponseWriter, r *http.Request) {
	var f struct {
		Down bool `json:"down"`
	}
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = f.Down
}
