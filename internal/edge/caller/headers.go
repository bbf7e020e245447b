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

// Headers that callers send and get.
const (
	RequestIDHeader = "Pollencourse-Request-Id"
	SessionHeader   = "Pollencourse-Session"
	TemplateHeader  = "Pollencourse-Template"
	ClassHeader     = "Pollencourse-Class"
	DeadlineHeader  = "Pollencourse-Deadline"
	PriorityHeader  = "Pollencourse-Priority"
	SettleHeader    = "Pollencourse-May-Settle"
	VersionHeader   = "Pollencourse-Version"
	AttemptsHeader  = "Pollencourse-Attempts"
	RecordedHeader  = "Pollencourse-Recorded"
	idempotencyKey  = "Idempotency-Key"
	newSession      = "new"
	defaultClass    = "default"
	maxRequestID    = 128
)

// requestID returns the caller's ID, or a new one and false.
func requestID(r *http.Request) (id string, own bool, err error) {
	id = r.Header.Get(RequestIDHeader)
	if id == "" {
		id = r.Header.Get(idempotencyKey)
	}
	if id == "" {
		return uuid.NewString(), false, nil
	}
	printable := strings.IndexFunc(id, func(c rune) bool { return c < '!' || c > '~' }) < 0
	if len(id) > maxRequestID || !printable {
		return "", false, fault.New(fault.BadRequest, "use up to 128 printable characters without spaces", "%s is not valid", RequestIDHeader)
	}
	return id, true, nil
}

// policyOf finds the policy of the caller's account.
func policyOf(cfg Config, r *http.Request) (*template.Policy, error) {
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok || key == "" {
		return nil, fault.New(fault.Unauthorized, "send Authorization: Bearer KEY", "no key was sent")
	}
	policies := cfg.Policies(template.HashKey(key))
	if len(policies) == 0 {
		return nil, fault.New(fault.Unauthorized, "ask the operators to add the key to a template", "the key is not known")
	}
	name := r.Header.Get(TemplateHeader)
	if name == "" && len(policies) == 1 {
		return policies[0], nil
	}
	i := slices.IndexFunc(policies, func(p *template.Policy) bool { return p.Template == name })
	if i < 0 {
		return nil, fault.New(fault.NotFound, "name one of the account's templates in "+TemplateHeader, "template %q is not one of the account's %d", name, len(policies))
	}
	return policies[i], nil
}

// classOf returns the class that the caller names, the one named "default", or the only one.
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
	return template.Class{}, fault.New(fault.BadRequest, "name a class of the template in "+ClassHeader, "class %q is not in template %s", name, p.Template)
}

// deadlineOf returns when the answer is due: the caller's wish, within the class's bound.
func deadlineOf(r *http.Request, bound time.Duration) (time.Time, error) {
	text := r.Header.Get(DeadlineHeader)
	if text == "" {
		return time.Now().Add(bound), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return time.Time{}, fault.New(fault.BadRequest, "send a duration such as 2s", "%s %q is not valid", DeadlineHeader, text)
	}
	return time.Now().Add(min(d, bound)), nil
}

// priorityOf returns the caller's priority, which can only be lower than the class's.
func priorityOf(r *http.Request, bound int) (int, error) {
	text := r.Header.Get(PriorityHeader)
	if text == "" {
		return bound, nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 {
		return 0, fault.New(fault.BadRequest, "send a whole number from 0 to 9", "%s %q is not valid", PriorityHeader, text)
	}
	return min(n, bound), nil
}

// sessionVersion returns the version that the caller's session has, if it has one here.
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
		return "", fault.New(fault.BadRequest, "start a session with \"new\"", "the session belongs to another account or template")
	}
	return t.Version, nil
}
