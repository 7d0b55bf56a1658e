package dispatch

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"sassafrasward/io/dispatch/message"
)

// service is the gRPC service by which other hosts submit jobs to this host's dispatcher.
type service struct {
	message.UnimplementedLeadServer

	dispatcher *Dispatcher
}

// Run dispatches a job. It reports whether the job was accepted, then sends heartbeats, and at
// last the results or the fault. If the call is canceled, so is the job. A draining host responds with
// FaultUnresponsive.
func (s service) Run(m *message.Job, stream grpc.ServerStreamingServer[message.Progress]) (err error) {
	defer func() { err = Error.Wrap(err) }()
	send := func(p *message.Progress) error {
		b := s.dispatcher.Backlog(m.GetPool(), m.GetGroup())
		encodeBacklog(p, b)
		return stream.Send(p)
	}
	s.dispatcher.remoteJobs.Add(1)
	defer s.dispatcher.remoteJobs.Add(-1)
	if s.dispatcher.draining.Load() {
		return send(&message.Progress{Step: &message.Progress_Ended{Ended: &message.Ended{Fault: string(FaultUnresponsive)}}})
	}
	a, wait, ok := s.dispatcher.Submit(decode(m))
	if !ok {
		return send(&message.Progress{Step: &message.Progress_Refused{Refused: &message.Refused{Retry: wait.Milliseconds()}}})
	}
	accepted := &message.Progress{Step: &message.Progress_Accepted{Accepted: &message.Accepted{Wait: max(wait.Milliseconds(), 1)}}}
	if err := send(accepted); err != nil {
		s.dispatcher.Cancel(a)
		return err
	}
	heartbeat := time.NewTicker(heartbeatInterval)
	defer heartbeat.Stop()
	inputsRead := a.inputsRead
	for !a.ended() {
		select {
		case <-inputsRead:
			inputsRead = nil
			if err := send(&message.Progress{Step: &message.Progress_Accepted{Accepted: &message.Accepted{}}}); err != nil {
				s.dispatcher.Cancel(a)
				return err
			}
		case <-heartbeat.C:
			if err := send(accepted); err != nil {
				s.dispatcher.Cancel(a)
				return err
			}
		case <-a.done:
		case <-stream.Context().Done():
			s.dispatcher.Cancel(a)
			return stream.Context().Err()
		}
	}
	handles, fault := s.dispatcher.Wait(stream.Context(), a)
	err = send(&message.Progress{Step: &message.Progress_Ended{Ended: &message.Ended{Handles: handles, Fault: string(fault)}}})
	if err != nil {
		s.dispatcher.Free(a.job.Pool, a.job.Group, handles)
	}
	return err
}

// ended reports whether the job has ended.
func (a *ActiveJob) ended() bool {
	select {
	case <-a.done:
		return true
	default:
		return false
	}
}

// Free releases results.
func (s service) Free(_ context.Context, m *message.Handles) (*message.Freed, error) {
	s.dispatcher.Free(m.GetPool(), m.GetGroup(), m.GetHandles())
	return &message.Freed{}, nil
}

// Announce counts work that is on its way to groups that this host dispatches.
func (s service) Announce(_ context.Context, m *message.Announcements) (*message.Backlogs, error) {
	response := &message.Backlogs{}
	for _, g := range m.GetGroups() {
		p := &message.Progress{}
		encodeBacklog(p, s.dispatcher.announce(decodeDemand(g)))
		response.Backlogs = append(response.Backlogs, p)
	}
	return response, nil
}
