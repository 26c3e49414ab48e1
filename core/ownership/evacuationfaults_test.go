package ownership_test

import (
	"testing"
	"time"
)

// Guards against grants to evacuated servers, which are shorter than others, being taken for expired while they are in force, and
// against two owners when evacuations begin and end during takeovers, outages and other faults.
func TestOneOwnerWhenServersAreEvacuated(t *testing.T) {
	checkOneOwner(t, faults{evacuatesServers: true})
}

func TestOneOwnerWhenServersAreEvacuatedUnderOtherFaults(t *testing.T) {
	checkOneOwner(t, faults{evacuatesServers: true, revokesLeases: true, freezesCoordinators: true, resumesTerms: true, delaysSaves: true, copiesAnswers: true})
}

// drawEvacuation begins the evacuation of a server, or ends it.
func (m *model) drawEvacuation(s *server) {
	if s.instance.IsEvacuated {
		m.logf("evacuation of %s ends", s.instance.Incarnation())
		s.instance.IsEvacuated, s.instance.IsLeaving, s.instance.SendDeadline = false, false, time.Time{}
		return
	}
	s.instance = s.instance.WithEvacuation(m.now.Add(m.drawDelay(4000)))
	m.logf("evacuation of %s until %v", s.instance.Incarnation(), s.instance.SendDeadline.Sub(m.now))
}
