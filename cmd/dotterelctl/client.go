package main

import (
	"bytes"
	"context"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"dotterelgw/io/admin"
)

const (
	dialTimeout = 2 * time.Second
	// callTimeout exceeds the 6 s that the API may need to determine the outcome of a change.
	callTimeout = 15 * time.Second
	// responseLimit bounds the size of a response; 7,000 groups of 500 bytes each take 3.5 MB.
	responseLimit = 64 << 20
)

// client calls the administration APIs. It tries the URLs in order until one API answers.
type client struct {
	urls       []string
	credential string
	http       *http.Client
}

func (tool *tool) client() (*client, error) {
	client := &client{}
	for _, text := range strings.Split(tool.admin, ",") {
		text = strings.TrimSuffix(strings.TrimSpace(text), "/")
		if text == "" {
			continue
		}
		parsed, err := url.Parse(text)
		if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
			return nil, &usageError{fmt.Sprintf("-admin: %q is not a URL", text), "give URLs such as https://10.0.0.1:7443"}
		}
		client.urls = append(client.urls, text)
	}
	if len(client.urls) == 0 {
		return nil, &usageError{"-admin is missing", "name one or more administration APIs, or set DOTTEREL_ADMIN"}
	}
	if tool.credentialFile == "" {
		return nil, &usageError{"-credential-file is missing", "name the file with your credential, or set DOTTEREL_CREDENTIAL_FILE"}
	}
	credential, err := os.ReadFile(tool.credentialFile)
	if err != nil {
		return nil, &usageError{"-credential-file: " + err.Error(), "name a file that you can read"}
	}
	client.credential = strings.TrimSpace(string(credential))
	transport := &http.Transport{
		DialContext:     (&net.Dialer{Timeout: dialTimeout}).DialContext,
		TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS13},
	}
	if tool.ca != "" {
		text, err := os.ReadFile(tool.ca)
		if err != nil {
			return nil, &usageError{"-ca: " + err.Error(), "name a file that you can read"}
		}
		pool := x509.NewCertPool()
		if !pool.AppendCertsFromPEM(text) {
			return nil, &usageError{"-ca: " + tool.ca + " holds no certificate", "name a PEM file with the certificate authority"}
		}
		transport.TLSClientConfig.RootCAs = pool
	}
	client.http = &http.Client{Transport: transport, Timeout: callTimeout}
	if tool.wait {
		client.http.Timeout += tool.waitTimeout
	}
	return client, nil
}

// call sends a request to one API after the other until one can serve it. This is safe for changes too, because their
// change id makes them idempotent.
func (client *client) call(ctx context.Context, method, path string, query url.Values, body, result any) error {
	var failures error
	var unknown, unavailable *admin.Problem
	for _, base := range client.urls {
		err := client.callOne(ctx, base, method, path, query, body, result)
		var problem *admin.Problem
		switch {
		case errors.As(err, &problem) && problem.Code == admin.CodeUnavailable:
			unavailable = problem // another VM may have a majority
		case problem != nil && problem.Code == admin.CodeOutcomeUnknown && unknown == nil:
			unknown = problem // another VM may reach the service; a second unknown outcome counts as an outage
		case problem != nil && problem.Code != admin.CodeConflict && unknown != nil:
			return unknown // the previous VM may have stored the change that this VM refuses; a conflict would show that
		case err == nil || problem != nil || ctx.Err() != nil:
			return err
		default:
			failures = errors.Join(failures, err)
		}
	}
	switch {
	case unknown != nil:
		return unknown // takes precedence over the answers of VMs that changed nothing
	case unavailable != nil:
		return unavailable
	default:
		return &unreachableError{err: failures}
	}
}

// callOne sends a request to one API. If the API answers with a problem, the error is an *admin.Problem.
func (client *client) callOne(ctx context.Context, base, method, path string, query url.Values, body, result any) error {
	var payload io.Reader
	if body != nil {
		text, err := json.Marshal(body)
		if err != nil {
			return fmt.Errorf("encoding the request: %w", err)
		}
		payload = bytes.NewReader(text)
	}
	target := base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, method, target, payload)
	if err != nil {
		return fmt.Errorf("creating a request to %s: %w", base, err)
	}
	request.Header.Set("Authorization", "Bearer "+client.credential)
	response, err := client.http.Do(request)
	if err != nil {
		return err // already contains the method and the URL
	}
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(io.LimitReader(response.Body, responseLimit))
	if err != nil {
		return fmt.Errorf("reading the response of %s: %w", base, err)
	}
	if response.StatusCode != http.StatusOK {
		problem := &admin.Problem{}
		if err := json.Unmarshal(text, problem); err != nil || problem.Code == "" {
			return fmt.Errorf("%s is not an administration API: status %s", base, response.Status)
		}
		return problem
	}
	if err := json.Unmarshal(text, result); err != nil {
		return fmt.Errorf("decoding the response of %s: %w", base, err)
	}
	return nil
}

// changeQuery returns the query parameters for -wait. If -change-id is not set, it also generates the change id.
func (tool *tool) changeQuery() url.Values {
	if tool.changeID == "" {
		random := make([]byte, 16)
		_, _ = rand.Read(random) // never fails
		tool.changeID = hex.EncodeToString(random)
	}
	query := url.Values{}
	if tool.wait {
		query.Set("wait", "true")
		query.Set("timeout", tool.waitTimeout.String())
	}
	return query
}
