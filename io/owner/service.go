package owner

import (
	"context"
	"encoding/json"
	"time"

	"google.golang.org/grpc"

	"sassafrasward/core/command"
	"sassafrasward/core/outcome"
	"sassafrasward/core/reason"
	"sassafrasward/io/event"
	"sassafrasward/io/forward"
	"sassafrasward/io/runner"
	"sassafrasward/io/wire"
)

// service is the gRPC interface of an Owner for other hosts.
type service struct {
	forward.UnimplementedCommandsServer
	owner *Owner
}

// Register serves other hosts on the registrar.
func (o *Owner) Register(r grpc.ServiceRegistrar) {
	forward.RegisterCommandsServer(r, &service{owner: o})
}

// Forward implements forward.CommandsServer.
func (s *service) Forward(ctx context.Context, in *forward.Command) (reply *forward.Reply, err error) {
	defer func() { err = Error.Wrap(err) }()
	var request wire.Request
	if err := json.Unmarshal(in.GetBody(), &request); err != nil {
		return nil, err
	}
	answer, ok := s.owner.serve(ctx, in.GetRequest(), in.GetPipeline(), request)
	if !ok {
		return &forward.Reply{}, nil
	}
	body, err := json.Marshal(answer)
	if err != nil {
		return nil, err
	}
	return &forward.Reply{Held: true, Answer: body}, nil
}

// serve answers a forwarded command. It is not ok if this host neither is the owner nor
// holds the owner's records.
func (o *Owner) serve(ctx context.Context, id, pipeline string, request wire.Request) (answer wire.Answer, ok bool) {
	c, why := parse(pipeline, request)
	if why != reason.None {
		return refuse(id, why, ""), true
	}
	if !o.owns(c.key) {
		return o.inherited(id, c)
	}
	doc := o.views.Load().Document()
	if doc == nil {
		return refuse(id, reason.OwnerUnreachable, "no configuration"), true
	}
	// If this host's configuration does not have the pipeline, a record still answers.
	p, _ := doc.Pipeline(pipeline)
	return o.local(ctx, runner.NewJob(id, p, request, nil), c), true
}

// Handover implements forward.CommandsServer.
func (s *service) Handover(_ context.Context, in *forward.Records) (taken *forward.Taken, err error) {
	defer func() { err = Error.Wrap(err) }()
	records := make([]command.Record, 0, len(in.GetRecords()))
	for _, r := range in.GetRecords() {
		record, err := decode(r)
		if err != nil {
			return nil, err
		}
		records = append(records, record)
	}
	return &forward.Taken{All: s.owner.take(records)}, nil
}

func (o *Owner) take(records []command.Record) bool {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	if o.draining {
		return false
	}
	all := o.successor.Import(o.clock(), records)
	event.Log(o.log, event.HandoverReceived, "records", len(records), "all", all)
	return all
}

func decode(r *forward.Record) (record command.Record, err error) {
	key, err := command.Parse(r.GetKey())
	if err != nil {
		return record, err
	}
	end, ok := outcome.Parse(r.GetOutcome())
	var f command.Fingerprint
	if !ok || len(r.GetFingerprint()) != len(f) {
		return record, Error.New("record of key %s has outcome %q and a fingerprint of %d bytes", key, r.GetOutcome(), len(r.GetFingerprint()))
	}
	copy(f[:], r.GetFingerprint())
	why, _ := reason.Parse(r.GetReason())
	result := command.NewResult(end, why, r.GetAnswer())
	if len(r.GetAnswer()) == 0 {
		result = command.NewResultWithoutAnswer(end, why, int(r.GetSize()))
	}
	return command.NewRecord(key, r.GetWorkspace(), f, time.Duration(r.GetLeft())*time.Millisecond, result), nil
}

func encode(r command.Record) *forward.Record {
	f := r.Fingerprint()
	return &forward.Record{
		Key: r.Key().String(), Workspace: r.Workspace(), Fingerprint: f[:], Left: r.TTL().Milliseconds(),
		Outcome: r.Result().Outcome().String(), Reason: r.Result().Reason().String(),
		Answer: r.Result().Answer(), Size: int64(r.Result().Size()),
	}
}
