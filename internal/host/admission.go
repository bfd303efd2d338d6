package host

import (
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"github.com/foxtailshelf/foxtailshelf/internal/dispatch"
)

func newWaitingRequests() prometheus.Gauge {
	return prometheus.NewGauge(prometheus.GaugeOpts{
		Name: "foxtailshelf_waiting_requests", Help: "Requests of client accounts that wait in order for their first attempts.",
	})
}

func newAdmissions() *prometheus.CounterVec {
	return prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "foxtailshelf_admission_total", Help: "Requests of client accounts by admission: at-once, waited, refused-at-once, refused, caller-gone.",
	}, []string{"outcome"})
}

// recordAdmission counts how a request of a client account got its first attempts, or that
// it got none.
func (m *Metrics) recordAdmission(s dispatch.Summary) {
	if s.Admission != dispatch.AdmissionNone {
		m.admissions.WithLabelValues(string(s.Admission)).Inc()
	}
}

// admissionFields returns how a request of a client account waited as it is logged; nil
// without an account.
func admissionFields(s dispatch.Summary) logrus.Fields {
	if s.Admission == dispatch.AdmissionNone {
		return nil
	}
	return logrus.Fields{"admission": string(s.Admission), "rank": s.Rank, "waited-ms": s.Waited.Milliseconds()}
}
