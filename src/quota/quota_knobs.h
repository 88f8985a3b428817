/// \file Times and sizes of quotas over the whole fleet. All nodes must use the same.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace gorsetrail::quota {

/// Knobs of the quota module. Operators tolerate a tenth and 20 requests more than the rate and the
/// burst allow in 5 s. This is spent, in requests: `tokenLifetime` times the rate, since tokens are
/// spent so long after they were granted; `spareBurstSeconds` times the rate, a tenth of the burst
/// and `spareBurst`, which the bucket holds more; `startTokens` for each change of a coordinator.
struct QuotaKnobs {
  /// Tenants are dealt over so many coordinators. Each member answers each coordinator's lend
  /// request, so a node's cost grows with this and not with the fleet.
  std::uint32_t partitions = 4;
  /// How long a node lends its share to a coordinator. A coordinator's death takes its tenants'
  /// tokens away for so long at most: then the next one can borrow.
  Duration lendTime = milliseconds(500);
  /// Between two lend requests of a coordinator: two may be lost before a lend ends.
  Duration lendPeriod = milliseconds(150);
  /// Between two of them just after a hand-over, when some nodes have not read yet that their lends
  /// ended: as long as a few ways between zones.
  Duration hurriedLendPeriod = milliseconds(15);
  /// A coordinator that gave way to another one waits so long without hearing from it.
  Duration wayTime = milliseconds(250);
  /// How long granted tokens may be spent, from the moment they were asked for.
  Duration tokenLifetime = milliseconds(400);
  /// A request for tokens without a reply is sent again; some ten times the way there and back.
  Duration replyTimeout = milliseconds(50);
  /// Requests for tokens to one coordinator before the next one is asked.
  std::uint32_t triesOfOneCoordinator = 2;
  /// So often the end of a coordination is told again, at the next ticks. A successor that missed
  /// it waits for `wayTime`, and its tenants with it: with one message in a hundred lost, 6.4 of
  /// 1,000 requests were refused around planned stops (120 nodes in virtual time), and 0.3 with
  /// this.
  std::uint32_t repeatedEnds = 2;
  /// Coordinators asked one after the other because each named the next: nodes may disagree for a
  /// moment after a change, and would otherwise send each other in circles.
  std::uint32_t mostRedirects = 2;
  /// After this a request is turned away: longer waits cost its caller more than coming back.
  Duration waitLimit = milliseconds(350);
  /// A coordinator that has borrowed nothing yet is asked again after this.
  Duration undecidedPause = milliseconds(20);
  /// Tokens of a tenant that a new coordinator starts with, so that small tenants go on at once.
  double startTokens = 3;
  /// Requests that every tenant may burst above its own burst: a program's tools and sub-agents are
  /// called at once, which the burst of a small tenant does not hold.
  double spareBurst = 12;
  double spareBurstSeconds = 0.7;
  double spareBurstShare = 0.1;
  /// Beyond the rate, the burst and a tenth of it, in 5 s.
  double windowSeconds = 5.1;
  double windowSpare = 14;
  /// Tokens are granted before the rate has made them, to be used then: a wait this long costs a
  /// caller less than a refusal and a second try.
  Duration longestDelay = milliseconds(250);
  /// Programs begin while the bucket holds what begun ones will use beyond the rate in this time,
  /// if they go on as lately. About half as long as a program lasts.
  Duration programHorizon = milliseconds(1500);
  /// What begun programs asked for fades by a factor of e in this time: longer than the bursts of
  /// one program's tools and sub-agents, which are no trend.
  Duration useFading = seconds(3);
  /// At most this share of the bucket is kept for begun programs.
  double mostReserved = 0.5;
  /// Below this share of the fleet a coordinator refuses nobody: another one may hold the rest.
  double decidingShare = 0.5;
  /// Of a burst, what a node without a coordinator may add to its share, in requests of all nodes.
  double ownBurstAllowance = 12;
  Duration shortestRetryAfter = milliseconds(150);
  Duration longestRetryAfter = milliseconds(1500);
};

}  // namespace gorsetrail::quota
