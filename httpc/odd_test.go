package httpc_test

import (
	"fmt"
	"testing"
)

// A Keep-Alive timeout that fits into no duration ended or kept connections depending on the machine.
func TestOddKeepAliveTimeout(t *testing.T) {
	for _, seconds := range []string{"9000000000000000000", "20000000000", "99999999999999999999"} {
		raw := fmt.Sprintf("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=%s\r\nContent-Length: 2\r\n\r\nok", seconds)
		addr, conns := serveRaw(t, writeWhole, raw, raw, raw)
		p := newPool(t)
		for range 3 {
			if _, err := get(t, p, addr); err != nil {
				t.Fatal(err)
			}
		}
		if n := conns.Load(); n != 1 {
			t.Errorf("timeout %s: %d connections", seconds, n)
		}
	}
}
