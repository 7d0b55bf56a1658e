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

// readResponse reads the answer to a call, streamed or not.
func readResponse(response *http.Response, run wire.Run, onToken func(wire.Token) error) (reply Reply, err error) {
	if strings.HasPrefix(response.Header.Get("Content-Type"), wire.ContentTypeEvents) {
		return readStream(response.Body, run, onToken)
	}
	reply, _, err = readJSON(response.Body, run)
	return reply, err
}

// readJSON reads an answer that is not streamed.
func readJSON(body io.Reader, run wire.Run) (reply Reply, ran wire.RunResult, err error) {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswerBytes)).Decode(&ran); err != nil {
		return Reply{}, ran, err
	}
	reply, err = newReply(ran, run)
	return reply, ran, err
}

// readStream reads server-sent events up to the end event, which carries the answer.
func readStream(body io.Reader, run wire.Run, onToken func(wire.Token) error) (reply Reply, err error) {
	tokens := 0
	data, err := sse.ReadUntil(body, maxAnswerBytes, wire.EventToken, wire.EventEnd, func(data []byte) error {
		tokens++
		return forwardToken(data, onToken)
	})
	if err != nil {
		return Reply{}, err
	}
	var ran wire.RunResult
	if err := json.Unmarshal(data, &ran); err != nil {
		return Reply{}, err
	}
	reply, err = newReply(ran, run)
	reply.tokens = tokens
	return reply, err
}

func forwardToken(data []byte, onToken func(wire.Token) error) error {
	if onToken == nil {
		return nil
	}
	var token wire.Token
	if err := json.Unmarshal(data, &token); err != nil {
		return err
	}
	return onToken(token)
}
