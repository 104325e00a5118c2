/*
 * Safety of the replicated log in consensus/ with three replicas. A step is
 * atomic where the implementation is: a message is handled, its effects are
 * persisted and the reply is sent in one step. Time is not modelled: a replica
 * may start an election at any point, which covers all election timeouts and
 * clocks. Replicas may crash and keep their durable state; one replica's disk
 * may be replaced by an empty one.
 *
 * Invariants:
 *  - "An accepted configuration never reverts": all replicas commit the same
 *    entry at an index (committed_term).
 *  - A term has at most one leader (leader_of).
 *  - A quorum read sees every entry that was committed before it (the read
 *    step).
 *
 * Mutations, each of which must violate an assertion:
 *  - VOTE_NOT_PERSISTED: a crash loses the vote.
 *  - LOG_NOT_PERSISTED: a crash loses the last entry.
 *  - WIPED_REPLICA_VOTES: a replica with an emptied disk votes and counts
 *    towards quorums under its old name.
 *  - READ_WITHOUT_QUORUM: a leader reads without confirmation by a quorum.
 *  - READ_BEFORE_TERM_COMMIT: a leader reads before an entry of its term is
 *    committed.
 *  - COMMIT_EARLIER_TERM: an entry of an earlier term is committed by counting
 *    replicas.
 *  - VOTE_IGNORES_LOG: a vote is granted without comparing the logs.
 */
#define N 3
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#ifndef MAX_LOG_LEN
#define MAX_LOG_LEN 2
#endif
#ifndef MAX_CRASHES
#define MAX_CRASHES 1
#endif

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

/* Durable state. Log indexes start at 1; term_at(i,k) is the term of entry k. */
byte term[N];
byte voted_for[N];
byte log_len[N];
byte log_term[N*MAX_LOG_LEN+1]; /* spare element: term_at(i,2) if MAX_LOG_LEN is 1 */
#define term_at(i,k) log_term[(i)*MAX_LOG_LEN+(k)-1]

/* Volatile state, lost in a crash. */
byte role[N];
byte votes_received[N];
byte match_index[9];
byte commit_index[N];
#define matched(i,j) match_index[(i)*N+(j)]

/* learner is the replica whose disk was replaced; N if there is none. */
byte learner = N;
byte crash_count;

/* History variables for the assertions. */
byte committed_term[MAX_LOG_LEN];
byte max_committed;
byte leader_of[MAX_TERM+1];

#ifdef WIPED_REPLICA_VOTES
#define is_voter(i) true
#else
#define is_voter(i) ((i) != learner)
#endif
#define bit(i) (1 << (i))
#define majority(v) (((v)&1) + (((v)>>1)&1) + (((v)>>2)&1) >= 2)
#define last_term(i) (log_len[i] == 0 -> 0 : term_at(i,log_len[i]))
#ifdef VOTE_IGNORES_LOG
#define up_to_date(c,v) true
#else
#define up_to_date(c,v) (last_term(c) > last_term(v) || (last_term(c) == last_term(v) && log_len[c] >= log_len[v]))
#endif

inline reset_volatile(i) {
	role[i] = FOLLOWER;
	votes_received[i] = 0;
	commit_index[i] = 0;
	matched(i,0) = 0; matched(i,1) = 0; matched(i,2) = 0
}

inline advance_term(i, t) {
	if
	:: term[i] < t -> term[i] = t; voted_for[i] = N; role[i] = FOLLOWER; votes_received[i] = 0;
	   matched(i,0) = 0; matched(i,1) = 0; matched(i,2) = 0
	:: else
	fi
}

inline record_commit(i, k) {
	if
	:: committed_term[(k)-1] == 0 -> committed_term[(k)-1] = term_at(i,k)
	:: else -> assert(committed_term[(k)-1] == term_at(i,k))
	fi;
	if
	:: max_committed < k -> max_committed = k
	:: else
	fi
}

/* Replicas with a term no higher than the leader's confirm it; the leader
 * counts itself. */
#define confirms_leader(i,j) ((j) == (i) || (is_voter(j) && term[j] <= term[i]))
#ifdef READ_WITHOUT_QUORUM
#define quorum_confirms(i) true
#else
#define quorum_confirms(i) (confirms_leader(i,0) + confirms_leader(i,1) + confirms_leader(i,2) >= 2)
#endif
#ifdef READ_BEFORE_TERM_COMMIT
#define committed_in_term(i) true
#else
#define committed_in_term(i) (commit_index[i] > 0 && term_at(i,commit_index[i]) == term[i])
#endif
#define has_entry(i,j,k) (is_voter(j) && ((j) == (i) || matched(i,j) >= (k)))
#define replicated(i,k) (has_entry(i,0,k) + has_entry(i,1,k) + has_entry(i,2,k) >= 2)

