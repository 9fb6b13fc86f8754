package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// apiTimeout is the timeout of a call to the API, including the reply.
const apiTimeout = 30 * time.Second

// apiClient is a client for the operators' part of the API of one instance.
type apiClient struct {
	address string
	key     string
}

// apiError is the body of an error response.
type apiError struct {
	Kind    string `json:"kind"`
	Message string `json:"message"`
	NotRun  any    `json:"not_run"`
}

func (c *apiClient) get(ctx context.Context, path string, v any) error {
	return c.do(ctx, http.MethodGet, path, nil, v)
}

func (c *apiClient) post(ctx context.Context, path string, body, v any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return errors.Trace(err)
	}
	return c.do(ctx, http.MethodPost, path, data, v)
}

// do sends a request and decodes the JSON reply into v.
func (c *apiClient) do(ctx context.Context, method, path string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	request.Header.Set("Authorization", "Bearer "+c.key)
	request.Header.Set("Content-Type", "application/json")
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		var e apiError
		if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
			return errors.Errorf("%s %s at %s: got HTTP status %d, expected %d", method, path, c.address, response.StatusCode, http.StatusOK)
		}
		return errors.Errorf("%s: %s", e.Kind, e.Message)
	}
	return errors.Trace(json.Unmarshal(data, v))
}
