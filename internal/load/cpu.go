package load

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"
)

const (
	// clockTicksPerSecond is the number of the kernel's clock ticks per second.
	// The processor times in /proc are in clock ticks.
	clockTicksPerSecond = 100
	// userTimeField is the index of the field utime, counted from the field after
	// the command name. The field stime follows it.
	userTimeField = 11
)

// cpuByRole returns the processor time of the processes in seconds, summed by
// role.
func cpuByRole(processes []Process) (map[string]float64, error) {
	sum := map[string]float64{}
	for _, p := range processes {
		seconds, err := cpuSeconds(p.PID)
		if err != nil {
			return nil, eris.Wrapf(err, "processor time of %s %d", p.Role, p.PID)
		}
		sum[p.Role] += seconds
	}
	return sum, nil
}

func cpuSeconds(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, err
	}
	// The command name is in parentheses and may contain spaces.
	_, rest, ok := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) <= userTimeField+1 {
		return 0, eris.New("stat file has an unexpected format")
	}
	user, err := strconv.ParseFloat(fields[userTimeField], 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseFloat(fields[userTimeField+1], 64)
	return (user + system) / clockTicksPerSecond, err
}
