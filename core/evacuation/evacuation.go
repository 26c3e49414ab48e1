// Package evacuation holds which data centres are being evacuated: their backend servers take no more requests that others
// can run, their keys move to other data centres, and from a time on nothing is sent to them. It answers the load of two
// deployments with some 180 to 220 backend servers of a sharded service in 3 or 4 data centres, of which one or two are
// evacuated within 5 s.
package evacuation

import (
	"maps"
	"slices"
	"time"

	"redwingsill/core/instance"
	"redwingsill/core/roster"
)

// Evacuation gives the data centres that are being evacuated, and from when on nothing may be sent to their servers. It is
// immutable, and the zero value has none.
type Evacuation struct{ sendDeadlines map[string]time.Time }

// With returns the evacuations with that of a data centre, to whose servers nothing may be sent from a deadline on. While a
// data centre is being evacuated a later deadline has no effect: writing the key again doesn't prolong the evacuation.
func (e Evacuation) With(dataCentre string, deadline time.Time) Evacuation {
	if earlier, ok := e.sendDeadlines[dataCentre]; ok && !deadline.Before(earlier) {
		return e
	}
	next := make(map[string]time.Time, len(e.sendDeadlines)+1)
	maps.Copy(next, e.sendDeadlines)
	next[dataCentre] = deadline
	return Evacuation{sendDeadlines: next}
}

// Without returns the evacuations without that of a data centre.
func (e Evacuation) Without(dataCentre string) Evacuation {
	if _, ok := e.sendDeadlines[dataCentre]; !ok {
		return e
	}
	next := maps.Clone(e.sendDeadlines)
	delete(next, dataCentre)
	return Evacuation{sendDeadlines: next}
}

// Len returns the number of data centres that are being evacuated.
func (e Evacuation) Len() int { return len(e.sendDeadlines) }

// DataCentres returns the names of the data centres that are being evacuated, in order.
func (e Evacuation) DataCentres() []string { return slices.Sorted(maps.Keys(e.sendDeadlines)) }

// SendDeadline returns from when on nothing may be sent to the servers of a data centre, and whether it is being evacuated.
func (e Evacuation) SendDeadline(dataCentre string) (time.Time, bool) {
	deadline, ok := e.sendDeadlines[dataCentre]
	return deadline, ok
}

// AppliedTo returns the roster with the servers of the evacuated data centres marked. An earlier deadline of a leaving server
// stays.
func (e Evacuation) AppliedTo(r roster.Roster) roster.Roster {
	if e.Len() == 0 {
		return r
	}
	var evacuated []instance.Instance
	for _, i := range r.All() {
		if deadline, ok := e.sendDeadlines[i.DataCentre]; ok {
			evacuated = append(evacuated, i.WithEvacuation(deadline))
		}
	}
	return r.With(evacuated...)
}
