/*
 * Budget of a program tree: worst cases are reserved in the journal before anything is spent, and
 * settled by what was used; ownership may move while calls still run.
 *
 * The journal itself is taken as correct here (spec/journal.pml): one owner at a time can write it,
 * and a fenced owner cannot. A fenced owner's calls run on, though, and spend what was reserved for
 * them. The same holds for a share of a tenant's budget leased to a node that is cut off: it may
 * spend its share, and nobody may lease that share again.
 *
 * Claim: all that is ever spent stays within the budget.
 *
 * Mutants (-D): DOUBLE_SPEND_ON_TAKEOVER, DISPATCH_BEFORE_RESERVE.
 */
#ifndef BUDGET
#define BUDGET 6
#endif
#ifndef CALLS
#define CALLS 4
#endif
#define WORST 2                  /* worst case of one call; it uses 0 to 2 */
#define NODES 2

#define FREE 0
#define RUNNING 1                /* reserved; its node may spend */
#define SETTLED 2
#define ORPHANED 3               /* found by a takeover: its node may still spend */

byte state[CALLS];
byte node[CALLS];
byte used[CALLS];
byte counted[CALLS];             /* what the journal counts for the call */
byte owner = 0;
byte spent = 0;
byte takeovers = 0;

#define COUNTED_SUM (counted[0] + counted[1] + counted[2] + counted[3])

#ifdef DISPATCH_BEFORE_RESERVE
#define HAS_ROOM (COUNTED_SUM < BUDGET)
#else
#define HAS_ROOM (COUNTED_SUM + WORST <= BUDGET)
#endif

/* BudgetLedger::reserve, then the intent. */
inline reserve(c) {
  state[c] = RUNNING;
  node[c] = owner;
#ifndef DISPATCH_BEFORE_RESERVE
  counted[c] = WORST
#endif
}

/* The back end works for whoever dispatched, fenced or not. */
inline spend(c) {
  used[c]++;
  spent++;
  assert(spent <= BUDGET)
}

/* BudgetLedger::settle with the outcome; only the owner's outcome is written. */
inline settle(c) {
  state[c] = SETTLED;
  counted[c] = used[c]
}

/* OwnedProgram::recordOrphans: the worst case stays spent. */
inline orphan(c) {
  if
  :: state[c] == RUNNING ->
     state[c] = ORPHANED;
#ifdef DOUBLE_SPEND_ON_TAKEOVER
     counted[c] = 0
#else
     counted[c] = WORST
#endif
  :: else -> skip
  fi
}

inline callStep(c) {
  if
  :: state[c] == FREE && HAS_ROOM -> reserve(c)
  :: (state[c] == RUNNING || state[c] == ORPHANED) && used[c] < WORST -> spend(c)
  :: state[c] == RUNNING && node[c] == owner -> settle(c)
  fi
}

active proctype system() {
end:
  do
  :: atomic { callStep(0) }
  :: atomic { callStep(1) }
  :: atomic { callStep(2) }
  :: atomic { callStep(3) }
  :: atomic {
       takeovers < 3 ->
       takeovers++;
       owner = 1 - owner;
       orphan(0);
       orphan(1);
       orphan(2);
       orphan(3)
     }
  od
}
