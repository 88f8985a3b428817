/*
 * Refused turns in a program's account (src/ledger/settlement_outbox.cpp, budget_partition.cpp).
 *
 * The budget holds one turn. Turn A is asked for; its caller gives up before it is decided, and the turn
 * is sent to no replica. The record of its reservation may be appended before or after that, or never. The
 * caller settles it with no tokens: a coordinator that reaches the store accepts the settlement and keeps it
 * until its record is appended (recordSettlements); one that does not turns it away, and the caller keeps it
 * (SettlementOutbox). Each of the two nodes may die once, with all that it keeps. The store may be out of reach
 * at any moment, for all, and comes back at the end.
 *
 * Turn B is asked for again and again. It is granted if nothing that is counted stands against it; it is told
 * that the budget is spent only if the reservation that does will not be settled any more (useBefore): so much
 * time has passed after the store came back that only the death of a node can be the reason. Else it is undecided.
 *
 * Claim: B is told that the budget is spent only if a node died.
 *
 * Mutants (-D): CALLER_FORGETS, COORDINATOR_FORGETS, SPENT_BEFORE_SETTLED.
 */
bool store_answers = true;
bool outage_over = false;        /* the store answers from now on */
bool reserved = false;           /* the reservation of A stands in the log */
bool settled = false;            /* its settlement stands in the log */
bool append_pending = true;      /* the reservation waits at the coordinator */
bool caller_keeps = true;         /* it gives up, and settles A with no tokens */
bool coordinator_keeps = false;
bool died = false;
bool all_sent = false;           /* every node that lives has recorded what it kept */
bool granted = false;
bool spent = false;

active proctype store() {
  do
  :: store_answers = false
  :: store_answers = true
  :: store_answers = true; outage_over = true; break
  od
}

/* The record of A, at any time, also after its caller gave up. */
active proctype reservation() {
  if
  :: atomic { store_answers && append_pending -> reserved = true; append_pending = false }
  :: append_pending = false      /* its time limit passed */
  fi
}

active proctype caller() {
  do
  :: atomic {
       caller_keeps ->
       if
       :: store_answers -> coordinator_keeps = true; caller_keeps = false
       :: !store_answers ->
#ifdef CALLER_FORGETS
          caller_keeps = false
#else
          skip
#endif
       fi
     }
  :: atomic { caller_keeps && !died -> caller_keeps = false; died = true }
  :: !caller_keeps -> break
  od
}

active proctype coordinator() {
  do
  :: atomic { coordinator_keeps && store_answers -> settled = true; coordinator_keeps = false }
#ifdef COORDINATOR_FORGETS
  :: atomic { coordinator_keeps && !store_answers -> coordinator_keeps = false }
#endif
  :: atomic { coordinator_keeps && !died -> coordinator_keeps = false; died = true }
  :: atomic {
       outage_over && !append_pending && !caller_keeps && !coordinator_keeps ->
       all_sent = true;
       break
     }
  od
}

active proctype next_turn() {
  do
  :: atomic {
       store_answers && !granted && !spent ->
       if
       :: !reserved || settled -> granted = true
       :: reserved && !settled ->
#ifdef SPENT_BEFORE_SETTLED
          spent = true
#else
          if
          :: all_sent -> spent = true
          :: else -> skip
          fi
#endif
       fi;
       assert(!spent || died)
     }
  :: granted || spent -> break
  od
}
