package host

// This file applies the evacuations of data centres that operators have written to the store.

import (
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
)

// maxLoggedDataCenters bounds the data centres in one line of the request log.
const maxLoggedDataCenters = 8

// evacuationMetrics are the metrics of evacuations.
type evacuationMetrics struct {
	evacuationChanges     *prometheus.CounterVec
	evacuatedDataCenters  prometheus.Gauge
	evacuationConnections prometheus.Counter
}

func newEvacuationMetrics(registry prometheus.Registerer) evacuationMetrics {
	m := evacuationMetrics{
		evacuationChanges: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "foxtailshelf_evacuation_changes_total", Help: "Evacuations of data centres that this host has applied, by change: begun, ended.",
		}, []string{"change"}),
		evacuatedDataCenters: prometheus.NewGauge(prometheus.GaugeOpts{
			Name: "foxtailshelf_evacuated_data_centers", Help: "Data centres whose upstreams get no requests.",
		}),
		evacuationConnections: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "foxtailshelf_evacuation_closed_connections_total", Help: "Idle connections closed because of an evacuation.",
		}),
	}
	registry.MustRegister(m.evacuationChanges, m.evacuatedDataCenters, m.evacuationConnections)
	return m
}

// updateEvacuation applies the evacuations that are listed in the store. It returns the data
// centres whose evacuation has begun, and the services whose upstreams changed. The caller
// holds h.mu.
func (h *Host) updateEvacuation(now time.Time) (begun, changedServices []string) {
	before := h.inventory.Evacuated()
	changedServices = h.inventory.SetEvacuated(now, h.evacuatedRecords)
	after := h.inventory.Evacuated()
	for _, dc := range after {
		if !slices.Contains(before, dc) {
			begun = append(begun, dc)
		}
	}
	for _, dc := range before {
		if slices.Contains(after, dc) {
			continue
		}
		h.Metrics.evacuationChanges.WithLabelValues("ended").Inc()
		h.logEvacuation(logrus.InfoLevel, "evacuation of data centre has ended", logrus.Fields{"data-center": dc})
	}
	h.Metrics.evacuatedDataCenters.Set(float64(len(after)))
	return begun, changedServices
}

// recordEvacuations records the evacuations that have begun, after the inventory was updated.
// It has the idle connections to the upstreams closed. The caller holds h.mu.
func (h *Host) recordEvacuations(begun []string) {
	if len(begun) == 0 {
		return
	}
	counts := make(map[string]int)
	for _, u := range h.inventory.InDataCenters(begun) {
		counts[u.DataCenter()]++
	}
	for _, dc := range begun {
		h.Metrics.evacuationChanges.WithLabelValues("begun").Inc()
		if counts[dc] == 0 {
			h.logEvacuation(logrus.WarnLevel, "evacuated data centre has no upstreams; its name may be wrong", logrus.Fields{"data-center": dc})
			continue
		}
		h.logEvacuation(logrus.InfoLevel, "data centre evacuated", logrus.Fields{"data-center": dc, "upstreams": counts[dc]})
	}
	h.group.Go(h.closeEvacuatedConnections)
}

func (h *Host) logEvacuation(level logrus.Level, message string, fields logrus.Fields) {
	if !h.requestLog.allowLine() {
		h.Metrics.unloggedLines.Inc()
		return
	}
	h.Log.WithFields(fields).WithField("revision", h.recordsRevision.String()).Log(level, message)
}

// closeEvacuatedConnections closes the idle connections to upstreams of evacuated data
// centres, also those of attempts that have ended since the evacuation began.
func (h *Host) closeEvacuatedConnections() {
	h.mu.RLock()
	list := h.inventory.InDataCenters(h.inventory.Evacuated())
	h.mu.RUnlock()
	for _, u := range list {
		if n := h.Upstreams.IdleCount(u.ID()); n > 0 {
			h.Upstreams.CloseIdleConnections(u.ID())
			h.Metrics.evacuationConnections.Add(float64(n))
		}
	}
}

// evacuatedDataCenters returns the first evacuated data centres.
func (h *Host) evacuatedDataCenters() []string {
	h.mu.RLock()
	defer h.mu.RUnlock()
	list := h.inventory.Evacuated()
	return list[:min(len(list), maxLoggedDataCenters)]
}

// recordIgnored records that parts of a record do not count, unless the same was recorded of
// the record before: upstreams write their entries every second.
func (h *Host) recordIgnored(key, before, ignored string) {
	if ignored == "" || ignored == before {
		return
	}
	h.Metrics.badRecords.Inc()
	if !h.requestLog.allowLine() {
		h.Metrics.unloggedLines.Inc()
		return
	}
	h.Log.WithFields(logrus.Fields{"key": key, "problem": ignored}).Warn("part of a store record ignored")
}
