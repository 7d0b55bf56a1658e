package dispatch

import (
	"context"
	"time"

	"sassafrasward/core/admit"
	"sassafrasward/core/batch"
	"sassafrasward/io/dispatch/message"
	"sassafrasward/io/event"
)

const (
	// announceTimeout is the timeout of a message with announcements. Later ones are out of date.
	announceTimeout = 500 * time.Millisecond
	// reportAge is the age up to which a report is used again. A busy dispatcher sends hundreds a second;
	// a report changes little within the time that a call takes to be made up.
	reportAge = 40 * time.Millisecond
	// maxAnnounced is the number of items that are collected for a group; what exceeds it while its host
	// does not respond is dropped.
	maxAnnounced = 512
)

// groupDemand is what is to be told to the dispatcher of one group.
type groupDemand struct {
	pool, group string
	// announced has the announcements with the time at which the job is expected.
	announced []announced
	withdrawn []uint64
	// refused has the refused pieces by priority.
	refused map[int]int
}

// announced is an announcement on the clock of this host.
type announced struct {
	batch.Announcement

	arrives time.Duration
}

// hostDemand is what is to be told to one host. sending is set from the first item until the
// response.
type hostDemand struct {
	groups  map[string]*groupDemand
	sending bool
}

// Announce tells the dispatcher of a group that a job is on its way.
func (c *Client) Announce(pool, group string, a batch.Announcement) {
	arrives := c.dispatcher.clock() + a.ArrivesIn
	c.tell(pool, group, func(n *groupDemand) { n.announced = append(n.announced, announced{a, arrives}) })
}

// Withdraw tells the dispatcher of a group that an announced job will not arrive.
func (c *Client) Withdraw(pool, group string, id uint64) {
	c.tell(pool, group, func(n *groupDemand) { n.withdrawn = append(n.withdrawn, id) })
}

// RecordRefused tells the dispatcher of a group that a request with pieces for it was refused.
func (c *Client) RecordRefused(pool, group string, priority, pieces int) {
	c.tell(pool, group, func(n *groupDemand) { n.refused[priority] += pieces })
}

// tell adds to the announcements of a group. The local dispatcher gets them at once, another one within
// the delay; if it does not respond, the announcements are lost.
func (c *Client) tell(pool, group string, add func(*groupDemand)) {
	if c.announceDelay == 0 {
		return
	}
	host := c.candidates(pool, group)[0]
	if host == c.self {
		n := newGroupDemand(pool, group)
		add(n)
		c.dispatcher.announce(n)
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h, ok := c.announcements[host]
	if !ok {
		h = &hostDemand{groups: make(map[string]*groupDemand)}
		c.announcements[host] = h
	}
	key := groupKey(pool, group)
	n, ok := h.groups[key]
	if !ok {
		n = newGroupDemand(pool, group)
		h.groups[key] = n
	}
	if len(n.announced)+len(n.withdrawn) >= maxAnnounced {
		c.dispatcher.metrics.Counter("stage.announcements.dropped").Inc(1)
		return
	}
	add(n)
	if !h.sending {
		h.sending = true
		time.AfterFunc(c.announceDelay, func() { c.sendDemand(host) })
	}
}

func newGroupDemand(pool, group string) *groupDemand {
	return &groupDemand{pool: pool, group: group, refused: make(map[int]int)}
}

// takeDemand removes and returns the announcements for a host. Without any, the host is forgotten.
func (c *Client) takeDemand(host string) (list []*groupDemand) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	h := c.announcements[host]
	if len(h.groups) == 0 {
		delete(c.announcements, host)
		return nil
	}
	for _, n := range h.groups {
		list = append(list, n)
	}
	h.groups = make(map[string]*groupDemand)
	return list
}

// sendDemand sends the announcements for a host, and what was added in the meantime after another delay.
func (c *Client) sendDemand(host string) {
	if c.ctx.Err() != nil {
		return
	}
	announcements := c.takeDemand(host)
	if len(announcements) == 0 {
		return
	}
	if err := c.announceRemote(host, announcements); err != nil {
		c.dispatcher.metrics.Counter("stage.announcements.lost").Inc(1)
	}
	time.AfterFunc(c.announceDelay, func() { c.sendDemand(host) })
}

