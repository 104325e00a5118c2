/*
 * Which entry instance issues the permits of a rate-limited server. Instance 0
 * ranks before instance 1. Each polls the control instances, which list the
 * instances that polled them recently. An instance leads while it ranks first
 * among the accepting ones in current responses, and a majority of the control
 * instances has listed it in response to a poll that began at most LEAD_TTL ago;
 * it issues once it has led for LEAD_DELAY. Two majorities have a control instance
 * in common: only that one is modeled. A stopping instance issues for up to
 * RESIGN_TIME more. Responses are delayed and polls get lost without bound, which
 * also covers instances that are frozen.
 *
 * Invariant: at most one instance issues.
 *
 * Mutations, each of which must violate the assertion:
 *  - AGE_FROM_RESPONSE: a poll counts from its response and not from its start.
 *  - ISSUE_AT_ONCE: an instance issues as soon as it leads.
 *  - SHORT_DELAY: it issues after LEAD_TTL, when another one may still issue.
 *  - NO_MAJORITY: an instance leads without the control instance in common.
 *  - RESIGN_LATE: a stopping instance issues for longer than LEAD_DELAY.
 */
#define POLL_GRACE 1 /* an instance is listed for so long after a poll */
#define LEAD_TTL   1
#ifdef SHORT_DELAY
#define LEAD_DELAY 1
#else
#define LEAD_DELAY 2
#endif
#ifdef RESIGN_LATE
#define RESIGN_TIME 4
#else
#define RESIGN_TIME 1
#endif
#define MAX_AGE 4
#define NEVER   4

/* At the control instance: age of the last poll, and what it said. */
byte polled_age[2] = NEVER;
bool listed_accepting[2];

/* Polls in flight: stage 0 none, 1 arrived at control, 2 answered. */
byte stage[2];
byte poll_age[2];
bool answer_lists_other[2], answer_lists_self[2];

/* At the instance: age of the last completed poll, and its response. */
byte confirmed_age[2] = NEVER;
bool lists_other[2], lists_self[2];

bool accepting[2] = true;
byte drain_age[2];
byte led_for[2];
bool leading[2];

#define listed(i) (polled_age[i] <= POLL_GRACE)
#define current(i) (confirmed_age[i] <= LEAD_TTL)
#ifdef NO_MAJORITY
#define confirmed(i) true
#else
#define confirmed(i) (current(i) && lists_self[i])
#endif
#define eligible(i) (confirmed(i) && (accepting[i] || drain_age[i] < RESIGN_TIME))
#define leads(i) (eligible(i) && !(i == 1 && current(1) && lists_other[1]))
#ifdef ISSUE_AT_ONCE
#define issues(i) (leads(i))
#else
#define issues(i) (leads(i) && leading[i] && led_for[i] >= LEAD_DELAY)
#endif

inline older(age) { if :: age < MAX_AGE -> age++ :: else -> skip fi }

/* The instance notices whether it leads. */
inline update(i) {
	if
	:: !leads(i) -> leading[i] = false; led_for[i] = 0
	:: leads(i) && !leading[i] -> leading[i] = true; led_for[i] = 0
	:: else -> skip
	fi
}

/* Values without a meaning are cleared, which keeps the number of states small. */
inline forget(i) { stage[i] = 0; poll_age[i] = 0; answer_lists_other[i] = false; answer_lists_self[i] = false }

inline grow(i) {
	older(polled_age[i]); older(confirmed_age[i]);
	if :: stage[i] > 0 -> older(poll_age[i]) :: else -> skip fi;
	if :: !accepting[i] -> older(drain_age[i]) :: else -> skip fi;
	if :: leading[i] -> older(led_for[i]) :: else -> skip fi;
	update(i)
}

active proctype System() {
	byte i;
	do
	:: atomic { /* a unit of time passes */
		grow(0); grow(1);
		assert(!(issues(0) && issues(1))) }
	:: atomic { /* a poll arrives at the control instance */
		if :: i = 0 :: i = 1 fi;
		if
		:: stage[i] == 0 -> stage[i] = 1; poll_age[i] = 0; polled_age[i] = 0; listed_accepting[i] = accepting[i]
		:: else -> skip
		fi;
		i = 0 }
	:: atomic { /* it is answered */
		if :: i = 0 :: i = 1 fi;
		if
		:: stage[i] == 1 -> stage[i] = 2; polled_age[i] = 0;
			answer_lists_other[i] = listed(1 - i) && listed_accepting[1 - i];
			answer_lists_self[i] = listed_accepting[i] || !accepting[i]
		:: else -> skip
		fi;
		i = 0 }
	:: atomic { /* the response arrives */
		if :: i = 0 :: i = 1 fi;
		if
		:: stage[i] == 2 ->
#ifdef AGE_FROM_RESPONSE
			confirmed_age[i] = 0;
#else
			confirmed_age[i] = poll_age[i];
#endif
			lists_other[i] = answer_lists_other[i]; lists_self[i] = answer_lists_self[i];
			forget(i);
			update(i);
			assert(!(issues(0) && issues(1)))
		:: else -> skip
		fi;
		i = 0 }
	:: atomic { /* a poll or its response is lost */
		if :: i = 0 :: i = 1 fi;
		forget(i); i = 0 }
	:: atomic { /* an instance begins to stop */
		i = 0;
		if :: accepting[i] -> accepting[i] = false; drain_age[i] = 0 :: else -> skip fi }
	:: atomic { /* a stopped instance is replaced by a new process */
		i = 0;
		if
		:: !accepting[i] && drain_age[i] > RESIGN_TIME ->
			accepting[i] = true; forget(i); drain_age[i] = 0; confirmed_age[i] = NEVER; lists_other[i] = false; lists_self[i] = false; leading[i] = false; led_for[i] = 0
		:: else -> skip
		fi;
		i = 0 }
	od
}
