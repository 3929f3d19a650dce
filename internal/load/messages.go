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

// usefulKinds move a task or an answer forward. All others are wasted.
var usefulKinds = map[string]bool{
	"StartTask":        true,
	"TaskUpdate":       true,
	"AcceptRequest":    true,
	"AcceptResponse":   true,
	"CompleteRequest":  true,
	"CompleteResponse": true,
	"GetJobRequest":    true,
	"GetJobResponse":   true,
	"ForgetJobs":       true,
	"QuorumMessage":    true,
}

// periodicKinds are sent by time and not by work: leases and silence.
var periodicKinds = map[string]bool{
	"SyncRequest":  true,
	"SyncResponse": true,
	"heartbeat":    true,
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
	Count   float64 `json:"count"`
	PerTask float64 `json:"perTask"`
	Useful  bool    `json:"useful"`
	// Periodic messages are sent by time, whatever the load.
	Periodic bool `json:"periodic"`
}
