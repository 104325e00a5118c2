package evacuation

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/galenaarch/galenaarch/api/controlv1"
	"github.com/galenaarch/galenaarch/control/state"
)

// log is a control group with one state. Each operator reaches it through an instance of its own.
type log struct {
	state *state.State
	// loseAcknowledgement fails the next publication after it was recorded, unavailable all calls.
	loseAcknowledgement, unavailable bool
	// beforePublish is called between reading and publishing.
	beforePublish func()
}

var errNoLeader = errors.New("no leader")

func newLog() *log { return &log{state: state.New(), beforePublish: func() {}} }

func (l *log) NewestDocument(_ context.Context, name string) (*controlv1.PublishedDocument, error) {
	if l.unavailable {
		return nil, errNoLeader
	}
	return l.state.Published(name), nil
}

func (l *log) Publish(_ context.Context, d *controlv1.PublishedDocument) (*controlv1.PublishResponse, error) {
	l.beforePublish()
	if l.unavailable {
		return nil, errNoLeader
	}
	response := l.state.Apply(&controlv1.Command{Body: &controlv1.Command_Publish{Publish: &controlv1.PublishRequest{Document: d}}}).GetPublish()
	if l.loseAcknowledgement {
		l.loseAcknowledgement = false
		return nil, errNoLeader
	}
	return response, nil
}

func (l *log) orders() Orders {
	documents := make(map[string]*controlv1.PublishedDocument)
	for _, d := range l.state.PublishedWithPrefix("") {
		documents[d.Name] = d
	}
	return FromDocuments(documents)
}

func (l *log) apply(domain string, empty bool) error {
	_, err := Apply(context.Background(), l, domain, empty, "operator", time.UnixMilli(1000))
	return err
}

func TestTwoDomainsAreOrderedAndWithdrawnApart(t *testing.T) {
	l := newLog()
	require.Empty(t, l.orders().Domains())
	require.NoError(t, l.apply("b", true))
	require.NoError(t, l.apply("a", true))
	before := l.orders()
	require.Equal(t, []string{"a", "b"}, before.Domains())
	require.Equal(t, "operator", before["a"].Author)
	require.NoError(t, l.apply("b", false))
	require.Equal(t, []string{"a"}, l.orders().Domains())
	emptied, restored := l.orders().Changed(before)
	require.Empty(t, emptied)
	require.Equal(t, []string{"b"}, restored)
}

// The leader is lost after it has recorded an order and before it has acknowledged it.
func TestOrderIsRepeatedAfterLostAcknowledgement(t *testing.T) {
	l := newLog()
	l.loseAcknowledgement = true
	require.ErrorIs(t, l.apply("a", true), errNoLeader)
	require.NoError(t, l.apply("a", true))
	require.NoError(t, l.apply("a", true))
	require.True(t, l.orders().Empties("a"))
	l.unavailable = true
	require.ErrorIs(t, l.apply("a", false), errNoLeader)
	require.True(t, l.orders().Empties("a"))
}

// An order is delayed between reading and publishing, while its operator repeats and then withdraws
// it at another control instance. It must not take force again.
func TestDelayedOrderDoesNotUndoLaterWithdrawal(t *testing.T) {
	for _, repeated := range []bool{false, true} {
		l := newLog()
		l.beforePublish = func() {
			l.beforePublish = func() {}
			if repeated {
				require.NoError(t, l.apply("a", true))
			}
			require.NoError(t, l.apply("a", false))
		}
		require.NoError(t, l.apply("a", true))
		require.False(t, l.orders().Empties("a"), "repeated %v", repeated)
	}
}

// Operators order and withdraw at two control instances at once. Afterwards the state is that of an
// order that no acknowledged one has followed.
func TestRacingOrdersEndInStateOfLastOne(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := newLog()
		first, second := rapid.Bool().Draw(t, "first"), rapid.Bool().Draw(t, "second")
		for range rapid.IntRange(0, 4).Draw(t, "earlier") {
			require.NoError(t, l.apply("a", rapid.Bool().Draw(t, "empty")))
		}
		version := l.orders()["a"].Version
		l.beforePublish = func() {
			l.beforePublish = func() {}
			require.NoError(t, l.apply("a", second))
		}
		require.NoError(t, l.apply("a", first))
		require.Greater(t, l.orders()["a"].Version, version)
		if first == second {
			require.Equal(t, first, l.orders().Empties("a"))
		}
		last := rapid.Bool().Draw(t, "last")
		require.NoError(t, l.apply("a", last))
		require.Equal(t, last, l.orders().Empties("a"))
	})
}

// A replica of an older build knows nothing of evacuations. It keeps the record in its snapshots, and
// returns it unchanged.
func TestRecordSurvivesSnapshotOfReplicaThatDoesNotKnowIt(t *testing.T) {
	l := newLog()
	require.NoError(t, l.apply("a", true))
	data, err := l.state.Snapshot()
	require.NoError(t, err)
	restored, err := state.Restore(data)
	require.NoError(t, err)
	again := &log{state: restored, beforePublish: func() {}}
	require.Equal(t, l.orders(), again.orders())
	require.NoError(t, again.apply("a", false))
	require.False(t, again.orders().Empties("a"))
}

func TestDomainsAreChecked(t *testing.T) {
	for _, domain := range []string{"", "a b", "a\n", "a\x00", "\xff", strings.Repeat("a", MaxDomainBytes+1)} {
		require.Error(t, CheckKnown(domain, nil, nil), "%q", domain)
	}
	require.NoError(t, CheckKnown("a", nil, nil), "no domain is known yet")
	known := map[string]bool{"b": true, "a": true}
	require.NoError(t, CheckKnown("a", known, nil))
	require.NoError(t, CheckKnown("c", known, Orders{"c": {}}), "ordered before")
	var unknown *UnknownDomainError
	require.ErrorAs(t, CheckKnown("c", known, nil), &unknown)
	require.Equal(t, []string{"a", "b"}, unknown.Known)
	full := make(Orders)
	for i := range MaxDomains {
		full[fmt.Sprint(i)] = Order{}
	}
	require.ErrorContains(t, CheckKnown("a", known, full), "256 failure domains already")
	require.NoError(t, CheckKnown("7", known, full))
}

func TestUnreadableContentDoesNotChangeOrder(t *testing.T) {
	for _, body := range []string{"", "{", `{"author":5}`, strings.Repeat("x", 1<<10)} {
		order, ok := Decode(DocumentName("a"), 3, []byte(body))
		require.True(t, ok)
		require.True(t, order.InForce())
	}
	for _, name := range []string{"site", "weights/a", "evacuation/", "evacuation"} {
		_, ok := Decode(name, 3, nil)
		require.False(t, ok, name)
	}
}
