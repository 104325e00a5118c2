/*
 * Lease handover for backend servers that ignore fencing numbers. Two stewards
 * compete for one lease, and the server must accept no command of a former
 * holder after one of a later holder. A steward may pause or stop at any
 * point, and its messages may be delayed up to their bound.
 *
 * Time is counted in ticks. LEASE_TERM is the term of the lease by control's
 * clock. A holder counts the term from the sending of a renewal and shortens it
 * by CLOCK_SKEW, the bound on the clock drift over a term. SEND_TIMEOUT bounds
 * how long a steward tries to send a command; MAX_DELAY bounds how long a
 * command may still arrive after the steward has given up on it.
 *
 * Mutations, each of which must violate an assertion:
 *  - NO_WAIT_AFTER_ACQUIRE: a new holder sends commands at once.
 *  - TERM_FROM_REPLY: the holder counts the term from the receipt of the reply.
 *  - SEND_UNTIL_EXPIRY: a command may be started until the lease expires.
 */
#define LEASE_TERM   3
#define SEND_TIMEOUT 1
#define MAX_DELAY    1
#define CLOCK_SKEW   1
#define END_TIME     7
#define NONE         2

byte now;

/* Control's lease. */
byte holder = NONE;
byte expires_at;
byte last_fencing_number;

/* The stewards' view. A steward may send commands only after wait_until. */
byte own_number[2];
byte held_until[2];
byte wait_until[2];

/* The in-flight command of each steward, and the latest time it may arrive. */
bool in_flight[2];
byte command_number[2];
byte latest_arrival[2];

/* The highest fencing number that the server has accepted. */
byte highest_accepted;

#define overdue(i) (in_flight[i] && latest_arrival[i] <= now)

proctype Clock() {
	do
	:: atomic { now < END_TIME && !overdue(0) && !overdue(1) -> now++ }
	:: now == END_TIME -> break
	od
}

proctype Steward(byte id) {
	byte sent_at;
	byte granted_number;
	bool newly_acquired;
	do
	/* Acquire or renew; any time may pass between the three steps. */
	:: now < END_TIME -> sent_at = now;
		atomic {
			granted_number = 0;
			newly_acquired = false;
			if
			:: holder == id && own_number[id] == last_fencing_number && now < expires_at ->
				granted_number = last_fencing_number
			:: !(holder == id && own_number[id] == last_fencing_number && now < expires_at) && now >= expires_at ->
				last_fencing_number++;
				holder = id;
				granted_number = last_fencing_number;
				newly_acquired = true
			:: else -> skip
			fi;
			if
			:: granted_number > 0 -> expires_at = now + LEASE_TERM
			:: else -> skip
			fi
		}
		atomic {
			if
			:: granted_number > 0 ->
				own_number[id] = granted_number;
#ifdef TERM_FROM_REPLY
				held_until[id] = now + LEASE_TERM;
#else
				held_until[id] = sent_at + LEASE_TERM - CLOCK_SKEW;
#endif
				if
				:: newly_acquired ->
#ifdef NO_WAIT_AFTER_ACQUIRE
					wait_until[id] = 0
#else
					wait_until[id] = now + MAX_DELAY
#endif
				:: else -> skip
				fi
			:: else -> skip
			fi;
			sent_at = 0;
			granted_number = 0;
			newly_acquired = false
		}
	/* Send a command. The holder's clock may lag by CLOCK_SKEW over the term. */
	:: atomic {
			own_number[id] > 0 && !in_flight[id] && now < END_TIME &&
#ifdef SEND_UNTIL_EXPIRY
			now <= held_until[id] + CLOCK_SKEW &&
#else
			now + SEND_TIMEOUT <= held_until[id] + CLOCK_SKEW &&
#endif
#ifndef NO_WAIT_AFTER_ACQUIRE
			now > wait_until[id] &&
#endif
			true ->
			in_flight[id] = true;
			command_number[id] = own_number[id];
			latest_arrival[id] = now + SEND_TIMEOUT + MAX_DELAY
		}
	:: now == END_TIME -> break
	od
}

/* The server accepts every command, at any time up to its latest arrival. */
proctype Server() {
	byte i;
	do
	:: atomic {
			in_flight[0] || in_flight[1] ->
			if
			:: in_flight[0] -> i = 0
			:: in_flight[1] -> i = 1
			fi;
			/* Invariant: no command of a former holder after one of a later holder. */
			assert(command_number[i] >= highest_accepted);
			highest_accepted = command_number[i];
			in_flight[i] = false;
			command_number[i] = 0;
			latest_arrival[i] = 0
		}
	:: now == END_TIME && !in_flight[0] && !in_flight[1] -> break
	od
}

init {
	atomic {
		run Clock();
		run Steward(0);
		run Steward(1);
		run Server()
	}
}
