package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// member is one entry of the list of upstreams, in the form of the protocol page.
type member struct {
	ID        string  `json:"id"`
	HostPort  string  `json:"host_port"`
	Locality  string  `json:"locality"`
	Flavor    string  `json:"flavor"`
	Cell      int     `json:"cell"`
	Phase     string  `json:"phase"`
	Size      float64 `json:"size"`
	UpSinceMS float64 `json:"up_since_ms"`
}

type update struct {
	Revision int      `json:"revision"`
	Complete bool     `json:"complete"`
	Members  []member `json:"members"`
}

// discovery answers GET /api/targets with the whole list, at once and always. Watches stay open and get an empty
// line every 2 s.
type discovery struct {
	listener net.Listener
	mu       sync.Mutex
	list     update
}

func startDiscovery(list update) *discovery {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	check(err)
	d := &discovery{listener: listener, list: list}
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go d.serve(c)
		}
	}()
	return d
}

func (d *discovery) address() string { return d.listener.Addr().String() }

func (d *discovery) serve(c net.Conn) {
	defer c.Close()
	request, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	d.mu.Lock()
	text, _ := json.Marshal(d.list)
	d.mu.Unlock()
	if !strings.Contains(request.URL.RawQuery, "follow=1") {
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(text), text)
		return
	}
	fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\n\r\n", len(text)+1, text)
	for {
		time.Sleep(2 * time.Second)
		if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
			return
		}
	}
}
