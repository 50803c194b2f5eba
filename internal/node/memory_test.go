package node

import (
	"github.com/sirupsen/logrus"
	logtest "github.com/sirupsen/logrus/hooks/test"

	"fmt"
	"net/netip"
	"testing"

	"salttrack/balance"
	"salttrack/internal/discovery"
	"salttrack/internal/memory"
)

// Endpoints that are listed after the start count against the memory for peers, up to half of it.
func TestEndpointsAreCounted(t *testing.T) {
	const added = 4
	r := newHotRestartBalancer(t, &fakeStore{})
	r.Do(func() {
		n := r.node
		n.baseEndpoints = n.registry.Listed()
		update := &discovery.Update{}
		for i := range added {
			address := netip.MustParseAddrPort(fmt.Sprintf("127.0.9.%d:80", 1+i))
			update.Endpoints = append(update.Endpoints, discovery.Endpoint{Name: address.String(), Address: address, State: balance.Ready})
		}
		n.onEndpointUpdate(update)
		if used := n.memory.Used(memory.Endpoints); used != added*endpointBytes {
			t.Errorf("%d endpoints were added, %d bytes are counted", added, used)
		}
		n.memory.SetLimit(added * endpointBytes)
		n.countEndpoints()
		if used := n.memory.Used(memory.Endpoints); used != added*endpointBytes/2 {
			t.Errorf("%d bytes are counted for endpoints, half of the limit are %d", used, added*endpointBytes/2)
		}
	})
}

// fakeMemory is the memory of a process whose size a test sets, in bytes.
type fakeMemory struct{ resident int }

func (m *fakeMemory) Baseline() int    { return m.resident }
func (m *fakeMemory) Resident() int    { return m.resident }
func (*fakeMemory) ReleaseStartPages() {}
func (*fakeMemory) ReleaseGarbage()    {}
func (*fakeMemory) RuntimeGrowth() int { return 0 }
func (*fakeMemory) LimitGrowth(int)    {}

// Guards against a kill without a trace: the log and the gauges tell what the memory of the process was used for.
func TestMemoryLevelIsReported(t *testing.T) {
	r := newBalancer(t, endpoint("127.0.0.1:1", "in_service"))
	process := &fakeMemory{resident: 7 << 20}
	hook := logtest.NewLocal(r.node.log.Logger)
	r.Do(func() {
		r.node.LimitProcessMemory(process)
		r.start()
		process.resident = int(r.node.config.Limits.MemoryMB * bytesPerMB)
		r.node.memoryMonitor.check()
	})
	entry := hook.LastEntry()
	if entry == nil || entry.Data["level"] != "shedding" || entry.Level != logrus.WarnLevel {
		t.Fatalf("last log line: %v", entry)
	}
	r.Do(func() {
		for gauge, want := range map[string]uint64{"process_resident_bytes": uint64(process.resident), "process_memory_level": 3, "process_file_bytes": 0} {
			if value, _ := r.node.Counters.Value(gauge); value != want {
				t.Errorf("%s=%d, want %d", gauge, value, want)
			}
		}
		r.node.Shutdown(r.Loop.Now(), func() {})
	})
	r.close()
}
