/*
 * The account of one program: what its turns may hand out, and what each record and each memory of a turn
 * counts (the table of docs/design/0011-budget-leases.md). Leases, witnesses and settlements together;
 * budget_lease.pml, lease_witness.pml and budget_settlement.pml hold the details of each.
 *
 * A turn reserves TURN tokens and hands out fewer, one event at a time, while others of the program run. It is
 * granted under the lease of a holder (BudgetPartition::reserveUnderLease), once a witness has stored it, or by the log
 * (decideByLog). Its caller's node settles it with what was handed out, after its last event, or dies and never does.
 * A settlement may be recorded before the reservation, by whichever coordinator got it. The holder records its grants (recordGrants), tells the witness (recordedBelow), and may die, or stop answering, at any step.
 * Then another node seals the lease at the witness, records what that has, and clears the lease (LeaseRecovery).
 *
 * The holder has a lease of a second partition with the same witness, which grants, records and is sealed on its own.
 *
 * Claims: the program gets its budget and one turn at most; whoever reads the log counts all that was handed out, but for
 * what is granted under a lease that is not cleared.
 *
 * Mutants (-D): LEASES_SHARE_AN_ID, UNSTORED_GRANT_CONFIRMED, SETTLED_BEFORE_THE_LAST_EVENT, SMALLER_SETTLEMENT_REPLACES,
 * UNSETTLED_TURN_COUNTS_NOTHING, LEASE_NOT_COUNTED, LEASE_COUNTS_SETTLED_TURNS_ONLY, CLEARED_BEFORE_RECORDING,
 * FORGOTTEN_BEFORE_RECORDED.
 */
#define TURNS 5
#define TURN 1
#define SHARE 2
#define BUDGET 3

byte handed[TURNS];           /* tokens handed out, while it runs */
bool ahead[TURNS];            /* granted under the lease, and not known to its holder as recorded */
bool reserved[TURNS];         /* the reservation stands in the log */
byte settled[TURNS];          /* settlement in the log, plus 1; 0: none */
byte asked = 0;               /* turns asked for so far */
byte spent = 0;

bool holds = true;            /* the holder grants */
bool cleared = false;

/* The witness, by the numbers of grants: the turn plus 1; 0: none; FOREIGN: of the other lease. */
#define FOREIGN 99
byte stored[TURNS];
bool sealed = false;
byte number = 0;              /* of the lease's next grant */

byte i;
byte counted;
byte unrecorded;

/* What a settlement and a reservation count, for whoever reads the log. */
inline count_log() {
  counted = 0;
  for (i : 0 .. TURNS - 1) {
    if
    :: settled[i] > 0 -> counted = counted + settled[i] - 1
#ifndef UNSETTLED_TURN_COUNTS_NOTHING
    :: settled[i] == 0 && reserved[i] -> counted = counted + TURN
#endif
    :: else -> skip
    fi
  }
  i = 0
}

/* The holder also knows its grants. A turn that is settled counts what it handed out. */
inline count_as_holder() {
  count_log();
  unrecorded = 0;
  for (i : 0 .. TURNS - 1) {
    if
    :: ahead[i] && settled[i] > 0 -> unrecorded = unrecorded + settled[i] - 1
#ifndef LEASE_COUNTS_SETTLED_TURNS_ONLY
    :: ahead[i] && settled[i] == 0 -> unrecorded = unrecorded + TURN
#endif
    :: else -> skip
    fi;
    if
    :: ahead[i] && settled[i] == 0 && !reserved[i] -> counted = counted + TURN
    :: else -> skip
    fi
  }
  i = 0
}

inline begin(under_lease) {
  ahead[asked] = under_lease;
  asked++
}

/* The settlement is recorded at once or never: one that is on its way counts like one that is lost. */
inline end(t, due) {
  settled[t] = due + 1;
  handed[t] = 0
}

