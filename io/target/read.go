package target

import (
	"bufio"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strings"

	"github.com/zeebo/errs"

	"sassafrasward/io/wire"
)

func dialer() *net.Dialer { return &net.Dialer{Timeout: dialTimeout} }

// read takes the answer of a call, streamed or whole.
func read(response *http.Response, run wire.Run, each func(wire.Token) error) (reply Reply, err error) {
	if strings.HasPrefix(response.Header.Get("Content-Type"), wire.ContentEvents) {
		return stream(response.Body, run, each)
	}
	reply, _, err = readWhole(response.Body, run)
	return reply, err
}

// readWhole takes an answer that is not streamed.
func readWhole(body io.Reader, run wire.Run) (reply Reply, ran wire.Ran, err error) {
	if err := json.NewDecoder(io.LimitReader(body, maxAnswer)).Decode(&ran); err != nil {
		return Reply{}, ran, err
	}
	reply, err = check(ran, run)
	return reply, ran, err
}

// stream reads server-sent events up to the end event.
func stream(body io.Reader, run wire.Run, each func(wire.Token) error) (reply Reply, err error) {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 0, 4096), maxAnswer)
	name, tokens := "", 0
	for scanner.Scan() {
		key, value, _ := strings.Cut(scanner.Text(), ":")
		value = strings.TrimPrefix(value, " ")
		switch {
		case key == "event":
			name = value
		case key == "data" && name == wire.EventToken:
			tokens++
			if err := pass(value, each); err != nil {
				return Reply{}, err
			}
		case key == "data" && name == wire.EventEnd:
			var ran wire.Ran
			if err := json.Unmarshal([]byte(value), &ran); err != nil {
				return Reply{}, err
			}
			reply, err = check(ran, run)
			reply.tokens = tokens
			return reply, err
		}
	}
	if err := scanner.Err(); err != nil {
		return Reply{}, err
	}
	return Reply{}, errs.New("the stream ended before its end event")
}

func pass(data string, each func(wire.Token) error) error {
	if each == nil {
		return nil
	}
	var token wire.Token
	if err := json.Unmarshal([]byte(data), &token); err != nil {
		return err
	}
	return each(token)
}
