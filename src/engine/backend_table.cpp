#include "engine/backend_table.h"

#include <algorithm>
#include <cstring>
#include <utility>

namespace gorsetrail::engine {
namespace {

using scheduling::ReplicaIndex;
using scheduling::ReplicaView;

/// A replica that is full is left alone for so long.
constexpr Duration kFullPause = milliseconds(200);
/// Reports older than this are not passed on.
constexpr Duration kOldestDigestAge = seconds(30);
/// Entries of a digest kept for replicas of other zones than the receiver's.
constexpr std::size_t kOtherZoneEntries = 8;
/// Marks kept of back ends that the bundle in force does not name (yet).
constexpr std::size_t kMaximumForeignMarks = 1024;
/// A mark stands at least so long against reports of before.
constexpr Duration kLeavingMarkStands = seconds(10);
/// Age given to a replica that nobody reported yet.
constexpr Duration kNeverReportedAge = seconds(60);

std::uint16_t saturated(std::uint64_t number) {
  return static_cast<std::uint16_t>(std::min<std::uint64_t>(number, UINT16_MAX));
}

}  // namespace

std::uint32_t backendHashOf(std::string_view name) {
  const ContentDigest digest = contentDigestOf(name);
  std::uint32_t hash = 0;
  for (std::size_t position = 0; position < sizeof(hash); ++position) {
    hash = (hash << 8U) | digest.bytes[position];
  }
  return hash;
}

void PreviousReplicas::remember(const ProgramId& program, const PreviousReplica& replica) {
  if (recent_.size() >= generationSize_ && !recent_.contains(program)) {
    older_ = std::exchange(recent_, {});
  }
  older_.erase(program);
  recent_[program] = replica;
}

std::optional<PreviousReplica> PreviousReplicas::find(const ProgramId& program) {
  if (const auto found = recent_.find(program); found != recent_.end()) {
    return found->second;
  }
  const auto found = older_.find(program);
  if (found == older_.end()) {
    return std::nullopt;
  }
  const PreviousReplica replica = found->second;
  remember(program, replica);
  return replica;
}

void PreviousReplicas::forget(const ProgramId& program) {
  recent_.erase(program);
  older_.erase(program);
}

void BackendTable::update(const std::vector<BackendDescription>& backends, Instant now) {
  std::vector<Row> rows;
  rows.reserve(backends.size());
  for (const BackendDescription& backend : backends) {
    Row row;
    if (Row* const known = find(backend.name);
        known != nullptr && known->description.address == backend.address) {
      row = std::move(*known);
    } else {
      row.hash = backendHashOf(backend.name);
      row.circuit = CircuitBreaker(circuitKnobs_);
    }
    row.description = backend;
    rows.push_back(std::move(row));
  }
  rows_ = std::move(rows);
  rebuildView();
  forgetOldMarks();
  for (std::uint32_t index = 0; index < rows_.size(); ++index) {
    refreshView(ReplicaIndex(index), now);
  }
}

void BackendTable::rebuildView() {
  view_.assign(rows_.size(), {});
  indexByName_.clear();
  indexByHash_.clear();
  for (std::uint32_t index = 0; index < rows_.size(); ++index) {
    const Row& row = rows_[index];
    indexByName_[row.description.name] = index;
    indexByHash_[row.hash] = index;
    view_[index].name = row.description.name;
    view_[index].zone = row.description.zone;
    view_[index].model = row.description.model;
  }
}

BackendTable::Row* BackendTable::find(const std::string& name) {
  const auto found = indexByName_.find(name);
  return found == indexByName_.end() ? nullptr : &rows_[found->second];
}

const BackendTable::Row* BackendTable::find(const std::string& name) const {
  const auto found = indexByName_.find(name);
  return found == indexByName_.end() ? nullptr : &rows_[found->second];
}

void BackendTable::onDispatched(const std::string& name, Instant now) {
  if (Row* const row = find(name)) {
    ++row->ownOutstanding;
    row->circuit.onDispatched(now);
  }
}

void BackendTable::endAttempt(Row& row) {
  // A back end that came back in a new bundle starts from zero while old calls still end.
  if (row.ownOutstanding > 0) {
    --row.ownOutstanding;
  }
}

void BackendTable::onSucceeded(const std::string& name) {
  if (Row* const row = find(name)) {
    endAttempt(*row);
    row->circuit.onSuccess();
  }
}

void BackendTable::onFailed(const std::string& name, Instant now) {
  if (Row* const row = find(name)) {
    endAttempt(*row);
    row->circuit.onFailure(now);
  }
}

void BackendTable::onRefused(const std::string& name, bool full, Instant now) {
  if (Row* const row = find(name)) {
    endAttempt(*row);
    row->circuit.onNeutral();
    if (full) {
      row->fullUntil = now + kFullPause;
    }
  }
}

void BackendTable::onCancelled(const std::string& name) {
  if (Row* const row = find(name)) {
    endAttempt(*row);
    row->circuit.onNeutral();
  }
}

void BackendTable::onUnreachable(const std::string& name, Instant now) {
  if (Row* const row = find(name)) {
    row->circuit.onFailure(now);
  }
}

void BackendTable::setLeaving(const std::string& name, bool leaving, Instant now) {
  if (const Row* const row = find(name)) {
    setLeavingByNotice(row->hash, leaving, now);
  }
}

void BackendTable::setLeavingByNotice(std::uint32_t backendHash, bool leaving, Instant now) {
  LeavingMark& mark = leavingMarks_[backendHash];
  if (mark.leaving != leaving) {
    mark = {leaving, now};
  }
}

void BackendTable::forgetOldMarks() {
  if (leavingMarks_.size() <= kMaximumForeignMarks + rows_.size()) {
    return;
  }
  std::erase_if(leavingMarks_,
                [this](const auto& mark) { return !indexByHash_.contains(mark.first); });
}

void BackendTable::onReport(const std::string& name, const LoadReport& report) {
  if (Row* const row = find(name)) {
    row->load = report;
  }
}

void BackendTable::onDigest(const LoadDigest& digest, Instant now) {
  for (const ReplicaLoad& load : digest.replicas) {
    const auto found = indexByHash_.find(load.backendHash);
    if (found == indexByHash_.end()) {
      continue;
    }
    const Instant at = now - milliseconds(load.ageMilliseconds);
    Row& row = rows_[found->second];
    if (!row.load || row.load->at < at) {
      row.load = LoadReport{load.runningStreams, load.queuedRequests, load.cacheUsedPerMille, at};
    }
  }
}

bool BackendTable::isLeaving(const Row& row) const {
  const auto mark = leavingMarks_.find(row.hash);
  return row.description.leaving || (mark != leavingMarks_.end() && mark->second.leaving);
}

bool BackendTable::isLeaving(const std::string& name) const {
  const Row* const row = find(name);
  return row != nullptr && isLeaving(*row);
}

bool BackendTable::mayServeAgain(const std::string& name, Instant now) const {
  const Row* const row = find(name);
  if (row == nullptr || row->description.leaving) {
    return false;
  }
  const auto mark = leavingMarks_.find(row->hash);
  return mark != leavingMarks_.end() && mark->second.leaving &&
         now - mark->second.since >= kLeavingMarkStands;
}

Instant BackendTable::usableAt(const Row& row, Instant now) {
  return std::max({now, row.fullUntil, row.circuit.allowsAt(now)});
}

CandidateSet BackendTable::candidates(const std::vector<std::string>& names,
                                      const std::vector<std::string>& excluded, Instant now) const {
  CandidateSet set;
  for (const std::string& name : names) {
    const auto found = indexByName_.find(name);
    const bool barred = std::find(excluded.begin(), excluded.end(), name) != excluded.end();
    if (found == indexByName_.end() || barred) {
      continue;
    }
    const Row& row = rows_[found->second];
    if (isLeaving(row)) {
      continue;
    }
    const Instant at = usableAt(row, now);
    if (at <= now && row.circuit.allows(now)) {
      set.usable.emplace_back(found->second);
    } else {
      set.usableAt = std::min(set.usableAt.value_or(at), at);
    }
  }
  return set;
}

void BackendTable::refreshView(ReplicaIndex index, Instant now) {
  const Row& row = rows_[index.value()];
  ReplicaView& view = view_[index.value()];
  view.usable = !isLeaving(row) && row.fullUntil <= now && row.circuit.allows(now);
  view.ownOutstanding = row.ownOutstanding;
  view.cachedProgramTokens = 0;
  view.reportedRunning = row.load ? row.load->runningStreams : 0;
  view.reportedQueued = row.load ? row.load->queuedRequests : 0;
  view.reportAge = row.load ? now - row.load->at : Duration(kNeverReportedAge);
}

const std::vector<ReplicaView>& BackendTable::view(const std::vector<ReplicaIndex>& refreshed,
                                                   const std::optional<PreviousReplica>& previous,
                                                   Instant now) {
  for (const ReplicaIndex index : refreshed) {
    refreshView(index, now);
  }
  if (previous) {
    if (const auto index = indexOfHash(previous->backendHash)) {
      refreshView(*index, now);
      view_[index->value()].cachedProgramTokens = previous->prefixTokens;
    }
  }
  return view_;
}

ReplicaLoad BackendTable::loadOf(const Row& row, Instant now) {
  const auto age = std::chrono::duration_cast<milliseconds>(now - row.load->at).count();
  return {row.hash, saturated(row.load->runningStreams), saturated(row.load->queuedRequests),
          saturated(row.load->cacheUsedPerMille), saturated(static_cast<std::uint64_t>(age))};
}

LoadDigest BackendTable::digestOf(const std::vector<std::string>& names, Instant now) const {
  LoadDigest digest;
  for (const std::string& name : names) {
    const Row* const row = find(name);
    const bool fresh = row != nullptr && row->load && now - row->load->at < kOldestDigestAge;
    if (fresh && digest.replicas.size() < kMaximumReplicas) {
      digest.replicas.push_back(loadOf(*row, now));
    }
  }
  return digest;
}

LoadDigest BackendTable::digestFor(const std::string& zone, Instant now) const {
  std::vector<const Row*> sameZone;
  std::vector<const Row*> otherZones;
  for (const Row& row : rows_) {
    if (row.load && now - row.load->at < kOldestDigestAge) {
      (row.description.zone == zone ? sameZone : otherZones).push_back(&row);
    }
  }
  const auto keepYoungest = [](std::vector<const Row*>& rows, std::size_t limit) {
    const std::size_t kept = std::min(limit, rows.size());
    std::partial_sort(
        rows.begin(), rows.begin() + static_cast<std::ptrdiff_t>(kept), rows.end(),
        [](const Row* left, const Row* right) { return left->load->at > right->load->at; });
    rows.resize(kept);
  };
  const std::size_t reserved = std::min(kOtherZoneEntries, otherZones.size());
  keepYoungest(sameZone, kMaximumReplicas - reserved);
  keepYoungest(otherZones, kMaximumReplicas - sameZone.size());
  sameZone.insert(sameZone.end(), otherZones.begin(), otherZones.end());
  LoadDigest digest;
  for (const Row* const row : sameZone) {
    digest.replicas.push_back(loadOf(*row, now));
  }
  return digest;
}

std::optional<ReplicaIndex> BackendTable::indexOf(const std::string& name) const {
  const auto found = indexByName_.find(name);
  return found == indexByName_.end() ? std::nullopt : std::optional(ReplicaIndex(found->second));
}

std::optional<ReplicaIndex> BackendTable::indexOfHash(std::uint32_t hash) const {
  const auto found = indexByHash_.find(hash);
  return found == indexByHash_.end() ? std::nullopt : std::optional(ReplicaIndex(found->second));
}

const BackendDescription& BackendTable::description(ReplicaIndex index) const {
  return rows_[index.value()].description;
}

std::uint32_t BackendTable::ownOutstanding(const std::string& name) const {
  const Row* const row = find(name);
  return row == nullptr ? 0 : row->ownOutstanding;
}

std::optional<Instant> BackendTable::reportedAt(const std::string& name) const {
  const Row* const row = find(name);
  return row == nullptr || !row->load ? std::nullopt : std::optional(row->load->at);
}

}  // namespace gorsetrail::engine
