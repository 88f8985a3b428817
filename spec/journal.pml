/*
 * Ownership, journal and at-most-once dispatch of one program with one non-repeatable request.
 *
 * Three replicas, two candidate owners. Messages are never taken out of the network: each one may be
 * delivered at any later time, any number of times, or never, so loss, duplication, reordering and
 * arbitrarily long pauses of any process are all covered. A replica may restart with an empty
 * memory while the two others are filled; an owner may die at any time. Suspicion is free: a
 * candidate may seal whenever it likes.
 *
 * Claims: the request is dispatched at most once, and once an answer was acknowledged no later owner
 * decides anything else.
 *
 * Mutants (-D): DISPATCH_BEFORE_QUORUM, TAKEOVER_WITHOUT_SEAL, REPLICA_FORGETS_PROMISE,
 * RECOVER_WITHOUT_BARRIER, UNFILLED_REPLICA_GRANTS, RENEW_WITHOUT_CHECK.
 */
#ifndef SEALS
#define SEALS 3          /* seals in all, renewals included */
#endif
#ifndef RESTARTS
#define RESTARTS 1       /* replica restarts in all */
#endif

#ifndef ROUNDS
#define ROUNDS 3         /* epochs in one generation, the barrier included; 3 or 4 */
#endif

/* Epochs: generation * ROUNDS + round; round 0 is a barrier, rounds 1 and 3 are owner 0's, 2 is
 * owner 1's. */
#define EPOCHS ((RESTARTS + 1) * ROUNDS)
#define SLOTS 8          /* array slots: epochs 0 to 7 */
#define GENERATION(e) ((e) / ROUNDS)
#define IS_BARRIER(e) ((e) % ROUNDS == 0)
#define IS_OF(e, o) (((e) % ROUNDS) % 2 == 1 - (o) && !IS_BARRIER(e))
/* The step macros name epochs up to 7: two generations. */
#if RESTARTS > 1
#error "RESTARTS is 0 or 1"
#endif
#define AT(e, r) ((e) * 3 + (r))

/* What a record holds of the request. */
#define EMPTY 0
#define INTENT 1
#define OUTCOME 2
#define UNKNOWN 3
#define LENGTH(v) ((v) == UNKNOWN -> 2 : (v))
/* Storing a record confirms each of its prefixes. */
#define PREFIXES(v) ((v) == EMPTY -> 1 : ((v) == INTENT -> 3 : ((v) == OUTCOME -> 7 : 11)))
#define CONFIRMS(acks, v) (((acks) >> (v)) & 1)

/* Trust of a replica, as ReplicaTrust. */
#define FILLED 0
#define RECOVERING 1
#define UNFILLED 2

/* Phase of an owner. */
#define IDLE 0
#define SEALING 1
#define SERVING 2
#define RENEWING 3
#define IS_WAITING(o) (phase[o] == SEALING || phase[o] == RENEWING)
#define GRANTED_WRITTEN(e, r) ((grant[AT(e, r)] - 1) / 4)
#define GRANTED_VALUE(e, r) ((grant[AT(e, r)] - 1) % 4)

byte promised[3];
byte written[3];
byte value[3];
byte trust[3];

bool sealRequest[SLOTS];        /* SealRequest sent */
/* SealGranted sent: 1 + written * 4 + value, 0 for none. Answers to an owner that no longer waits
 * for them change nothing, so they are not kept. */
byte grant[SLOTS * 3];
byte append[SLOTS];             /* AppendRequests sent: one bit for each value */
byte stored[SLOTS * 3];         /* AppendReply Stored sent: one bit for each value */
bool barrierRequest[3];          /* of the present life of the replica */
byte barrierFloor[9];            /* answers: floor, by asker * 3 + answerer */
bool barrierContent[9];

byte phase[2];
byte epoch[2];
byte since[2];                   /* first epoch of this ownership */
byte record[2];
bool wroteIntent[2];             /* this life wrote the intent in its record */
bool dispatched[2];

byte seals = 0;
byte restarts = 0;
byte runs = 0;
bool answered = false;
byte topGeneration = 0;          /* a candidate learns a generation from a replica that has it */

inline startSeal(o, e, nextPhase) {
  sealRequest[e] = true;
  epoch[o] = e;
  phase[o] = nextPhase;
  seals++;
}

inline forgetGrants(e) {
  grant[AT(e, 0)] = 0;
  grant[AT(e, 1)] = 0;
  grant[AT(e, 2)] = 0
}

