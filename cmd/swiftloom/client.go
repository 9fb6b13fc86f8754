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

const apiTimeout = 30 * time.Second

// apiClient calls the operators' part of the API of one instance.
type apiClient struct {
	address string
	key     string
}

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

func (c *apiClient) do(ctx context.Context, method, path string, body []byte, v any) error {
	ctx, cancel := context.WithTimeout(ctx, apiTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, bytes.NewReader(body))
	if err != nil {
		return errors.Trace(err)
	}
	r.Header.Set("Authorization", "Bearer "+c.key)
	r.Header.Set("Content-Type", "application/json")
	w, err := http.DefaultClient.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = w.Body.Close() }()
	data, err := io.ReadAll(w.Body)
	if err != nil {
		return errors.Trace(err)
	}
	if w.StatusCode != http.StatusOK {
		var e apiError
		if err := json.Unmarshal(data, &e); err != nil || e.Kind == "" {
			return errors.Errorf("%s answers with status %d", c.address, w.StatusCode)
		}
		return errors.Errorf("%s: %s", e.Kind, e.Message)
	}
	return errors.Trace(json.Unmarshal(data, v))
}
