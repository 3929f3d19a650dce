package cli

import (
	"encoding/json"
	"fmt"
)

// announce prints where a process listens, as one line of JSON.
func (o *output) announce(addresses map[string]string) error {
	line, err := json.Marshal(map[string]any{"ready": addresses})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.out, "%s\n", line)
	return err
}
