/*
 * Budgets decided by homes that nobody elected (src/ledger/routed_ledger.cpp, program_ledger.cpp).
 *
 * A reservation goes to a home, and to another one when the first is silent (RoutedLedger::tryNext).
 * A home that was only frozen wakes and appends its copy later. Each home decides by what stands
 * before its own copy in the log (ProgramLedger::decideReservation). The first reply that reaches who
 * asked counts (RoutedLedger::finish); later ones change nothing. Who asked hands out tokens after a
 * grant, and gives a refused reservation back by a settlement (RoutedLedger::reserve).
 *
 * Claim: all tokens handed out stay within the budget, however many homes decide.
 *
 * Mutants (-D): HOME_SETTLES_ITS_REFUSAL, LATE_REPLY_COUNTS, DECIDE_WITHOUT_READING.
 */
#define CALLS 3
#define HOMES 2                  /* that one call may be sent to */
#define WORST 1
#define BUDGET 1
#define LOG 10

#define WAITING 0
#define GRANTED 1
#define REFUSED 2                /* nothing is handed out; its settlement is on its way */
#define ENDED 3

#define RESERVATION 1
#define SETTLEMENT 2

byte kind[LOG];
byte call_of[LOG];
byte end_of_log = 0;
byte state[CALLS];
byte copies[CALLS];              /* appended by homes */
byte spent = 0;
bool home_settles[CALLS];        /* of the mutant: a home's settlement is on its way */

inline put(k, c) {
  kind[end_of_log] = k;
  call_of[end_of_log] = c;
  end_of_log++
}

/* Tokens that calls other than `c` use or may use, by what stands before `offset`: a settlement
   read meanwhile counts too, and here all of them give everything back. */
inline use_of_others(c, offset) {
  before = 0;
  other = 0;
  do
  :: other < CALLS ->
     counted = 0;
     i = 0;
     do
     :: i < end_of_log ->
        if
        :: kind[i] == RESERVATION && call_of[i] == other && i < offset && counted != 2 -> counted = 1
        :: kind[i] == SETTLEMENT && call_of[i] == other -> counted = 2
        :: else -> skip
        fi;
        i++
     :: else -> break
     od;
     if
     :: other != c && counted == 1 -> before = before + WORST
     :: else -> skip
     fi;
     other++
  :: else -> break
  od;
  other = 0;
  counted = 0;
  i = 0
}

/* A home appends its copy and decides. */
inline decide_at_home(c) {
  put(RESERVATION, c);
  copies[c]++;
#ifndef DECIDE_WITHOUT_READING
  use_of_others(c, end_of_log - 1);
#endif
  if
  :: state[c] == WAITING && before + WORST <= BUDGET -> state[c] = GRANTED
  :: state[c] == WAITING && before + WORST > BUDGET -> state[c] = REFUSED
  :: else ->
#ifdef LATE_REPLY_COUNTS
     if
     :: state[c] == ENDED && before + WORST <= BUDGET -> state[c] = GRANTED
     :: else -> skip
     fi
#else
     skip
#endif
  fi;
#ifdef HOME_SETTLES_ITS_REFUSAL
  if
  :: before + WORST > BUDGET -> home_settles[c] = true
  :: else -> skip
  fi;
#endif
  before = 0
}

proctype client_call(byte c) {
  byte before = 0;
  byte other = 0;
  byte counted = 0;
  byte i = 0;
  bool handed_out = false;
  do
  :: atomic { copies[c] < HOMES && end_of_log < LOG -> decide_at_home(c) }
  :: atomic {
       state[c] == GRANTED && !handed_out ->
       handed_out = true;
       spent = spent + WORST;
       assert(spent <= BUDGET)
     }
  :: atomic { state[c] == GRANTED && !handed_out -> state[c] = REFUSED }  /* the client has gone */
  :: atomic { state[c] == REFUSED && end_of_log < LOG -> put(SETTLEMENT, c); state[c] = ENDED }
  :: atomic { home_settles[c] && end_of_log < LOG -> home_settles[c] = false; put(SETTLEMENT, c) }
  :: atomic { state[c] != WAITING && copies[c] == HOMES -> break }
  :: atomic { end_of_log == LOG -> break }
  od
}

init {
  byte c = 0;
  atomic {
    do
    :: c < CALLS -> run client_call(c); c++
    :: else -> break
    od
  }
}
