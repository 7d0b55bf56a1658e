package lead

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"sassafrasward/io/lead/message"
)

// service dispatches the jobs of other hosts.
type service struct {
	message.UnimplementedLeadServer

	dispatch *Dispatch
}

// Run implements the service.
func (s service) Run(m *message.Job, stream grpc.ServerStreamingServer[message.Progress]) (err error) {
	defer func() { err = Error.Wrap(err) }()
	send := func(p *message.Progress) error {
		b := s.dispatch.Backlog(m.GetPool(), m.GetGroup())
		p.Soon, p.All, p.Growth = b.OnTimeWait.Milliseconds(), b.LateWait.Milliseconds(), b.Growth
		return stream.Send(p)
	}
	w, wait, ok := s.dispatch.Start(decode(m))
	if !ok {
		return send(&message.Progress{Step: &message.Progress_Refused{Refused: &message.Refused{Retry: wait.Milliseconds()}}})
	}
	accepted := &message.Progress{Step: &message.Progress_Accepted{Accepted: &message.Accepted{Wait: max(wait.Milliseconds(), 1)}}}
	if err := send(accepted); err != nil {
		s.dispatch.GiveUp(w)
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
				s.dispatch.GiveUp(w)
				return err
			}
		case <-beat.C:
			if err := send(accepted); err != nil {
				s.dispatch.GiveUp(w)
				return err
			}
		case <-w.done:
		case <-stream.Context().Done():
			s.dispatch.GiveUp(w)
			return stream.Context().Err()
		}
	}
	handles, fault := s.dispatch.Wait(stream.Context(), w)
	err = send(&message.Progress{Step: &message.Progress_Ended{Ended: &message.Ended{Handles: handles, Fault: string(fault)}}})
	if err != nil {
		s.dispatch.Free(w.job.Pool, w.job.Group, handles)
	}
	return err
}

// ended reports whether the job has ended.
func (w *Work) ended() bool {
	select {
	case <-w.done:
		return true
	default:
		return false
	}
}

// Free implements the service.
func (s service) Free(_ context.Context, m *message.Handles) (*message.Freed, error) {
	s.dispatch.Free(m.GetPool(), m.GetGroup(), m.GetHandles())
	return &message.Freed{}, nil
}
