package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upstreamEvent is one line that an upstream stand-in writes to its standard output.
type upstreamEvent struct {
	AtMS     float64 `json:"at"` // Unix time in ms
	Upstream string  `json:"up"`
	Event    string  `json:"ev"` // begin: first byte of a request; whole: its last byte; answered; broken; unreadable
	ID       string  `json:"id"`
	Bytes    int64   `json:"bytes"`
	Told     string  `json:"told"` // X-Remaining, with the event begin; the first bytes, with unreadable
}

func nowMS() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// runUpstream serves requests as the protocol page describes. It runs as a process of its own.
// The arguments are the address, the name, and for each class "class=milliseconds of work" or
// "class=milliseconds of work:bytes of the answer". "rate=N" limits how fast it reads a body, to N bytes per ms.
func runUpstream(args []string) {
	work := map[string]time.Duration{}
	size := map[string]int{}
	for _, arg := range args[2:] {
		class, text, _ := strings.Cut(arg, "=")
		ms, bytes, _ := strings.Cut(text, ":")
		n, err := strconv.Atoi(ms)
		check(err)
		work[class] = time.Duration(n) * time.Millisecond
		if bytes != "" {
			size[class], err = strconv.Atoi(bytes)
			check(err)
		}
	}
	u := &upstream{name: args[1], work: work, size: size, rate: int64(work["rate"] / time.Millisecond)}
	listener, err := net.Listen("tcp", args[0])
	check(err)
	fmt.Println("listening")
	for {
		c, err := listener.Accept()
		if err != nil {
			continue
		}
		go u.serve(c)
	}
}

type upstream struct {
	name string
	work map[string]time.Duration
	size map[string]int
	rate int64 // bytes per ms; 0: not limited
	mu   sync.Mutex
}

func (u *upstream) log(event, id string, bytes int64) {
	u.write(upstreamEvent{nowMS(), u.name, event, id, bytes, ""})
}

// serve serves the requests of one connection.
func (u *upstream) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReaderSize(c, 64<<10)
	for {
		c.SetReadDeadline(time.Now().Add(15 * time.Second))
		if _, err := r.Peek(1); err != nil {
			return
		}
		begun := nowMS()
		first, _ := r.Peek(min(r.Buffered(), 48))
		text := fmt.Sprintf("%q", first)
		request, err := http.ReadRequest(r)
		if err != nil {
			u.write(upstreamEvent{begun, u.name, "unreadable", "", 0, text})
			return
		}
		id := request.Header.Get("X-Txn")
		u.write(upstreamEvent{begun, u.name, "begin", id, 0, request.Header.Get("X-Remaining")})
		n, err := u.readBody(request.Body)
		if err != nil {
			u.log("broken", id, n)
			return
		}
		u.log("whole", id, n)
		class := request.Header.Get("X-Lane")
		time.Sleep(u.work[class])
		body := "answer to " + id
		if more := u.size[class] - len(body); more > 0 {
			body += strings.Repeat(".", more)
		}
		_, err = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		if err != nil {
			u.log("broken", id, n)
			return
		}
		u.log("answered", id, n)
	}
}

// readBody reads a body at the limited rate.
func (u *upstream) readBody(body io.Reader) (int64, error) {
	if u.rate == 0 {
		return io.Copy(io.Discard, body)
	}
	begun := time.Now()
	total := int64(0)
	for {
		n, err := io.CopyN(io.Discard, body, 8<<10)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		time.Sleep(time.Until(begun.Add(time.Duration(total/u.rate) * time.Millisecond)))
	}
}

func (u *upstream) write(e upstreamEvent) {
	line, _ := json.Marshal(e)
	u.mu.Lock()
	defer u.mu.Unlock()
	os.Stdout.Write(append(line, '\n'))
}
