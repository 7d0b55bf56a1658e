package front

import (
	"net/http"

	"github.com/labstack/echo/v4"

	"sassafrasward/io/runner"
	"sassafrasward/io/sse"
	"sassafrasward/io/wire"
)

// stream runs the job and writes its tokens as server-sent events as they come. The end
// event carries the same answer that a caller without streaming gets.
func (f *Front) stream(c echo.Context, job runner.Job) error {
	c.Response().Header().Set("Content-Type", wire.ContentTypeEvents)
	c.Response().WriteHeader(http.StatusOK)
	job = job.Streaming(func(t wire.Token) error { return f.event(c, wire.EventToken, t) })
	answer := f.runner.Run(c.Request().Context(), job)
	f.count(answer)
	return f.event(c, wire.EventEnd, answer)
}

// event writes one event; a caller that takes nothing for too long ends the stream.
func (f *Front) event(c echo.Context, name string, data any) error {
	f.limitWrite(c)
	if err := sse.Write(c.Response(), name, data); err != nil {
		return err
	}
	return http.NewResponseController(c.Response()).Flush()
}
