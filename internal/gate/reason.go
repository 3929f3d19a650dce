package gate

// Reason is the typed code that tells why a task was not run or failed.
type Reason uint8

const (
	// ReasonNone is no reason.
	ReasonNone Reason = iota

	// Reasons for NOT_RUN.

	// ReasonDraining: the agent takes no new work.
	ReasonDraining
	// ReasonLease: the agent's lease has run out.
	ReasonLease
	// ReasonUnconfirmed: no quorum-confirmed configuration is in force yet.
	ReasonUnconfirmed
	// ReasonMinionDown: the minion accepts no connections.
	ReasonMinionDown
	// ReasonMinionBusy: the minion answered that it has no free slot.
	ReasonMinionBusy
	// ReasonResultsFull: too many bytes of results are not safe yet.
	ReasonResultsFull
	// ReasonQueueFull: the queue is at its bound of tasks or bytes.
	ReasonQueueFull
	// ReasonUnknownService: the minion doesn't run the task's service.
	ReasonUnknownService
	// ReasonRecalled: the owner took the task back.
	ReasonRecalled
	// ReasonUnseen: the owner asked before the task had arrived.
	ReasonUnseen

	// Reasons for NOT_RUN when the task had not started, and else for FAILED.

	// ReasonDeadline: the task's time budget was used up.
	ReasonDeadline
	// ReasonCancelled: the owner cancelled the task.
	ReasonCancelled
	// ReasonStopped: the agent's process had to end.
	ReasonStopped

	// Reasons for FAILED.

	// ReasonMinionError: the minion answered with an error status.
	ReasonMinionError
	// ReasonMinionLost: the connection broke before the answer was whole.
	ReasonMinionLost
	// ReasonResultTooLarge: the result is over the bound of one result.
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

// String is the code that messages carry.
func (r Reason) String() string { return reasonCodes[r] }
