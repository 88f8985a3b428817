/// \file Result types: a value or a typed error, as `std::variant`.
#pragma once

#include <utility>
#include <variant>

#include "base/error.h"

namespace gorsetrail {

/// Value of a successful operation that returns nothing.
struct Success {};

/// A value of type `T`, or an error.
template <class T>
using Result = std::variant<T, Error>;

/// \return whether the result holds a value.
template <class T>
[[nodiscard]] bool succeeded(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

/// Requires `succeeded(result)`; throws `std::bad_variant_access` otherwise.
template <class T>
[[nodiscard]] T& valueOf(Result<T>& result) {
  return std::get<T>(result);
}
template <class T>
[[nodiscard]] const T& valueOf(const Result<T>& result) {
  return std::get<T>(result);
}

/// Requires `!succeeded(result)`; throws `std::bad_variant_access` otherwise.
template <class T>
[[nodiscard]] const Error& errorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

}  // namespace gorsetrail
