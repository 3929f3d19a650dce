package entry

import (
	"encoding/json"
	"io"
	"net/http"
	"time"

	wirepb "endivewing/api/endivewing/v1"
	apijob "endivewing/api/job"
	"endivewing/internal/entry/httpapi"
)

const (
	// maxForwardBytes is the maximum size of another entry's response.
	maxForwardBytes = 512 << 20
)

// forwardCancel asks the entry that owns a job to cancel it.
func (p *Process) forwardCancel(w requestWait, id uint64, wait time.Duration, group *wirepb.Group) (*apijob.Job, error) {
	owner := p.snapshots.get().view.Instances[group.GetOwner()]
	if owner == nil || owner.Ended || owner.HttpAddress == "" {
		return nil, unavailableError("the job has no owner now; try again")
	}
	url := "http://" + owner.HttpAddress + "/v1/jobs/" + apijob.FormatID(id) + "?wait=" + wait.String()
	request, err := http.NewRequestWithContext(w.readCtx, http.MethodDelete, url, nil)
	if err != nil {
		return nil, unavailableError("the owner's address is not usable")
	}
	request.Header.Set(httpapi.ForwardedHeader, p.opts.Name)
	response, err := p.forwardClient.Do(request)
	if err != nil {
		return nil, unavailableError("the job's owner can't be reached; the cancel may or may not take effect")
	}
	defer func() { _ = response.Body.Close() }()
	return decodeJob(response)
}

func decodeJob(r *http.Response) (*apijob.Job, error) {
	body := json.NewDecoder(io.LimitReader(r.Body, maxForwardBytes))
	if r.StatusCode >= http.StatusBadRequest {
		e := &apijob.Error{}
		if err := body.Decode(e); err != nil {
			return nil, unavailableError("the job's owner answered nothing readable")
		}
		return nil, e
	}
	j := &apijob.Job{}
	if err := body.Decode(j); err != nil {
		return nil, unavailableError("the job's owner answered nothing readable")
	}
	return j, nil
}