proctype turns() {
  byte t;
  do
  :: atomic {
       asked > 0 ->
       t = 0;
       do
       :: t + 1 < asked -> t++
       :: break
       od;
       if
       :: settled[t] == 0 && handed[t] < TURN ->
          handed[t]++;
          spent++;
          assert(spent <= BUDGET + TURN)
#ifdef SETTLED_BEFORE_THE_LAST_EVENT
       :: settled[t] == 0 && handed[t] > 0 -> end(t, handed[t] - 1)
#else
       :: settled[t] == 0 -> end(t, handed[t])
#endif
#ifdef SMALLER_SETTLEMENT_REPLACES
       :: settled[t] > 1 -> settled[t] = 1
#endif
       :: else -> skip
       fi;
       t = 0
     }
  od
}

proctype holder() {
  do
  :: atomic {
       holds && !cleared && asked < TURNS ->
       count_as_holder();
       if
       :: unrecorded + TURN <= SHARE && counted + TURN <= BUDGET ->
          if
          :: sealed -> skip                                       /* the witness refuses */
          :: !sealed && stored[number] == 0 ->
             stored[number] = asked + 1;
             number++;
             begin(true);
             skip
#ifdef UNSTORED_GRANT_CONFIRMED
          :: !sealed && stored[number] != 0 -> number++; begin(true)
#endif
          :: else -> skip
          fi
       :: else -> skip
       fi;
       counted = 0;
       unrecorded = 0
     }
  :: atomic {                                                     /* a grant is recorded */
       holds ->
       if
       :: ahead[0] && !reserved[0] -> reserved[0] = true; ahead[0] = false
       :: ahead[1] && !reserved[1] -> reserved[1] = true; ahead[1] = false
       :: ahead[2] && !reserved[2] -> reserved[2] = true; ahead[2] = false
       :: else -> skip
       fi
     }
  :: atomic {                                                     /* the witness is told, or not */
       holds && number > 0 && stored[0] != 0 && stored[0] != FOREIGN ->
#ifndef FORGOTTEN_BEFORE_RECORDED
       if
       :: reserved[stored[0] - 1] -> stored[0] = 0
       :: else -> skip
       fi
#else
       stored[0] = 0
#endif
     }
  :: atomic { holds -> holds = false; break }                     /* it dies */
  od
}

/* The lease of the other partition: its grants have numbers of their own. */
proctype other_lease() {
  byte theirs = 0;
  do
#if defined(LEASES_SHARE_AN_ID) || defined(UNSTORED_GRANT_CONFIRMED)
  :: atomic {                                                     /* a grant */
       holds && !sealed && theirs < 2 ->
       if
       :: stored[theirs] == 0 -> stored[theirs] = FOREIGN
       :: else -> skip
       fi;
       theirs++
     }
#endif
#ifdef LEASES_SHARE_AN_ID
  :: atomic { holds && theirs > 0 -> stored[0] = 0 }              /* theirs is recorded */
#endif
  :: theirs >= 2 -> break
  :: !holds -> break
  od
}

proctype successor() {
  byte found = 0;
  /* The holder is dead, or only silent: then it finds no majority any more. */
  atomic { sealed = true }
#ifdef CLEARED_BEFORE_RECORDING
  cleared = true;
#endif
  atomic {
    for (found : 0 .. TURNS - 1) {
      if
      :: stored[found] > 0 && stored[found] != FOREIGN -> reserved[stored[found] - 1] = true
      :: else -> skip
      fi
    }
    found = 0
  }
  atomic {
    cleared = true;
    count_log();
    assert(counted >= spent);
    counted = 0
  }
}

/* Any coordinator decides by the log; it counts the lease until it is cleared. */
proctype by_log() {
  byte unseen = 0;
  do
  :: atomic {
       asked < TURNS ->
       count_log();
#ifndef LEASE_NOT_COUNTED
       unseen = (cleared -> 0 : SHARE);
#endif
       if
       :: counted + (unseen > TURN -> unseen : TURN) <= BUDGET ->
          reserved[asked] = true;
          begin(false)
       :: else -> skip
       fi;
       counted = 0;
       unseen = 0
     }
  :: asked == TURNS -> break
  od
}

init {
  atomic {
    run holder();
    run turns();
    run other_lease();
    run successor();
    run by_log()
  }
}
