package agent

import (
	"slices"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/api/resource"
	"endivewing/internal/gate"
)

// applyEndpoint puts what operators declare of this endpoint into force; nil
// is no declaration. A spec that can't be read leaves what was in force.
func (i *incarnation) applyEndpoint(declared *wirepb.Resource) {
	var spec resource.EndpointSpec
	if declared != nil {
		var err error
		spec, err = resource.ParseEndpoint(declared.Spec)
		if err != nil {
			i.p.opts.Log.Error(err, "endpoint resource ignored", "revision", declared.Revision)
			return
		}
	}
	i.operatorDrain = spec.Drain
	i.gate.SetLimits(limitedBy(i.p.opts.limits(), spec))
	i.gate.SetServices(servicesWithin(i.p.opts.Services, spec.Services))
}

// limitedBy lowers the limits to the declared ones.
func limitedBy(limits gate.Limits, spec resource.EndpointSpec) gate.Limits {
	if spec.Slots > 0 {
		limits.Slots = min(limits.Slots, int(spec.Slots))
	}
	if spec.Connections > 0 {
		limits.Connections = min(limits.Connections, int(spec.Connections))
	}
	return limits
}

// servicesWithin keeps the announced services that are declared; nil is all
// services.
func servicesWithin(announced, declared []string) []string {
	if len(announced) == 0 {
		announced = nil
	}
	if len(declared) == 0 {
		return announced
	}
	if announced == nil {
		return declared
	}
	kept := []string{}
	for _, s := range announced {
		if slices.Contains(declared, s) {
			kept = append(kept, s)
		}
	}
	return kept
}
