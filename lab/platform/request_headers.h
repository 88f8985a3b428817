/// \file Headers of requests at the stand-ins of the users' platform.
#pragma once

#include <boost/algorithm/string/predicate.hpp>
#include <string>

#include "http/http_server.h"

namespace gorsetrail::lab {

/// \return the value of a header whatever its case; empty when there is none.
inline std::string headerOf(const http::ServerRequest& request, const char* name) {
  for (const http::Header& header : request.headers) {
    if (boost::algorithm::iequals(header.name, name)) {
      return header.value;
    }
  }
  return {};
}

}  // namespace gorsetrail::lab
