package load

import (
	"context"
	"net/http"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// sentMetricSuffix is the suffix of the name of the counter of sent messages, which
// is labelled by kind.
const sentMetricSuffix = "wire_sent"

// MessageClass states which messages of one kind count as wasted.
type MessageClass string

const (
	// Useful is the class of messages that take part in accepting a job or in
	// recording and returning its answer. None of them counts as wasted.
	Useful MessageClass = "useful"
	// OncePerTask is the class of messages of which one for each task is useful.
	// Any further ones are wasted.
	OncePerTask MessageClass = "once per task"
	// WastedPeriodic is the class of wasted messages that are sent periodically, whatever
	// the load: leases and heartbeats.
	WastedPeriodic MessageClass = "wasted, by time"
	// Wasted is the class of all other messages.
	Wasted MessageClass = "wasted"
)

var classByKind = map[string]MessageClass{
	"StartTask":        OncePerTask,
	"TaskUpdate":       OncePerTask,
	"AcceptRequest":    Useful,
	"AcceptResponse":   Useful,
	"CompleteRequest":  Useful,
	"CompleteResponse": Useful,
	"GetJobRequest":    Useful,
	"GetJobResponse":   Useful,
	"CoreMessage":      Useful,
	"SyncRequest":      WastedPeriodic,
	"SyncResponse":     WastedPeriodic,
	"heartbeat":        WastedPeriodic,
}

// sentByKind returns the number of messages sent by the processes at these
// addresses, summed by kind.
func sentByKind(ctx context.Context, addresses []string) (map[string]float64, error) {
	sum := map[string]float64{}
	for _, address := range addresses {
		if err := addSent(ctx, address, sum); err != nil {
			return nil, eris.Wrapf(err, "metrics of %s", address)
		}
	}
	return sum, nil
}

// addSent adds the messages sent by the process at the address to sum.
func addSent(ctx context.Context, address string, sum map[string]float64) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, baseURL(address)+"/metrics", nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	parser := expfmt.NewTextParser(model.LegacyValidation)
	families, err := parser.TextToMetricFamilies(resp.Body)
	if err != nil {
		return err
	}
	for name, family := range families {
		if !strings.HasSuffix(name, sentMetricSuffix) {
			continue
		}
		for _, m := range family.Metric {
			for _, label := range m.Label {
				if label.GetName() == "kind" {
					sum[label.GetValue()] += m.GetCounter().GetValue()
				}
			}
		}
	}
	return nil
}

// MessageCount is the number of messages of one kind in a run.
type MessageCount struct {
	Kind    string       `json:"kind"`
	Class   MessageClass `json:"class"`
	Count   float64      `json:"count"`
	PerTask float64      `json:"perTask"`
	// WastedPerTask is the part of PerTask that Class counts as wasted.
	WastedPerTask float64 `json:"wastedPerTask"`
}

// countMessage returns the figures for the messages of one kind. tasks is the
// number of tasks of the jobs that were not refused.
func countMessage(kind string, count, tasks float64) MessageCount {
	m := MessageCount{Kind: kind, Class: Wasted, Count: count, PerTask: count / tasks}
	if c, ok := classByKind[kind]; ok {
		m.Class = c
	}
	switch m.Class {
	case Useful:
	case OncePerTask:
		m.WastedPerTask = max(0, m.PerTask-1)
	default:
		m.WastedPerTask = m.PerTask
	}
	return m
}
