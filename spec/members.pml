/*
 * Voter changes of the replicated log in consensus/ and control/replog. A
 * leader removes voters that it has not heard from for a long time, one at a
 * time. A removed voter need not have failed: it may be partitioned from the
 * leader, and lead or vote on its side. A step is atomic where the
 * implementation is, and time is not modelled, as in agreement.pml. Snapshots,
 * crashes and learners are left out.
 *
 * Invariants:
 *  - All replicas commit the same entry at an index (committed_term,
 *    committed_voters).
 *  - A term has at most one leader (leader_of).
 *
 * Mutations, each of which must violate an assertion:
 *  - CHANGE_BEFORE_TERM_COMMIT: a leader changes the voters before an entry of
 *    its term is committed.
 *  - REMOVE_TWO_AT_ONCE: one change removes two voters.
 */
#ifndef N
#define N 4
#endif
#ifndef MAX_TERM
#define MAX_TERM 3
#endif
#define MAX_LOG_LEN 2
/* Voters are not removed below this number; leastVoters in control/replog. */
#define MIN_VOTERS 3

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

byte term[N];
byte voted_for[N];
byte log_len[N];
byte log_term[N*MAX_LOG_LEN];
byte log_voters[N*MAX_LOG_LEN];
#define term_at(i,k)   log_term[(i)*MAX_LOG_LEN+(k)-1]
#define voters_at(i,k) log_voters[(i)*MAX_LOG_LEN+(k)-1]

byte role[N];
byte votes_received[N];
byte commit_index[N];
/* matched(i,j) is the highest index up to which j is known to hold the log of
 * leader i. */
byte match_index[N*N];
#define matched(i,j) match_index[(i)*N+(j)]

byte committed_term[MAX_LOG_LEN];
byte committed_voters[MAX_LOG_LEN];
byte leader_of[MAX_TERM+1];

#define ALL_VOTERS ((1 << N) - 1)
#define bit(i) (1 << (i))
#define popcount(v) (((v)&1) + (((v)>>1)&1) + (((v)>>2)&1) + (((v)>>3)&1) + (((v)>>4)&1))
#define majority(v,electorate) (2*popcount((v)&(electorate)) > popcount(electorate))
/* The current voters are those of the last entry, committed or not. */
#define voters(i) (log_len[i] == 0 -> ALL_VOTERS : voters_at(i,log_len[i]))
#define last_term(i) (log_len[i] == 0 -> 0 : term_at(i,log_len[i]))
#define up_to_date(c,v) (last_term(c) > last_term(v) || (last_term(c) == last_term(v) && log_len[c] >= log_len[v]))
#define has_entry(i,j,k) ((j) == (i) || matched(i,j) >= (k))
#if N == 5
#define replicas_with(i,k) (has_entry(i,0,k) + 2*has_entry(i,1,k) + 4*has_entry(i,2,k) + 8*has_entry(i,3,k) + 16*has_entry(i,4,k))
#else
#define replicas_with(i,k) (has_entry(i,0,k) + 2*has_entry(i,1,k) + 4*has_entry(i,2,k) + 8*has_entry(i,3,k))
#endif
#define committed_in_term(i) (commit_index[i] > 0 && term_at(i,commit_index[i]) == term[i])
/* A change is pending until the entry that introduced the voters is committed. */
#define no_pending_change(i) (log_len[i] == commit_index[i] || (log_len[i] == 1 && voters_at(i,1) == ALL_VOTERS) || (log_len[i] == 2 && commit_index[i] == 1 && voters_at(i,2) == voters_at(i,1)))
#ifdef CHANGE_BEFORE_TERM_COMMIT
#define may_change_voters(i) no_pending_change(i)
#else
#define may_change_voters(i) (no_pending_change(i) && committed_in_term(i))
#endif
#ifdef REMOVE_TWO_AT_ONCE
#define removed_voters(i,j) (bit(j) | bit(((j)+1)%N))
#else
#define removed_voters(i,j) bit(j)
#endif

inline reset_match(i) {
	j = 0;
	do
	:: j < N -> matched(i,j) = 0; j++
	:: else -> break
	od;
	j = 0
}

inline advance_term(i, t) {
	if
	:: term[i] < t -> term[i] = t; voted_for[i] = N; role[i] = FOLLOWER; votes_received[i] = 0
	:: else
	fi
}

inline record_commit(i, k) {
	if
	:: committed_term[(k)-1] == 0 -> committed_term[(k)-1] = term_at(i,k); committed_voters[(k)-1] = voters_at(i,k)
	:: else -> assert(committed_term[(k)-1] == term_at(i,k) && committed_voters[(k)-1] == voters_at(i,k))
	fi
}

