/*
 * Budgets spent ahead of their records under leases (src/ledger/budget_partition.cpp).
 *
 * A partition has two slots for leases, the primary and the secondary one. A coordinator takes a lease
 * by a record in the partition's log and uses it once it has read everything before that record
 * (BudgetPartition::acquireOrRenewLease). The record enters the primary slot if that is free, else the
 * secondary one, else it is void (BudgetLeaseTable::addLease; the code enters the secondary slot only
 * beside a lease that has ended: fewer steps than here). When the primary slot is free, a further record
 * promotes the secondary lease; its holder uses the larger share after it has read that record.
 * Under a lease a program gets up to the slot's share of tokens that no record tells of
 * (reserveUnderLease). They count until their record stands and everything before it was read (onRecorded). Whoever
 * decides, by the log or under a lease, counts each lease of others that it has read of and that was not
 * released. A home dies at any moment with all that it has not recorded; its lease stays and counts. A
 * lease is released when all under it is recorded: it owes nothing then. A dead one counts, and keeps its
 * slot, as long as a program that spent under it may come back (BudgetLeaseTable::nextTransition): here, for
 * good. No time is told apart: the program may stop and come back at any moment, as new as it likes.
 *
 * By the log a reservation takes two steps: its record is appended, and after reading on the home
 * decides by what stands below the record (reserveInLog, decideByLog): records of tokens, and leases
 * as of there. One home has two reservations between the steps at most, the other one. What is refused
 * needs no step of its own: where it is left out, others count less (budget_settlement.pml has refusals). A
 * reservation is lost with its process. Two steps make the search larger: the lives, shares and budget are
 * smaller then. With -DRESERVED_IN_ONE_STEP a reservation is appended and decided at once, with the larger
 * constants.
 *
 * Any home may be asked at any moment; that a step at the log is not taken stands for a store that is
 * out of reach. The program's turns are all of one size: note 0011 shows the arithmetic of larger ones.
 *
 * Claim: one program gets its budget and one turn at most.
 *
 * Mutants (-D): OTHERS_LEASES_NOT_COUNTED, TAKEN_BESIDE_ANOTHER, RECORDED_WITHOUT_READING,
 * CLEARED_BEFORE_RECORDING, CLEARED_BEFORE_PROGRAMS_ARE_GONE, AHEAD_NOT_COUNTED_BY_ITS_HOME,
 * THIRD_LEASE_NOT_VOID, SECONDARY_NOT_COUNTED, PRIMARY_DOES_NOT_COUNT_SECONDARY,
 * SECONDARY_DOES_NOT_COUNT_PRIMARY, SECONDARY_SPENDS_PRIMARY_SHARE, MOVED_UP_BEFORE_CLEARED,
 * MOVED_UP_WITH_AHEAD_FORGOTTEN, LEASE_CLEARED_BEHIND_NOT_COUNTED.
 */
#define TURN 1
#ifdef RESERVED_IN_ONE_STEP
#define LIVES 3
#define PRIMARY_SHARE 3
#define SECONDARY_SHARE 2
#define BUDGET 6
#else
#define LIVES 2
#define PRIMARY_SHARE 2
#define SECONDARY_SHARE 1
#define BUDGET 4
#endif
#define NONE 255

#define LEASE (h * LIVES + life)

byte recorded = 0;               /* tokens of the program that stand in the log */
byte spent = 0;                  /* tokens handed out */


byte primary = NONE;             /* the lease in the slot that is held or ended */
bool primary_dead = false;       /* its holder will not use it any more */

byte secondary = NONE;
bool secondary_dead = false;

/* Sets `unseen`: the most that others may have spent unseen, for a decision by this home. */
inline look_for_unseen() {
  unseen = 0;
  if
  :: secondary != NONE && secondary != LEASE ->
#ifndef SECONDARY_NOT_COUNTED
     unseen = SECONDARY_SHARE
#else
     skip
#endif
  :: else -> skip
  fi;
#ifdef PRIMARY_DOES_NOT_COUNT_SECONDARY
  if
  :: primary == LEASE -> unseen = 0
  :: else -> skip
  fi;
#endif
  if
  :: primary != NONE && primary != LEASE ->
#ifdef SECONDARY_DOES_NOT_COUNT_PRIMARY
     unseen = (secondary == LEASE -> 0 : unseen + PRIMARY_SHARE)
#else
     unseen = unseen + PRIMARY_SHARE
#endif
  :: else -> skip
  fi;
#ifdef OTHERS_LEASES_NOT_COUNTED
  unseen = 0
#endif
}

