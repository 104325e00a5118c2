/*
 * A non-idempotent call that its caller sends through two entries under the
 * same idempotency key. A change of the call's record is one step of the
 * replicated log (see agreement.pml). Any response may be lost, an entry may
 * crash at any point, and a connection may break before or after the server
 * received the call.
 *
 * Invariants:
 *  - "A non-idempotent request runs at most once" (runs).
 *  - "When a refusal says 'not run', the request really did not run": when the
 *    refusal is given, no attempt has run or can still run (never_runs).
 *
 * Mutations, each of which must violate an assertion:
 *  - DISPATCH_BEFORE_COMMIT: an entry dispatches before the record is
 *    committed.
 *  - RERUN_UNKNOWN: a call whose outcome is unknown is granted again.
 *  - RERUN_ABANDONED: a call begun by a crashed entry is granted again.
 *  - BROKEN_CONNECTION_IS_NOT_RUN: a connection that broke after the first
 *    byte was sent counts as not run.
 *  - RECORD_EXPIRES_EARLY: the record is dropped while the caller still
 *    retries.
 *  - ATTEMPT_NOT_CHECKED: a late outcome of an earlier attempt is recorded for
 *    a later one.
 */
#define NONE     0
#define BEGUN    1
#define FINISHED 2
#define UNKNOWN  3
#define NOT_RUN  4

#define MAX_TRIES 2

/* The call's record in control. */
byte record_state = NONE;
byte attempt;
byte holder;

/* The attempt whose NOT_RUN outcome may reach control a second time; 0 for
 * none. */
byte resent_not_run;

/* The server. in_transit counts calls on their way to it. */
byte runs;
byte in_transit;

#define never_runs (runs == 0 && in_transit == 0)

inline record_outcome(my_attempt, outcome) {
	if
#ifdef ATTEMPT_NOT_CHECKED
	:: record_state == BEGUN || record_state == UNKNOWN -> record_state = outcome
#else
	:: (record_state == BEGUN || record_state == UNKNOWN) && attempt == my_attempt -> record_state = outcome
#endif
	:: else
	fi
}

proctype Entry(byte id) {
	byte my_attempt;
	byte tries;
	bool granted;
	do
	:: tries < MAX_TRIES -> tries++;
		granted = false;
		do /* Begin the call; retry if the response is lost. */
		:: atomic {
			if
			:: record_state == NONE || record_state == NOT_RUN -> record_state = BEGUN; attempt++; my_attempt = attempt; holder = id; granted = true
			:: record_state == BEGUN && holder == id && my_attempt == attempt && my_attempt > 0 -> granted = true
#ifdef RERUN_UNKNOWN
			:: record_state == UNKNOWN -> record_state = BEGUN; attempt++; my_attempt = attempt; holder = id; granted = true
#endif
#ifdef RERUN_ABANDONED
			:: record_state == BEGUN && holder != id -> attempt++; my_attempt = attempt; holder = id; granted = true
#endif
			:: else -> granted = false
			fi }
			if
			:: break
			:: skip /* response lost */
#ifdef DISPATCH_BEFORE_COMMIT
			:: granted = true; break
#endif
			fi
		od;
		if
		:: granted ->
			if
			:: goto crashed
			:: /* connection failed before any byte was sent */
				atomic { skip; record_outcome(my_attempt, NOT_RUN); resent_not_run = my_attempt; if :: record_state == NOT_RUN -> assert(never_runs) :: else fi }
			:: in_transit++;
				if
				:: goto crashed
				:: atomic { in_transit > 0 -> in_transit--; runs++; assert(runs <= 1) };
					if
					:: goto crashed
					:: atomic { skip; record_outcome(my_attempt, FINISHED) }
					:: atomic { skip; record_outcome(my_attempt, UNKNOWN) }
#ifdef BROKEN_CONNECTION_IS_NOT_RUN
					:: atomic { skip; record_outcome(my_attempt, NOT_RUN) }
#endif
					fi
				:: /* connection broke or timed out with the call in transit */
#ifdef BROKEN_CONNECTION_IS_NOT_RUN
					atomic { skip; record_outcome(my_attempt, NOT_RUN) }
#else
					atomic { skip; record_outcome(my_attempt, UNKNOWN) }
#endif
				fi
			fi;
			my_attempt = 0
		:: else
		fi
	:: else -> break
	od;
crashed:
	skip
}

/* At any later time the server may receive a call that its sender has given up
 * on, and control may receive a duplicate outcome. */
proctype DelayedDelivery() {
	do
	:: atomic { in_transit > 0 -> in_transit--; runs++; assert(runs <= 1) }
	:: atomic { resent_not_run > 0 -> record_outcome(resent_not_run, NOT_RUN); resent_not_run = 0 }
	od
}

/* The leader marks calls left begun as unknown; with RECORD_EXPIRES_EARLY it
 * also drops the records of ended calls. */
proctype Expiry() {
	do
	:: atomic { record_state == BEGUN -> record_state = UNKNOWN }
#ifdef RECORD_EXPIRES_EARLY
	:: atomic { record_state == FINISHED || record_state == UNKNOWN -> record_state = NONE }
#endif
	od
}

init { atomic { run Entry(0); run Entry(1); run DelayedDelivery(); run Expiry() } }
