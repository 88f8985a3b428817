/*
 * Recovery of a budget lease from its witnesses (src/ledger/lease_recovery.cpp, grant_replication.cpp).
 *
 * The record of a lease names its witnesses, for the life of the lease. A grant is sent to all of them, and is
 * used once a majority has stored it. Whoever wants to clear the lease of another node, dead or not, seals the
 * witnesses: a sealed one stores no further grant of the lease, and replies with those that it holds. When so
 * many have replied that every majority contains one of them, all grants that were or will be used are known.
 * They are recorded first; then the lease is cleared, so that it does not count any more.
 *
 * The holder may be suspended at any step and go on afterwards. Messages arrive at any time, or never. A witness
 * that restarts has lost its memory and is another process: it stores nothing and does not answer for the former
 * one. The node that clears may die at any step; another one starts anew. Any node decides by the log at any
 * time, and counts the share of the lease until it is cleared. That the lease is not cleared stands for too few
 * witnesses that are left: it counts then as in budget_lease.pml.
 *
 * Claims: a program gets its budget and one turn at most; a cleared lease has no grant that is used and not
 * recorded, so that it owes as little as a released one of budget_lease.pml.
 *
 * Mutants (-D): USED_BEFORE_MAJORITY, STORED_AFTER_SEAL, CLEARED_BY_TOO_FEW, CLEARED_BEFORE_RECORDING,
 * RESTARTED_WITNESS_ANSWERS, FORGOTTEN_BEFORE_RECORDED, REFUSED_GRANT_NOT_DECIDED_AGAIN.
 */
#ifndef WITNESSES
#define WITNESSES 3
#endif
#define MAJORITY (WITNESSES / 2 + 1)
#ifdef CLEARED_BY_TOO_FEW
#define SEALS (WITNESSES - MAJORITY)
#else
#define SEALS (WITNESSES - MAJORITY + 1)
#endif
#define TURN 1
#define SHARE 2                 /* also the number of grants */
#define BUDGET 3

#define BIT(g) (1 << (g))
#define HAS(set, g) (((set) >> (g)) & 1)
#define COUNT(set) (HAS(set, 0) + HAS(set, 1))
#if WITNESSES == 1
#define VOTES(g) HAS(stored[0], g)
#elif WITNESSES == 2
#define VOTES(g) (HAS(stored[0], g) + HAS(stored[1], g))
#else
#define VOTES(g) (HAS(stored[0], g) + HAS(stored[1], g) + HAS(stored[2], g))
#endif

byte recorded = 0;              /* set of the lease's grants that stand in the log */
byte by_log = 0;                /* turns granted by the log */
byte spent = 0;
bool cleared = false;

byte sent = 0;                  /* set of grants that were sent to the witnesses */
byte used = 0;
byte refused = 0;               /* set of grants that were given up: they are decided by the log */

byte stored[WITNESSES];         /* sets of grants */
bool sealed[WITNESSES];
bool restarted[WITNESSES];

inline hand_out() {
  spent = spent + TURN;
  assert(spent <= BUDGET + TURN)
}

/* reserveUnderLease */
inline send(g) {
  !HAS(sent, g) && COUNT(sent & ~recorded) + TURN <= SHARE && known + COUNT(sent) + TURN <= BUDGET ->
  sent = sent | BIT(g)
}

/* A majority has stored the grant; the holder may notice that late. */
inline use(g) {
#ifdef USED_BEFORE_MAJORITY
  HAS(sent, g) && !HAS(used, g) && !HAS(refused, g) && VOTES(g) >= MAJORITY - 1 ->
#else
  HAS(sent, g) && !HAS(used, g) && !HAS(refused, g) && VOTES(g) >= MAJORITY ->
#endif
  used = used | BIT(g);
  assert(!cleared || HAS(recorded, g));
  hand_out()
}

/* Too few replies: reserveInLog, decideByLog. Its own lease counts as another's, since it was dropped. */
inline give_up(g) {
  HAS(sent, g) && !HAS(used, g) && !HAS(refused, g) ->
  refused = refused | BIT(g);
  recorded = recorded | BIT(g);
#ifdef REFUSED_GRANT_NOT_DECIDED_AGAIN
  hand_out()
#else
  if
  :: COUNT(recorded) + by_log + (cleared -> 0 : SHARE) <= BUDGET -> hand_out()
  :: else -> skip
  fi
#endif
}

/* recordGrants, onRecorded */
inline record(g) {
  HAS(used, g) && !HAS(recorded, g) ->
  recorded = recorded | BIT(g);
  known = by_log
}

inline store(w, g) {
#ifdef STORED_AFTER_SEAL
  HAS(sent, g) && !HAS(stored[w], g) && !restarted[w] ->
#else
  HAS(sent, g) && !HAS(stored[w], g) && !restarted[w] && !sealed[w] ->
#endif
  stored[w] = stored[w] | BIT(g)
}

proctype holder() {
  byte known = 0;               /* turns granted by the log, as far as this node has read */
end:
  do
  :: atomic { send(0) }
  :: atomic { send(1) }
  :: atomic { use(0) }
  :: atomic { use(1) }
  :: atomic { give_up(0) }
  :: atomic { give_up(1) }
  :: atomic { record(0) }
  :: atomic { record(1) }
  od
}

proctype witness(byte w) {
end:
  do
  :: atomic { store(w, 0) }
  :: atomic { store(w, 1) }
#ifdef FORGOTTEN_BEFORE_RECORDED
  :: atomic { !sealed[w] && (stored[w] & used) != 0 -> stored[w] = stored[w] & ~used }
#endif
  :: atomic { !restarted[w] ->
       stored[w] = 0;
       sealed[w] = false;
#ifndef RESTARTED_WITNESS_ANSWERS
       restarted[w] = true
#endif
     }
  od
}

/* A node that clears the lease: LeaseRecovery. */
proctype clearer() {
  byte found = 0;
  byte asked = 0;
  byte replies = 0;
  bool complete = false;
end:
  do
  :: atomic { asked < WITNESSES && !complete ->
       if
       :: !restarted[asked] ->
          sealed[asked] = true;
          found = found | stored[asked];
          replies++
       :: skip                  /* no reply */
       fi;
       asked++
     }
#ifdef CLEARED_BEFORE_RECORDING
  :: atomic { replies >= SEALS && !complete -> complete = true; cleared = true }
  :: atomic { complete -> recorded = recorded | found; break }
#else
  :: atomic { replies >= SEALS && !complete -> complete = true; recorded = recorded | found }
  :: atomic { complete ->
       cleared = true;
       assert((used & ~recorded) == 0);
       break
     }
#endif
  :: atomic { asked > 0 -> found = 0; asked = 0; replies = 0; complete = false }  /* another node starts anew */
  od
}

/* Other nodes that decide by the log. */
proctype decider() {
end:
  do
  :: atomic { COUNT(recorded) + by_log + (cleared -> TURN : SHARE) <= BUDGET ->
       by_log = by_log + TURN;
       hand_out()
     }
  od
}

init {
  byte number = 0;
  atomic {
    run holder();
    run decider();
    run clearer();
    do
    :: number < WITNESSES -> run witness(number); number++
    :: else -> break
    od
  }
}
