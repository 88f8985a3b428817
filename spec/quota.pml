/*
 * Shares of a limit that are lent to coordinators (src/quota/share_lender.cpp, borrowed_shares.cpp,
 * quota_service.cpp).
 *
 * One node's share; two coordinators may believe that they coordinate, as in a split fleet. A
 * coordinator asks a node at a moment of its own (onTick), the request and the reply are on their way
 * for any time, and the coordinator counts a lend until LEND ticks after it asked (onLendReply). The
 * node lends to one coordinator until LEND ticks after it answered (ShareLender::lend), or spends its
 * share itself after that (trySpendOwn). A process that starts waits LEND ticks. A coordinator that
 * stops as planned says that it counts nothing more (endCoordination, ShareLender::onEnd). Times are
 * kept as what is left of them, so ticks, rounds and restarts are unbounded. Frozen processes and lost
 * messages are steps that are not taken; a reply to an earlier round does not count. A loss of all
 * power is a restart of everybody.
 *
 * Claim: no node's share is counted by two coordinators at once, nor by one while the node spends it.
 *
 * Mutants (-D): COUNTED_FROM_REPLY, LENT_TO_ANOTHER_BEFORE_END, LENT_AT_ONCE_AFTER_RESTART,
 * OLD_ROUND_COUNTS, SPENT_WHILE_LENT, OLD_END_COUNTS, COUNTED_AFTER_END.
 */
#define LEND 2
#define COORDINATORS 2
#define NOBODY 9

mtype = { none, current, old };   /* a message on its way: none, of the newest round, of an older one */

/* At the node. */
byte lent_to = NOBODY;
byte lent_left = 0;              /* ticks until the lend ends for the node */
bool spends = false;             /* it spent of its own share in this tick */

/* At the coordinators. */
byte counted_left[COORDINATORS]; /* ticks until the lend ends for the coordinator */
byte round_age[COORDINATORS];    /* ticks since the newest round began, LEND at most */

/* On the way, by coordinator. A message that is overtaken by the next counts as lost. */
mtype request[COORDINATORS] = none;
mtype reply[COORDINATORS] = none;
mtype end[COORDINATORS] = none;  /* the coordinator counts the lends of this life no more */
bool stopped[COORDINATORS];      /* a planned stop: it borrows nothing more in this life */

inline check() {
  assert(!(counted_left[0] > 0 && counted_left[1] > 0));
  assert(!(spends && (counted_left[0] > 0 || counted_left[1] > 0)))
}

inline begin_round(asks) {
  round_age[c] = 0;
  reply[c] = (reply[c] == none -> none : old);
  request[c] = (asks -> current : (request[c] == none -> none : old))
}

inline tick(left) {
  left = (left > 0 -> left - 1 : 0)
}

active proctype fleet() {
  byte c;
  do
  :: atomic {
       tick(lent_left);
       tick(counted_left[0]);
       tick(counted_left[1]);
       round_age[0] = (round_age[0] < LEND -> round_age[0] + 1 : LEND);
       round_age[1] = (round_age[1] < LEND -> round_age[1] + 1 : LEND);
       /* What the node spent by itself was spent before this moment. */
       spends = false
     }
  :: atomic {
       select (c : 0 .. 1);
       if
       :: !stopped[c] -> begin_round(true)   /* A new round asks the node. */
       :: !stopped[c] ->           /* A planned stop (endCoordination). */
          stopped[c] = true;
#ifndef COUNTED_AFTER_END
          counted_left[c] = 0;
#endif
          end[c] = current
       :: end[c] != none ->        /* The node learns of it. */
          if
#ifdef OLD_END_COUNTS
          :: lent_to == c ->
#else
          :: lent_to == c && end[c] == current ->
#endif
             lent_left = 0
          :: else
          fi;
          end[c] = none
       :: request[c] != none ->    /* The node answers, or not. */
          if
#ifdef LENT_TO_ANOTHER_BEFORE_END
          :: true ->
#else
          :: (lent_to == c || lent_left == 0) && !spends ->
#endif
             lent_to = c;
             lent_left = LEND;
             reply[c] = request[c]
          :: else
          fi;
          request[c] = none
       :: reply[c] != none ->      /* The coordinator counts the lend. */
          if
#ifdef OLD_ROUND_COUNTS
          :: true ->
#else
          :: reply[c] == current && !stopped[c] ->
#endif
#ifdef COUNTED_FROM_REPLY
             counted_left[c] = LEND
#else
             counted_left[c] = (counted_left[c] > LEND - round_age[c] -> counted_left[c] : LEND - round_age[c])
#endif
          :: else
          fi;
          reply[c] = none
       :: lent_left == 0 -> spends = true   /* The node spends of its own share. */
#ifdef SPENT_WHILE_LENT
       :: spends = true
#endif
       :: spends = false;          /* The node starts anew and has forgotten what it lent. */
          lent_to = NOBODY;
#ifdef LENT_AT_ONCE_AFTER_RESTART
          lent_left = 0
#else
          lent_left = LEND
#endif
       :: counted_left[c] = 0;     /* A coordinator starts anew, with rounds of its own. */
          stopped[c] = false;
          end[c] = (end[c] == none -> none : old);
          begin_round(false)
       fi;
       check()
     }
  od
}
