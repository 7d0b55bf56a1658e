package dispatch

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"sassafrasward/io/dispatch/message"
)

// service dispatches the jobs of other hosts.
type service struct {
	message.UnimplementedLeadServer

	dispatcher *Dispatcher
}

// Run implements the service.
func (s service) Run(m *message.Job, stream grpc.ServerStreamingServer[message.Progress]) (err error) {
	defer func() { err = Error.Wrap(err) }()
	send := func(p *message.Progress) error {
		b := s.dispatcher.Backlog(m.GetPool(), m.GetGroup())
		p.Soon, p.All, p.Growth = b.OnTimeWait.Milliseconds(), b.LateWait.Milliseconds(), b.Growth
		return stream.Send(p)
	}
	w, wait, ok := s.dispatcher.Submit(decode(m))
	if !ok {
		return send(&message.Progress{Step: &message.Progress_Refused{Refused: &message.Refused{Retry: wait.Milliseconds()}}})
	}
	accepted := &message.Progress{Step: &message.Progress_Accepted{Accepted: &message.Accepted{Wait: max(wait.Milliseconds(), 1)}}}
	if err := send(accepted); err != nil {
		s.dispatcher.Cancel(w)
		return err
	}
	beat := time.NewTicker(beatTime)
	defer beat.Stop()
	read := w.read
	for !w.ended() {
		select {
		case <-read:
			read = nil
			if err := send(&message.Progress{Step: &message.Progress_Accepted{Accepted: &message.Accepted{}}}); err != nil {
				s.dispatcher.Cancel(w)
				return err
			}
		case <-beat.C:
			if err := send(accepted); err != nil {
				s.dispatcher.Cancel(w)
				return err
			}
		case <-w.done:
		case <-stream.Context().Done():
			s.dispatcher.Cancel(w)
			return stream.Context().Err()
		}
	}
	handles, fault := s.dispatcher.Wait(stream.Context(), w)
	err = send(&message.Progress{Step: &message.Progress_Ended{Ended: &message.Ended{Handles: handles, Fault: string(fault)}}})
	if err != nil {
		s.dispatcher.Free(w.job.Pool, w.job.Group, handles)
	}
	return err
}

// ended reports whether the job has ended.
func (w *ActiveJob) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// Free implements the service.
func (s service) Free(_ context.Context, m *message.Handles) (*message.Freed, error) {
	s.dispatcher.Free(m.GetPool(), m.GetGroup(), m.GetHandles())
	return &message.Freed{}, nil
}
