package daemon_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/sycapb"
)

// applyTimeout is the time after its acknowledgement within which the users require a version to be
// in force.
const applyTimeout = 2 * time.Second

// watchEnd is a time after which the watches that daemons open while they start have ended.
const watchEnd = 2500 * time.Millisecond

func TestVersionIsLateIfNoWatcherReadsTheStore(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	for range 3 {
		s.add("one")
	}
	s.add("two")
	five := s.add("two")
	for _, n := range s.nodes {
		s.eventually(5*time.Second, "ready", n.isReady)
	}
	s.awaitServed(5*time.Second, five, "two")
	time.Sleep(watchEnd)
	for _, n := range s.nodes[:3] {
		n.partitioned.Store(true)
	}
	for round := range uint64(5) {
		service := []string{"one", "two"}[round%2]
		s.configure(9+round, service)
		s.awaitServed(applyTimeout, five, service)
	}
}

func TestConfirmedDaemonReadsTheStore(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	for range 4 {
		s.add("one")
	}
	five := s.add("two")
	s.awaitServed(5*time.Second, five, "two")
	time.Sleep(watchEnd)
	before := five.storeCalls.Load()
	time.Sleep(2 * applyTimeout)
	if got := five.storeCalls.Load() - before; got > 0 {
		t.Errorf("%d calls to the store although watchers confirm the policy, last to %s", got, *five.lastStoreCall.Load())
		for _, e := range five.log.Load().AllEntries() {
			t.Logf("%s %s %v", e.Time.Format("05.000"), e.Message, e.Data)
		}
	}
}

func TestEachWatcherConfirmsAtTheStore(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one := s.add("one")
	for range 3 {
		s.add("two")
	}
	for _, n := range s.nodes {
		s.awaitServed(5*time.Second, n, "two")
	}
	time.Sleep(watchEnd)
	for _, n := range s.nodes {
		n.storeCalls.Store(0)
	}
	time.Sleep(2 * applyTimeout)
	confirming := 0
	for _, n := range s.nodes {
		if n.storeCalls.Load() > 3 {
			confirming++
		}
	}
	if confirming != 1 || one.storeCalls.Load() > 10 {
		t.Errorf("%d daemons call the store more often than a watch needs, the first one %d times", confirming, one.storeCalls.Load())
	}
}

func TestVersionIsLateIfSourcesDoNotRespond(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	for range 3 {
		s.add("one")
	}
	s.add("two")
	five := s.add("two")
	for _, n := range s.nodes {
		s.eventually(5*time.Second, "ready", n.isReady)
	}
	s.awaitServed(5*time.Second, five, "two")
	five.partitioned.Store(true)
	time.Sleep(watchEnd)
	stop := s.announceUnresponsive(five, 3, 9)
	defer stop()
	s.configure(9, "one")
	s.awaitServed(applyTimeout, five, "one")
}

func TestVersionIsLateIfWatchesGoSilent(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one := s.add("one")
	s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	for round := range uint64(3) {
		service := []string{"one", "two"}[round%2]
		s.silence.Add(1)
		s.configure(9+round, service)
		s.awaitServed(applyTimeout, one, service)
	}
}

func TestVersionIsLateIfWatchSkipsIt(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "two")
	one := s.add("one")
	s.add("two")
	s.awaitServed(5*time.Second, one, "two")
	time.Sleep(watchEnd)
	s.store.deaf.Store(true)
	s.configure(9, "one")
	time.Sleep(500 * time.Millisecond)
	s.store.deaf.Store(false)
	s.awaitServed(applyTimeout, one, "one")
}

// announceUnresponsive announces a policy revision to n, as probes do, until the returned function is
// called. It is announced for members that accept connections and never respond.
func (s *httpCluster) announceUnresponsive(n *httpNode, members int, revision uint64) (stop func()) {
	c, err := net.Dial("udp", n.addr(17400))
	if err != nil {
		s.t.Fatal(err)
	}
	var packets [][]byte
	for i := range members {
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, s.base.As4()[1], s.base.As4()[2], byte(200 + i)}), 17400)
		l, err := net.Listen("tcp", addr.String())
		if err != nil {
			s.t.Fatal(err)
		}
		s.t.Cleanup(func() { _ = l.Close() })
		b, err := proto.Marshal(&sycapb.Packet{From: addr.String(), FromAddr: addr.String(), PolicyRevision: revision})
		if err != nil {
			s.t.Fatal(err)
		}
		packets = append(packets, b)
	}
	var g errgroup.Group
	stopped := make(chan struct{})
	g.Go(func() error {
		for k := 0; ; k++ {
			_, _ = c.Write(packets[k%len(packets)])
			select {
			case <-stopped:
				return c.Close()
			case <-time.After(time.Millisecond):
			}
		}
	})
	return func() {
		close(stopped)
		_ = g.Wait()
	}
}

func TestStartWarnsOfAPull(t *testing.T) {
	s := newHTTPCluster(t)
	one := s.add("one")
	s.add("two")
	time.Sleep(time.Second)
	s.configure(7, "two")
	s.awaitServed(5*time.Second, one, "two")
	for _, n := range s.nodes {
		for _, e := range n.log.Load().AllEntries() {
			if e.Message == "pull from peer returned no newer policy" {
				t.Errorf("%s: no peer has announced a policy: %v", n.id, e.Data)
			}
			if ms, ok := e.Data["announced_ms"].(int64); ok && ms > 500 {
				t.Errorf("%s: announced %d ms before it was written", n.id, ms)
			}
		}
	}
}
