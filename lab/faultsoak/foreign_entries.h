/// \file Registrations under replicas' names that no replica wrote: they name nobody to use.
#pragma once

#include <cstddef>
#include <string>

namespace gorsetrail::lab {

/// How many kinds of such entries there are.
std::size_t foreignEntryKinds();

/// \param kind below `foreignEntryKinds()`.
/// \param service one that routes use.
/// \param address where somebody listens who tells when a request comes.
/// \return the bytes of the entry.
std::string foreignEntry(std::size_t kind, const std::string& service, const std::string& address);

}  // namespace gorsetrail::lab
