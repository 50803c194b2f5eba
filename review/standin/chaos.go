package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func chaos() {
	s := newSite()
	for i := range 5 {
		s.startUpstream(fmt.Sprintf("s-%d", i), "ljubljana", 0, "oddaja=100", "arhiv=150:300000", "porocilo=30:70000")
	}
	mem := 192
	s.startBalancer(mem, 512, settings(1, porocilo(), oddaja(), arhiv()))
	stop := time.Now().Add(60 * time.Second)
	var wg sync.WaitGroup
	var n, bad, ok, late, errs atomic.Int64
	statuses := sync.Map{}
	for w := range 100 {
		wg.Go(func() {
			r := rand.New(rand.NewPCG(uint64(w), 7))
			for time.Now().Before(stop) {
				func() {
					c, err := net.Dial("tcp", s.listen)
					if err != nil {
						time.Sleep(10 * time.Millisecond)
						return
					}
					defer c.Close()
					reader := bufio.NewReader(c)
					for range 1 + r.IntN(6) {
						id := fmt.Sprintf("%016x", n.Add(1))
						rem := []float64{0.02, 0.3, 1, 2}[r.IntN(4)]
						class := []string{"porocilo", "oddaja", "arhiv"}[r.IntN(3)]
						var b strings.Builder
						m := "POST"
						if class == "porocilo" {
							m = "GET"
						}
						fmt.Fprintf(&b, "%s /%s/x HTTP/1.1\r\nHost: o\r\nX-Txn: %s\r\nX-Lane: %s\r\nX-Remaining: %.3f\r\n", m, class, id, class, rem)
						if class == "arhiv" {
							fmt.Fprintf(&b, "Idempotency-Key: %s\r\n", id)
						}
						if r.IntN(8) == 0 && m == "POST" {
							b.WriteString("Expect: 100-continue\r\n")
						}
						if m == "POST" {
							size := []int{0, 100, 60000, 66000, 70000, 100000, 300000, 2000000}[r.IntN(8)]
							if r.IntN(2) == 0 {
								fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", size, strings.Repeat("x", size))
							} else {
								b.WriteString("Transfer-Encoding: chunked\r\n\r\n")
								for left := size; left > 0; {
									k := min(left, 1+r.IntN(20000))
									fmt.Fprintf(&b, "%x\r\n%s\r\n", k, strings.Repeat("x", k))
									left -= k
								}
								b.WriteString("0\r\n\r\n")
							}
						} else {
							b.WriteString("\r\n")
						}
						t := b.String()
						act := r.IntN(20)
						if act == 0 { // half and close
							io.WriteString(c, t[:r.IntN(len(t))])
							if r.IntN(2) == 0 {
								c.(*net.TCPConn).SetLinger(0)
							}
							return
						}
						if act == 1 { // slow
							for len(t) > 0 {
								k := min(len(t), 1+r.IntN(40000))
								if _, err := io.WriteString(c, t[:k]); err != nil {
									return
								}
								t = t[k:]
								time.Sleep(time.Duration(r.IntN(50)) * time.Millisecond)
							}
						} else if _, err := io.WriteString(c, t); err != nil {
							return
						}
						sent := time.Now()
						if act == 2 {
							time.Sleep(time.Duration(r.IntN(300)) * time.Millisecond)
							if r.IntN(2) == 0 {
								c.(*net.TCPConn).SetLinger(0)
							}
							return
						}
						c.SetReadDeadline(time.Now().Add(15 * time.Second))
						resp, err := http.ReadResponse(reader, nil)
						if err != nil {
							errs.Add(1)
							return
						}
						if act == 3 { // read a bit then leave
							io.CopyN(io.Discard, resp.Body, 1000)
							if r.IntN(2) == 0 {
								c.(*net.TCPConn).SetLinger(0)
							}
							return
						}
						if act == 4 {
							time.Sleep(time.Duration(r.IntN(2000)) * time.Millisecond)
						}
						body, err := io.ReadAll(resp.Body)
						if err != nil {
							errs.Add(1)
							return
						}
						v, _ := statuses.LoadOrStore(resp.StatusCode, new(atomic.Int64))
						v.(*atomic.Int64).Add(1)
						if resp.StatusCode == 200 {
							ok.Add(1)
							if !strings.HasPrefix(string(body), "answer to "+id) {
								bad.Add(1)
								fmt.Println("FOREIGN", id, string(body[:min(40, len(body))]))
							}
						}
						if d := time.Since(sent); d.Seconds() > rem+0.55 && act != 4 && act != 1 {
							late.Add(1)
							s.note("late %s %s %s status %d %v rem %v size %d", id, class, "", resp.StatusCode, d, rem, len(b.String()))
						}
						if resp.Close {
							return
						}
					}
				}()
			}
		})
	}
	wg.Go(func() {
		r := rand.New(rand.NewPCG(99, 7))
		for time.Now().Before(stop) {
			time.Sleep(time.Duration(500+r.IntN(2000)) * time.Millisecond)
			if os.Getenv("NOHANG") != "" {
				continue
			}
			u := s.upstreams[r.IntN(5)]
			u.Process.Signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(r.IntN(3000)) * time.Millisecond)
			u.Process.Signal(syscall.SIGCONT)
			if r.IntN(3) == 0 {
				s.balancer.Process.Signal(syscall.SIGHUP)
			}
		}
	})
	wg.Wait()
	fmt.Println("requests", n.Load(), "ok", ok.Load(), "foreign", bad.Load(), "late", late.Load(), "errs", errs.Load())
	statuses.Range(func(k, v any) bool { fmt.Println(k, v.(*atomic.Int64).Load()); return true })
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.balancer.Process.Pid))
	for _, l := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(l, "Vm") {
			fmt.Println(l)
		}
	}
	s.balancer.Process.Signal(syscall.SIGUSR1)
	time.Sleep(300 * time.Millisecond)
	s.balancer.Process.Signal(syscall.SIGTERM)
	state, _ := s.balancer.Process.Wait()
	fmt.Println("exit", state)
	s.finish(exitHeld, "done")
}
