package fleet

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"dotterelgw/core/ids"
)

// revisionTimeout bounds a request for a revision, so that a request to a paused VM is repeated.
const revisionTimeout = 500 * time.Millisecond

// WithdrawKey withdraws a key through the administration API of a VM other than the given one, without waiting until the
// withdrawal is in force, and returns its revision.
func (fleet *Fleet) WithdrawKey(ctx context.Context, organisation ids.OrganisationID, key ids.KeyID, except ids.VMID) (ids.Revision, error) {
	vm := VMID(1)
	if vm == except {
		vm = VMID(2)
	}
	client, err := fleet.httpClient()
	if err != nil {
		return 0, err
	}
	path := fleet.AdminURL(vm) + "/v1/contracts/" + url.PathEscape(string(organisation)) + "/keys/" + url.PathEscape(string(key))
	request, err := http.NewRequestWithContext(ctx, http.MethodDelete, path+"?change_id="+randomHex(), nil)
	if err != nil {
		return 0, fmt.Errorf("preparing the withdrawal: %w", err)
	}
	request.Header.Set("Authorization", "Bearer "+fleet.Credential)
	response, err := client.Do(request)
	if err != nil {
		return 0, fmt.Errorf("withdrawing %s of %s: %w", key, organisation, err)
	}
	text, err := io.ReadAll(response.Body)
	if err = errors.Join(err, response.Body.Close()); err != nil {
		return 0, fmt.Errorf("reading the answer to the withdrawal: %w", err)
	}
	var changed struct {
		Revision ids.Revision `json:"revision"`
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("withdrawing %s of %s: %s: %s", key, organisation, response.Status, bytes.TrimSpace(text))
	}
	if err := json.Unmarshal(text, &changed); err != nil {
		return 0, fmt.Errorf("decoding the answer to the withdrawal: %w", err)
	}
	return changed.Revision, nil
}

// Revision returns the revision of the VM's configuration.
func (fleet *Fleet) Revision(ctx context.Context, vm ids.VMID) (ids.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	metrics, err := fleet.Metrics(ctx, vm)
	if err != nil {
		return 0, err
	}
	var gauge struct {
		Value ids.Revision `json:"value"`
	}
	if err := json.Unmarshal(metrics["control.revision"], &gauge); err != nil {
		return 0, fmt.Errorf("decoding the revision of %s: %w", vm, err)
	}
	return gauge.Value, nil
}
