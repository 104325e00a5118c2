package membership

import (
	"context"

	"github.com/qmuntal/stateless"

	"github.com/galenaarch/galenaarch/api/memberv1"
)

type trigger string

// Triggers of a member's lifecycle.
const (
	triggerSuspect trigger = "suspect"
	triggerRefute  trigger = "refute"
	triggerExpire  trigger = "expire"
	triggerLeave   trigger = "leave"
)

// lifecycle validates the status changes of members. One state machine serves
// all members: its state is the status of subject.
type lifecycle struct {
	machine *stateless.StateMachine
	subject *memberv1.Identity
}

func newLifecycle() *lifecycle {
	l := &lifecycle{}
	m := stateless.NewStateMachineWithExternalStorage(
		func(context.Context) (any, error) { return l.subject.Status, nil },
		func(_ context.Context, s any) error {
			l.subject.Status = s.(memberv1.Status)
			return nil
		},
		stateless.FiringImmediate,
	)
	m.Configure(memberv1.Status_STATUS_ALIVE).
		Permit(triggerSuspect, memberv1.Status_STATUS_SUSPECT).
		Permit(triggerExpire, memberv1.Status_STATUS_DEAD).
		Permit(triggerLeave, memberv1.Status_STATUS_LEFT).
		PermitReentry(triggerRefute)
	m.Configure(memberv1.Status_STATUS_SUSPECT).
		PermitReentry(triggerSuspect).
		Permit(triggerRefute, memberv1.Status_STATUS_ALIVE).
		Permit(triggerExpire, memberv1.Status_STATUS_DEAD).
		Permit(triggerLeave, memberv1.Status_STATUS_LEFT)
	m.Configure(memberv1.Status_STATUS_DEAD).
		PermitReentry(triggerExpire).
		Permit(triggerRefute, memberv1.Status_STATUS_ALIVE).
		Permit(triggerLeave, memberv1.Status_STATUS_LEFT)
	l.machine = m
	return l
}

// fire applies a trigger to a member. A trigger that the member's status does
// not permit returns an error and changes nothing.
func (l *lifecycle) fire(id *memberv1.Identity, t trigger) error {
	l.subject = id
	return l.machine.Fire(t)
}

// triggerFor returns the trigger that leads to a status reported by another
// member.
func triggerFor(s memberv1.Status) trigger {
	switch s {
	case memberv1.Status_STATUS_SUSPECT:
		return triggerSuspect
	case memberv1.Status_STATUS_DEAD:
		return triggerExpire
	case memberv1.Status_STATUS_LEFT:
		return triggerLeave
	}
	return triggerRefute
}
