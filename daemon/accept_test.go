package daemon_test

import (
	"net"
	"testing"
	"time"

	"golang.org/x/sys/unix"
)

func TestFailureToAcceptIsNotLogged(t *testing.T) {
	s := newHTTPCluster(t)
	s.configure(7, "one")
	one := s.add("one")
	s.eventually(5*time.Second, "ready", one.isReady)
	var before unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	none := before
	none.Cur = 3
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = unix.Close(fd) }()
	to, err := net.ResolveTCPAddr("tcp", one.outboundAddr)
	if err != nil {
		t.Fatal(err)
	}
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &none); err != nil {
		t.Fatal(err)
	}
	at := &unix.SockaddrInet4{Port: to.Port, Addr: [4]byte(to.IP.To4())}
	connectErr := unix.Connect(fd, at)
	time.Sleep(300 * time.Millisecond)
	if err := unix.Setrlimit(unix.RLIMIT_NOFILE, &before); err != nil {
		t.Fatal(err)
	}
	logged := 0
	for _, e := range one.log.Load().AllEntries() {
		if e.Message == "can't accept connections" {
			logged++
		}
	}
	if logged != 1 {
		t.Errorf("%d warnings after a failure to accept a connection (connect: %v), want 1", logged, connectErr)
	}
}
