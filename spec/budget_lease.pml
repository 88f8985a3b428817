/*
 * Budgets spent ahead of their records under leases (src/ledger/budget_partition.cpp).
 *
 * A home takes a lease by a record in the partition's log and uses it once it has read everything
 * before that record (BudgetPartition::takeLease); while another lease is not cleared, the record is
 * void (BudgetLeaseTable::onRecord). Under it a program that should not be over yet gets up to SHARE
 * tokens that no record tells of (reserveAhead). They count until their record stands and everything
 * before it was read (onRecorded). Whoever decides by the log counts SHARE for a lease of others that
 * is not cleared (decideByLog, mostSpentUnseen). A home dies at any moment with all that it has not
 * recorded; its lease stays and counts. A lease is cleared when all under it is recorded
 * (giveLeaseBack), or when the programs that spent under it should be over (BudgetLeaseTable::due).
 * A program that should be over counts cleared leases too: it may be older than they are.
 *
 * Any home may be asked at any moment; that a step at the log is not taken stands for a store that is
 * out of reach.
 *
 * Claim: one program gets its budget and one turn at most.
 *
 * Mutants (-D): OTHERS_LEASES_NOT_COUNTED, TAKEN_BESIDE_ANOTHER, RECORDED_WITHOUT_READING,
 * CLEARED_BEFORE_RECORDING, LATE_PROGRAM_OWES_NOTHING, LATE_PROGRAM_SPENDS_AHEAD,
 * AHEAD_NOT_COUNTED_BY_ITS_HOME.
 */
#define HOMES 2
#define LIVES 3
#define LEASES 6                 /* HOMES x LIVES */
#define TURN 1
#define SHARE 3
#define BUDGET 5
#define NONE 255

#define LEASE (h * LIVES + life)

byte recorded = 0;               /* tokens of the program that stand in the log */
byte spent = 0;                  /* tokens handed out */
byte in_force = NONE;            /* the lease that is held or ended */
bool dead = false;               /* its holder will not use it any more */
bool spent_under = false;        /* the program spent under it */
bool any_cleared = false;
bool over = false;               /* the program should be over */

/* Sets `unseen`: whether tokens may have been spent unseen, for a decision by this home. */
inline look_for_unseen() {
  unseen = (in_force != NONE && in_force != LEASE);
#ifndef LATE_PROGRAM_OWES_NOTHING
  unseen = (unseen || (over && any_cleared));
#endif
#ifdef OTHERS_LEASES_NOT_COUNTED
  unseen = false
#endif
}

inline fits(used, others) {
  fit = (used + (others && SHARE > TURN -> SHARE : TURN) <= BUDGET)
}

inline hand_out() {
  spent = spent + TURN;
  assert(spent <= BUDGET + TURN)
}

/* Everything in the log was read. */
inline read_all() {
  known = recorded;
  look_for_unseen();
  known_unseen = unseen;
  unseen = false
}

proctype home(byte h) {
  byte life = 0;
  bool held = false;
  byte ahead = 0;
  byte known = 0;                /* recorded tokens that this home has read */
  bool known_unseen = false;     /* it has read that others may have spent unseen */
  bool unseen = false;
  bool fit = false;
  do
  :: atomic {                    /* takeLease; reading on after the record can only tell it more */
#ifdef TAKEN_BESIDE_ANOTHER
       !held && in_force != LEASE ->
#else
       !held && in_force == NONE ->
#endif
       in_force = LEASE;
       dead = false;
       spent_under = false;
       read_all();
       held = true
     }
  :: atomic {                    /* reserveAhead */
#ifdef LATE_PROGRAM_SPENDS_AHEAD
       held && ahead + TURN <= SHARE ->
#else
       held && !over && ahead + TURN <= SHARE ->
#endif
#ifdef AHEAD_NOT_COUNTED_BY_ITS_HOME
       fits(known, known_unseen);
#else
       fits(known + ahead, known_unseen);
#endif
       if
       :: fit -> ahead = ahead + TURN; spent_under = true; hand_out()
       :: else -> skip
       fi;
       fit = false
     }
  :: atomic {                    /* recordAhead */
       ahead > 0 ->
       recorded = recorded + TURN;
       ahead = ahead - TURN;
#ifdef RECORDED_WITHOUT_READING
       known = known + TURN
#else
       read_all()
#endif
     }
  :: atomic {                    /* reserveInLog */
       look_for_unseen();
       fits(recorded + ahead, unseen);
       unseen = false;
       if
       :: fit -> recorded = recorded + TURN; hand_out(); read_all()
       :: else -> skip
       fi;
       fit = false
     }
  :: atomic {                    /* the process dies and starts anew, or its validity is over */
       life < LIVES - 1 ->
       if
       :: in_force == LEASE -> dead = true
       :: else -> skip
       fi;
       ahead = 0;
       held = false;
       known = 0;
       known_unseen = false;
       life++
     }
  :: atomic {                    /* giveLeaseBack */
#ifdef CLEARED_BEFORE_RECORDING
       held && life < LIVES - 1 && in_force == LEASE ->
#else
       held && life < LIVES - 1 && in_force == LEASE && ahead == 0 ->
#endif
       in_force = NONE;
       any_cleared = true;
       held = false;
       ahead = 0;
       life++
     }
  :: atomic {                    /* a dead lease is cleared when who spent under it should be over */
       in_force != NONE && dead && (over || !spent_under) ->
       in_force = NONE;
       any_cleared = true
     }
  :: break
  od
}

active proctype program_time() { over = true }

init {
  atomic {
    run home(0);
    run home(1)
  }
}