inline fits(used, others) {
  fit = (used + (others > TURN -> others : TURN) <= BUDGET)
}

inline hand_out() {
  spent = spent + TURN;
  assert(spent <= BUDGET + TURN)
}

/* What stands below a reservation is only kept while this home may go on without having read it. */
inline note_read(need, below, below_unseen, is_read) {
  below = 0;
  below_unseen = 0;
  is_read = (need > 0)
}

/* Everything in the log was read, this home's own reservations among it. */
inline read_all() {
  note_read(first, first_below, first_unseen, first_read);
  note_read(second, second_below, second_unseen, second_read);
  known = recorded;
  look_for_unseen();
  known_unseen = unseen;
  unseen = 0
}

inline empty_primary() {
  primary = NONE;
  primary_dead = false
}

inline empty_secondary() {
  secondary = NONE;
  secondary_dead = false
}

/* A reservation's record at the end of the log. `need` is what it needs of the budget, besides what
 * this home has spent ahead; what stands below it is kept for the decision. */
inline append_reservation(need, below, below_unseen, is_read) {
  look_for_unseen();
#ifdef LEASE_CLEARED_BEHIND_NOT_COUNTED
  fits(recorded + ahead, 0);
#else
  fits(recorded + ahead, unseen);
#endif
  if
  :: fit ->
#ifdef LEASE_CLEARED_BEHIND_NOT_COUNTED
     need = recorded + TURN;
#else
     need = recorded + (unseen > TURN -> unseen : TURN);
#endif
     below = (share > 0 -> recorded : 0);
     below_unseen = (share > 0 -> unseen : 0);
     is_read = (share == 0);
     recorded = recorded + TURN
  :: else -> skip
  fi;
  unseen = 0;
  fit = false
}

inline forget(need, below, below_unseen, is_read) {
  need = 0;
  note_read(need, below, below_unseen, is_read)
}

/* Everything below the record was read, and no more unless this home has read on. */
inline decide(need, below, below_unseen, is_read, other, other_below, other_read) {
#ifdef LEASE_CLEARED_BEHIND_NOT_COUNTED
  look_for_unseen();
  fits(need - TURN + ahead, unseen);
  unseen = 0;
#else
  fit = (need + ahead <= BUDGET);
#endif
  if
  :: fit -> hand_out()
  :: else -> skip
  fi;
  fit = false;
  if
  :: !is_read ->
     known = below + TURN;
     known_unseen = below_unseen;
     other_read = (other > 0 && (other_read || other_below < below))
  :: else -> skip
  fi;
  forget(need, below, below_unseen, is_read)
}

/* What this home spent ahead counts for its own reservations also when it is recorded behind them. */
inline count_recorded(need, below, below_unseen, is_read) {
  need = (need > 0 -> need + TURN : 0);
  if
  :: need > BUDGET -> forget(need, below, below_unseen, is_read)
  :: else -> skip
  fi
}