#ifdef COMMIT_EARLIER_TERM
#define may_commit(i,k) true
#else
#define may_commit(i,k) (term_at(i,k) == term[i])
#endif

proctype Replica(byte i) {
	byte j;
	byte k;
	do
	:: atomic { /* Start an election; a leader may do so too, after losing its quorum. */
		term[i] < MAX_TERM && is_voter(i) ->
		term[i]++; voted_for[i] = i; role[i] = CANDIDATE; votes_received[i] = bit(i) }
	:: atomic { /* Request the vote of j. */
		role[i] == CANDIDATE ->
		if :: j = (i+1)%N :: j = (i+2)%N fi;
		if
		:: is_voter(j) && (term[j] < term[i] || (term[j] == term[i] && (voted_for[j] == N || voted_for[j] == i))) && up_to_date(i,j) ->
			advance_term(j, term[i]); voted_for[j] = i; votes_received[i] = votes_received[i] | bit(j)
		:: else -> advance_term(j, term[i])
		fi;
		j = 0 }
	:: atomic { /* Become leader. */
		role[i] == CANDIDATE && majority(votes_received[i]) ->
		assert(leader_of[term[i]] == N || leader_of[term[i]] == i);
		leader_of[term[i]] = i; role[i] = LEADER; votes_received[i] = 0 }
	:: atomic { /* Propose an entry. */
		role[i] == LEADER && log_len[i] < MAX_LOG_LEN -> log_len[i]++; term_at(i,log_len[i]) = term[i] }
	:: atomic { /* Replicate entry k to j. */
		role[i] == LEADER && log_len[i] > 0 ->
		if :: j = (i+1)%N :: j = (i+2)%N fi;
		if :: k = 1 :: log_len[i] == 2 -> k = 2 fi;
		if
		:: term[j] <= term[i] && (k == 1 || (log_len[j] >= 1 && term_at(j,1) == term_at(i,1))) ->
			advance_term(j, term[i]);
			role[j] = FOLLOWER;
			votes_received[j] = 0;
			if
			:: log_len[j] >= k && term_at(j,k) == term_at(i,k)
			:: else -> log_len[j] = k; term_at(j,k) = term_at(i,k); if :: k == 1 && MAX_LOG_LEN > 1 -> term_at(j,2) = 0 :: else fi
			fi;
			if :: matched(i,j) < k -> matched(i,j) = k :: else fi;
			if :: commit_index[i] >= k && commit_index[j] < k -> commit_index[j] = k; record_commit(j,k) :: else fi
		:: else
		fi;
		j = 0; k = 0 }
	:: atomic { /* Advance the commit index. */
		role[i] == LEADER && commit_index[i] < log_len[i] ->
		k = log_len[i];
		do
		:: k > commit_index[i] ->
			if
			:: replicated(i,k) && may_commit(i,k) ->
				commit_index[i] = k;
				if :: k == 2 -> record_commit(i,1) :: else fi;
				record_commit(i,k);
				break
			:: else -> k--
			fi
		:: else -> break
		od;
		k = 0 }
	:: atomic { /* Serve a quorum read. */
		role[i] == LEADER && quorum_confirms(i) && committed_in_term(i) -> assert(commit_index[i] >= max_committed) }
	:: atomic { /* Crash and restart. */
		crash_count < MAX_CRASHES -> crash_count++;
		reset_volatile(i);
#ifdef VOTE_NOT_PERSISTED
		voted_for[i] = N;
#endif
#ifdef LOG_NOT_PERSISTED
		if :: log_len[i] > 0 -> term_at(i,log_len[i]) = 0; log_len[i]-- :: else fi;
#endif
		skip }
	:: atomic { /* Restart with an empty disk. */
		learner == N && i == 2 -> learner = i;
		reset_volatile(i);
		term[i] = 0; voted_for[i] = N; log_len[i] = 0; term_at(i,1) = 0; if :: MAX_LOG_LEN > 1 -> term_at(i,2) = 0 :: else fi;
		matched(0,2) = 0; matched(1,2) = 0 }
	od
}

init {
	byte j;
	atomic {
		voted_for[0] = N; voted_for[1] = N; voted_for[2] = N;
		/* Replica 0 leads term 1. Any other first leader is equivalent. */
		if :: j = 1 :: j = 2 fi;
		term[0] = 1; voted_for[0] = 0; role[0] = LEADER;
		term[j] = 1; voted_for[j] = 0;
		leader_of[1] = 0;
		for (j : 2 .. MAX_TERM) { leader_of[j] = N }
		j = 0;
		run Replica(0); run Replica(1); run Replica(2)
	}
}
