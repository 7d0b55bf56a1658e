package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"sassafrasward/core/config"
	"sassafrasward/io/daemon"
	"sassafrasward/io/headcheck"
	"sassafrasward/io/wire"
)

const (
	// fetchTimeout bounds one read from a host, so that an unresponsive host does not block
	// the report on the fleet.
	fetchTimeout   = 5 * time.Second
	maxStatusBytes = 16 << 20 // bytes
)

// client reads from hosts.
var client = &http.Client{Transport: headcheck.NewTransport(http.DefaultTransport.(*http.Transport).Clone())}

// fetch reads path from the host at address; limit bounds the answer in bytes.
func fetch(ctx context.Context, address, path string, limit int64) (body []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err = wire.ReadWhole(response, limit)
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s%s: status %d: %s", address, path, response.StatusCode, body)
	}
	return body, nil
}

func fetchConfig(ctx context.Context, address string) (raw []byte, err error) {
	return fetch(ctx, address, wire.PathConfig, config.MaxBytes+1)
}

func fetchStatus(ctx context.Context, address string) (s daemon.Status, err error) {
	body, err := fetch(ctx, address, wire.PathStatus, maxStatusBytes)
	if err != nil {
		return s, err
	}
	return s, json.Unmarshal(body, &s)
}