inline forgetStored(e) {
  stored[AT(e, 0)] = 0;
  stored[AT(e, 1)] = 0;
  stored[AT(e, 2)] = 0
}

inline dropMemory(o) {
  forgetGrants(epoch[o]);
  forgetStored(epoch[o]);
  phase[o] = IDLE;
  epoch[o] = 0;
  since[o] = 0;
  record[o] = EMPTY;
  wroteIntent[o] = false;
  dispatched[o] = false;
}

/* A quorum {a, b} granted: take the record of the highest written epoch, then the longest. */
inline sealed(o, a, b) {
  d_step {
    best = a;
    if
    :: GRANTED_WRITTEN(epoch[o], b) > GRANTED_WRITTEN(epoch[o], a) -> best = b
    :: GRANTED_WRITTEN(epoch[o], b) == GRANTED_WRITTEN(epoch[o], a) &&
       LENGTH(GRANTED_VALUE(epoch[o], b)) > LENGTH(GRANTED_VALUE(epoch[o], a)) -> best = b
    :: else -> skip
    fi;
    if
    :: phase[o] == SEALING ->
       record[o] = GRANTED_VALUE(epoch[o], best);
       since[o] = epoch[o];
       phase[o] = SERVING
#ifndef RENEW_WITHOUT_CHECK
    :: phase[o] == RENEWING && GRANTED_WRITTEN(epoch[o], best) > since[o] &&
       !IS_OF(GRANTED_WRITTEN(epoch[o], best), o) ->
       dropMemory(o)             /* somebody wrote in between: not the owner any more */
#endif
    :: else -> phase[o] = SERVING
    fi;
    if
    :: phase[o] == SERVING && record[o] == EMPTY ->
       record[o] = INTENT;       /* the caller's request */
       wroteIntent[o] = true
    :: else -> skip
    fi;
    if
    :: phase[o] == SERVING ->
       append[epoch[o]] = append[epoch[o]] | (1 << record[o]);
       forgetGrants(epoch[o])
    :: else -> skip
    fi;
    best = 0
  }
}

inline write(o, v) {
  record[o] = v;
  append[epoch[o]] = append[epoch[o]] | (1 << v)
}

#define COUNTED(o, v) \
  (CONFIRMS(stored[AT(epoch[o], 0)], v) + CONFIRMS(stored[AT(epoch[o], 1)], v) + \
   CONFIRMS(stored[AT(epoch[o], 2)], v) >= 2)

/* The epoch is its own, new, inside the model's bounds, and of a generation that is known. */
#define MAY_ASK(o, g, round) \
  (seals < SEALS && (round) < ROUNDS && (g) <= topGeneration && (round) % 2 == 1 - (o) && \
   !sealRequest[(g) * ROUNDS + (round)])

#define IS_FENCED_BY_BARRIER(o) \
  (phase[o] == SERVING && (GENERATION(promised[0]) > GENERATION(epoch[o]) || \
                           GENERATION(promised[1]) > GENERATION(epoch[o]) || \
                           GENERATION(promised[2]) > GENERATION(epoch[o])))

