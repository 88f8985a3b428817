/// \file The operators' bundle as typed values. `bundle_parser.h` makes it from checked JSON.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace gorsetrail::bundle {

enum class BackendKind : std::uint8_t { Engine, Application };

/// A replica that serves work.
struct Backend {
  std::string name;
  BackendKind kind = BackendKind::Engine;
  std::string zone;
  std::string address;   ///< `ip:port`.
  std::string model;     ///< Engines: the model it runs; empty for applications.
  bool leaving = false;  ///< Gets no new work.
};

struct Model {
  std::string name;
  std::uint32_t contextTokens = 0;
};

struct Adapter {
  std::string name;
  std::string model;
};

/// A rank of work; `above` names the priority it goes before (no cycles).
struct Priority {
  std::string name;
  std::string above;        ///< Empty for the lowest.
  std::uint32_t level = 0;  ///< Computed: number of priorities below it.
};

/// What a caller names in `model`: where it may run, and how.
struct Work {
  std::string name;
  BackendKind kind = BackendKind::Engine;
  std::string model;    ///< Engine work only.
  std::string adapter;  ///< May be empty.
  std::string priority;
  bool repeatable = true;             ///< False: at most once, whatever the caller says.
  std::vector<std::string> backends;  ///< Names; those that may serve it.
};

struct TenantBudget {
  std::uint32_t callsPerProgram = 0;
  std::uint64_t tokensPerProgram = 0;
  std::uint32_t secondsPerProgram = 0;
  std::uint64_t tokensPerMinute = 0;  ///< For the whole tenant.
};

struct Tenant {
  std::string name;
  std::vector<std::string> works;  ///< Names of the works it may ask for.
  TenantBudget budget;
};

struct Operator {
  std::string name;
  std::string publicKey;  ///< Ed25519, 32 bytes, base64.
};

/// One version of the configuration of a site.
struct Bundle {
  std::string site;
  BundleVersion version;
  BundleVersion base;
  double latencyWeight = 0.5;  ///< 1: only program latency counts; 0: only wasted cache.
  std::uint32_t signaturesNeeded = 1;
  std::vector<Operator> operators;
  std::vector<Model> models;
  std::vector<Adapter> adapters;
  std::vector<Priority> priorities;
  std::vector<Backend> backends;
  std::vector<Work> works;
  std::vector<Tenant> tenants;
  /// SHA-256 of the base's exact bytes in hexadecimal; empty: any bundle of version `base` will do.
  std::string baseDigest = {};

  /// \return the named item, or null.
  [[nodiscard]] const Work* findWork(const std::string& name) const;
  [[nodiscard]] const Tenant* findTenant(const std::string& name) const;
  [[nodiscard]] const Backend* findBackend(const std::string& name) const;
  [[nodiscard]] const Priority* findPriority(const std::string& name) const;
};

}  // namespace gorsetrail::bundle
