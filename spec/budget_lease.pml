/*
 * Budgets spent ahead of their records under leases (src/ledger/budget_partition.cpp).
 *
 * A home takes a lease by a record in the partition's log and uses it once it has read everything
 * before that record (BudgetPartition::takeLease). Under it a program gets up to SHARE tokens that
 * no record tells of (reserveAhead). They count until their record stands and everything before it
 * was read (onRecorded). Whoever decides by the log counts SHARE for each lease of others that was
 * not given back (decideByLog, mostSpentUnseen). A home dies at any moment with all it has not
 * recorded; its lease stays and counts. A lease is given back when all under it is recorded. A dead
 * home's lease may be cleared once the program should be over, and a program that should be over
 * owes it all the same (BudgetLeaseTable::unseenSpenders).
 *
 * Any home may be asked at any moment, also while the store answers only some of them: that a step
 * at the log is not taken stands for a store that is down.
 *
 * Claim: one program gets its budget and one turn at most.
 *
 * Mutants (-D): OTHERS_LEASES_NOT_COUNTED, USED_BEFORE_ITS_RECORD_STANDS, RECORDED_WITHOUT_READING,
 * GIVEN_BACK_BEFORE_RECORDING, LATE_PROGRAM_OWES_NOTHING, AHEAD_NOT_COUNTED_BY_ITS_HOME.
 */
#define HOMES 2
#define LIVES 2
#define LEASES 4                 /* HOMES x LIVES */
#define TURN 1
#define SHARE 2
#define BUDGET 4

#define LEASE (h * LIVES + life)

byte recorded = 0;               /* tokens of the program that stand in the log */
byte records = 0;                /* of all kinds: the log's end */
byte spent = 0;                  /* tokens handed out */
bool standing[LEASES];           /* in the log, and not given back */
bool cleared[LEASES];
bool valid[LEASES];              /* its holder may still use it */
bool over = false;               /* the program should be over */

inline count_others() {
  others = 0;
  i = 0;
  do
  :: i < LEASES ->
     if
#ifdef LATE_PROGRAM_OWES_NOTHING
     :: standing[i] && !cleared[i] && i != LEASE -> others++
#else
     :: standing[i] && i != LEASE -> others++
#endif
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
#ifdef OTHERS_LEASES_NOT_COUNTED
  others = 0;
#endif
  i = 0
}

inline fits(used, leases) {
  fit = (used + (SHARE * leases > TURN -> SHARE * leases : TURN) <= BUDGET)
}

inline hand_out() {
  spent = spent + TURN;
  assert(spent <= BUDGET + TURN)
}

inline read_all() {
  known = recorded;
  known_at = records;
  count_others();
  known_others = others;
  others = 0
}

proctype home(byte h) {
  byte life = 0;
  bool asked = false;            /* the lease's record stands, what is before it is not read */
  bool held = false;
  byte ahead = 0;
  byte known = 0;                /* recorded tokens that this home has read */
  byte known_others = 0;         /* leases of others that it has read of */
  byte known_at = 0;             /* records that it has read */
  byte before_known = 0;         /* what stood before the lease's record */
  byte before_others = 0;
  byte before_at = 0;
  byte others = 0;
  byte i = 0;
  bool fit = false;
  do
  :: atomic {                    /* takeLease: the record */
       !asked && !held && !standing[LEASE] ->
       count_others();
       before_known = recorded;
       before_others = others;
       before_at = records;
       others = 0;
       standing[LEASE] = true;
       records++;
       valid[LEASE] = true;
       asked = true
     }
#ifdef USED_BEFORE_ITS_RECORD_STANDS
  :: atomic { !asked && !held && !standing[LEASE] -> held = true }
#endif
  :: atomic {                    /* takeLease: everything before it was read */
       asked ->
       if
       :: before_at > known_at ->
          known = before_known;
          known_others = before_others;
          known_at = before_at
       :: else -> skip           /* it has read further meanwhile */
       fi;
       asked = false;
       held = true
     }
  :: atomic {                    /* reserveAhead */
       held && ahead + TURN <= SHARE ->
#ifdef AHEAD_NOT_COUNTED_BY_ITS_HOME
       fits(known, known_others);
#else
       fits(known + ahead, known_others);
#endif
       if
       :: fit -> ahead = ahead + TURN; hand_out()
       :: else -> skip
       fi;
       fit = false
     }
  :: atomic {                    /* recordAhead */
       ahead > 0 ->
       recorded = recorded + TURN;
       records++;
       ahead = ahead - TURN;
#ifdef RECORDED_WITHOUT_READING
       known = known + TURN
#else
       read_all()
#endif
     }
  :: atomic {                    /* reserveInLog */
       count_others();
       fits(recorded + ahead, others);
       others = 0;
       if
       :: fit -> recorded = recorded + TURN; records++; hand_out(); read_all()
       :: else -> skip
       fi;
       fit = false
     }
  :: atomic {                    /* the process dies and starts anew */
       life < LIVES - 1 ->
       valid[LEASE] = false;
       ahead = 0;
       held = false;
       asked = false;
       known = 0;
       known_others = 0;
       known_at = 0;
       before_at = 0;
       life++
     }
  :: atomic {                    /* giveLeaseBack */
#ifdef GIVEN_BACK_BEFORE_RECORDING
       held && life < LIVES - 1 ->
#else
       held && life < LIVES - 1 && ahead == 0 ->
#endif
       standing[LEASE] = false;
       records++;
       valid[LEASE] = false;
       held = false;
       life++
     }
  :: atomic { i < 1 && over && !valid[(1 - h) * LIVES] && standing[(1 - h) * LIVES] &&
              !cleared[(1 - h) * LIVES] -> cleared[(1 - h) * LIVES] = true }
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
