/*
 * Changes of the voters of the replicated log, after consensus/ and
 * control/replog: a leader drops voters that it has not heard of for long, one at
 * a time. It may be wrong about them: they may be cut off, and lead or vote
 * elsewhere. A step is atomic where the core is, and time is free, as in
 * agreement.pml. Snapshots, crashes and learners are left out.
 *
 * Properties:
 *  - An entry that was committed once is the one that every replica commits at
 *    its index (chosen_*).
 *  - One leader a term (leader_of).
 *
 * Mutations, each of which must fail: -DCHANGE_BEFORE_TERM (a leader changes the
 * voters before an entry of its term is committed), -DTWO_AT_ONCE (two voters are
 * dropped by one change).
 */
#ifndef N
#define N 4
#endif
#ifndef TERMS
#define TERMS 3
#endif
#define LEN 2
/* leastVoters remain, as in control/replog. */
#define LEAST 3

#define FOLLOWER  0
#define CANDIDATE 1
#define LEADER    2

byte term[N];
byte vote[N];
byte size[N];
byte log_term[N*LEN];
byte log_voters[N*LEN];
#define at(i,k)  log_term[(i)*LEN+(k)-1]
#define set(i,k) log_voters[(i)*LEN+(k)-1]

byte role[N];
byte votes[N];
byte commit[N];
/* acked is how far each replica is known to hold the leader's log. */
byte acked[N*N];
#define ack(i,j) acked[(i)*N+(j)]

byte chosen_term[LEN];
byte chosen_voters[LEN];
byte leader_of[TERMS+1];

#define ALL ((1 << N) - 1)
#define bit(i) (1 << (i))
#define count(v) (((v)&1) + (((v)>>1)&1) + (((v)>>2)&1) + (((v)>>3)&1) + (((v)>>4)&1))
#define majority(v,of) (2*count((v)&(of)) > count(of))
/* The voters in force are those of the last entry, committed or not. */
#define voters(i) (size[i] == 0 -> ALL : set(i,size[i]))
#define last_term(i) (size[i] == 0 -> 0 : at(i,size[i]))
#define up_to_date(c,v) (last_term(c) > last_term(v) || (last_term(c) == last_term(v) && size[c] >= size[v]))
#define holds(i,j,k) ((j) == (i) || ack(i,j) >= (k))
#if N == 5
#define holders(i,k) (holds(i,0,k) + 2*holds(i,1,k) + 4*holds(i,2,k) + 8*holds(i,3,k) + 16*holds(i,4,k))
#else
#define holders(i,k) (holds(i,0,k) + 2*holds(i,1,k) + 4*holds(i,2,k) + 8*holds(i,3,k))
#endif
#define committed_in_term(i) (commit[i] > 0 && at(i,commit[i]) == term[i])
/* A change is pending while the entry that made the voters is not committed. */
#define settled(i) (size[i] == commit[i] || (size[i] == 1 && set(i,1) == ALL) || (size[i] == 2 && commit[i] == 1 && set(i,2) == set(i,1)))
#ifdef CHANGE_BEFORE_TERM
#define may_change(i) settled(i)
#else
#define may_change(i) (settled(i) && committed_in_term(i))
#endif
#ifdef TWO_AT_ONCE
#define dropped(i,j) (bit(j) | bit(((j)+1)%N))
#else
#define dropped(i,j) bit(j)
#endif

inline forget(i) {
	j = 0;
	do
	:: j < N -> ack(i,j) = 0; j++
	:: else -> break
	od;
	j = 0
}

inline enter(i, t) {
	if
	:: term[i] < t -> term[i] = t; vote[i] = N; role[i] = FOLLOWER; votes[i] = 0
	:: else
	fi
}

inline choose(i, k) {
	if
	:: chosen_term[(k)-1] == 0 -> chosen_term[(k)-1] = at(i,k); chosen_voters[(k)-1] = set(i,k)
	:: else -> assert(chosen_term[(k)-1] == at(i,k) && chosen_voters[(k)-1] == set(i,k))
	fi
}

inline pick_other(i) {
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
	:: atomic { /* election by a voter */
		term[i] < TERMS && (voters(i) & bit(i)) ->
		term[i]++; vote[i] = i; role[i] = CANDIDATE; votes[i] = bit(i) }
	:: atomic { /* a vote of j */
		role[i] == CANDIDATE ->
		pick_other(i);
		if
		:: j != i && (voters(i) & bit(j)) && (term[j] < term[i] || (term[j] == term[i] && (vote[j] == N || vote[j] == i))) && up_to_date(i,j) ->
			enter(j, term[i]); vote[j] = i; votes[i] = votes[i] | bit(j)
		:: else
		fi;
		j = 0 }
	:: atomic { /* victory */
		role[i] == CANDIDATE && majority(votes[i], voters(i)) ->
		assert(leader_of[term[i]] == N || leader_of[term[i]] == i);
		leader_of[term[i]] = i; role[i] = LEADER; votes[i] = 0;
		forget(i) }
	:: atomic { /* an entry that changes nothing */
		role[i] == LEADER && size[i] < LEN ->
		k = voters(i); size[i]++; at(i,size[i]) = term[i]; set(i,size[i]) = k; k = 0 }
	:: atomic { /* a voter is dropped */
		role[i] == LEADER && size[i] < LEN && may_change(i) && count(voters(i)) > LEAST ->
		pick_other(i);
		if
		:: j != i && (voters(i) & bit(j)) && !(dropped(i,j) & bit(i)) ->
			k = voters(i) & (ALL - dropped(i,j));
			size[i]++; at(i,size[i]) = term[i]; set(i,size[i]) = k
		:: else
		fi;
		j = 0; k = 0 }
	:: atomic { /* append of the next entry that j lacks */
		role[i] == LEADER && size[i] > 0 ->
		pick_other(i);
		if
		:: j != i && (voters(i) & bit(j)) && term[j] <= term[i] ->
			enter(j, term[i]);
			role[j] = FOLLOWER; votes[j] = 0;
			if
			:: size[j] >= 1 && at(j,1) == at(i,1) && set(j,1) == set(i,1) ->
				if
				:: size[i] == 2 && !(size[j] == 2 && at(j,2) == at(i,2) && set(j,2) == set(i,2)) ->
					size[j] = 2; at(j,2) = at(i,2); set(j,2) = set(i,2)
				:: else
				fi;
				ack(i,j) = size[i]
			:: else ->
				size[j] = 1; at(j,1) = at(i,1); set(j,1) = set(i,1); at(j,2) = 0; set(j,2) = 0;
				if :: ack(i,j) < 1 -> ack(i,j) = 1 :: else fi
			fi
		:: else
		fi;
		j = 0 }
	:: atomic { /* commit */
		role[i] == LEADER && commit[i] < size[i] ->
		k = size[i];
		do
		:: k > commit[i] ->
			if
			:: majority(holders(i,k), voters(i)) && at(i,k) == term[i] ->
				commit[i] = k;
				if :: k == 2 -> choose(i,1) :: else fi;
				choose(i,k);
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
		for (j : 0 .. N-1) { vote[j] = N }
		for (j : 0 .. TERMS) { leader_of[j] = N }
		/* Replica 0 leads term 1, by the votes of all but the last. */
		for (j : 0 .. N-2) { term[j] = 1; vote[j] = 0 }
		role[0] = LEADER; leader_of[1] = 0;
		j = 0;
		run Replica(0); run Replica(1); run Replica(2); run Replica(3)
#if N == 5
		; run Replica(4)
#endif
	}
}
