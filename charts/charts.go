// Package charts holds the embedded state charts of the system's machines.
package charts

import _ "embed"
