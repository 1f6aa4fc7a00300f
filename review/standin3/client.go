package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// request is what a client sends, and answer what it gets.
type request struct {
	id, method, target, host, key, body string
	header                              string // further lines
	deadline                            time.Duration
}

type answer struct {
	status int
	body   string
	header http.Header
	err    error
}

// client keeps one connection to a gateway.
type client struct {
	g    *gateway
	conn net.Conn
	r    *bufio.Reader
}

func (r *request) text() string {
	key := ""
	if r.key != "" {
		key = "Credential: " + r.key + "\r\n"
	}
	length := ""
	if r.method == http.MethodPost {
		length = fmt.Sprintf("Content-Length: %d\r\n", len(r.body))
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s%s%s\r\n%s",
		r.method, r.target, r.host, r.id, r.deadline.Milliseconds(), key, length, r.header, r.body)
}

// do sends a request on the kept connection, or on a new one, and reads its answer.
func (c *client) do(r *request) answer {
	if c.conn == nil {
		conn, err := c.g.dial()
		if err != nil {
			return answer{err: err}
		}
		c.conn, c.r = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(r.deadline + time.Second))
	if _, err := io.WriteString(c.conn, r.text()); err != nil {
		c.close()
		return answer{err: err}
	}
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	if err != nil {
		c.close()
		return answer{err: err}
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil || resp.Close {
		c.close()
	}
	return answer{status: resp.StatusCode, body: string(body), header: resp.Header, err: err}
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
