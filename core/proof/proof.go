// Package proof tells what an answer of a backend server proves about the calls on its connection. A backend server serves one
// call at a time on a connection, and an answer need not name its call.
package proof

// Proof is what is known of the call that an answer belongs to. The zero value is that of an answer which certainly belongs to
// its call, over a connection that no other call uses.
type Proof struct {
	// Connection identifies the connection. It is 0 if the connection has had more answers than calls, or carries no other call.
	Connection int64
	// Ordinal is the number of calls that the connection had carried, this one included.
	Ordinal int64
	// IsPresumed is set if the answer may be a late copy of the answer to an earlier call on the connection. The call itself may
	// then be without an answer, and be carried out later.
	IsPresumed bool
}

// Settles reports whether the answer to a call with the proof earlier is known to be its own: a certain answer to a later call on
// the connection leaves as many answers before it as calls, and the answers come in the order of the calls.
func (p Proof) Settles(earlier Proof) bool {
	return !p.IsPresumed && p.Connection != 0 && p.Connection == earlier.Connection && p.Ordinal > earlier.Ordinal
}
