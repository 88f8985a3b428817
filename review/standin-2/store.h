/// \file Stand-in of the platform's store: logs and keyed topics, without troubles of its own. It
/// has no groups, producers or conditional appends; the nodes under review use none of these.
#pragma once

#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include "wire.h"

namespace review {

class Store {
 public:
  explicit Store(const std::string& ip);

  [[nodiscard]] const std::string& address() const { return server_.address(); }
  /// Writes the newest record of a key; an empty value removes the key.
  void put(const std::string& topic, const std::string& key, const std::string& value);
  /// \return the newest value of each key.
  [[nodiscard]] std::map<std::string, std::string> newest(const std::string& topic);
  /// \return for each partition of the topics with this prefix, which of the texts stands in its
  /// newest record that holds one of them.
  [[nodiscard]] std::vector<std::string> newestOf(const std::string& topicPrefix,
                                                  const std::vector<std::string>& texts);

 private:
  using Log = std::vector<std::string>;

  void serve(Connection& connection);
  std::string answer(const Request& request);
  std::string append(const Request& request, Log& log);
  std::string read(const Request& request, Log& log, std::unique_lock<std::mutex>& lock);
  static std::string listNewest(const Request& request, const Log& log);

  std::mutex mutex_;
  std::condition_variable appended_;
  std::map<std::pair<std::string, std::string>, Log> logs_;  ///< By topic and partition.
  Server server_;                                            ///< Last, so that it stops first.
};

}  // namespace review
