// Package resource holds the objects that operators declare: endpoints, teams
// and settings, with their JSON form and validation.
package resource

import (
	"encoding/json"
	"strconv"
)

// Kind names a kind of resource.
type Kind string

// Kinds that operators write.
const (
	KindEndpoint Kind = "endpoint"
	KindTeam     Kind = "team"
	KindSetting  Kind = "setting"
)

// Kinds that the system writes.
const (
	KindInstance Kind = "instance"
	KindGroup    Kind = "group"
	KindMember   Kind = "member"
)

// Kinds lists the kinds that operators write.
func Kinds() []Kind { return []Kind{KindEndpoint, KindTeam, KindSetting} }

// Plural is the kind's name in paths.
func (k Kind) Plural() string { return string(k) + "s" }

// Object is a resource in JSON.
type Object struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// Metadata identifies a resource and its version.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the revision of the last change. In a PUT it is the
	// version to replace; empty creates.
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Status is what the system reports of a resource.
type Status struct {
	// InForce: every live process has applied the resource's version.
	InForce bool `json:"inForce"`
	// Instances are the live agents of an endpoint, newest last.
	Instances []InstanceStatus `json:"instances,omitempty"`
}

// InstanceStatus is one run of a process.
type InstanceStatus struct {
	Incarnation uint64   `json:"incarnation"`
	Role        string   `json:"role"`
	Name        string   `json:"name"`
	Zone        string   `json:"zone"`
	Address     string   `json:"address,omitempty"`
	HTTPAddress string   `json:"httpAddress,omitempty"`
	Slots       uint32   `json:"slots,omitempty"`
	Connections uint32   `json:"connections,omitempty"`
	Services    []string `json:"services,omitempty"`
	Draining    bool     `json:"draining"`
	Ended       bool     `json:"ended"`
	Clean       bool     `json:"clean,omitempty"`
}

// List is the body of a list or watch response.
type List struct {
	// ResourceVersion is the revision that the list reflects; a watch goes on
	// from it.
	ResourceVersion string   `json:"resourceVersion"`
	Items           []Object `json:"items"`
}

// EndpointSpec is what operators declare of the agent of the same name.
type EndpointSpec struct {
	// Drain: the agent takes no new work.
	Drain bool `json:"drain,omitempty"`
	// Services limits the task services that the endpoint runs; empty leaves
	// what its agent announces.
	Services []string `json:"services,omitempty"`
	// Slots and Connections limit what the agent uses of its minion; 0 leaves
	// what the agent announces.
	Slots       uint32 `json:"slots,omitempty"`
	Connections uint32 `json:"connections,omitempty"`
}

// TeamSpec is the share of a team.
type TeamSpec struct {
	// Weight is the team's part of the slots against the other teams'.
	Weight uint32 `json:"weight"`
	// TasksPerSecond is the quota of accepted tasks; 0 is no quota.
	TasksPerSecond uint32 `json:"tasksPerSecond,omitempty"`
	// Burst is how many tasks may be accepted at once beyond the rate.
	Burst uint32 `json:"burst,omitempty"`
	// MaxRunning bounds the team's tasks at agents, for each entry; 0 is no
	// bound.
	MaxRunning uint32 `json:"maxRunning,omitempty"`
	// MaxWaiting bounds the team's tasks that wait at one entry; 0 is no bound.
	MaxWaiting uint32 `json:"maxWaiting,omitempty"`
}

// SettingSpec is a named value of the fleet.
type SettingSpec struct {
	Value json.RawMessage `json:"value"`
}

// FormatVersion returns the JSON form of a revision; 0 is empty.
func FormatVersion(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return strconv.FormatUint(revision, 10)
}

// ParseVersion returns the revision of a resourceVersion; empty is 0.
func ParseVersion(version string) (uint64, bool) {
	if version == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(version, 10, 64)
	return n, err == nil && FormatVersion(n) == version
}

// Members are the control processes.
type Members struct {
	// Leader is the ID of the leading member; 0 when there is none.
	Leader uint64   `json:"leader"`
	Term   uint64   `json:"term"`
	Commit uint64   `json:"commit"`
	Items  []Member `json:"items"`
}

// Member is one control process.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Learner members have no vote.
	Learner bool `json:"learner"`
}
