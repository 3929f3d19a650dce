package cli

import (
	"encoding/json"
	"fmt"
)

// printAddresses prints the listen addresses of a process, by name, as one line
// of JSON under the key "ready".
func (o *output) printAddresses(addresses map[string]string) error {
	line, err := json.Marshal(map[string]any{"ready": addresses})
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(o.out, "%s\n", line)
	return err
}
