package member

import (
	"fmt"
	"net/netip"
	"time"

	"google.golang.org/protobuf/proto"

	"sycamorespread.dev/life"
	"sycamorespread.dev/sycapb"
)

const (
	// maxEntryBytes is the maximum size of an entry, so that each one fits into a packet.
	maxEntryBytes = 1024
	// maxShownID is the maximum length of an ID in an EntryError, in bytes.
	maxShownID = 100
)

// maxIncarnation is the last start time that an incarnation can state, in Unix milliseconds.
var maxIncarnation = uint64(time.Date(9999, 12, 31, 23, 59, 59, 0, time.UTC).UnixMilli())

// EntryError reports an entry that no daemon can have written.
type EntryError struct {
	// ID is the ID of the entry, cut to a hundred bytes.
	ID, Field string
}

func (e *EntryError) Error() string {
	return fmt.Sprintf("member entry %q: invalid %s", e.ID, e.Field)
}

// checkEntry returns the address of an entry. The error is an *EntryError.
func checkEntry(e *sycapb.MemberEntry) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(e.GetAddr())
	field := ""
	switch {
	case e.GetId() == "":
		field = "id"
	case err != nil || addr.Port() == 0:
		field = "address"
	case sycapb.MemberState_name[int32(e.State)] == "":
		field = "state"
	case e.Incarnation > maxIncarnation:
		field = "incarnation"
	case e.Slots > life.MaxSlots:
		field = "slots"
	case proto.Size(e) > maxEntryBytes:
		field = "size"
	default:
		return addr, nil
	}
	return netip.AddrPort{}, &EntryError{ID: e.GetId()[:min(maxShownID, len(e.GetId()))], Field: field}
}
