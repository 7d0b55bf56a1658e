package callerapi

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"sassafrasward/io/runner"
	"sassafrasward/io/sse"
	"sassafrasward/io/wire"
)

// stream runs the request and writes its tokens as server-sent events as they arrive. The end
// event carries the answer that a caller without streaming gets.
func (s *Server) stream(c echo.Context, request runner.Request) error {
	c.Response().Header().Set("Content-Type", wire.ContentTypeEvents)
	c.Response().WriteHeader(http.StatusOK)
	request = request.WithTokenFunc(func(t wire.Token) error { return s.writeEvent(c, wire.EventToken, t) })
	answer := s.runner.Run(c.Request().Context(), request)
	s.count(answer)
	return s.writeEvent(c, wire.EventEnd, answer)
}

// writeEvent writes one server-sent event. The write fails, which ends the stream, if the caller
// reads nothing for too long.
func (s *Server) writeEvent(c echo.Context, name string, data any) error {
	s.extendWriteDeadline(c)
	if err := sse.Write(c.Response(), name, data); err != nil {
		return err
	}
	return http.NewResponseController(c.Response()).Flush()
}