proctype home(byte h) {
  byte life = 0;
  byte share = 0;                /* of the lease held; 0: none */
  byte ahead = 0;
  byte known = 0;                /* recorded tokens that this home has read */
  byte known_unseen = 0;         /* the most that others may have spent unseen, as far as it has read */
  byte unseen = 0;
  bool fit = false;
  byte first = 0;                /* need of a reservation that is not decided yet; 0: none */
  byte first_below = 0;          /* recorded tokens below it */
  byte first_unseen = 0;    /* which others may have spent unseen, as the log tells below it */
  bool first_read = false;       /* `known` includes it */
  byte second = 0;
  byte second_below = 0;
  byte second_unseen = 0;
  bool second_read = false;
  do
  :: atomic {                    /* takeLease; reading on after the record can only tell it more */
#ifdef TAKEN_BESIDE_ANOTHER
       share == 0 && primary != LEASE && secondary != LEASE ->
       empty_primary();
       primary = LEASE;
       share = PRIMARY_SHARE;
#else
#ifdef THIRD_LEASE_NOT_VOID
       share == 0 ->
#else
       share == 0 && (primary == NONE || secondary == NONE) ->
#endif
       if
       :: primary == NONE ->
          primary = LEASE;
          share = PRIMARY_SHARE
       :: primary != NONE && secondary == NONE ->
          secondary = LEASE;
#ifdef SECONDARY_SPENDS_PRIMARY_SHARE
          share = PRIMARY_SHARE
#else
          share = SECONDARY_SHARE
#endif
       :: else -> share = SECONDARY_SHARE
       fi;
#endif
       read_all()
     }
  :: atomic {                    /* the lease moves up */
#ifdef MOVED_UP_BEFORE_CLEARED
       share == SECONDARY_SHARE && secondary == LEASE && primary_dead ->
       share = PRIMARY_SHARE;
#else
       share == SECONDARY_SHARE && secondary == LEASE && primary == NONE ->
       primary = LEASE;
       empty_secondary();
       share = PRIMARY_SHARE;
#endif
#ifdef MOVED_UP_WITH_AHEAD_FORGOTTEN
       ahead = 0;
#endif
       read_all()
     }
  :: atomic {                    /* reserveAhead */
       ahead + TURN <= share ->
#ifdef AHEAD_NOT_COUNTED_BY_ITS_HOME
       fits(known, known_unseen);
#else
       fits(known + ahead, known_unseen);
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
       ahead = ahead - TURN;
       count_recorded(first, first_below, first_unseen, first_read);
       count_recorded(second, second_below, second_unseen, second_read);
#ifdef RECORDED_WITHOUT_READING
       known = known + TURN
#else
       read_all()
#endif
     }
#ifdef RESERVED_IN_ONE_STEP
  :: atomic {                    /* reserveInLog, decideByLog */
       look_for_unseen();
       fits(recorded + ahead, unseen);
       unseen = 0;
       if
       :: fit -> recorded = recorded + TURN; hand_out(); read_all()
       :: else -> skip
       fi;
       fit = false
     }
#else
  :: atomic {                    /* reserveInLog */
       first == 0 ->
       append_reservation(first, first_below, first_unseen, first_read)
     }
  :: atomic {
       h == 0 && first > 0 && second == 0 ->
       append_reservation(second, second_below, second_unseen, second_read)
     }
  :: atomic {                    /* decideByLog */
       first > 0 ->
       decide(first, first_below, first_unseen, first_read, second, second_below, second_read)
     }
  :: atomic {
       second > 0 ->
       decide(second, second_below, second_unseen, second_read, first, first_below, first_read)
     }
#endif
  :: atomic {                    /* the process dies and starts anew, or its validity is over */
       life < LIVES - 1 ->
       if
       :: primary == LEASE -> primary_dead = true
       :: secondary == LEASE -> secondary_dead = true
       :: else -> skip
       fi;
       ahead = 0;
       share = 0;
       known = 0;
       known_unseen = 0;
       forget(first, first_below, first_unseen, first_read);
       forget(second, second_below, second_unseen, second_read);
       life++
     }
  :: atomic {                    /* giveLeaseBack */
#ifdef CLEARED_BEFORE_RECORDING
       share > 0 && life < LIVES - 1 && (primary == LEASE || secondary == LEASE) ->
#else
       share > 0 && life < LIVES - 1 && (primary == LEASE || secondary == LEASE) && ahead == 0 ->
#endif
       if
       :: primary == LEASE -> empty_primary()
       :: else -> empty_secondary()
       fi;
       share = 0;
       ahead = 0;
       known = 0;
       known_unseen = 0;
       note_read(first, first_below, first_unseen, first_read);
       note_read(second, second_below, second_unseen, second_read);
       life++
     }
#ifdef CLEARED_BEFORE_PROGRAMS_ARE_GONE
  :: atomic { primary != NONE && primary_dead -> empty_primary() }
  :: atomic { secondary != NONE && secondary_dead -> empty_secondary() }
#endif
  :: break
  od
}

init {
  atomic {
    run home(0);
    run home(1)
  }
}
