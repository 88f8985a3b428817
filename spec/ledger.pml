/*
 * Budgets and turns as facts in a shared log without owners (src/ledger, src/edge/exchange.cpp).
 *
 * Any node appends; an append may be done and not answered, may be done late, or not at all, and is
 * made again (PersistentStore). A call is granted when its reservation stands at offset o and the
 * reservations of others before o, each settled or at its worst, leave room (ProgramLedger::reserve).
 * Tokens are handed out only after that (Exchange::releaseOutput). A call settles when nothing more
 * will be handed out. A node may stop at any moment; its calls end with it and settle nothing.
 * A turn's end is released only after its record was acknowledged (Exchange::onStored).
 *
 * Claims: all tokens handed out stay within the budget; a client that saw a turn's end finds it in
 * the log.
 *
 * Mutants (-D): RELEASE_BEFORE_RESERVATION, DECIDE_BY_OWN_KNOWLEDGE, SETTLE_WHILE_HANDING_OUT,
 * END_BEFORE_ACKNOWLEDGEMENT.
 */
#define CALLS 3
#define WORST 2                  /* worst case of one call */
#define BUDGET 4
#define LOG 6                    /* records of the budgets' partition that fit */
#define LOST_ANSWERS 1           /* of reservations, in all */

#define IDLE 0
#define RESERVING 1              /* an append is on its way, perhaps done already */
#define GRANTED 2
#define ENDED 3

#define RESERVATION 1
#define SETTLEMENT 2

byte kind[LOG];
byte call_of[LOG];
byte tokens_of[LOG];
byte end_of_log = 0;

byte state[CALLS];
byte used[CALLS];                /* handed out to the client */
byte lost_answers = 0;
bool late[CALLS];                /* an unanswered append may still be done */
bool turn_stored[CALLS];         /* in the turns' partition */
byte spent = 0;

inline put(k, c, t) {
  kind[end_of_log] = k;
  call_of[end_of_log] = c;
  tokens_of[end_of_log] = t;
  end_of_log++
}

/* What BudgetAccounts counts for call `other` below `offset`; sets `counted`. */
inline count_call(other, offset) {
  counted = 0;
  i = 0;
  do
  :: i < offset ->
     if
     :: kind[i] == RESERVATION && call_of[i] == other -> counted = WORST
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
  i = 0;
  do
  :: i < end_of_log ->
     if
     :: counted > 0 && kind[i] == SETTLEMENT && call_of[i] == other -> counted = tokens_of[i]
     :: else -> skip
     fi;
     i++
  :: else -> break
  od;
  i = 0
}

/* The answer came: decide by everything below the own record. */
inline decide(c, offset) {
  before = 0;
#ifndef DECIDE_BY_OWN_KNOWLEDGE
  j = 0;
  do
  :: j < CALLS ->
     if
     :: j != c -> count_call(j, offset); before = before + counted
     :: else -> skip
     fi;
     j++
  :: else -> break
  od;
  j = 0;
#endif
  if
  :: before + WORST <= BUDGET -> state[c] = GRANTED
  :: else -> state[c] = ENDED
  fi;
  before = 0;
  counted = 0
}

inline hand_out(c) {
  used[c]++;
  spent++;
  assert(spent <= BUDGET)
}

/* The client sees the end of its answer: the turn must stand whatever fails from now on. */
inline see_end(c) { assert(turn_stored[c]) }

proctype client_call(byte c) {
  byte i = 0;
  byte j = 0;
  byte counted = 0;
  byte before = 0;
  do
  :: atomic { state[c] == IDLE -> state[c] = RESERVING }
  :: atomic {                    /* done and answered */
       state[c] == RESERVING && end_of_log < LOG ->
       put(RESERVATION, c, WORST);
       decide(c, end_of_log - 1)
     }
  :: atomic {                    /* not answered: done now, done later, or never */
       state[c] == RESERVING && lost_answers < LOST_ANSWERS && end_of_log < LOG ->
       lost_answers++;
       if
       :: put(RESERVATION, c, WORST)
       :: late[c] = true
       :: skip
       fi
     }
  :: atomic { late[c] && end_of_log < LOG -> late[c] = false; put(RESERVATION, c, WORST) }
#ifdef RELEASE_BEFORE_RESERVATION
  :: atomic { state[c] == RESERVING && used[c] < WORST -> hand_out(c) }
#endif
  :: atomic { state[c] == GRANTED && used[c] < WORST -> hand_out(c) }
#ifdef SETTLE_WHILE_HANDING_OUT
  :: atomic { state[c] == GRANTED && end_of_log < LOG -> put(SETTLEMENT, c, used[c]) }
#endif
  :: atomic {                    /* the answer ended: its turn is stored, its end is seen */
       state[c] == GRANTED && end_of_log < LOG ->
       state[c] = ENDED;
#ifdef END_BEFORE_ACKNOWLEDGEMENT
       if
       :: turn_stored[c] = true
       :: skip
       fi;
       see_end(c);
#else
       if
       :: turn_stored[c] = true; see_end(c)
       :: turn_stored[c] = true  /* stored, the answer lost, the client's time over */
       :: skip
       fi;
#endif
       if
       :: put(SETTLEMENT, c, used[c])
       :: skip                   /* the settlement is lost */
       fi
     }
  :: atomic { state[c] == RESERVING || state[c] == GRANTED -> state[c] = ENDED }  /* node stops */
  :: atomic { state[c] == ENDED && !late[c] -> break }
  :: atomic { end_of_log >= LOG -> break }
  od
}

init {
  atomic {
    run client_call(0);
    run client_call(1);
    run client_call(2)
  }
}
