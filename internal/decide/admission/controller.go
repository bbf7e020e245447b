package admission

import (
	"context"
	"sync"
	"time"
)

// Job describes a request to a service whose servers are known by estimates only.
type Job struct {
	Service string
	// Class groups requests with similar processing times.
	Class   string
	Account string
	// Priority is the configured one; 0 is the most urgent.
	Priority int
	// Plain is true for a service without engine, whose slots are decisive.
	Plain     bool
	Deadline  time.Time
	Target    time.Duration
	RepeatKey string
}

// Estimate is what is known of the servers that may take a request.
type Estimate struct {
	// Expected is the least expected time to first chunk, Idle the least that a server without other work would take.
	Expected time.Duration
	Idle     time.Duration
	// FreeSlots is the number of free slots of a plain service.
	FreeSlots int
	// None is true if no server takes requests at present; waiting would not help.
	None bool
}

// Wait says how a request waited.
type Wait struct {
	Waited time.Duration
	// Ahead is how many requests waited when it arrived.
	Ahead int
}

// Controller decides for each service whether a request is sent, waits or is refused.
type Controller struct {
	mu      sync.Mutex
	queues  map[string]*Queue
	classes map[string]*class
}

// class holds what the responses of one class have shown.
type class struct {
	firstChunks int
	// serviceTime is the smoothed time of a whole response.
	serviceTime time.Duration
}

const (
	// minFirstChunks is the number of responses of a class from which its estimates count.
	minFirstChunks = 8
	// serviceTimeSmoothing is the weight of the newest response in the service time of a class.
	serviceTimeSmoothing = 0.05
	// maxServiceTimeShare bounds the expected service time as a share of the time left, since answers of one class differ
	// much in length and a request with a short one would still end in time.
	maxServiceTimeShare = 0.75
	// plainTimeMargin times the mean time of a plain call is the time within which most of them end.
	plainTimeMargin = 1.25
)

// NewController returns a controller without any request.
func NewController() *Controller {
	return &Controller{queues: map[string]*Queue{}, classes: map[string]*class{}}
}

// Admit returns nil if the job may be sent, or an error that wraps a [Refusal] or ctx's error. It calls estimate until the
// servers can take the job, then reserve.
func (c *Controller) Admit(ctx context.Context, job Job, estimate func() Estimate, reserve func()) (Wait, error) {
	q, cl := c.lookUp(job)
	if job.Target <= 0 || cl.firstChunks < minFirstChunks {
		return Wait{}, nil
	}
	try := func(t turn) bool {
		ok := t.force || estimate().admits(job, t.waited)
		if ok {
			reserve()
		}
		return ok
	}
	now := time.Now()
	wait := Wait{Ahead: q.Len()}
	err := q.wait(ctx, Request{
		Account: job.Account, Weight: 1, Priority: -job.Priority, Deadline: job.Deadline, Target: job.Target, RepeatKey: job.RepeatKey,
		ServiceTime: min(cl.serviceTime, time.Duration(maxServiceTimeShare*float64(job.Deadline.Sub(now)))), FirstChunkTime: cl.firstChunkTime(job),
	}, try, never)
	wait.Waited = time.Since(now)
	return wait, err
}

// never is the signal of changes of a controller's queues: recordFirstChunk and wakeHead wake their heads.
func never() <-chan struct{} { return nil }

// lookUp returns the queue of the job's service and a copy of what is known of its class.
func (c *Controller) lookUp(job Job) (*Queue, class) {
	c.mu.Lock()
	defer c.mu.Unlock()
	q := c.queues[job.Service]
	if q == nil {
		q = NewQueue()
		c.queues[job.Service] = q
	}
	if cl := c.classes[job.Class]; cl != nil {
		return q, *cl
	}
	return q, class{}
}

// firstChunkTime is the time to first chunk of a request that is sent from the queue: for a plain call, that of the whole
// response.
func (cl class) firstChunkTime(job Job) time.Duration {
	if job.Plain && cl.serviceTime > 0 {
		return min(time.Duration(plainTimeMargin*float64(cl.serviceTime)), job.Target)
	}
	return job.Target / 2
}

// admits reports whether a request that has waited for a time is expected to get its first chunk within its target.
//
// A request that has waited long may still be expected after half of its target, or it would never be sent while others
// arrive. One whose own work takes most of the target may exceed it, since waiting can't make its work shorter; if no other
// waits, the target then bounds the work ahead of it.
func (e Estimate) admits(job Job, waited time.Duration) bool {
	target := job.Target
	switch {
	case e.None:
		return true
	case job.Plain:
		return e.FreeSlots > 0
	case waited == 0 && e.Idle > target/2:
		return e.Expected <= e.Idle+target
	case waited == 0:
		return e.Expected <= target
	default:
		return e.Expected <= max(target-waited, target/2, e.Idle+target/4)
	}
}

// FirstChunk records the time to first chunk of a response.
func (c *Controller) FirstChunk(service, className string, took, target time.Duration) {
	c.mu.Lock()
	cl := c.classes[className]
	if cl == nil {
		cl = &class{}
		c.classes[className] = cl
	}
	cl.firstChunks++
	q := c.queues[service]
	c.mu.Unlock()
	if q != nil {
		q.recordFirstChunk(took, target, time.Now())
	}
}

// Ended records the end of an attempt; took is the time of the whole response, 0 if it was not complete.
func (c *Controller) Ended(service, className string, took time.Duration) {
	c.mu.Lock()
	q := c.queues[service]
	if cl := c.classes[className]; cl != nil && took > 0 {
		if cl.serviceTime == 0 {
			cl.serviceTime = took
		}
		cl.serviceTime += time.Duration(serviceTimeSmoothing * float64(took-cl.serviceTime))
	}
	c.mu.Unlock()
	if q != nil {
		q.mu.Lock()
		defer q.mu.Unlock()
		q.wakeHead()
	}
}

// ServiceState is the queue of one service in the dump and the metrics.
type ServiceState struct {
	Waiting      int     `json:"waiting"`
	OldestWaitMs int64   `json:"oldestWaitMs"`
	PerSecond    float64 `json:"perSecond"`
	// ByAccount counts the waiting requests by client account.
	ByAccount map[string]int `json:"byAccount,omitempty"`
}

// State returns the queue of a service.
func (c *Controller) State(service string) ServiceState {
	q, _ := c.lookUp(Job{Service: service})
	return q.state(time.Now())
}

// Dump returns the queue of each service.
func (c *Controller) Dump() any {
	c.mu.Lock()
	defer c.mu.Unlock()
	out := map[string]ServiceState{}
	for service, q := range c.queues {
		out[service] = q.state(time.Now())
	}
	return out
}

func (q *Queue) state(now time.Time) ServiceState {
	q.mu.Lock()
	defer q.mu.Unlock()
	s := ServiceState{Waiting: len(q.waiting), PerSecond: q.rate.perSecond(now)}
	if s.Waiting > 0 {
		s.ByAccount = map[string]int{}
	}
	for _, w := range q.waiting {
		s.ByAccount[w.request.Account]++
		s.OldestWaitMs = max(s.OldestWaitMs, now.Sub(w.enqueuedAt).Milliseconds())
	}
	return s
}
