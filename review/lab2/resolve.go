package main

import (
	"encoding/json"
	"net/http"
	"time"
)

// resolve asks the directory of a host where to connect, and returns the addresses with the time for which they hold.
func (h *host) resolve() (addresses []string, ttl time.Duration) {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + h.settings["listen.directory"] + "/resolve?name=pule25.example&region=ch-mittelland&zone=bern-a")
	if err != nil {
		return nil, 0
	}
	defer func() { _ = response.Body.Close() }()
	var list struct {
		Addresses []string `json:"addresses"`
		TTL       float64  `json:"ttlS"`
	}
	if json.NewDecoder(response.Body).Decode(&list) != nil {
		return nil, 0
	}
	return list.Addresses, time.Duration(list.TTL * float64(time.Second))
}
