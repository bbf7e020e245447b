package caller

import (
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/pollencourse/pollencourse/internal/config/template"
	"github.com/pollencourse/pollencourse/internal/core/fault"
	"github.com/pollencourse/pollencourse/internal/edge/session"
)

// Headers of requests and responses, and the values and limits that apply to them.
const (
	RequestIDHeader = "Pollencourse-Request-Id"
	SessionHeader   = "Pollencourse-Session"
	TemplateHeader  = "Pollencourse-Template"
	ClassHeader     = "Pollencourse-Class"
	// DeadlineHeader holds the time left as a duration such as 2s, not a point in time.
	DeadlineHeader = "Pollencourse-Deadline"
	// PriorityHeader holds a number from 0 to 9; the highest is served first, unlike on the users' platform.
	PriorityHeader = "Pollencourse-Priority"
	// MaySettleHeader is "true" if the caller settles for a cheaper answer when capacity is short.
	MaySettleHeader      = "Pollencourse-May-Settle"
	VersionHeader        = "Pollencourse-Version"
	AttemptsHeader       = "Pollencourse-Attempts"
	RecordedHeader       = "Pollencourse-Recorded"
	idempotencyKeyHeader = "Idempotency-Key"
	newSession           = "new"
	defaultClass         = "default"
	maxRequestIDBytes    = 128
)

// requestID returns the request ID that the caller chose, or a generated one; callerChose tells which.
func requestID(r *http.Request) (id string, callerChose bool, err error) {
	id = r.Header.Get(RequestIDHeader)
	if id == "" {
		id = r.Header.Get(idempotencyKeyHeader)
	}
	if id == "" {
		return uuid.NewString(), false, nil
	}
	printable := strings.IndexFunc(id, func(c rune) bool { return c < '!' || c > '~' }) < 0
	if len(id) > maxRequestIDBytes || !printable {
		return "", false, fault.New(fault.BadRequest, "send up to 128 printable ASCII characters without spaces, or omit the header to get a generated ID", "the request ID in %s or Idempotency-Key is longer than 128 bytes or has a space or a character that is not printable ASCII", RequestIDHeader)
	}
	return id, true, nil
}

// policyOf returns the policy for the caller's key and for the template that it names, if any.
func policyOf(cfg Config, r *http.Request) (*template.Policy, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, fault.New(fault.Unauthorized, "send the header Authorization: Bearer KEY", "no API key was sent")
	}
	policies := cfg.Policies(template.HashKey(key))
	if len(policies) == 0 {
		return nil, fault.New(fault.Unauthorized, "check the key, or ask the operators to add it to a template", "the API key is in no template in force")
	}
	name := r.Header.Get(TemplateHeader)
	if name == "" && len(policies) == 1 {
		return policies[0], nil
	}
	i := slices.IndexFunc(policies, func(p *template.Policy) bool { return p.Template == name })
	if i < 0 {
		return nil, fault.New(fault.NotFound, "name one of the account's templates in "+TemplateHeader, "template %q is not one of the %d templates of the account", name, len(policies))
	}
	return policies[i], nil
}

// classOf returns the class that the caller names. A caller that names none gets the class "default" or, if the template
// has no such class, its only one.
func classOf(p *template.Policy, r *http.Request) (template.Class, error) {
	name := r.Header.Get(ClassHeader)
	if c, ok := p.Classes[name]; ok {
		return c, nil
	}
	if name == "" {
		if c, ok := p.Classes[defaultClass]; ok {
			return c, nil
		}
		if len(p.Classes) == 1 {
			for _, c := range p.Classes {
				return c, nil
			}
		}
	}
	return template.Class{}, fault.New(fault.BadRequest, "name a class of the template in "+ClassHeader, "class %q is not defined in template %s", name, p.Template)
}

// deadlineOf returns the deadline of a request: after the timeout that the caller sends, but at most after maxTimeout.
func deadlineOf(r *http.Request, maxTimeout time.Duration) (time.Time, error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return time.Now().Add(maxTimeout), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return time.Time{}, fault.New(fault.BadRequest, "send a positive duration such as 2s", "%s %q is not a positive duration", DeadlineHeader, text)
	}
	return time.Now().Add(min(d, maxTimeout)), nil
}

// priorityOf returns the priority that the caller sends, but at most maxPriority, which is also the default.
func priorityOf(r *http.Request, maxPriority int) (int, error) {
	text := r.Header.Get(PriorityHeader)
	if text == "" {
		return maxPriority, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, fault.New(fault.BadRequest, "send an integer from 0 to 9", "%s %q is not a non-negative integer", PriorityHeader, text)
	}
	return min(n, maxPriority), nil
}

// sessionVersion returns the version of the caller's session; empty without a session or for a new one.
func sessionVersion(s *session.Signer, p *template.Policy, r *http.Request) (string, error) {
	text := r.Header.Get(SessionHeader)
	if text == "" || text == newSession {
		return "", nil
	}
	t, err := s.Verify(text)
	if err != nil {
		return "", err
	}
	if t.Template != p.Template || t.Account != p.Account {
		return "", fault.New(fault.BadRequest, "send \"new\" in Pollencourse-Session to start a session", "the session belongs to another account or template")
	}
	return t.Version, nil
}
