package action

import (
	"fmt"

	"sycamorespread.dev/sycapb"
)

// MismatchError reports a reply that does not belong to its call or is corrupt. The receiver must
// discard the reply.
type MismatchError struct {
	// Field is the name of the reply field that does not match.
	Field string
	// Got and Want are the values as text.
	Got, Want string
}

func (e *MismatchError) Error() string {
	return fmt.Sprintf("reply field %s is %s, want %s", e.Field, e.Got, e.Want)
}

// Verify checks that r is the reply to the attempt c and that its body is complete. It returns a
// *MismatchError otherwise.
func Verify(c *sycapb.Call, r *sycapb.Reply) error {
	if string(r.ActionId) != string(c.ActionId) {
		return &MismatchError{Field: "action_id", Got: fmt.Sprintf("%x", r.ActionId), Want: fmt.Sprintf("%x", c.ActionId)}
	}
	if r.AttemptId != c.AttemptId {
		return &MismatchError{Field: "attempt_id", Got: fmt.Sprint(r.AttemptId), Want: fmt.Sprint(c.AttemptId)}
	}
	if int(r.Length) != len(r.Body) {
		return &MismatchError{Field: "length", Got: fmt.Sprint(len(r.Body)), Want: fmt.Sprint(r.Length)}
	}
	if d := Digest(r.Body); d != r.Digest {
		return &MismatchError{Field: "digest", Got: fmt.Sprintf("%x", d), Want: fmt.Sprintf("%x", r.Digest)}
	}
	return nil
}

// EmptyReply returns a reply to c without a body and with the whole allowance unspent.
func EmptyReply(c *sycapb.Call, outcome sycapb.Outcome, reason sycapb.Reason, detail string) *sycapb.Reply {
	return &sycapb.Reply{
		ActionId:  c.ActionId,
		AttemptId: c.AttemptId,
		Outcome:   outcome,
		Reason:    reason,
		Detail:    detail,
		Digest:    emptyDigest,
		Unspent:   c.Allowance,
	}
}

var emptyDigest = Digest(nil)
