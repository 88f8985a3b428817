/*
 * Which bundle is in force: racing publishes decided by log order, learning from peers, restarts.
 *
 * The log keeps records in one order; an append may take effect although its answer is lost, so the
 * same bundle may stand in it twice. A publisher has read the log up to any point and names the
 * head that it saw as the base of its bundle. Nodes read the log at their own pace (it may be down
 * for as long as one likes), pass on what they have in force, and restart with nothing. Messages
 * between peers are never taken away: they come late, often or never.
 *
 * Claims: within one life a node never goes down a version; no node has a bundle in force that lost
 * its race; two nodes with the same version in force have the same bundle.
 *
 * Mutants (-D): ACCEPT_LOWER_VERSION, ACCEPT_BY_PEER_WITHOUT_LOG_ORDER.
 */
#ifndef BUNDLES
#define BUNDLES 4        /* bundles published in all */
#endif
#ifndef RECORDS
#define RECORDS 5        /* records of the log, repeated ones included */
#endif
#ifndef RESTARTS
#define RESTARTS 1
#endif
#define NODES 2
#define PUBLISHERS 2
#define NONE 0

byte base[BUNDLES + 1];          /* bundles are numbered from 1 */
byte version[BUNDLES + 1];
bool passedOn[BUNDLES + 1];      /* a peer sent it */
bool won[BUNDLES + 1];           /* ghost: it became the head in log order */
byte bundles = 0;

byte record[RECORDS];            /* the log */
byte records = 0;
byte trueHead = NONE;            /* ghost: head after the whole log */

byte readUpTo[NODES];
byte logHead[NODES];
byte inForce[NODES];
byte seenUpTo[PUBLISHERS];
byte seenHead[PUBLISHERS];
byte lastPublished[PUBLISHERS];
byte restarts = 0;

inline append(bundle) {
  record[records] = bundle;
  records++;
  if
  :: base[bundle] == trueHead -> trueHead = bundle; won[bundle] = true
  :: else -> skip
  fi
}

inline putInForce(n, bundle) {
  assert(version[bundle] >= version[inForce[n]]);
  inForce[n] = bundle;
  passedOn[bundle] = true;
  assert(won[bundle]);
  assert(version[inForce[0]] != version[inForce[1]] || inForce[0] == inForce[1])
}

inline publisherStep(p) {
  if
  :: seenUpTo[p] < records ->
     if
     :: base[record[seenUpTo[p]]] == seenHead[p] -> seenHead[p] = record[seenUpTo[p]]
     :: else -> skip
     fi;
     seenUpTo[p]++
  :: bundles < BUNDLES && records < RECORDS ->
     bundles++;
     base[bundles] = seenHead[p];
     version[bundles] = version[seenHead[p]] + 1;
     lastPublished[p] = bundles;
#ifdef ACCEPT_BY_PEER_WITHOUT_LOG_ORDER
     passedOn[bundles] = true;                       /* handed to a node beside the log */
#endif
     append(bundles)
  :: lastPublished[p] != NONE && records < RECORDS -> append(lastPublished[p])   /* answer lost */
  fi
}

/* BundleHolder::offerFromLog: judged against the log head alone. */
inline readLog(n) {
  if
  :: base[record[readUpTo[n]]] == logHead[n] ->
     logHead[n] = record[readUpTo[n]];
     if
     :: version[logHead[n]] >= version[inForce[n]] -> putInForce(n, logHead[n])
     :: else -> skip
     fi
  :: else -> skip
  fi;
  readUpTo[n]++
}

/* BundleHolder::offerFromPeer. */
#ifdef ACCEPT_LOWER_VERSION
#define IS_BETTER(n, bundle) ((bundle) <= bundles && passedOn[bundle] && inForce[n] != (bundle))
#else
#define IS_BETTER(n, bundle) \
  ((bundle) <= bundles && passedOn[bundle] && version[bundle] > version[inForce[n]])
#endif

inline nodeStep(n) {
  if
  :: readUpTo[n] < records -> readLog(n)
  :: IS_BETTER(n, 1) -> putInForce(n, 1)
  :: IS_BETTER(n, 2) -> putInForce(n, 2)
  :: IS_BETTER(n, 3) -> putInForce(n, 3)
  :: IS_BETTER(n, 4) -> putInForce(n, 4)
  :: restarts < RESTARTS ->
     restarts++;
     readUpTo[n] = 0;
     logHead[n] = NONE;
     inForce[n] = NONE
  fi
}

active proctype system() {
end:
  do
  :: atomic { publisherStep(0) }
  :: atomic { publisherStep(1) }
  :: atomic { nodeStep(0) }
  :: atomic { nodeStep(1) }
  od
}
