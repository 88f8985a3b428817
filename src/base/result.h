/// \file Results as `std::variant`: a value or a typed error.
#pragma once

#include <utility>
#include <variant>

#include "base/error.h"

namespace gorsetrail {

/// Result of an operation without a value.
struct Success {};

/// A value of type `T`, or the error that kept it from being made.
template <class T>
using Result = std::variant<T, Error>;

/// \return whether the result holds a value.
template <class T>
[[nodiscard]] bool succeeded(const Result<T>& result) {
  return std::holds_alternative<T>(result);
}

/// \return the value; the caller has checked `succeeded`.
template <class T>
[[nodiscard]] T& valueOf(Result<T>& result) {
  return std::get<T>(result);
}
template <class T>
[[nodiscard]] const T& valueOf(const Result<T>& result) {
  return std::get<T>(result);
}

/// \return the error; the caller has checked that there is one.
template <class T>
[[nodiscard]] const Error& errorOf(const Result<T>& result) {
  return std::get<Error>(result);
}

}  // namespace gorsetrail