inline pick_replica(i) {
	if
	:: j = 0
	:: j = 1
	:: j = 2
	:: j = 3
#if N == 5
	:: j = 4
#endif
	fi
}

proctype Replica(byte i) {
	byte j;
	byte k;
	do
	:: atomic { /* Start an election; only voters do. */
		term[i] < MAX_TERM && (voters(i) & bit(i)) ->
		term[i]++; voted_for[i] = i; role[i] = CANDIDATE; votes_received[i] = bit(i) }
	:: atomic { /* Request the vote of j. */
		role[i] == CANDIDATE ->
		pick_replica(i);
		if
		:: j != i && (voters(i) & bit(j)) && (term[j] < term[i] || (term[j] == term[i] && (voted_for[j] == N || voted_for[j] == i))) && up_to_date(i,j) ->
			advance_term(j, term[i]); voted_for[j] = i; votes_received[i] = votes_received[i] | bit(j)
		:: else
		fi;
		j = 0 }
	:: atomic { /* Become leader. */
		role[i] == CANDIDATE && majority(votes_received[i], voters(i)) ->
		assert(leader_of[term[i]] == N || leader_of[term[i]] == i);
		leader_of[term[i]] = i; role[i] = LEADER; votes_received[i] = 0;
		reset_match(i) }
	:: atomic { /* Propose an entry that leaves the voters unchanged. */
		role[i] == LEADER && log_len[i] < MAX_LOG_LEN ->
		k = voters(i); log_len[i]++; term_at(i,log_len[i]) = term[i]; voters_at(i,log_len[i]) = k; k = 0 }
	:: atomic { /* Remove a voter. */
		role[i] == LEADER && log_len[i] < MAX_LOG_LEN && may_change_voters(i) && popcount(voters(i)) > MIN_VOTERS ->
		pick_replica(i);
		if
		:: j != i && (voters(i) & bit(j)) && !(removed_voters(i,j) & bit(i)) ->
			k = voters(i) & (ALL_VOTERS - removed_voters(i,j));
			log_len[i]++; term_at(i,log_len[i]) = term[i]; voters_at(i,log_len[i]) = k
		:: else
		fi;
		j = 0; k = 0 }
	:: atomic { /* Replicate the next entry that j lacks. */
		role[i] == LEADER && log_len[i] > 0 ->
		pick_replica(i);
		if
		:: j != i && (voters(i) & bit(j)) && term[j] <= term[i] ->
			advance_term(j, term[i]);
			role[j] = FOLLOWER; votes_received[j] = 0;
			if
			:: log_len[j] >= 1 && term_at(j,1) == term_at(i,1) && voters_at(j,1) == voters_at(i,1) ->
				if
				:: log_len[i] == 2 && !(log_len[j] == 2 && term_at(j,2) == term_at(i,2) && voters_at(j,2) == voters_at(i,2)) ->
					log_len[j] = 2; term_at(j,2) = term_at(i,2); voters_at(j,2) = voters_at(i,2)
				:: else
				fi;
				matched(i,j) = log_len[i]
			:: else ->
				log_len[j] = 1; term_at(j,1) = term_at(i,1); voters_at(j,1) = voters_at(i,1); term_at(j,2) = 0; voters_at(j,2) = 0;
				if :: matched(i,j) < 1 -> matched(i,j) = 1 :: else fi
			fi
		:: else
		fi;
		j = 0 }
	:: atomic { /* Advance the commit index. */
		role[i] == LEADER && commit_index[i] < log_len[i] ->
		k = log_len[i];
		do
		:: k > commit_index[i] ->
			if
			:: majority(replicas_with(i,k), voters(i)) && term_at(i,k) == term[i] ->
				commit_index[i] = k;
				if :: k == 2 -> record_commit(i,1) :: else fi;
				record_commit(i,k);
				break
			:: else -> k--
			fi
		:: else -> break
		od;
		k = 0 }
	od
}

init {
	byte j;
	atomic {
		for (j : 0 .. N-1) { voted_for[j] = N }
		for (j : 0 .. MAX_TERM) { leader_of[j] = N }
		/* Replica 0 leads term 1, elected by all replicas but the last. */
		for (j : 0 .. N-2) { term[j] = 1; voted_for[j] = 0 }
		role[0] = LEADER; leader_of[1] = 0;
		j = 0;
		run Replica(0); run Replica(1); run Replica(2); run Replica(3)
#if N == 5
		; run Replica(4)
#endif
	}
}
