package main

import (
	"context"
	"net/netip"
)

// ServeFaultProxy runs a fault proxy for the external tests until ctx ends.
func ServeFaultProxy(ctx context.Context, addr, target netip.AddrPort, listening func()) error {
	d, err := newFaultProxy(addr, target)
	if err != nil {
		return err
	}
	listening()
	return d.serve(ctx)
}
