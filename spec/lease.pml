/*
 * A named lease with a fencing number, granted through the replicated log, and
 * a server that checks fencing numbers. The leader may change at any time; a
 * new leader continues the log's time from the last time in the log.
 * fencing.pml covers servers that ignore the fencing number.
 *
 * Invariants:
 *  - At most one holder believes that it holds the lease.
 *  - Fencing numbers strictly increase, across restarts and snapshots.
 *  - The server accepts no command of a former holder after one of a later
 *    holder.
 *
 * Mutations, each of which must violate an assertion:
 *  - TERM_FROM_REPLY: the holder counts the term from the receipt of the
 *    reply and not from the sending of the request.
 *  - WALL_CLOCK_LOG_TIME: the clock of a new leader makes the log's time jump.
 *  - FENCING_NUMBER_LOST: a snapshot drops the last fencing number.
 *  - FENCING_NUMBER_NOT_CHECKED: the server accepts every command.
 */
#define LEASE_TERM 2
#define END_TIME   4
#define NONE       2

byte now;     /* real time */
byte log_lag; /* how far the log's time lags behind real time */

byte holder = NONE;
byte expires_at;          /* in the log's time */
byte last_fencing_number; /* last fencing number granted */
byte max_granted;

bool believes_held[2];
byte held_until[2]; /* in real time */
byte own_number[2];

bool in_flight[2];
byte command_number[2];
byte highest_accepted;

#define log_time (now - log_lag)

proctype Clock() {
	do
	:: atomic { now < END_TIME -> now++;
		if :: believes_held[0] && held_until[0] <= now -> believes_held[0] = false :: else fi;
		if :: believes_held[1] && held_until[1] <= now -> believes_held[1] = false :: else fi }
	:: atomic { now < END_TIME && log_lag < 1 -> now++; log_lag++; /* no leader */
		if :: believes_held[0] && held_until[0] <= now -> believes_held[0] = false :: else fi;
		if :: believes_held[1] && held_until[1] <= now -> believes_held[1] = false :: else fi }
#ifdef WALL_CLOCK_LOG_TIME
	:: atomic { expires_at > 0 && holder != NONE -> expires_at-- } /* a leader's clock is ahead */
#endif
#ifdef FENCING_NUMBER_LOST
	:: atomic { last_fencing_number > 0 -> last_fencing_number = 0 }
#endif
	:: now == END_TIME -> break
	od
}

proctype Holder(byte id) {
	byte sent_at;
	bool granted;
	byte granted_number;
	do
	:: now < END_TIME -> sent_at = now;
		atomic { /* The log applies the request at any later time. */
			granted = false;
			if
			:: holder == id && own_number[id] == last_fencing_number && own_number[id] > 0 -> expires_at = log_time + LEASE_TERM; granted = true
			:: (holder == NONE || (holder != id && expires_at <= log_time)) ->
				holder = id; last_fencing_number++; expires_at = log_time + LEASE_TERM; granted = true;
				assert(last_fencing_number > max_granted);
				max_granted = last_fencing_number
			:: else
			fi;
			granted_number = last_fencing_number }
		atomic { /* The reply arrives or is lost. */
			if
			:: granted ->
				own_number[id] = granted_number;
#ifdef TERM_FROM_REPLY
				held_until[id] = now + LEASE_TERM;
#else
				held_until[id] = sent_at + LEASE_TERM;
#endif
				believes_held[id] = held_until[id] > now;
				assert(!(believes_held[0] && believes_held[1]))
			:: true
			fi }
	:: atomic { believes_held[id] && !in_flight[id] -> in_flight[id] = true; command_number[id] = own_number[id] }
	:: now == END_TIME -> break
	od
}

/* Commands arrive at any later time. */
proctype Server() {
	do
	:: atomic { in_flight[0] -> in_flight[0] = false;
#ifndef FENCING_NUMBER_NOT_CHECKED
		if :: command_number[0] >= highest_accepted ->
#endif
			assert(command_number[0] >= highest_accepted); highest_accepted = command_number[0]
#ifndef FENCING_NUMBER_NOT_CHECKED
		:: else fi
#endif
	}
	:: atomic { in_flight[1] -> in_flight[1] = false;
#ifndef FENCING_NUMBER_NOT_CHECKED
		if :: command_number[1] >= highest_accepted ->
#endif
			assert(command_number[1] >= highest_accepted); highest_accepted = command_number[1]
#ifndef FENCING_NUMBER_NOT_CHECKED
		:: else fi
#endif
	}
	od
}

init { atomic { run Clock(); run Holder(0); run Holder(1); run Server() } }
