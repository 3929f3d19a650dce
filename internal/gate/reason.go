package gate

// Reason states why a task was not run or failed.
type Reason uint8

const (
	// ReasonNone means that there is no reason.
	ReasonNone Reason = iota

	// Reasons for NOT_RUN.

	// ReasonDraining means that the agent drains and accepts no new tasks.
	ReasonDraining
	// ReasonLease means that the agent's lease has expired.
	ReasonLease
	// ReasonUnconfirmed means that the agent has no configuration yet that a
	// quorum has confirmed.
	ReasonUnconfirmed
	// ReasonMinionDown means that the minion accepts no connections.
	ReasonMinionDown
	// ReasonMinionBusy means that the minion answered that it has no free slot.
	ReasonMinionBusy
	// ReasonResultsFull means that the results held for jobs that are not
	// forgotten reach Limits.ResultBytes.
	ReasonResultsFull
	// ReasonQueueFull means that the queue has reached its limit of tasks or
	// bytes.
	ReasonQueueFull
	// ReasonUnknownService means that the minion doesn't run the task's service.
	ReasonUnknownService
	// ReasonRecalled means that the owner recalled the task.
	ReasonRecalled
	// ReasonUnseen means that the owner queried the task before it had arrived.
	ReasonUnseen

	// Reasons for NOT_RUN if the task had not started, and for FAILED otherwise.

	// ReasonDeadline means that the task's time budget was used up.
	ReasonDeadline
	// ReasonCancelled means that the owner cancelled the task.
	ReasonCancelled
	// ReasonStopped means that the agent stopped its running tasks because its
	// incarnation or process ended.
	ReasonStopped

	// Reasons for FAILED.

	// ReasonMinionError means that the minion answered with an error status.
	ReasonMinionError
	// ReasonMinionLost means that the connection broke before the whole answer
	// had arrived.
	ReasonMinionLost
	// ReasonResultTooLarge means that the result exceeds the maximum size of one
	// result.
	ReasonResultTooLarge
)

var reasonCodes = [...]string{
	ReasonNone:           "",
	ReasonDraining:       "draining",
	ReasonLease:          "lease",
	ReasonUnconfirmed:    "unconfirmed",
	ReasonMinionDown:     "minion_down",
	ReasonMinionBusy:     "minion_busy",
	ReasonResultsFull:    "results_full",
	ReasonQueueFull:      "queue_full",
	ReasonUnknownService: "unknown_service",
	ReasonRecalled:       "recalled",
	ReasonUnseen:         "unseen",
	ReasonDeadline:       "deadline",
	ReasonCancelled:      "cancelled",
	ReasonStopped:        "stopped",
	ReasonMinionError:    "minion_error",
	ReasonMinionLost:     "minion_lost",
	ReasonResultTooLarge: "result_too_large",
}

// String returns the code of the reason in messages.
func (r Reason) String() string { return reasonCodes[r] }
