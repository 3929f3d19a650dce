package load

import (
	"context"
	"net/http"
	"strings"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"
	"github.com/rotisserie/eris"
)

// sentMetric ends the name of the counter of messages sent, by kind.
const sentMetric = "wire_sent"

// Class says how messages of one kind are judged.
type Class string

const (
	// Useful messages move a task or an answer forward.
	Useful Class = "useful"
	// OncePerTask messages are useful once for each task; more are wasted.
	OncePerTask Class = "once per task"
	// ByTime messages are wasted, and sent by time whatever the load: leases
	// and heartbeats.
	ByTime Class = "wasted, by time"
	// Wasted is every other kind.
	Wasted Class = "wasted"
)

var classes = map[string]Class{
	"StartTask":        OncePerTask,
	"TaskUpdate":       OncePerTask,
	"AcceptRequest":    Useful,
	"AcceptResponse":   Useful,
	"CompleteRequest":  Useful,
	"CompleteResponse": Useful,
	"GetJobRequest":    Useful,
	"GetJobResponse":   Useful,
	"CoreMessage":      Useful,
	"SyncRequest":      ByTime,
	"SyncResponse":     ByTime,
	"heartbeat":        ByTime,
}

// sentByKind sums the messages sent by all processes, by kind.
func sentByKind(ctx context.Context, addresses []string) (map[string]float64, error) {
	sum := map[string]float64{}
	for _, address := range addresses {
		if err := addSent(ctx, address, sum); err != nil {
			return nil, eris.Wrapf(err, "metrics of %s", address)
		}
	}
	return sum, nil
}

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
		if !strings.HasSuffix(name, sentMetric) {
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
	Kind    string  `json:"kind"`
	Class   Class   `json:"class"`
	Count   float64 `json:"count"`
	PerTask float64 `json:"perTask"`
	// WastedPerTask is the part that moved no task or answer forward.
	WastedPerTask float64 `json:"wastedPerTask"`
}

// countMessage judges the messages of one kind; tasks are those of all jobs
// that were not refused.
func countMessage(kind string, count, tasks float64) MessageCount {
	m := MessageCount{Kind: kind, Class: Wasted, Count: count, PerTask: count / tasks}
	if c, ok := classes[kind]; ok {
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