/* One step of owner o. */
inline ownerStep(o) {
  if
  :: phase[o] == IDLE && MAY_ASK(o, 0, 1) -> startSeal(o, 1, SEALING)
  :: phase[o] == IDLE && MAY_ASK(o, 0, 2) -> startSeal(o, 2, SEALING)
  :: phase[o] == IDLE && MAY_ASK(o, 0, 3) -> startSeal(o, 3, SEALING)
  :: phase[o] == IDLE && MAY_ASK(o, 1, 1) -> startSeal(o, ROUNDS + 1, SEALING)
  :: phase[o] == IDLE && MAY_ASK(o, 1, 2) -> startSeal(o, ROUNDS + 2, SEALING)
  :: phase[o] == IDLE && MAY_ASK(o, 1, 3) -> startSeal(o, ROUNDS + 3, SEALING)
  :: phase[o] != IDLE && seals < SEALS -> dropMemory(o)           /* dies; a new life follows */
  :: IS_FENCED_BY_BARRIER(o) && MAY_ASK(o, 1, 1) -> startSeal(o, ROUNDS + 1, RENEWING)
  :: IS_FENCED_BY_BARRIER(o) && MAY_ASK(o, 1, 2) -> startSeal(o, ROUNDS + 2, RENEWING)
  :: IS_FENCED_BY_BARRIER(o) && MAY_ASK(o, 1, 3) -> startSeal(o, ROUNDS + 3, RENEWING)
  :: IS_WAITING(o) && grant[AT(epoch[o], 0)] && grant[AT(epoch[o], 1)] -> sealed(o, 0, 1)
  :: IS_WAITING(o) && grant[AT(epoch[o], 0)] && grant[AT(epoch[o], 2)] -> sealed(o, 0, 2)
  :: IS_WAITING(o) && grant[AT(epoch[o], 1)] && grant[AT(epoch[o], 2)] -> sealed(o, 1, 2)
#ifdef DISPATCH_BEFORE_QUORUM
  :: phase[o] == SERVING && record[o] == INTENT && wroteIntent[o] && !dispatched[o] ->
#else
  :: phase[o] == SERVING && record[o] == INTENT && wroteIntent[o] && !dispatched[o] &&
     COUNTED(o, INTENT) ->
#endif
     assert(!answered);
     runs++;
     assert(runs <= 1);
     dispatched[o] = true
  :: phase[o] == SERVING && record[o] == INTENT && dispatched[o] -> write(o, OUTCOME)
  :: phase[o] == SERVING && record[o] == INTENT && !wroteIntent[o] && COUNTED(o, INTENT) ->
     assert(!answered);
     write(o, UNKNOWN)                                            /* an orphan: never dispatched */
  :: phase[o] == SERVING && record[o] == OUTCOME && !answered && COUNTED(o, OUTCOME) ->
     answered = true                                              /* recorded or replayed */
  :: phase[o] == SERVING && record[o] == UNKNOWN && COUNTED(o, UNKNOWN) && answered ->
     assert(false)
  fi
}

#ifdef UNFILLED_REPLICA_GRANTS
#define VOUCHES(r) true
#else
#define VOUCHES(r) (trust[r] == FILLED)   /* else it promises, but vouches for nothing */
#endif

inline onSealRequest(r, e) {
#ifndef TAKEOVER_WITHOUT_SEAL
  promised[r] = e;
#endif
  if
  :: VOUCHES(r) && ((IS_WAITING(0) && epoch[0] == e) || (IS_WAITING(1) && epoch[1] == e)) ->
     grant[AT(e, r)] = 1 + written[r] * 4 + value[r]
  :: else -> skip
  fi
}

inline store(r, e, v) {
  if
  :: written[r] != e || LENGTH(v) > LENGTH(value[r]) ->
     written[r] = e;
     value[r] = v
  :: else -> skip
  fi;
  promised[r] = e;
  trust[r] = FILLED;
  if
  :: (phase[0] == SERVING && epoch[0] == e) || (phase[1] == SERVING && epoch[1] == e) ->
     stored[AT(e, r)] = stored[AT(e, r)] | PREFIXES(value[r])
  :: else -> skip
  fi
}

#ifdef TAKEOVER_WITHOUT_SEAL
#define ACCEPTS(r, e) (trust[r] != RECOVERING && (e) >= promised[r])
#else
#define ACCEPTS(r, e) (trust[r] != RECOVERING && (e) == promised[r])
#endif

/* Only deliveries that change something are tried: others are the same as a loss. */
#define IS_NEWS(r, e, v) \
  (((append[e] >> (v)) & 1) && (written[r] != (e) || LENGTH(v) > LENGTH(value[r])))

#define MAY_STORE(r, e, v) ((e) < EPOCHS && ACCEPTS(r, e) && IS_NEWS(r, e, v))
#define MAY_PROMISE(r, e) \
  ((e) < EPOCHS && sealRequest[e] && (e) > promised[r] && trust[r] != RECOVERING && \
   grant[AT(e, r)] == 0)

/* The memory of one replica is lost while the two others can vouch for theirs. */
inline restart(r, a, b) {
  d_step {
    restarts++;
    promised[r] = 0;
    written[r] = 0;
    value[r] = EMPTY;
#ifdef REPLICA_FORGETS_PROMISE
    trust[r] = FILLED;
#else
    trust[r] = RECOVERING;
    barrierRequest[r] = true;
    barrierFloor[r * 3 + a] = 0;                                  /* answers name the life asked */
    barrierFloor[r * 3 + b] = 0;
#endif
  }
}

inline onBarrierRequest(r, asker) {
  d_step {
#ifdef RECOVER_WITHOUT_BARRIER
    barrierFloor[asker * 3 + r] = (promised[r] == 0 -> 1 : promised[r]);
#else
    promised[r] = (GENERATION(promised[r]) + 1) * ROUNDS;
    barrierFloor[asker * 3 + r] = promised[r];
    if
    :: GENERATION(promised[r]) > topGeneration -> topGeneration = GENERATION(promised[r])
    :: else -> skip
    fi;
#endif
    barrierContent[asker * 3 + r] = (written[r] != 0 || trust[r] == UNFILLED)
  }
}

