package agent

import (
	"slices"

	wirepb "endivewing/api/endivewing/v1"
	"endivewing/api/resource"
	"endivewing/internal/gate"
)

// applyEndpoint applies the endpoint resource that operators have declared for
// this agent; nil means that there is none. An invalid spec is ignored, and the
// previous settings stay in effect.
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
	i.gate.SetLimits(lowerLimits(i.p.opts.limits(), spec))
	i.gate.SetServices(intersectServices(i.p.opts.Services, spec.Services))
}

// lowerLimits returns the limits, lowered to the declared ones.
func lowerLimits(limits gate.Limits, spec resource.EndpointSpec) gate.Limits {
	if spec.Slots > 0 {
		limits.Slots = min(limits.Slots, int(spec.Slots))
	}
	if spec.Connections > 0 {
		limits.Connections = min(limits.Connections, int(spec.Connections))
	}
	return limits
}

// intersectServices returns the announced services that are also declared. An
// empty argument means all services, and so does a nil result.
func intersectServices(announced, declared []string) []string {
	if len(announced) == 0 {
		announced = nil
	}
	if len(declared) == 0 {
		return announced
	}
	if announced == nil {
		return declared
	}
	common := []string{}
	for _, s := range announced {
		if slices.Contains(declared, s) {
			common = append(common, s)
		}
	}
	return common
}
