/// \file Timeouts and sizes of the quota protocol. All nodes must use the same values.
#pragma once

#include <cstdint>

#include "base/time.h"

namespace gorsetrail::quota {

/// Settings of the quota module. In any 5 s a tenant may exceed its rate and burst by 10 % and 20
/// requests. This tolerance covers: `tokenLifetime` times the rate, since tokens may be spent that
/// long after the grant; the additional bucket capacity (`extraBurstSeconds` times the rate, a
/// tenth of the burst and `extraBurstTokens`); `initialTokens` for each coordinator change.
struct QuotaKnobs {
  /// Number of partitions of the tenants, each with its own coordinator. Every node answers lease
  /// requests from every coordinator, so a node's load grows with this value and not with the
  /// number of nodes.
  std::uint32_t partitions = 4;
  /// How long a node leases its share to a coordinator. After a coordinator fails, its successor
  /// can obtain the shares within this time.
  Duration leaseDuration = milliseconds(500);
  /// Interval between lease requests; two may be lost before a lease expires.
  Duration leaseRenewalInterval = milliseconds(150);
  /// Interval between lease requests just after a hand-over, while some nodes have not yet received
  /// the release; a few network delays between zones.
  Duration fastRenewalInterval = milliseconds(15);
  /// A coordinator that yielded resumes if it receives no lease request from the other for this
  /// long.
  Duration yieldTimeout = milliseconds(250);
  /// How long granted tokens may be spent, counted from the time of the request.
  Duration tokenLifetime = milliseconds(400);
  /// Token requests without a reply are sent again after this; about ten round-trip times.
  Duration replyTimeout = milliseconds(50);
  /// Attempts at one coordinator before the next one is asked.
  std::uint32_t maxAttemptsPerCoordinator = 2;
  /// How often a release is sent again, once per tick. A successor that misses the release waits
  /// for `yieldTimeout`, which delays its tenants. With one message in a hundred lost, 6.4 of 1,000
  /// requests were refused around planned stops without repeats and 0.3 with two (120 nodes in
  /// virtual time).
  std::uint32_t releaseRepeats = 2;
  /// Limit of redirects per request, because nodes may disagree on the coordinator after a
  /// membership change and would redirect in a cycle.
  std::uint32_t maxRedirects = 2;
  /// A request that waits this long is rejected; for the caller a retry is cheaper than a longer
  /// wait.
  Duration maxWait = milliseconds(350);
  /// A coordinator without sufficient shares is asked again after this.
  Duration undecidedRetryDelay = milliseconds(20);
  /// Tokens that a tenant starts with at a new coordinator, so that small tenants are not delayed.
  double initialTokens = 3;
  /// Additional bucket capacity in requests. A program calls its tools and sub-agents at once,
  /// which exceeds the burst of a small tenant.
  double extraBurstTokens = 12;
  double extraBurstSeconds = 0.7;
  double extraBurstFraction = 0.1;
  /// Limit in any 5 s: `windowRateSeconds` times the rate, 1.1 times the burst and
  /// `windowExtraTokens`.
  double windowRateSeconds = 5.1;
  double windowExtraTokens = 14;
  /// Tokens are granted up to this long before they accrue, for use at that time; a short wait
  /// costs the caller less than a rejection and a retry.
  Duration maxTokenDelay = milliseconds(250);
  /// New programs are admitted while the bucket holds the tokens that running programs are expected
  /// to use above the rate in this time. About half of a program's duration.
  Duration reservationHorizon = milliseconds(1500);
  /// Time constant of the exponential decay of the usage of running programs; longer than one
  /// program's burst of tool and sub-agent calls.
  Duration usageDecayTime = seconds(3);
  /// Maximum fraction of the bucket that is reserved for running programs.
  double maxReservedFraction = 0.5;
  /// Below this fraction of all shares a coordinator rejects no requests, because another one may
  /// hold the rest.
  double quorumShare = 0.5;
  /// Additional burst, in requests of the whole fleet, that a node without a coordinator applies
  /// its own share to.
  double localBurstAllowance = 12;
  Duration minRetryAfter = milliseconds(150);
  Duration maxRetryAfter = milliseconds(1500);
};

}  // namespace gorsetrail::quota