// announceRemote sends announcements to a host and stores the backlogs of its response.
func (c *Client) announceRemote(host string, announcements []*groupDemand) (err error) {
	defer func() { err = Error.Wrap(err) }()
	address, _, ok := c.hosts.Peer(host)
	if !ok {
		return Error.New("unknown host")
	}
	conn, err := c.peers.Conn(address)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(c.ctx, announceTimeout)
	defer cancel()
	now := c.dispatcher.clock()
	m := &message.Announcements{}
	for _, n := range announcements {
		m.Groups = append(m.Groups, encodeDemand(now, n))
		c.dispatcher.metrics.Counter("stage.announcements.sent").Inc(int64(len(n.announced)))
	}
	response, err := message.NewLeadClient(conn).Announce(ctx, m)
	if err != nil {
		return err
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for i, p := range response.GetBacklogs() {
		if i < len(announcements) {
			c.backlogs.Update(c.dispatcher.clock(), announcements[i].pool, announcements[i].group, decodeBacklog(p))
		}
	}
	return nil
}

// encodeDemand converts the announcements of a group to its message.
func encodeDemand(now time.Duration, n *groupDemand) *message.GroupDemand {
	m := &message.GroupDemand{Pool: n.pool, Group: n.group, Withdrawn: n.withdrawn}
	for _, a := range n.announced {
		m.Notices = append(m.Notices, &message.Notice{
			Id: a.ID, Rank: int32(a.Priority), Pieces: int32(a.Pieces), Arrives: int32(max(a.arrives-now, 0).Milliseconds()), Late: a.Late, Kept: a.Protected,
		})
	}
	for priority, pieces := range n.refused {
		m.Refused = append(m.Refused, &message.Demand{Rank: int32(priority), Pieces: int32(pieces)})
	}
	return m
}

// decodeDemand converts a message to the announcements of a group.
func decodeDemand(m *message.GroupDemand) (n *groupDemand) {
	n = newGroupDemand(m.GetPool(), m.GetGroup())
	n.withdrawn = m.GetWithdrawn()
	for _, notice := range m.GetNotices() {
		n.announced = append(n.announced, announced{Announcement: batch.Announcement{
			ID: notice.GetId(), Priority: int(notice.GetRank()), Pieces: int(notice.GetPieces()), ArrivesIn: milliseconds(int64(notice.GetArrives())),
			Late: notice.GetLate(), Protected: notice.GetKept(),
		}})
	}
	for _, d := range m.GetRefused() {
		n.refused[int(d.GetRank())] += int(max(d.GetPieces(), 0))
	}
	return n
}

// announce counts the announcements of a group that this host dispatches and returns the group's backlog.
func (d *Dispatcher) announce(n *groupDemand) (b admit.Backlog) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	g, ok := d.findGroup(n.pool, n.group)
	if !ok {
		return b
	}
	now := d.clock()
	for _, a := range n.announced {
		g.batcher.Announce(now, a.Announcement)
	}
	for _, id := range n.withdrawn {
		g.batcher.Withdraw(id)
	}
	for priority, pieces := range n.refused {
		g.batcher.RecordRefused(now, priority, pieces)
	}
	return d.report(now, g)
}

// report returns the backlog of a group, at most reportAge old. It logs when the group begins or ceases
// to shed requests. Without announcements, it is the present backlog of the mean priority.
func (d *Dispatcher) report(now time.Duration, g *group) (b admit.Backlog) {
	if !d.takesAnnouncements {
		b.OnTimeWait, b.LateWait, b.Growth = g.batcher.Backlog(now)
		return b
	}
	if g.reportedAt > 0 && now < g.reportedAt+reportAge {
		return g.reported
	}
	b = admit.ReportOf(now, g.batcher)
	if b.Scarce != g.reported.Scarce {
		event.Log(d.log, event.ScarcityChanged, "pool", g.key, "scarce", b.Scarce, "wait", b.OnTimeWait.Milliseconds(), "announced", b.Announced, "levels", describeLevels(b.Levels))
	}
	g.reported, g.reportedAt = b, now
	return b
}
