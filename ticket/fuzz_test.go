package ticket_test

import (
	"errors"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/action"
	"sycamorespread.dev/sycapb"
	"sycamorespread.dev/ticket"
)

// FuzzTicket begins the run of an arbitrary ticket, as one is read from a claim in the store: none but
// an issued one may run.
func FuzzTicket(f *testing.F) {
	f.Add([]byte{})
	for _, t := range []*sycapb.Ticket{
		{Home: "payments-0", Incarnation: 1, Service: service, Method: method},
		{Home: "payments-0", Incarnation: 1, Nonce: make([]byte, 2000), ExpiresUs: 1<<63 - 1, Mac: []byte{1}},
	} {
		b, err := proto.Marshal(t)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(b)
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		now := time.Second
		iss := newIssuer(&now, 1)
		run, err := iss.Begin(raw, service, method, 7)
		var rejected *ticket.RejectedError
		var invalid *action.InvalidError
		if run != nil || !errors.As(err, &rejected) && !errors.As(err, &invalid) || iss.Len() != 0 {
			t.Errorf("run %v, error %T %v", run, err, err)
		}
	})
}
