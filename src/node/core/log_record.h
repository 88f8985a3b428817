/// \file Journal entries as records of the platform's log.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"
#include "program/program_service.h"

namespace gorsetrail::node {

/// \return one entry of a program's journal as compact JSON.
std::string encodeLogEntry(const ProgramKey& key, const program::JournalEntry& entry);

/// \return a record `{"writer","incarnation","sequence","entries":[...]}` of encoded entries.
/// Readers deduplicate by writer, incarnation and sequence.
std::string encodeLogRecord(NodeId writer, Incarnation incarnation, std::uint64_t sequence,
                            const std::vector<std::string>& encodedEntries);

}  // namespace gorsetrail::node
