#include "edge/member_table.h"

#include <algorithm>
#include <optional>
#include <utility>

#include "base/text_check.h"
#include "edge/generated/member_record_generated.h"
#include "http/address.h"

namespace gorsetrail::edge {
namespace {

/// In CPU cores. An upper limit that keeps sums over the largest fleet exact.
constexpr double kMaximumCapacity = 1e6;

/// \return the first invalid field, or nothing. A capacity that is NaN would break sorting, and an
/// invalid address would be passed to clients.
std::optional<std::string_view> faultOf(const MemberRecord& record) {
  if (!isName(record.nodeName)) {
    return "node_name";
  }
  if (!isName(record.zone)) {
    return "zone";
  }
  if (!http::isUsableAddress(record.clientAddress)) {
    return "client_address";
  }
  if (!record.relayAddress.empty() && !http::isUsableAddress(record.relayAddress)) {
    return "relay_address";
  }
  // Also false for NaN.
  const bool isCapacity = record.capacity >= 0 && record.capacity <= kMaximumCapacity;
  return isCapacity ? std::nullopt : std::optional<std::string_view>("capacity");
}

}  // namespace

std::string encodeMemberRecord(const MemberRecord& record) {
  flatbuffers::FlatBufferBuilder builder;
  fbs::FinishMemberRecordBuffer(
      builder, fbs::CreateMemberRecord(builder, builder.CreateString(record.nodeName),
                                       builder.CreateString(record.zone),
                                       builder.CreateString(record.clientAddress),
                                       builder.CreateString(record.relayAddress), record.leaving,
                                       record.beat, static_cast<float>(record.capacity)));
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

Result<MemberRecord> decodeMemberRecord(std::string_view bytes) {
  const auto* const begin = reinterpret_cast<const std::uint8_t*>(bytes.data());
  flatbuffers::Verifier verifier(begin, bytes.size());
  if (!fbs::VerifyMemberRecordBuffer(verifier)) {
    return Error{ErrorKind::InvalidFrame, "member record",
                 "the bytes are not a valid member record",
                 "the record is skipped; look for another writer of this topic"};
  }
  const fbs::MemberRecord* const read = fbs::GetMemberRecord(begin);
  MemberRecord record;
  record.nodeName = read->node_name()->str();
  record.zone = read->zone()->str();
  record.clientAddress = read->client_address()->str();
  record.relayAddress = read->relay_address() == nullptr ? "" : read->relay_address()->str();
  record.leaving = read->leaving();
  record.beat = read->beat();
  record.capacity = read->capacity();
  if (const auto fault = faultOf(record)) {
    return Error{ErrorKind::InvalidFrame, "member record." + std::string(*fault),
                 "the value is malformed or out of range", "look for another writer of this topic"};
  }
  return record;
}

routing::Distance ClientLocation::distanceTo(std::string_view nodeZone) const {
  if (nodeZone == zone) {
    return routing::Distance::SameZone;
  }
  if (zones == nullptr || !zones->hasSeveralRegions()) {
    return routing::Distance::SameRegion;
  }
  return zones->regionOf(nodeZone) == region ? routing::Distance::SameRegion
                                             : routing::Distance::OtherRegion;
}

bool ClientLocation::allows(std::string_view nodeZone) const {
  return allowedRegions == nullptr || distanceTo(nodeZone) != routing::Distance::OtherRegion ||
         (zones != nullptr && zones->isIn(nodeZone, *allowedRegions));
}

bool MemberTable::onRecord(const std::string& key, const MemberRecord& record, Instant now) {
  const auto found = members_.find(key);
  const bool served =
      found != members_.end() && isAlive(key, found->second) && !found->second.record.leaving;
  members_[key] = {record, now};
  return served == record.leaving;
}

Duration MemberTable::heartbeat() const {
  const std::chrono::duration<double> shared(static_cast<double>(members_.size()) /
                                             knobs_.recordsPerSecond);
  return std::max(knobs_.heartbeat, std::chrono::duration_cast<Duration>(shared));
}

bool MemberTable::isAlive(const std::string& key, const Entry& entry) const {
  const auto timeout =
      std::chrono::duration_cast<Duration>(heartbeat() * knobs_.deadAfterHeartbeats);
  return lastReadAt_ - entry.lastRecordAt < timeout && !failsProbes_(key);
}

std::vector<std::string> MemberTable::relayAddresses() const {
  std::vector<std::string> addresses;
  for (const auto& [key, entry] : members_) {
    if (!entry.record.relayAddress.empty()) {
      addresses.push_back(entry.record.relayAddress);
    }
  }
  return addresses;
}

std::vector<routing::RingMember> MemberTable::ringMembers() const {
  constexpr double kWeightOfOthers = 1.0 / 32;
  std::map<std::string_view, Members> byZone;
  for (const auto& [key, entry] : members_) {
    byZone[entry.record.zone].push_back(&entry.record);
  }
  std::vector<routing::RingMember> ring;
  ring.reserve(members_.size());
  for (auto& [zone, members] : byZone) {
    Members named = members;
    keepMostCapable(named);
    for (const MemberRecord* const member : members) {
      const bool isNamed = std::find(named.begin(), named.end(), member) != named.end();
      ring.push_back({member->clientAddress, isNamed ? 1.0 : kWeightOfOthers});
    }
  }
  return ring;
}

std::vector<std::string> MemberTable::removeExpired() {
  std::vector<std::string> forgotten;
  for (const auto& [key, entry] : members_) {
    if (lastReadAt_ - entry.lastRecordAt >= knobs_.removeAfter) {
      forgotten.push_back(key);
    }
  }
  for (const std::string& key : forgotten) {
    members_.erase(key);
  }
  return forgotten;
}

void MemberTable::keepMostCapable(Members& members) const {
  double all = 0;
  for (const MemberRecord* const member : members) {
    all += member->capacity;
  }
  std::sort(members.begin(), members.end(),
            [](const MemberRecord* left, const MemberRecord* right) {
              return left->capacity != right->capacity ? left->capacity > right->capacity
                                                       : left->clientAddress < right->clientAddress;
            });
  double kept = 0;
  std::size_t count = 0;
  while (count < members.size() &&
         (count < knobs_.minimumNamedNodes || kept < knobs_.minimumNamedCapacityShare * all)) {
    kept += members[count]->capacity;
    ++count;
  }
  members.resize(count);
}

MemberTable::Members MemberTable::nearest(const ClientLocation& client, const IsSuspect& isSuspect,
                                          bool suspects) const {
  std::map<routing::Distance, Members> byDistance;
  for (const auto& [key, entry] : members_) {
    const MemberRecord& record = entry.record;
    const bool serves = isAlive(key, entry) && !record.leaving && client.allows(record.zone);
    if (serves && isSuspect(record.relayAddress) == suspects) {
      byDistance[client.distanceTo(record.zone)].push_back(&record);
    }
  }
  Members named;
  for (const auto& [distance, members] : byDistance) {
    // All suspects are added, because they are few and most do not answer.
    if (suspects || named.size() < knobs_.minimumNearbyNodes) {
      named.insert(named.end(), members.begin(), members.end());
    }
  }
  return named;
}

std::vector<std::string> MemberTable::clientAddresses(const ClientLocation& client,
                                                      const IsSuspect& isSuspect) const {
  Members named = nearest(client, isSuspect, false);
  if (named.empty()) {
    named = nearest(client, isSuspect, true);
  }
  keepMostCapable(named);
  std::vector<std::string> addresses;
  for (const MemberRecord* const member : named) {
    addresses.push_back(member->clientAddress);
  }
  if (addresses.size() > knobs_.maximumAddresses) {
    addresses.resize(knobs_.maximumAddresses);
  }
  return addresses;
}

std::vector<MemberRecord> MemberTable::namedNodesIn(std::string_view zone) const {
  Members inZone;
  for (const auto& [key, entry] : members_) {
    if (isAlive(key, entry) && !entry.record.leaving && entry.record.zone == zone) {
      inZone.push_back(&entry.record);
    }
  }
  keepMostCapable(inZone);
  std::vector<MemberRecord> serving;
  for (const MemberRecord* const member : inZone) {
    serving.push_back(*member);
  }
  return serving;
}

std::size_t MemberTable::countServingIn(std::string_view zone) const {
  std::size_t count = 0;
  for (const auto& [key, entry] : members_) {
    const bool serves = isAlive(key, entry) && !entry.record.leaving;
    count += serves && entry.record.zone == zone ? 1 : 0;
  }
  return count;
}

std::vector<MemberRecord> MemberTable::liveMembers() const {
  std::vector<MemberRecord> records;
  for (const auto& [key, entry] : members_) {
    if (isAlive(key, entry)) {
      records.push_back(entry.record);
    }
  }
  return records;
}

}  // namespace gorsetrail::edge