inline finishRecovery(r, a, b) {
  d_step {
    promised[r] = (barrierFloor[r * 3 + a] > barrierFloor[r * 3 + b] -> barrierFloor[r * 3 + a]
                                                                      : barrierFloor[r * 3 + b]);
    trust[r] = (barrierContent[r * 3 + a] || barrierContent[r * 3 + b] -> UNFILLED : FILLED);
    barrierRequest[r] = false;
    barrierFloor[r * 3 + a] = 0;
    barrierFloor[r * 3 + b] = 0;
    barrierContent[r * 3 + a] = false;
    barrierContent[r * 3 + b] = false
  }
}

inline replicaStep(r, a, b) {
  if
  :: MAY_PROMISE(r, 1) -> onSealRequest(r, 1)
  :: MAY_PROMISE(r, 2) -> onSealRequest(r, 2)
  :: MAY_PROMISE(r, 3) -> onSealRequest(r, 3)
  :: MAY_PROMISE(r, 4) -> onSealRequest(r, 4)
  :: MAY_PROMISE(r, 5) -> onSealRequest(r, 5)
  :: MAY_PROMISE(r, 6) -> onSealRequest(r, 6)
  :: MAY_PROMISE(r, 7) -> onSealRequest(r, 7)
  :: MAY_STORE(r, 1, INTENT) -> store(r, 1, INTENT)
  :: MAY_STORE(r, 1, OUTCOME) -> store(r, 1, OUTCOME)
  :: MAY_STORE(r, 1, UNKNOWN) -> store(r, 1, UNKNOWN)
  :: MAY_STORE(r, 2, INTENT) -> store(r, 2, INTENT)
  :: MAY_STORE(r, 2, OUTCOME) -> store(r, 2, OUTCOME)
  :: MAY_STORE(r, 2, UNKNOWN) -> store(r, 2, UNKNOWN)
  :: MAY_STORE(r, 3, INTENT) -> store(r, 3, INTENT)
  :: MAY_STORE(r, 3, OUTCOME) -> store(r, 3, OUTCOME)
  :: MAY_STORE(r, 3, UNKNOWN) -> store(r, 3, UNKNOWN)
  :: MAY_STORE(r, 4, INTENT) -> store(r, 4, INTENT)
  :: MAY_STORE(r, 4, OUTCOME) -> store(r, 4, OUTCOME)
  :: MAY_STORE(r, 4, UNKNOWN) -> store(r, 4, UNKNOWN)
  :: MAY_STORE(r, 5, INTENT) -> store(r, 5, INTENT)
  :: MAY_STORE(r, 5, OUTCOME) -> store(r, 5, OUTCOME)
  :: MAY_STORE(r, 5, UNKNOWN) -> store(r, 5, UNKNOWN)
  :: MAY_STORE(r, 6, INTENT) -> store(r, 6, INTENT)
  :: MAY_STORE(r, 6, OUTCOME) -> store(r, 6, OUTCOME)
  :: MAY_STORE(r, 6, UNKNOWN) -> store(r, 6, UNKNOWN)
  :: MAY_STORE(r, 7, INTENT) -> store(r, 7, INTENT)
  :: MAY_STORE(r, 7, OUTCOME) -> store(r, 7, OUTCOME)
  :: MAY_STORE(r, 7, UNKNOWN) -> store(r, 7, UNKNOWN)
  :: restarts < RESTARTS && trust[a] == FILLED && trust[b] == FILLED -> restart(r, a, b)
  :: barrierRequest[a] && barrierFloor[a * 3 + r] == 0 -> onBarrierRequest(r, a)
  :: barrierRequest[b] && barrierFloor[b * 3 + r] == 0 -> onBarrierRequest(r, b)
  :: trust[r] == RECOVERING && barrierFloor[r * 3 + a] != 0 && barrierFloor[r * 3 + b] != 0 ->
     finishRecovery(r, a, b)
  fi
}

active proctype system() {
  byte best = 0;
end:
  do
  :: atomic { ownerStep(0) }
  :: atomic { ownerStep(1) }
  :: atomic { replicaStep(0, 1, 2) }
  :: atomic { replicaStep(1, 0, 2) }
  :: atomic { replicaStep(2, 0, 1) }
  od
}
