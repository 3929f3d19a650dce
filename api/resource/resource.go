// Package resource holds the JSON types and the validation of the objects that
// operators declare: endpoints, teams and settings.
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

// Plural returns the name of the kind in URL paths.
func (k Kind) Plural() string { return string(k) + "s" }

// Object is the JSON form of a resource.
type Object struct {
	Kind     Kind            `json:"kind"`
	Metadata Metadata        `json:"metadata"`
	Spec     json.RawMessage `json:"spec"`
	Status   *Status         `json:"status,omitempty"`
}

// Metadata identifies a resource and its version.
type Metadata struct {
	Name string `json:"name"`
	// ResourceVersion is the revision of the last change. In a PUT request it is the
	// version to replace; empty creates the resource.
	ResourceVersion string `json:"resourceVersion,omitempty"`
}

// Status is the state of a resource as the system reports it.
type Status struct {
	// InForce is set when every live process has applied this version of the
	// resource.
	InForce bool `json:"inForce"`
	// Instances lists the live agents of an endpoint, newest last.
	Instances []InstanceStatus `json:"instances,omitempty"`
}

// InstanceStatus is the state of one incarnation of a process.
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
	// ResourceVersion is the revision that the list reflects. A watch continues from
	// it.
	ResourceVersion string   `json:"resourceVersion"`
	Items           []Object `json:"items"`
}

// EndpointSpec holds what operators declare about the agent of the same name.
type EndpointSpec struct {
	// Drain is set when the agent must accept no new work.
	Drain bool `json:"drain,omitempty"`
	// Services limits the task services that the endpoint runs. Empty means all
	// services that its agent announces.
	Services []string `json:"services,omitempty"`
	// Slots limits the slots of the minion that the agent uses; 0 means as many as
	// the agent announces.
	Slots uint32 `json:"slots,omitempty"`
	// Connections limits the connections to the minion; 0 means as many as the agent
	// announces.
	Connections uint32 `json:"connections,omitempty"`
}

// TeamSpec holds the share and the limits of a team.
type TeamSpec struct {
	// Weight is the share of the slots that the team gets, relative to the weights
	// of the other teams.
	Weight uint32 `json:"weight"`
	// TasksPerSecond is the maximum rate of accepted tasks; 0 means no limit.
	TasksPerSecond uint32 `json:"tasksPerSecond,omitempty"`
	// Burst is the number of tasks that may be accepted at once beyond the rate.
	Burst uint32 `json:"burst,omitempty"`
	// MaxRunning is the maximum number of tasks of the team that each entry may have
	// at agents; 0 means no limit.
	MaxRunning uint32 `json:"maxRunning,omitempty"`
	// MaxWaiting is the maximum number of tasks of the team that wait at one entry; 0
	// means no limit.
	MaxWaiting uint32 `json:"maxWaiting,omitempty"`
}

// SettingSpec holds the value of a named setting of the deployment.
type SettingSpec struct {
	Value json.RawMessage `json:"value"`
}

// FormatVersion returns the JSON form of a revision; that of 0 is empty.
func FormatVersion(revision uint64) string {
	if revision == 0 {
		return ""
	}
	return strconv.FormatUint(revision, 10)
}

// ParseVersion returns the revision of a resourceVersion; that of an empty one is 0.
// The result is false for text that FormatVersion can't return.
func ParseVersion(version string) (uint64, bool) {
	if version == "" {
		return 0, true
	}
	n, err := strconv.ParseUint(version, 10, 64)
	return n, err == nil && FormatVersion(n) == version
}

// Members holds the control members and the state of their quorum.
type Members struct {
	// Leader is the ID of the leader; 0 when there is none.
	Leader uint64   `json:"leader"`
	Term   uint64   `json:"term"`
	Commit uint64   `json:"commit"`
	Items  []Member `json:"items"`
}

// Member is one control member.
type Member struct {
	ID      uint64 `json:"id"`
	Name    string `json:"name"`
	Address string `json:"address"`
	Zone    string `json:"zone"`
	// Learner is set for a member without a vote.
	Learner bool `json:"learner"`
}
