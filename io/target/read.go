package target

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"sassafrasward/io/sse"
	"sassafrasward/io/wire"
)

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// read takes the answer of a call, streamed or whole.
func read(response *http.Response, run wire.Run, each func(wire.Token) error) (reply Reply, err error) {
	if strings.HasPrefix(response.Header.Get("Content-Type"), wire.ContentTypeEvents) {
		return stream(response.Body, run, each)
	}
	reply, _, err = readWhole(response.Body, run)
	return reply, err
}

// readWhole takes an answer that is not streamed.
func readWhole(body io.Reader, run wire.Run) (reply Reply, ran wire.RunResult, err error) {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&ran); err != nil {
		return Reply{}, ran, err
	}
	reply, err = check(ran, run)
	return reply, ran, err
}

// stream reads server-sent events up to the end event.
func stream(body io.Reader, run wire.Run, each func(wire.Token) error) (reply Reply, err error) {
	tokens := 0
	data, err := sse.ReadUntil(body, maxAnswer, wire.EventToken, wire.EventEnd, func(data []byte) error {
		tokens++
		return pass(data, each)
	})
	if err != nil {
		return Reply{}, err
	}
	var ran wire.RunResult
	if err := json.Unmarshal(data, &ran); err != nil {
		return Reply{}, err
	}
	reply, err = check(ran, run)
	reply.tokens = tokens
	return reply, err
}

func pass(data []byte, each func(wire.Token) error) error {
	if each == nil {
		return nil
	}
	var token wire.Token
	if err := json.Unmarshal(data, &token); err != nil {
		return err
	}
	return each(token)
}
