package stage

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// request is one client attempt.
type request struct {
	method, path, id, key string
	deadline              time.Duration
	// fields are further header lines, each with its end.
	fields string
}

// reply is what a client got for one attempt.
type reply struct {
	status int
	header http.Header
	body   string
	// whole is true if the answer was received to its end.
	whole bool
	err   error
}

// callerConn is a kept connection of a client.
type callerConn struct {
	conn net.Conn
	r    *bufio.Reader
}

func dialFront(d *daemon) (*callerConn, error) {
	c, err := net.DialTimeout("tcp4", d.ip+":8227", time.Second)
	if err != nil {
		return nil, err
	}
	return &callerConn{c, bufio.NewReader(c)}, nil
}

// send sends a request and reads its answer to the end.
func (c *callerConn) send(q request) reply {
	_ = c.conn.SetDeadline(time.Now().Add(q.deadline + time.Second))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Request-Deadline: %d\r\nApi-Key: %s\r\n%s", q.method, q.path, hostName, q.id,
		q.deadline.Milliseconds(), q.key, q.fields)
	if q.method == http.MethodPost {
		head += "Content-Length: 2\r\n\r\n{}"
	} else {
		head += "\r\n"
	}
	if _, err := io.WriteString(c.conn, head); err != nil {
		return reply{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: q.method})
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(body), whole: err == nil, err: err}
}

func (c *callerConn) close() { _ = c.conn.Close() }

// sendOnce sends a request on a new connection.
func sendOnce(d *daemon, q request) reply {
	c, err := dialFront(d)
	if err != nil {
		return reply{err: err}
	}
	defer c.close()
	return c.send(q)
}

// lastEvent returns the ID of the last whole event of a stream's body; 0 if there is none.
func lastEvent(body string) int {
	events := strings.Split(body, "\n\n")
	last := 0
	for _, e := range events[:len(events)-1] {
		for _, line := range strings.Split(e, "\n") {
			if v, ok := strings.CutPrefix(line, "id: "); ok {
				last, _ = strconv.Atoi(v)
			}
		}
	}
	return last
}

var errNoReply = errors.New("no answer")
